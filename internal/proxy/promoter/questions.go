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

// probe queries the primary, or all servers if none is known.
func (p *Promoter) probe(ctx context.Context, s successor.View) {
	p.probedAt = time.Now()
	l := s.Servers
	if s.Primary != nil {
		l = []*grouptracker.Server{s.Primary}
	}
	p.queryStatus(ctx, l)
}

// queryStatus queries the status of all servers of l at once, and returns those that answered.
// Once more than half have answered, the others are awaited for majorityGrace only.
func (p *Promoter) queryStatus(ctx context.Context, l []*grouptracker.Server) []successor.Candidate {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	r := make(chan reply, len(l))
	g := &sync.WaitGroup{}
	for _, s := range l {
		g.Add(1)
		go (&statusQuery{promoter: p, server: s.Server, command: declarer.Request{Verb: declarer.VerbStatus}, replies: r}).run(c, g)
	}
	go (&cleanup{wait: g, cancel: cancel}).run()
	return collect(r, len(l))
}

// confirmPrimary queries the server that this host assumes to be the primary, and reports whether it is. A
// server without a free connection or slot, as commits wait for paused replicas, counts as the primary if all
// others that the platform lists answer that they aren't and none has a newer term. If it doesn't lead, no server does, and its log is the
// longest.
func (p *Promoter) confirmPrimary(ctx context.Context) (successor.Candidate, bool) {
	s := p.view()
	if s.Primary == nil {
		return successor.Candidate{}, false
	}
	x := p.commandAll(ctx, []*grouptracker.Server{s.Primary}, declarer.Request{Verb: declarer.VerbStatus})[0]
	if x.err == nil {
		return x.candidate, x.candidate.Status.Primary
	}
	if !isFull(x.err) {
		return successor.Candidate{}, false
	}
	if p.synchronous() > 0 {
		m, err := p.readMembers(ctx)
		if err != nil {
			return successor.Candidate{}, false
		}
		addListed(&s, m.Listed)
	}
	term := p.ledTerm()
	for _, o := range p.commandAll(ctx, without(s.Servers, s.Primary.ID), declarer.Request{Verb: declarer.VerbStatus}) {
		if o.err != nil || o.candidate.Status.Primary || o.candidate.Status.Received.Term > term {
			return successor.Candidate{}, false
		}
	}
	return successor.Candidate{Server: s.Primary.Server, Status: declarer.Status{Term: term, Received: marker.Mark{Term: term}}}, true
}

// isFull reports whether a server has refused a command for lack of a connection or a slot.
func isFull(err error) bool {
	return errors.Is(err, ErrCommandRefused) || errors.Is(err, connpooler.ErrTooManyConnections)
}

// reply is the result of a status query.
type reply struct {
	candidate successor.Candidate
	err       error
}

// collect receives up to n replies and returns those without an error. Once more than half of
// n are such, the others are awaited for majorityGrace only.
func collect(r <-chan reply, n int) []successor.Candidate {
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

// cleanup cancels the context of status queries once all have ended: late queries still record
// their results on the board.
type cleanup struct {
	wait   *sync.WaitGroup
	cancel context.CancelFunc
}

func (x *cleanup) run() {
	x.wait.Wait()
	x.cancel()
}

// statusQuery sends one server a command that it answers with its status.
type statusQuery struct {
	promoter *Promoter
	server   declarer.Server
	command  declarer.Request
	replies  chan<- reply
}

func (q *statusQuery) run(ctx context.Context, g *sync.WaitGroup) {
	defer g.Done()
	b := q.promoter.Board
	asked := b.Time()
	s, err := q.promoter.Prober.command(ctx, q.server, q.command)
	q.record(asked, s, err)
	q.replies <- reply{candidate: successor.Candidate{Server: q.server, Status: s}, err: err}
}

// record notes the result of a query that began at asked on the board.
func (q *statusQuery) record(asked time.Duration, s declarer.Status, err error) {
	b := q.promoter.Board
	switch {
	case isFull(err), errors.Is(err, ErrCommandUnsupported):
		// The server has no free slot for the query, or doesn't know the command, but it works.
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

// peerQuery asks other hosts about a primary that doesn't answer this host.
type peerQuery struct {
	dialer   *relaydialer.Dialer
	server   declarer.Server
	question relaydialer.Check
	done     chan relaydialer.Verdict
}

func (x *peerQuery) run(ctx context.Context) {
	x.done <- x.dialer.CheckRemotely(ctx, x.server, x.question)
}

// startPeerQuery starts asking other hosts for the confirmation that the reason needs, if any.
func (p *Promoter) startPeerQuery(ctx context.Context, s successor.View, r successor.Reason) *peerQuery {
	x := &peerQuery{dialer: p.Dialer, done: make(chan relaydialer.Verdict, 1)}
	switch r {
	case successor.ReasonNotListening, successor.ReasonUnresponsive:
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

// confirmsLoss reports whether the answer of the other hosts allows to replace the primary. For
// one that refuses connections or is unresponsive, other hosts must report that they can't reach it
// either. For one that is down, it is enough that none reports an answer from it, even if none can be
// asked.
func confirmsLoss(r successor.Reason, w relaydialer.Verdict) bool {
	if r == successor.ReasonDown {
		return w != relaydialer.VerdictAlive
	}
	return w == relaydialer.VerdictDown
}

// worthProbing returns all servers except a primary that doesn't answer: another query to it
// would only delay the promotion.
func worthProbing(s successor.View) []*grouptracker.Server {
	var l []*grouptracker.Server
	for _, x := range s.Servers {
		if s.Primary == nil || x.ID != s.Primary.ID || x.FailingSince == 0 {
			l = append(l, x)
		}
	}
	return l
}
