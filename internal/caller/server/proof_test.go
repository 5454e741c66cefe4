package server

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// unprovedLessor leases connections whose first answer has no position, as after a cancel, and on
// which the position can't be queried afterwards.
type unprovedLessor struct {
	Director
	exchanges int
}

func (u *unprovedLessor) Choose(context.Context, Query) (Choice, error) {
	return Choice{Server: "a", Lessor: u, Primary: true}, nil
}

func (u *unprovedLessor) Observe(string, string, marker.Mark) {}

func (u *unprovedLessor) Lease(context.Context, lessor.Demand) (lessor.Lease, error) { return u, nil }

func (u *unprovedLessor) Parameters() map[string]string { return nil }

func (u *unprovedLessor) Release(lessor.Return) {}

func (u *unprovedLessor) Exchange(context.Context, lessor.Exchange) (exchanger.Result, error) {
	u.exchanges++
	if u.exchanges == 1 {
		return exchanger.Result{Status: exchanger.Idle, Tag: "SELECT 1"}, nil
	}
	return exchanger.Result{}, errors.WithType(exchanger.ErrSurplus, exchanger.ErrLost)
}

// Guards against a success that isn't proved to be the statement's own. A server answered the position
// query with an error, and the answer to the next one shows that the connection is out of step.
func TestUnprovedAnswerIsNoSuccess(t *testing.T) {
	for _, q := range []string{"SELECT 1", "INSERT INTO t VALUES (1)"} {
		u := &unprovedLessor{}
		near, far := net.Pipe()
		defer near.Close()
		s := &Session{Director: u, Log: &log.Logger{Handler: discard.New()}, StartupRequest: greeter.StartupRequest{Conn: far}, WriteTimeout: time.Second}
		s.Prepare(t.Context())
		var k classifier.Classifier
		c, err := k.Classify(q)
		if err != nil {
			t.Fatal(err)
		}
		p := &plan{executed: []*prepared{{statement: c}}}
		p.batch.AddStatements(batcher.Pass, q, 1)
		if f := s.runAttempts(t.Context(), p, batcher.Sync); f == nil || f.outcome != "unknown" || u.exchanges != 2 {
			t.Errorf("%s: failure %v after %d exchanges", q, f, u.exchanges)
		}
	}
}
