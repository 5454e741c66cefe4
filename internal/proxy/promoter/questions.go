package promoter

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

// probe asks a suspected primary, or all servers where none is known.
func (p *Promoter) probe(ctx context.Context, s successor.View) {
	p.probed = time.Now()
	l := s.Servers
	if s.Primary != nil {
		l = []*grouptracker.Server{s.Primary}
	}
	p.ask(ctx, l)
}

// ask has all of l tell their status at once, and returns those that did. Once more than
// half have, the others are waited for only a little.
func (p *Promoter) ask(ctx context.Context, l []*grouptracker.Server) []successor.Candidate {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	r := make(chan reply, len(l))
	g := &sync.WaitGroup{}
	for _, s := range l {
		g.Add(1)
		go (&question{promoter: p, server: s.Server, replies: r}).run(c, g)
	}
	go (&closing{wait: g, cancel: cancel}).run()
	return gather(r, len(l))
}

// reply is a server's answer to a question.
type reply struct {
	candidate successor.Candidate
	err       error
}

// gather collects up to n replies.
func gather(r <-chan reply, n int) []successor.Candidate {
	var l []successor.Candidate
	var late <-chan time.Time
	for range n {
		select {
		case x := <-r:
			if x.err == nil {
				l = append(l, x.candidate)
			}
		case <-late:
			return l
		}
		if 2*len(l) > n && late == nil {
			late = time.After(majorityGrace)
		}
	}
	return l
}

// closing frees what questions use once all have ended. Those that are late still note
// on the blackboard what they learn.
type closing struct {
	wait   *sync.WaitGroup
	cancel context.CancelFunc
}

func (x *closing) run() {
	x.wait.Wait()
	x.cancel()
}

// question is one status asked for.
type question struct {
	promoter *Promoter
	server   declarer.Server
	replies  chan<- reply
}

func (q *question) run(ctx context.Context, g *sync.WaitGroup) {
	defer g.Done()
	b := q.promoter.Board
	asked := b.Time()
	s, err := q.promoter.Prober.Status(ctx, q.server)
	q.note(asked, s, err)
	q.replies <- reply{candidate: successor.Candidate{Server: q.server, Status: s}, err: err}
}

func (q *question) note(asked time.Duration, s declarer.Status, err error) {
	b := q.promoter.Board
	switch {
	case errors.Is(err, ErrCommandRefused), errors.Is(err, connpooler.ErrTooManyConnections):
		// It has no room for the question, but it lives.
		b.Do(q.server.Group, func(g *grouptracker.Group) { g.RecordAnswer(q.server.ID, b.Time(), 0, marker.Mark{}) })
		return
	case err != nil:
		b.RecordConnectionFailure(q.server.Group, q.server.ID, asked, err)
		return
	}
	b.Do(q.server.Group, func(g *grouptracker.Group) { g.RecordAnswer(q.server.ID, b.Time(), 0, s.Received) })
	if s.Primary {
		b.RecordLeadership(q.server.Group, q.server.ID, asked, s.Received)
	}
}

// inquiry asks other hosts about a primary that doesn't answer here.
type inquiry struct {
	dialer   *relaydialer.Dialer
	server   declarer.Server
	question relaydialer.Check
	done     chan relaydialer.Verdict
}

func (x *inquiry) run(ctx context.Context) {
	x.done <- x.dialer.CheckRemotely(ctx, x.server, x.question)
}

// inquire begins to ask other hosts what the reason to replace the primary needs.
func (p *Promoter) inquire(ctx context.Context, s successor.View, r successor.Reason) *inquiry {
	x := &inquiry{dialer: p.Dialer, done: make(chan relaydialer.Verdict, 1)}
	switch r {
	case successor.ReasonUnresponsive:
		x.server, x.question = s.Primary.Server, relaydialer.CheckReachable
	case successor.ReasonDown:
		x.server, x.question = s.Primary.Server, relaydialer.CheckResponding
	default:
		x.done <- relaydialer.VerdictDown
		return x
	}
	go x.run(ctx)
	return x
}

// confirms reports whether what other hosts say lets the primary be replaced. Silence
// needs their word that they don't hear from it either; after long they may all be out of
// reach, but none may have had an answer.
func confirms(r successor.Reason, w relaydialer.Verdict) bool {
	if r == successor.ReasonDown {
		return w != relaydialer.VerdictAlive
	}
	return w == relaydialer.VerdictDown
}

// reachable returns the servers but for a primary that doesn't answer: to ask it once
// more would only hold the promotion up.
func reachable(s successor.View) []*grouptracker.Server {
	var l []*grouptracker.Server
	for _, x := range s.Servers {
		if s.Primary == nil || x.ID != s.Primary.ID || x.FailingSince == 0 {
			l = append(l, x)
		}
	}
	return l
}
