// Package connpooler pools the connections of one entry host to one backend server and leases
// each to one session at a time.
package connpooler

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// idleTimeout is how long an idle connection beyond Pool.MinOpen is kept. The server's
	// connection limit applies to all entry hosts together, so that other hosts may need it.
	idleTimeout = time.Second
	// linkIdleTimeout is the same for connections to other entry hosts, which only this host can
	// use.
	linkIdleTimeout = 10 * time.Second
	// recoverTimeout bounds the wait for the pending answers of a returned connection, whose
	// session has given up on them. An unresponsive connection takes up one of the server's few
	// connections until it is closed.
	recoverTimeout = 2 * time.Second
)

// Pool holds the connections to one server. Its exported fields are set before use.
type Pool struct {
	Server   declarer.Server
	Dialer   Dialer
	Observer Observer
	// Limit is the maximum number of connections that this host may open, and MinOpen how many
	// stay open even if they are idle. Resize changes both later.
	Limit   int
	MinOpen int
	// OnDemand opens a connection for each waiter. It is set for connections to another entry
	// host, which take up none of the server's.
	OnDemand bool
	// ByCustomer is set if each connection serves one customer only, whose name the server is told
	// when it opens.
	ByCustomer bool
	// Admissions is told about requests that aren't sent because of a forecast, nil if nobody is.
	Admissions AdmissionObserver

	// admission is nil unless requests are ranked, see SetRanked.
	admission atomic.Pointer[admission]

	mu      sync.Mutex
	queue   admitter.Queue
	permits permits
	idle    []*Lease
	open    int
	opening int
	// recovering is how many of the open connections can't be leased yet: they still have
	// pending answers or an open transaction of their last session.
	recovering int
	closed     bool
	// retryAt is until when no connection is opened after the server was at its limit, and
	// backoff is the basis of this pause.
	retryAt time.Time
	backoff time.Duration
	// refusals counts the consecutive attempts that found the server at its limit.
	refusals int
}

// AcquireRequest describes the request of a caller that waits for a lease or a permit.
type AcquireRequest struct {
	// Deadline is when the wait ends with a refusal.
	Deadline time.Time
	// Objective is by when the lease should be granted, zero for none: if the expected wait is
	// longer, the request is refused at once.
	Objective  time.Time
	Class      admitter.Class
	Importance admitter.Importance
	// Ranked is set if Importance was determined under a ranked configuration, so that a host from which
	// the connection is borrowed is told it.
	Ranked bool
	// Customer is the one for whom the connection is, empty for the proxy itself. It only matters
	// to a pool with ByCustomer.
	Customer string
	// AnyCustomer is set for statements of the proxy itself, which may run on any connection.
	AnyCustomer bool
	// Team is the name of the team that the request counts for. Connections are shared fairly
	// between teams.
	Team string
}

// epoch is the zero of the queue's clock.
var epoch = time.Now()

// sinceEpoch returns t on the queue's clock.
func sinceEpoch(t time.Time) time.Duration { return t.Sub(epoch) }

// waiter is a caller that waits until its queue entry is granted or refused.
type waiter struct {
	// done receives nil for a grant, or why the entry was refused.
	done chan error
}

// Acquire waits for a connection until the deadline of the request. It returns a *Refusal if the
// wait was or would be too long, ErrUnreachable if the server can't be reached, and ErrClosed if
// the pool is closed.
func (p *Pool) Acquire(a AcquireRequest) (*Lease, error) {
	t, err := p.admit(a.Importance)
	if err != nil {
		return nil, err
	}
	for {
		l, err := p.acquire(a)
		if errors.Is(err, errEnded) {
			continue
		}
		if err != nil {
			p.cancelPass(t)
			return nil, err
		}
		l.pass = t
		return l, nil
	}
}

// errEnded is returned if none of the idle connections could be used when a waiter was granted
// one. They have been dropped, so that the next attempt waits for a new connection.
const errEnded = errors.ConstError("connections ended")

