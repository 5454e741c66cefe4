package lender

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/drainer"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// server records the requests that are sent to it. Its connections answer each request. It also
// implements connpooler.Dialer and connpooler.Observer.
type server struct {
	sent  []string
	full  bool
	fails bool
}

type connection struct {
	server  *server
	pending int
	state   declarer.State
}

func (s *server) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	if s.full {
		return nil, marker.Mark{}, connpooler.ErrTooManyConnections
	}
	return &connection{server: s}, marker.Mark{}, nil
}

func (s *server) Connected(declarer.Server, marker.Mark) {}
func (s *server) Unreachable(declarer.Server, error)     {}

func (c *connection) Send(r []declarer.Request, _ time.Time) error {
	for _, x := range r {
		c.server.sent = append(c.server.sent, describe(x))
		switch x.Text {
		case "BEGIN":
			c.state = declarer.StateTransaction
		case "COMMIT":
			c.state = declarer.StateIdle
		}
		if x.Verb == declarer.VerbRollback {
			c.state = declarer.StateIdle
		}
	}
	c.pending += len(r)
	return nil
}

// describe returns a request in short form.
func describe(r declarer.Request) string {
	switch r.Verb {
	case declarer.VerbReset:
		return "RESET"
	case declarer.VerbSet:
		return "SET " + r.Name + " " + r.Argument
	case declarer.VerbPrepare:
		return "PREPARE " + r.Name
	case declarer.VerbRollback:
		return "ROLLBACK"
	}
	return r.Text
}

func (c *connection) Receive(a *declarer.Answer, _ time.Time) error {
	if c.server.fails {
		return errors.New("broken")
	}
	c.pending--
	a.State = c.state
	a.Body = append(a.Body, "DONE sig\r\n"...)
	return nil
}

func (c *connection) PendingAnswers() int { return c.pending }
func (c *connection) Ended() bool         { return false }
func (c *connection) Close()              {}

// borrower sends events and records the answers.
type borrower struct {
	events  []Event
	answers []string
	// silent is set if the link goes silent after the events, and waited is how long the owner waited
	// then, since began.
	silent bool
	began  time.Time
	waited time.Duration
}

func (b *borrower) Handshake(time.Time) error { return nil }

func (b *borrower) Next(deadline time.Time) (Event, error) {
	if len(b.events) == 0 && b.silent {
		if deadline.IsZero() {
			deadline = b.began.Add(time.Hour)
		}
		time.Sleep(time.Until(deadline))
		b.waited = time.Since(b.began)
		return Event{}, os.ErrDeadlineExceeded
	}
	if len(b.events) == 0 {
		return Event{}, io.EOF
	}
	e := b.events[0]
	b.events = b.events[1:]
	return e, nil
}

func (b *borrower) Answer(a *declarer.Answer) {
	b.answers = append(b.answers, fmt.Sprintf("answer %d", a.State))
}
func (b *borrower) Done(s declarer.State) { b.answers = append(b.answers, fmt.Sprintf("done %d", s)) }
func (b *borrower) Position(m marker.Mark, age time.Duration) {
	b.answers = append(b.answers, fmt.Sprintf("position %v, %v old", m, age))
}
func (b *borrower) Refuse(Refusal) { b.answers = append(b.answers, "refused") }
func (b *borrower) Flush() error   { return nil }

// serve serves the events with a pool and returns the borrower.
func serve(s *server, p *connpooler.Pool, events ...Event) *borrower {
	return serveBorrower(s, p, &borrower{events: events})
}

func serveBorrower(s *server, p *connpooler.Pool, b *borrower) *borrower {
	var lent drainer.Work
	l := &Link{Borrower: b, Pool: func(bool) *connpooler.Pool { return p }, OnAnswer: func() {}, Work: &lent, Position: s.position, IdleTransactionTimeout: func() time.Duration { return 3 * time.Second }}
	l.Run()
	if n := lent.Count(); n != 0 {
		panic(fmt.Sprintf("%d connections are lent after the end", n))
	}
	synctest.Wait()
	return b
}

// position returns a position that is as old as is allowed, if that is at least a second.
func (s *server) position(maximum time.Duration) (marker.Mark, time.Duration, bool) {
	return marker.Mark{Term: 1, Position: 5}, maximum, maximum >= time.Second
}

func pool(s *server) *connpooler.Pool {
	return &connpooler.Pool{Server: declarer.Server{ID: "i"}, Dialer: s, Observer: s, Limit: 1}
}

// lend returns an event that requests a connection.
func lend() Event { return Event{Kind: KindLend, Wait: time.Second} }

// batch returns an event that sends the statements.
func batch(r ...declarer.Request) Event {
	return Event{Kind: KindStatements, Wait: time.Second, Requests: r}
}

func set(n, v string) declarer.Request {
	return declarer.Request{Verb: declarer.VerbSet, Name: n, Argument: v, Text: "SET " + n + " " + v}
}

func prepare(n string) declarer.Request {
	return declarer.Request{Verb: declarer.VerbPrepare, Name: n}
}

func text(s string) declarer.Request { return declarer.Request{ID: "x", Text: s} }

func check(t *testing.T, what string, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s %q, want %q", what, got, want)
	}
}

// Guards against a statement that runs with the values of another session and returns rows of
// another customer: sessions of several hosts use one connection in turn.
func TestConnectionIsSetUpForEachLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := pool(s)
		b := serve(s, p,
			lend(), batch(set("a", "1"), set("b", "2"), prepare("p"), text("READ x")), Event{Kind: KindReturn},
			lend(), batch(set("a", "1"), set("b", "2"), prepare("p"), text("READ y")), Event{Kind: KindReturn},
			lend(), batch(set("a", "1"), text("READ z")), Event{Kind: KindReturn},
			lend(), batch(text("READ w")), Event{Kind: KindReturn},
		)
		check(t, "sent", s.sent, []string{
			"SET a 1", "SET b 2", "PREPARE p", "READ x",
			"READ y",
			"RESET", "SET a 1", "READ z",
			"RESET", "READ w",
		})
		check(t, "answers", b.answers, []string{
			"answer 0", "answer 0", "answer 0", "answer 0",
			"done 0", "done 0", "done 0", "answer 0",
			"answer 0", "answer 0",
			"answer 0",
		})
		p.Close()
	})
}

