package lender

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// spentServer is a server on whose first connections nothing can be sent after so many batches.
type spentServer struct {
	*server
	// spent is how many connections are so.
	spent, batches int
	opened         int
}

type spentConnection struct {
	connpooler.Connection
	left int
}

func (s *spentServer) Dial(ctx context.Context, d declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	c, m, err := s.server.Dial(ctx, d, customer)
	s.opened++
	if s.opened <= s.spent {
		c = &spentConnection{Connection: c, left: s.batches}
	}
	return c, m, err
}

func (c *spentConnection) Send(r []declarer.Request, deadline time.Time) error {
	if c.left == 0 {
		return connpooler.ErrNotSent
	}
	c.left--
	return c.Connection.Send(r, deadline)
}

// Guards against a borrower that can't tell whether its statement ran, although nothing was sent.
func TestUnsentStatementsAreRefusedOrRunOnAnotherConnection(t *testing.T) {
	lend := Event{Kind: KindLend, Wait: time.Second}
	run := func(texts ...string) Event {
		e := Event{Kind: KindStatements, Wait: time.Second}
		for _, x := range texts {
			e.Requests = append(e.Requests, declarer.Request{ID: "x", Text: x})
		}
		return e
	}
	for name, c := range map[string]struct {
		server spentServer
		events []Event
		want   []string
	}{
		"the first connection is spent": {server: spentServer{spent: 1}, events: []Event{lend, run("READ a")}, want: []string{"answer 0"}},
		"the second one is, too":        {server: spentServer{spent: 2}, events: []Event{lend, run("READ a")}, want: []string{"refused"}},
		"spent after its first use":     {server: spentServer{spent: 1, batches: 1}, events: []Event{lend, run("READ a"), run("READ b", "READ c")}, want: []string{"answer 0", "refused", "refused"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.server.server = &server{}
				p := &connpooler.Pool{Server: declarer.Server{ID: "i"}, Dialer: &c.server, Observer: c.server.server, Limit: 4, MinOpen: 1}
				b := serve(c.server.server, p, c.events...)
				if diff := cmp.Diff(c.want, b.answers); diff != "" {
					t.Error(diff)
				}
				p.Close()
			})
		})
	}
}
