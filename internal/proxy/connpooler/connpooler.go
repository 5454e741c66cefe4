// Package connpooler keeps the connections of one entry host to one backend server, and
// lends each to one session at a time.
package connpooler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Refusal is a lease that wasn't given since it would take, or took, too long. It is an
// ErrRefused.
type Refusal struct {
	Server string
	Reason admitter.Reason
	// RetryAfter is when there will be room.
	RetryAfter time.Duration
}

// Error tells why there was no lease.
func (r *Refusal) Error() string {
	return "server " + r.Server + ": " + r.Reason.String() + ": " + ErrRefused.Error()
}

// Unwrap returns ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// Errors of a lease that wasn't given. Nothing was sent.
const (
	// ErrRefused is a wait that would take, or took, too long.
	ErrRefused = errors.ConstError("connection pool exhausted")
	// ErrUnreachable is a server that takes no connection.
	ErrUnreachable = errors.ConstError("server can't be reached")
	// ErrClosed is a pool that was closed.
	ErrClosed = errors.ConstError("pool is closed")
	// ErrTimeout is an answer that didn't come by the deadline. It may still come.
	ErrTimeout = errors.ConstError("no answer in time")
)

const (
	// connectTimeout bounds the opening of a connection: a distance of 16 ms there
	// and back, tens of milliseconds at the server, and its queue.
	connectTimeout = 700 * time.Millisecond
	// firstBackoff is how long a server that took no more connections isn't asked for
	// another; each further time in a row it is twice as long, up to longestBackoff.
	// An attempt in vain takes a slot at the server like any other. A host without any
	// connection asks more often: it can serve nothing at that server until it has one.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 2 * time.Second
	// growWait is the expected wait above which another connection is opened. Opening
	// one takes 10 to 30 ms of one of the server's few slots; below, one that is in use
	// comes free sooner.
	growWait = 25 * time.Millisecond
	// idleFor is how long a connection beyond the first is kept unused. Others'
	// callers need it: the server's limit is for all entry hosts together.
	idleFor = time.Second
	// linkIdleFor is the same for connections to other hosts, which nobody else needs.
	linkIdleFor = 10 * time.Second
	// recoverFor bounds the wait for an answer that nobody needs any more. A connection that
	// has gone silent takes up one of the server's few until it is closed.
	recoverFor = 2 * time.Second
	// maximumRefusals is how many attempts in a row may find the server at its limit before those
	// who wait for a first connection are refused.
	maximumRefusals = 2
	// suspectAfter is how long a connection is unused before it is looked at.
	suspectAfter = 50 * time.Millisecond
)

// Dialer opens a connection, and tells the end of the server's log. An error of
// type ErrTooManyConnections says that the server is at its limit of connections.
type Dialer interface {
	Dial(ctx context.Context, s declarer.Server) (Connection, marker.Mark, error)
}

// Errors of opening a connection. Where nothing else is said they are the server's word.
const (
	// ErrTooManyConnections is a server at its limit of connections.
	ErrTooManyConnections = errors.ConstError("server is at its limit of connections")
	// ErrNoRoute is a server to which no connection of the network can be made. It is
	// not the server's word, but that of whoever tried.
	ErrNoRoute = errors.ConstError("no route to the server")
	// ErrLost is ErrNoRoute where other entry hosts say so as well.
	ErrLost = errors.ConstError("no host has a route to the server")
	// ErrAlive is ErrNoRoute from a host that the server has just answered on another
	// connection: it takes no new ones now.
	ErrAlive = errors.ConstError("server lives, but takes no connection")
	// ErrTurnedAway is a server that refuses, as it isn't the one that is meant.
	ErrTurnedAway = errors.ConstError("server turned the connection away")
)

// Observer is told what is learnt of the server.
type Observer interface {
	// Connected is told of an answer to the start of a connection, with the end of the
	// server's log if the server told it.
	Connected(s declarer.Server, m marker.Mark)
	Unreachable(s declarer.Server, err error)
}