// Guards against a reset of the connection when a session sets a value in the middle of its
// transaction: the session's other values would be lost.
func TestValuesWithinLeaseAreAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := pool(s)
		serve(s, p, lend(), batch(set("a", "1"), text("BEGIN")), batch(set("b", "2"), text("READ x")), batch(text("COMMIT")), Event{Kind: KindReturn})
		check(t, "sent", s.sent, []string{"SET a 1", "BEGIN", "SET b 2", "READ x", "COMMIT"})
		p.Close()
	})
}

// Guards against a borrower that works in the transaction of another one, whose link ended in the
// middle of it.
func TestLinkThatEndsInATransactionIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := pool(s)
		serve(s, p, lend(), batch(text("BEGIN"), text("WRITE x 1")))
		serve(s, p, lend(), batch(text("READ x")), Event{Kind: KindReturn})
		check(t, "sent", s.sent, []string{"BEGIN", "WRITE x 1", "ROLLBACK", "READ x"})
		p.Close()
	})
}

// Guards against a connection that counts as set up although nothing was sent: if a statement gets
// no permit in time, its whole batch is refused.
func TestStatementWithoutPermitSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := pool(s)
		late := batch(set("a", "1"), text("READ x"))
		late.Wait = 0
		b := serve(s, p, lend(), late, batch(set("a", "1"), text("READ y")), Event{Kind: KindReturn})
		check(t, "answers", b.answers, []string{"refused", "refused", "answer 0", "answer 0"})
		check(t, "sent", s.sent, []string{"SET a 1", "READ y"})
		p.Close()
	})
}

// Guards against answers that don't match their statements if there is no connection in time: each
// statement of the batch must be refused, and none may be sent.
func TestRefusalAnswersEachStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{full: true}
		p := pool(s)
		b := serve(s, p, lend(), batch(text("READ x"), text("BEGIN"), text("ROLLBACK")), Event{Kind: KindReturn}, batch(text("READ y")))
		check(t, "answers", b.answers, []string{"refused", "refused", "refused", "refused"})
		check(t, "sent", s.sent, nil)
		p.Close()
	})
}

// Guards against a borrower that takes an answer for that of an earlier statement: if the server
// breaks the connection, the borrower's link must end too.
func TestBrokenConnectionEndsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{fails: true}
		p := pool(s)
		b := serve(s, p, lend(), batch(text("READ x")), lend(), batch(text("READ y")))
		if len(b.answers) > 0 || len(b.events) != 2 {
			t.Errorf("answers %q, %d events left", b.answers, len(b.events))
		}
		p.Close()
	})
}

// Guards against a question for a position that takes a connection from statements, or that is sent to
// the server, which doesn't know it.
func TestPositionNeedsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := pool(s)
		ask := func(age time.Duration) Event {
			return batch(declarer.Request{Verb: declarer.VerbPosition, MaximumAge: age})
		}
		b := serve(s, p, ask(time.Second), ask(time.Millisecond), lend(), batch(text("READ x")), ask(2*time.Second))
		check(t, "sent", s.sent, []string{"READ x"})
		check(t, "answers", b.answers, []string{"position 1/5, 1s old", "refused", "answer 0", "position 1/5, 2s old"})
		p.Close()
	})
}

// The link to a borrower goes silent, without being reset. Guards against a connection that stays lent for
// ever: the owner has few, and the server was lost to all hosts.
func TestSilentBorrowerLosesItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		most time.Duration
	}{
		"after a statement":    {"READ a", returnTimeout},
		"inside a transaction": {"BEGIN", 3*time.Second + returnTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{}
				p := pool(s)
				b := &borrower{silent: true, began: time.Now(), events: []Event{
					{Kind: KindLend, Wait: time.Second},
					{Kind: KindStatements, Wait: time.Second, Requests: []declarer.Request{{ID: "1", Text: c.text}}},
				}}
				serveBorrower(s, p, b)
				if b.waited > c.most {
					t.Errorf("the connection was kept for %v", b.waited)
				}
				l, err := p.Acquire(connpooler.AcquireRequest{Deadline: time.Now().Add(time.Second), Class: admitter.ClassRead})
				if err != nil {
					t.Fatal(err)
				}
				l.Release(false)
				p.Close()
			})
		})
	}
}

// Guards against owners whose decisions change where nothing is ranked, because of requests of hosts that
// have a ranked configuration already, and against requests whose importance is lost between the link and
// the queue.
func TestImportanceOfLoanAtOwner(t *testing.T) {
	for name, x := range map[string]struct {
		ranked func() bool
		want   admitter.Importance
	}{
		"ranked":     {func() bool { return true }, 17},
		"not ranked": {func() bool { return false }, 0},
		"unset":      {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{}
				p := pool(s)
				var lent drainer.Work
				l := &Link{Pool: func(bool) *connpooler.Pool { return p }, Work: &lent, Ranked: x.ranked}
				l.lend(Event{Kind: KindLend, Wait: time.Second, Importance: 17})
				if a := l.request.acquireRequest(time.Now()); a.Importance != x.want {
					t.Errorf("importance %d, want %d", a.Importance, x.want)
				}
				l.returnLease(false)
				p.Close()
				synctest.Wait()
			})
		})
	}
}
