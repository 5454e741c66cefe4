package lender

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
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

// repeatingOpener opens connections to a server that answers each query with a CommandComplete of
// the query's text, twice.
type repeatingOpener struct{}

func (repeatingOpener) Open(context.Context, string, string) (*dialer.Conn, error) {
	return openServer(repeatAnswers)
}

func repeatAnswers(c net.Conn) {
	defer c.Close()
	r := framer.Reader{Source: bufio.NewReader(c), MaximumBytes: 1 << 10}
	for {
		f, err := r.NextWhole()
		if err != nil {
			return
		}
		a := []byte{'C', 0, 0, 0, byte(4 + len(f.Body()))}
		a = append(append(a, f.Body()...), 'Z', 0, 0, 0, 5, 'I')
		if _, err := c.Write(append(a, a...)); err != nil {
			return
		}
	}
}

// keptOutput is an Output that keeps what a caller gets.
type keptOutput struct{ strings.Builder }

func (k *keptOutput) Frame(_ byte, part []byte, _, _ bool) error {
	_, err := k.Write(part)
	return err
}

// Guards against a caller that gets the answer to another caller's statement. A server answers twice;
// the second answer is unread when the connection returns to the pool, with the first one's result
// or by a release, and the next caller may already wait for it.
func TestSurplusAnswerNeverReachesNextCaller(t *testing.T) {
	for _, returnIfIdle := range []bool{false, true} {
		l := &Lender{
			Keeper: &keeper.Keeper{Server: declarer.BackendServer{Name: "a", Connections: 4, ReservedConnections: 3}, Opener: repeatingOpener{}},
			Gate:   &gate.Gate{BackendServer: "a", Queue: admitter.Queue{Slots: 2}},
		}
		defer l.Keeper.Close()
		next := make(chan error, 1)
		for i := range 20 {
			q := "query " + string(rune('a'+i))
			go func() { next <- run(t, l, q, returnIfIdle) }()
			if err := run(t, l, q+q, returnIfIdle); err != nil {
				t.Error(err)
			}
			if err := <-next; err != nil {
				t.Error(err)
			}
		}
	}
}

// run runs q on a leased connection. It returns an error if the answer is that to another query.
func run(t *testing.T, l *Lender, q string, returnIfIdle bool) error {
	e, err := l.Lease(t.Context(), lessor.Demand{})
	if err != nil {
		return err
	}
	b, o := &batcher.Batch{}, &keptOutput{}
	b.AddQuery(batcher.Pass, q)
	r, err := e.Exchange(t.Context(), lessor.Exchange{Batch: b, Output: o, ReturnIfIdle: returnIfIdle})
	e.Release(lessor.Return{Clean: err == nil && r.Status == exchanger.Idle})
	if err != nil {
		return err
	}
	if r.Tag != q {
		return errors.New(q + " was answered by " + r.Tag)
	}
	return nil
}