// Pool keeps the connections to one server. Its exported fields are set before use.
type Pool struct {
	Server   declarer.Server
	Dialer   Dialer
	Observer Observer
	// Limit is the most connections that this host may open, and Keep how many stay open
	// though unused. Resize changes both later.
	Limit int
	Keep  int
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

// Ask is what a lease is wanted for.
type Ask struct {
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
func (p *Pool) Acquire(a Ask) (*Lease, error) {
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

func (p *Pool) acquire(a Ask) (*Lease, error) {
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
		p.queue.Forget()
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

// noConnection is the refusal where there is no connection, and none to be had before the
// next attempt. The mutex is held.
func (p *Pool) noConnection() error {
	return &Refusal{Server: p.Server.ID, Reason: admitter.ReasonConnections, RetryAfter: max(0, time.Until(p.retryAt))}
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

// refusal tells why the queue refused e. The mutex is held.
func (p *Pool) refusal(e *admitter.Entry) error {
	switch {
	case p.closed:
		return ErrClosed
	case e.Reason == admitter.ReasonConnections:
		return p.noConnection()
	case e.Reason == admitter.ReasonLeaving:
		return errors.Annotatef(ErrUnreachable, "server %s", p.Server.ID)
	}
	return &Refusal{Server: p.Server.ID, Reason: e.Reason, RetryAfter: e.RetryAfter}
}

// granted hands out an idle connection; each grant has one.
func (p *Pool) granted(a Ask, e *admitter.Entry, err error) (*Lease, error) {
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
	p.queue.Return(e, sinceEpoch(time.Now()))
	p.settle()
	if p.closed {
		return nil, ErrClosed
	}
	return nil, errEnded
}

// full reports whether another connection wouldn't shorten a wait: there may be none, or the
// server has as many statements as it gets. The mutex is held.
func (p *Pool) full() bool { return p.open+p.opening >= p.Limit || p.permits.taken() }

// usable is how many connections may be lent. The mutex is held.
func (p *Pool) usable() int { return p.open - p.recovering }

// drop forgets a connection. The mutex is held.
func (p *Pool) drop(l *Lease) {
	l.Close()
	p.open--
	p.queue.Slots = p.usable()
}

// grow opens a connection for those who wait. The mutex is held.
func (p *Pool) grow() { p.growFor(p.queue.Waiting()) }

// growFor opens a connection if so many who want one make it worth it. The mutex is held.
func (p *Pool) growFor(wanting int) {
	if p.closed || wanting <= p.opening || p.open+p.opening >= p.Limit {
		return
	}
	if !p.OnDemand && (p.opening > 0 || time.Now().Before(p.retryAt) || !p.worth(wanting)) {
		return
	}
	p.opening++
	go p.run()
}

// worth reports whether so many would wait longer than another connection costs. The mutex
// is held.
func (p *Pool) worth(wanting int) bool {
	if p.usable() == 0 {
		return true
	}
	if p.permits.taken() {
		return false
	}
	return time.Duration(wanting)*p.queue.ServiceTime()/time.Duration(p.usable()) > growWait
}

// run opens one connection.
func (p *Pool) run() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, m, err := p.Dialer.Dial(ctx, p.Server)
	p.note(m, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	switch {
	case err == nil && p.closed:
		c.Close()
	case err == nil:
		l := &Lease{Connection: c, Values: make(map[string]string), Prepared: make(map[string]struct{}), pool: p, used: time.Now()}
		p.open++
		p.idle = append(p.idle, l)
		p.backoff, p.refusals = 0, 0
	case errors.Is(err, ErrTooManyConnections):
		p.backOff()
	case p.opening == 0:
		p.refuse(admitter.ReasonLeaving)
	}
	p.adjust()
}

// backOff keeps from asking a server at its limit for a while. The mutex is held.
func (p *Pool) backOff() {
	p.backoff = min(max(firstBackoff, 2*p.backoff), longestBackoff)
	if p.open == 0 {
		p.backoff = firstBackoff
	}
	p.retryAt = time.Now().Add(p.backoff/2 + rand.N(p.backoff))
	p.refusals++
	if p.refusals >= maximumRefusals {
		p.refuse(admitter.ReasonConnections)
	}
	time.AfterFunc(time.Until(p.retryAt), p.resume)
}

// resume opens what is still wanted after a pause.
func (p *Pool) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grow()
}

func (p *Pool) note(m marker.Mark, err error) {
	switch {
	case err == nil:
		p.Observer.Connected(p.Server, m)
	case errors.Is(err, ErrTooManyConnections):
		p.Observer.Connected(p.Server, marker.Mark{})
	default:
		p.Observer.Unreachable(p.Server, err)
	}
}

// refuse ends the wait of all: they had better try elsewhere. The mutex is held.
func (p *Pool) refuse(r admitter.Reason) {
	if p.open > 0 {
		return
	}
	p.queue.RefuseWaiting(r)
	p.settle()
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
	if limit == p.Limit && keep == p.Keep {
		return
	}
	p.Limit, p.Keep = limit, keep
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
	for len(p.idle) > 0 && p.open > p.Keep && (p.open > p.Limit || now.Sub(p.idle[0].used) > keep) {
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
