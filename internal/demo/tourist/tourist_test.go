package tourist

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
)

// unreachable is an environment whose entry hosts close every connection and whose operations
// fail.
type unreachable struct {
	address string
}

func (n unreachable) Addresses() []string                   { return []string{n.address, n.address, n.address} }
func (unreachable) CrashPrimary(context.Context) error      { return errors.New("nothing runs") }
func (unreachable) Apply(context.Context) error             { return errors.New("nothing runs") }
func (unreachable) Drain(context.Context, int) error        { return errors.New("nothing runs") }
func (unreachable) AwaitStopped(context.Context, int) error { return errors.New("nothing runs") }

// The deployment is down, so no step may report that its guarantee held. Guards against checks
// that pass without having tested anything.
func TestTourFailsWithoutDeployment(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// Each connection is closed at once, so that no step waits for its timeout.
	go closeConnections(l)
	defer l.Close()
	var o bytes.Buffer
	r := &Tourist{Database: "demo", Environment: unreachable{l.Addr().String()}, Output: &o}
	if err := r.Run(t.Context()); !errors.Is(err, errGuaranteeBroken) {
		t.Errorf("got %v, want %v", err, errGuaranteeBroken)
	}
	if n := strings.Count(o.String(), "BROKEN"); n != len(r.steps()) || strings.Contains(o.String(), "held") {
		t.Errorf("%d of %d steps reported as broken:\n%s", n, len(r.steps()), &o)
	}
}

// closeConnections accepts connections and closes each at once, until the listener is closed.
func closeConnections(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.Close()
	}
}
