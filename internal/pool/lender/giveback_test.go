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

// answerer opens connections to a server that answers each batch with a status.
type answerer struct {
	status byte
}

func (a answerer) Open(context.Context, string, string) (*dialer.Conn, error) {
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
	go a.run(far)
	return &dialer.Conn{Conn: near, Reader: framer.Reader{Source: bufio.NewReader(near)}}, err
}

func (a answerer) run(c net.Conn) {
	b := make([]byte, 1<<10)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		c.Write([]byte{'C', 0, 0, 0, 6, 'X', 0, 'Z', 0, 0, 0, 5, a.status})
	}
}

type nowhere struct{}

func (nowhere) Frame(byte, []byte, bool, bool) error { return nil }

// A connection that goes back with the answer is used by the next caller at once.
// Were it inside a transaction, or given back a second time by its session, two
// callers would share it, and one would get the other's rows.
func TestConnectionGoesBackWithAnswer(t *testing.T) {
	tests := []struct {
		name     string
		status   byte
		giveBack bool
		returned bool
	}{
		{"idle", exchanger.Idle, true, true},
		{"not allowed", exchanger.Idle, false, false},
		{"in transaction", exchanger.InTransaction, true, false},
		{"in failed transaction", exchanger.Failed, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &Lender{
				Keeper: &keeper.Keeper{Server: declarer.BackendServer{Name: "a", Connections: 16}, Opener: answerer{tt.status}},
				Gate:   &gate.Gate{BackendServer: "a", Queue: admitter.Queue{Slots: 1}},
			}
			defer l.Keeper.Close()
			e, err := l.Lease(t.Context(), lessor.Demand{})
			if err != nil {
				t.Fatal(err)
			}
			x := lessor.Exchange{Batch: &batcher.Batch{}, Output: nowhere{}, ReturnIfIdle: tt.giveBack}
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
				t.Errorf("in the end %+v", c)
			}
		})
	}
}

// Without the position that was asked for, the session asks once more over the same
// connection; it would have to answer a commit as of unknown outcome otherwise.
func TestConnectionWithoutPositionIsKept(t *testing.T) {
	r := exchanger.Result{Status: exchanger.Idle}
	if returns(&lessor.Exchange{ReturnIfIdle: true, AskPosition: true}, &r) {
		t.Error("goes back without its position")
	}
	r.Position.Position = 1
	if !returns(&lessor.Exchange{ReturnIfIdle: true, AskPosition: true}, &r) {
		t.Error("is kept with its position")
	}
}