// acquire makes one attempt to acquire a connection. It returns errEnded if another one is needed.
func (p *Pool) acquire(a AcquireRequest) (*Lease, error) {
	e := &admitter.Entry{Team: a.Team, Class: a.Class, Importance: a.Importance, Deadline: sinceEpoch(a.Deadline)}
	w := &waiter{done: make(chan error, 1)}
	e.Owner = w
	if err := p.enqueue(e, a.Objective); err != nil {
		return nil, err
	}
	t := time.NewTimer(time.Until(a.Deadline))
	defer t.Stop()
	select {
	case err := <-w.done:
		return p.takeIdle(a, e, err)
	case <-t.C:
	}
	p.mu.Lock()
	p.queue.Expire(e, sinceEpoch(time.Now()))
	p.notifyWaiters()
	p.mu.Unlock()
	return p.takeIdle(a, e, <-w.done)
}

// enqueue offers the entry to the queue, and opens a connection if one is needed.
func (p *Pool) enqueue(e *admitter.Entry, objective time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !objective.IsZero() && p.saturated() {
		e.Objective = sinceEpoch(objective)
	}
	if p.closed {
		return ErrClosed
	}
	if p.slots() == 0 {
		p.queue.ResetServiceTime()
	}
	if p.open == 0 && time.Now().Before(p.retryAt) && e.Deadline < sinceEpoch(p.retryAt) {
		return p.noConnectionError()
	}
	p.queue.Slots = p.slots()
	p.queue.Offer(e, sinceEpoch(time.Now()))
	p.recordOffered(e, objective)
	// A request that is refused because of its expected wait or a full queue also counts as
	// demand for another connection.
	wanted := e.State == admitter.StateRefused && (e.Reason == admitter.ReasonExpectedWait || e.Reason == admitter.ReasonQueueFull)
	p.notifyWaiters()
	if wanted {
		p.growFor(p.queue.Waiting() + 1)
	} else {
		p.grow()
	}
	return nil
}

// notifyWaiters notifies the waiters whose entries the queue has just granted or refused. The
// caller must hold the mutex.
func (p *Pool) notifyWaiters() {
	for _, e := range p.queue.Granted {
		e.Owner.(*waiter).done <- nil
	}
	for _, e := range p.queue.Refused {
		e.Owner.(*waiter).done <- p.refusalError(e)
	}
	p.queue.Granted = p.queue.Granted[:0]
	p.queue.Refused = p.queue.Refused[:0]
}

// takeIdle leases an idle connection to the granted entry e; there is one for each grant, unless
// it has ended. If err isn't nil, it returns err.
func (p *Pool) takeIdle(a AcquireRequest, e *admitter.Entry, err error) (*Lease, error) {
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		l := p.popIdle(a)
		if l == nil {
			break
		}
		if l.Ended() {
			p.drop(l)
			continue
		}
		l.entry, l.leasedAt = e, time.Now()
		l.borrow(a)
		return l, nil
	}
	if p.ByCustomer && !p.closed {
		return p.openFor(a, e)
	}
	p.releaseUnused(e)
	if p.closed {
		return nil, ErrClosed
	}
	return nil, errEnded
}

// releaseUnused frees the slot of a granted entry that no statement ran for. The caller must hold the
// mutex.
func (p *Pool) releaseUnused(e *admitter.Entry) {
	p.queue.ReleaseUnused(e, sinceEpoch(time.Now()))
	p.notifyWaiters()
}

// addIdle adds a connection that can be leased again. If connections belong to customers, those beyond
// MinOpen that were used longest ago are closed at once: a server counts the connections of a host that
// has lost power for seconds, and the next host has to get along with the rest. The caller must hold the
// mutex.
func (p *Pool) addIdle(l *Lease) {
	p.idle = append(p.idle, l)
	for p.ByCustomer && p.open > p.MinOpen && len(p.idle) > 1 {
		o := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(o)
	}
}

