package tourist

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
)

// nowhere is a deployment of which nothing runs.
type nowhere struct {
	address string
}

func (n nowhere) Addresses() []string                   { return []string{n.address, n.address, n.address} }
func (nowhere) CrashPrimary(context.Context) error      { return errors.New("nothing runs") }
func (nowhere) Apply(context.Context) error             { return errors.New("nothing runs") }
func (nowhere) Drain(context.Context, int) error        { return errors.New("nothing runs") }
func (nowhere) AwaitStopped(context.Context, int) error { return errors.New("nothing runs") }

// The deployment is down. A tour that then said that a promise held would say so of
// anything.
func TestTourOfNothingFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// Each connection is closed, so that no step waits.
	go refuse(l)
	defer l.Close()
	var o bytes.Buffer
	r := &Tourist{Database: "demo", Environment: nowhere{l.Addr().String()}, Output: &o}
	if err := r.Run(t.Context()); !errors.Is(err, errBroken) {
		t.Errorf("got %v, want %v", err, errBroken)
	}
	if n := strings.Count(o.String(), "BROKEN"); n != len(r.steps()) || strings.Contains(o.String(), "held") {
		t.Errorf("%d of %d steps are told broken:\n%s", n, len(r.steps()), &o)
	}
}

func refuse(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.Close()
	}
}
