package lender

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// statusOpener opens connections to a server that answers each batch with this transaction status.
type statusOpener struct {
	status byte
}

func (a statusOpener) Open(context.Context, string, string) (*dialer.Conn, error) {
	return openServer(a.run)
}

// openServer opens a connection to a server.
func openServer(serve func(net.Conn)) (*dialer.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := l.Accept()
	if err != nil {
		near.Close()
		return nil, err
	}
	go serve(far)
	return &dialer.Conn{Conn: near, Reader: framer.Reader{Source: bufio.NewReader(near)}}, nil
}

func (a statusOpener) run(c net.Conn) {
	b := make([]byte, 1<<10)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		c.Write([]byte{'C', 0, 0, 0, 6, 'X', 0, 'Z', 0, 0, 0, 5, a.status})
	}
}

type nullOutput struct{}

func (nullOutput) Frame(byte, []byte, bool, bool) error { return nil }

// Guards against a connection shared by two callers, of which one would receive the other's rows.
// A connection that is returned to the pool with its result is used by the next caller at once, so
// it must not be inside a transaction, and its session must not return it a second time.
func TestConnectionReturnedWithResult(t *testing.T) {
	tests := []struct {
		name         string
		status       byte
		returnIfIdle bool
		returned     bool
	}{
		{"idle", exchanger.Idle, true, true},
		{"not allowed", exchanger.Idle, false, false},
		{"in transaction", exchanger.InTransaction, true, false},
		{"in failed transaction", exchanger.Failed, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &Lender{
				Keeper: &keeper.Keeper{Server: declarer.BackendServer{Name: "a", Connections: 16}, Opener: statusOpener{tt.status}},
				Gate:   &gate.Gate{BackendServer: "a", Queue: admitter.Queue{Slots: 1}},
			}
			defer l.Keeper.Close()
			e, err := l.Lease(t.Context(), lessor.Demand{})
			if err != nil {
				t.Fatal(err)
			}
			x := lessor.Exchange{Batch: &batcher.Batch{}, Output: nullOutput{}, ReturnIfIdle: tt.returnIfIdle}
			x.Batch.AddQuery(batcher.Pass, "SELECT 1")
			r, err := e.Exchange(t.Context(), x)
			if err != nil || r.Returned != tt.returned {
				t.Fatalf("result %+v, %v", r, err)
			}
			if n := l.Keeper.Count().Idle; (n == 1) != tt.returned {
				t.Fatalf("%d idle connections", n)
			}
			if tt.returned {
				if _, err := e.Exchange(t.Context(), x); !errors.Is(err, lessor.ErrNotRun) {
					t.Errorf("exchange over a returned connection: %v", err)
				}
			}
			e.Release(lessor.Return{Clean: tt.status == exchanger.Idle})
			c := l.Keeper.Count()
			if want := tt.status == exchanger.Idle; (c.Idle == 1) != want || c.Working != 0 {
				t.Errorf("connections after the release: %+v", c)
			}
		})
	}
}

// Guards against commits that are reported with an unknown outcome: if the result lacks the
// requested log position, the session queries it again over the same connection, which therefore
// must not be returned to the pool.
func TestConnectionWithoutPositionIsKept(t *testing.T) {
	r := exchanger.Result{Status: exchanger.Idle}
	if mayReturn(&lessor.Exchange{ReturnIfIdle: true, AskPosition: true}, &r) {
		t.Error("the connection is returned without the position")
	}
	r.Position.Position = 1
	if !mayReturn(&lessor.Exchange{ReturnIfIdle: true, AskPosition: true}, &r) {
		t.Error("the connection is kept although the result has the position")
	}
}
