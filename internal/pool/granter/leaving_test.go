package granter

import (
	"testing"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// onePool has one pool for every backend server.
type onePool struct{ pool lessor.Lessor }

func (p onePool) Pool(string, string) lessor.Lessor { return p.pool }

// Guards against leases that a stopping host grants after it has seen the last one end.
func TestLeavingHostRefusesLeases(t *testing.T) {
	p := &fakePool{}
	g := &Granter{Pools: onePool{p}}
	g.Leave()
	err := g.HandleForward(t.Context(), &listener.ForwardRequest{})
	if r, ok := errors.AsType[*encoder.Refusal](err); !ok || r.Reason != encoder.ReasonLeaving {
		t.Errorf("refused with %v", err)
	}
	if g.OpenLeases() != 0 || len(p.sent) != 0 {
		t.Errorf("%d leases, sent %q", g.OpenLeases(), p.sent)
	}
}
