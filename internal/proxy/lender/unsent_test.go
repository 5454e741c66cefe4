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

// slowServer is a spentServer whose connections after the first take long to open.
type slowServer struct{ spentServer }

func (s *slowServer) Dial(ctx context.Context, x declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	if s.opened > 0 {
		time.Sleep(500 * time.Millisecond)
	}
	return s.spentServer.Dial(ctx, x, customer)
}

// Guards against a statement that is sent after its borrower has given it up, as another connection had to be opened.
func TestReplacementIsNotAwaitedLongerThanByBorrower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowServer{spentServer: spentServer{server: &server{}, spent: 1}}
		p := &connpooler.Pool{Server: declarer.Server{ID: "i"}, Dialer: s, Observer: s.server, Limit: 4, MinOpen: 1}
		b := serve(s.server, p, Event{Kind: KindLend, Wait: 10 * time.Second}, Event{Kind: KindStatements, Wait: 100 * time.Millisecond, Requests: []declarer.Request{{ID: "x", Text: "WRITE a b"}}})
		if d := cmp.Diff([]string{"refused"}, b.answers); d != "" || len(s.sent) > 0 {
			t.Errorf("sent %q, %s", s.sent, d)
		}
		time.Sleep(time.Second)
		p.Close()
	})
}
