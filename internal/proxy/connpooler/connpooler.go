// Package connpooler keeps the connections of one entry host to one backend server, and
// lends each to one session at a time.
package connpooler

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// idleFor is how long a connection beyond the first is kept unused. Others'
	// callers need it: the server's limit is for all entry hosts together.
	idleFor = time.Second
	// linkIdleFor is the same for connections to other hosts, which nobody else needs.
	linkIdleFor = 10 * time.Second
	// recoverFor bounds the wait for an answer that nobody needs any more. A connection that
	// has gone silent takes up one of the server's few until it is closed.
	recoverFor = 2 * time.Second
	// suspectAfter is how long a connection is unused before it is looked at.
	suspectAfter = 50 * time.Millisecond
)

// Pool keeps the connections to one server. Its exported fields are set before use.
type Pool struct {
	Server   declarer.Server
	Dialer   Dialer
	Observer Observer
	// Limit is the most connections that this host may open, and Keep how many stay open
	// though unused. Resize changes both later.
	Limit   int
	MinOpen int
	// OnDemand opens a connection for whoever waits: those to another entry host take
	// nothing of the server's.
	OnDemand bool

	mu      sync.Mutex
	queue   admitter.Queue
	permits permits
	idle    []*Lease
	open    int
	opening int
	// recovering are those of the open ones that nobody can use yet: an answer is still to
	// come that nobody needs any more.
	recovering int
	closed     bool
	// retryAt is until when no connection is opened after the server was at its limit, backoff how long that was.
	retryAt time.Time
	backoff time.Duration
	// refusals counts the attempts in a row that found the server at its limit.
	refusals int
}

// AcquireRequest is what a lease is wanted for.
type AcquireRequest struct {
	Deadline time.Time
	// Objective is by when it should be given, zero for none: a longer wait that is foreseen
	// is refused.
	Objective time.Time
	Class     admitter.Class
	// Team shares the connections fairly with others.
	Team string
}

// epoch is where the queue's clock begins.
var epoch = time.Now()

func sinceEpoch(t time.Time) time.Duration { return t.Sub(epoch) }

// waiter is who waits for an entry's grant.
type waiter struct {
	done chan error
}

// Acquire waits for a connection until the deadline.
func (p *Pool) Acquire(a AcquireRequest) (*Lease, error) {
	for {
		l, err := p.acquire(a)
		if !errors.Is(err, errEnded) {
			return l, err
		}
	}
}

// errEnded is a grant for which no connection was left that the server hadn't closed. They
// are dropped, so that the next attempt waits for a new one.
const errEnded = errors.ConstError("connections ended")

func (p *Pool) acquire(a AcquireRequest) (*Lease, error) {
	e := &admitter.Entry{Team: a.Team, Class: a.Class, Deadline: sinceEpoch(a.Deadline)}
	w := &waiter{done: make(chan error, 1)}
	e.Owner = w
	if err := p.offer(e, a.Objective); err != nil {
		return nil, err
	}
	t := time.NewTimer(time.Until(a.Deadline))
	defer t.Stop()
	select {
	case err := <-w.done:
		return p.granted(a, e, err)
	case <-t.C:
	}
	p.mu.Lock()
	p.queue.Expire(e, sinceEpoch(time.Now()))
	p.settle()
	p.mu.Unlock()
	return p.granted(a, e, <-w.done)
}

func (p *Pool) offer(e *admitter.Entry, objective time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !objective.IsZero() && p.full() {
		e.Objective = sinceEpoch(objective)
	}
	if p.closed {
		return ErrClosed
	}
	if p.usable() == 0 {
		p.queue.ResetServiceTime()
	}
	if p.open == 0 && time.Now().Before(p.retryAt) && e.Deadline < sinceEpoch(p.retryAt) {
		return p.noConnection()
	}
	p.queue.Slots = p.usable()
	p.queue.Offer(e, sinceEpoch(time.Now()))
	// Whoever is refused for the wait would have waited if there were more connections.
	wanted := e.State == admitter.StateRefused && (e.Reason == admitter.ReasonExpectedWait || e.Reason == admitter.ReasonQueueFull)
	p.settle()
	if wanted {
		p.growFor(p.queue.Waiting() + 1)
	} else {
		p.grow()
	}
	return nil
}

// settle tells those whom the queue has just decided on. The mutex is held.
func (p *Pool) settle() {
	for _, e := range p.queue.Granted {
		e.Owner.(*waiter).done <- nil
	}
	for _, e := range p.queue.Refused {
		e.Owner.(*waiter).done <- p.refusal(e)
	}
	p.queue.Granted = p.queue.Granted[:0]
	p.queue.Refused = p.queue.Refused[:0]
}

// granted hands out an idle connection; each grant has one.
func (p *Pool) granted(a AcquireRequest, e *admitter.Entry, err error) (*Lease, error) {
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(l.used) > suspectAfter && l.Ended() {
			p.drop(l)
			continue
		}
		l.entry = e
		l.borrow(a)
		return l, nil
	}
	p.queue.ReleaseUnused(e, sinceEpoch(time.Now()))
	p.settle()
	if p.closed {
		return nil, ErrClosed
	}
	return nil, errEnded
}

// usable is how many connections may be lent. The mutex is held.
func (p *Pool) usable() int { return p.open - p.recovering }

// drop forgets a connection. The mutex is held.
func (p *Pool) drop(l *Lease) {
	l.Close()
	p.open--
	p.queue.Slots = p.usable()
}

// adjust gives out what has become free. The mutex is held.
func (p *Pool) adjust() {
	p.queue.Slots = p.usable()
	p.queue.Adjust(sinceEpoch(time.Now()))
	p.settle()
	p.grow()
}

func (p *Pool) finish(l *Lease, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := l.entry
	l.entry = nil
	l.used = time.Now()
	if broken || p.closed {
		p.drop(l)
	} else {
		p.idle = append(p.idle, l)
	}
	p.queue.Slots = p.usable()
	p.queue.Release(e, sinceEpoch(l.used))
	p.settle()
	p.grow()
}

// suspend ends a use of a connection that has to be brought in order before the next one.
// The time which that takes isn't the use's: counted, it would have the queue believe that
// statements take seconds, and refuse those that have less.
func (p *Pool) suspend(l *Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := l.entry
	l.entry = nil
	p.recovering++
	p.queue.Slots = p.usable()
	p.queue.Release(e, sinceEpoch(time.Now()))
	p.settle()
	p.grow()
}

// restore takes such a connection back.
func (p *Pool) restore(l *Lease, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recovering--
	l.used = time.Now()
	if broken || p.closed {
		p.drop(l)
	} else {
		p.idle = append(p.idle, l)
	}
	p.adjust()
}

// Resize changes how many connections may be open: a host comes to own a server's
// connections, or doesn't any more. What is open beyond is closed once it is idle.
func (p *Pool) Resize(limit, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit == p.Limit && keep == p.MinOpen {
		return
	}
	p.Limit, p.MinOpen = limit, keep
	p.grow()
}

// Trim closes what has been idle for long, but for as many connections as are kept.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := idleFor
	if p.OnDemand {
		keep = linkIdleFor
	}
	for len(p.idle) > 0 && p.open > p.MinOpen && (p.open > p.Limit || now.Sub(p.idle[0].used) > keep) {
		l := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(l)
	}
}

// Close closes the idle connections now and the others as they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		p.drop(l)
	}
	p.idle = nil
	p.queue.RefuseWaiting(admitter.ReasonLeaving)
	p.settle()
}