// popIdle removes the idle connection that was used last and that fits the request from the list, and
// returns it, nil if there is none. The caller must hold the mutex.
func (p *Pool) popIdle(a AcquireRequest) *Lease {
	for i, l := range slices.Backward(p.idle) {
		if !p.ByCustomer || a.AnyCustomer || l.customer == a.Customer {
			p.idle = slices.Delete(p.idle, i, i+1)
			return l
		}
	}
	return nil
}

// slots returns how many leases there may be at a time. If connections belong to customers, a lease
// may have to open its own. The caller must hold the mutex.
func (p *Pool) slots() int {
	if p.ByCustomer {
		return p.Limit - p.recovering
	}
	return p.usable()
}

// usable returns how many connections are leased or can be. The caller must hold the mutex.
func (p *Pool) usable() int { return p.open - p.recovering }

// drop closes a connection and removes it from the count. The caller must hold the mutex.
func (p *Pool) drop(l *Lease) {
	l.Close()
	p.open--
	p.queue.Slots = p.slots()
}

// dropUnusedSince closes the idle links that weren't used since a statement without an answer was sent over
// another one. Links to a host go silent together, and each of them would cost a statement its time.
func (p *Pool) dropUnusedSince(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(l *Lease) bool {
		unused := l.usedAt.Before(t)
		if unused {
			p.drop(l)
		}
		return unused
	})
}

// adjust grants the connections that have become usable. The caller must hold the mutex.
func (p *Pool) adjust() {
	p.queue.Slots = p.slots()
	p.queue.Adjust(sinceEpoch(time.Now()))
	p.notifyWaiters()
	p.grow()
}

// release takes back a leased connection that can be used again at once, or closes it if it is
// broken.
func (p *Pool) release(l *Lease, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := l.entry
	l.entry = nil
	l.usedAt = time.Now()
	if broken || p.closed {
		p.drop(l)
	} else {
		p.addIdle(l)
	}
	p.queue.Slots = p.slots()
	p.queue.Release(e, sinceEpoch(l.usedAt))
	p.notifyWaiters()
	p.grow()
}

// beginRecovery takes back a leased connection that must be recovered before its next use. The
// time of the recovery doesn't count as service time: otherwise, the queue would expect
// statements to take seconds, and refuse those with less time left.
func (p *Pool) beginRecovery(l *Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := l.entry
	l.entry = nil
	p.recovering++
	p.queue.Slots = p.slots()
	p.queue.Release(e, sinceEpoch(time.Now()))
	p.notifyWaiters()
	p.grow()
}

// endRecovery makes a recovered connection usable, or closes it if it is broken.
func (p *Pool) endRecovery(l *Lease, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recovering--
	l.usedAt = time.Now()
	if broken || p.closed {
		p.drop(l)
	} else {
		p.addIdle(l)
	}
	p.adjust()
}

// Resize changes Limit and MinOpen, for example when this host becomes the owner of the server's
// connections or ceases to be. Trim closes connections beyond the limit once they are idle.
func (p *Pool) Resize(limit, minOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit == p.Limit && minOpen == p.MinOpen {
		return
	}
	p.Limit, p.MinOpen = limit, minOpen
	p.adjust()
}

// Trim closes connections that have been idle for long or are beyond Limit, as long as more than
// MinOpen are open.
func (p *Pool) Trim(now time.Time) {
	p.endRefusals(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := idleTimeout
	if p.OnDemand {
		timeout = linkIdleTimeout
	}
	for len(p.idle) > 0 && p.open > p.MinOpen && (p.open > p.Limit || now.Sub(p.idle[0].usedAt) > timeout) {
		l := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(l)
	}
}

// Close closes the idle connections now and the others when they are released. It refuses all
// waiters.
func (p *Pool) Close() {
	p.SetRanked(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		p.drop(l)
	}
	p.idle = nil
	p.queue.RefuseWaiting(admitter.ReasonLeaving)
	p.notifyWaiters()
}
