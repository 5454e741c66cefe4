package lender

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// opener opens connections to nobody.
type opener struct{}

func (opener) Open(context.Context, string, string) (*dialer.Conn, error) {
	c, _ := net.Pipe()
	return &dialer.Conn{Conn: c}, nil
}

// An entry host is cut off after it was granted connections to a primary and
// before its statements came. While their slots stay taken nobody else's write
// runs at the server, though it and its replicas are well: users notice writes
// that stand still for as long as the cut.
func TestUnusedSlotsOfAHostThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 2
		l := &Lender{
			Keeper: &keeper.Keeper{Server: declarer.BackendServer{Name: "a", Connections: 16}, Opener: opener{}},
			Gate:   &gate.Gate{BackendServer: "a", Queue: admitter.Queue{Slots: slots}},
		}
		defer l.Keeper.Close()
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		var cut []lessor.Lease
		for range slots {
			e, err := l.Lease(ctx, lessor.Demand{Write: true})
			if err != nil {
				t.Fatal(err)
			}
			cut = append(cut, e)
		}
		e, err := l.Lease(ctx, lessor.Demand{Write: true})
		if err != nil {
			t.Fatalf("a write waited behind unused slots: %v", err)
		}
		e.Release(lessor.Return{})
		for _, e := range cut {
			e.Release(lessor.Return{})
		}
		if n := l.Gate.Load().Running; n != 0 {
			t.Errorf("%d slots taken in the end", n)
		}
	})
}
