package connpooler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// opening opens a connection of one customer for a request that holds a slot of the pool's queue.
type opening struct {
	pool    *Pool
	request AcquireRequest
	entry   *admitter.Entry
	// done is closed when lease or err is set.
	done chan struct{}

	// The following fields are guarded by the pool's mutex. abandoned is set if the request's
	// deadline has passed in the meantime.
	abandoned bool
	lease     *Lease
	err       error
}

// openFor opens a connection for the granted entry e, if need be in place of an idle one of another
// customer. The caller must hold the mutex, which is released meanwhile.
func (p *Pool) openFor(a AcquireRequest, e *admitter.Entry) (*Lease, error) {
	if !p.makeRoom() {
		p.releaseUnused(e)
		return nil, p.noConnectionError()
	}
	o := &opening{pool: p, request: a, entry: e, done: make(chan struct{})}
	p.opening++
	p.mu.Unlock()
	defer p.mu.Lock()
	go o.run()
	t := time.NewTimer(time.Until(a.Deadline))
	defer t.Stop()
	select {
	case <-o.done:
		return o.lease, o.err
	case <-t.C:
	}
	return o.abandon()
}

// makeRoom closes the idle connection that was used longest ago if no further one may be open, and
// reports whether one may be opened now. The caller must hold the mutex.
func (p *Pool) makeRoom() bool {
	full := time.Now().Before(p.retryAt)
	if !full && p.open+p.opening < p.Limit {
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	l := p.idle[0]
	p.idle = p.idle[1:]
	p.drop(l)
	return true
}

// abandon ends the wait for the connection at the request's deadline. A connection that opens later
// is idle then.
func (o *opening) abandon() (*Lease, error) {
	p := o.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.lease != nil || o.err != nil {
		return o.lease, o.err
	}
	o.abandoned = true
	return nil, &Refusal{Server: p.Server.ID, Reason: admitter.ReasonDeadline}
}

func (o *opening) run() {
	defer close(o.done)
	c, err := o.dial()
	if errors.Is(err, ErrTooManyConnections) && o.replaceIdle() {
		c, err = o.dial()
	}
	o.end(c, err)
}

// dial opens the connection. Like a statement, that takes one of the server's slots.
func (o *opening) dial() (Connection, error) {
	p := o.pool
	t, err := p.acquirePermit(o.request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, m, err := p.Dialer.Dial(ctx, p.Server, o.request.Customer)
	p.observe(m, err)
	if err != nil {
		t.Cancel()
		return nil, err
	}
	t.End(declarer.CodeNone)
	return c, nil
}

// replaceIdle closes an idle connection, after the server was found at its limit, and reports whether
// there was one.
func (o *opening) replaceIdle() bool {
	p := o.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backOff()
	return p.makeRoom()
}

// end records the result. The caller must not hold the mutex.
func (o *opening) end(c Connection, err error) {
	p := o.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err == nil {
		o.add(c)
		return
	}
	o.err = err
	switch {
	case errors.Is(err, ErrTooManyConnections):
		p.backOff()
		o.err = p.noConnectionError()
	case !errors.Is(err, ErrRefused):
		o.err = errors.Annotatef(ErrUnreachable, "server %s: %v", p.Server.ID, err)
		if p.opening == 0 {
			p.refuseWaiting(admitter.ReasonLeaving)
		}
	}
	p.releaseUnused(o.entry)
	p.adjust()
}

// add leases the connection to the request, or keeps it idle if the request has been abandoned. The
// caller must hold the mutex.
func (o *opening) add(c Connection) {
	p := o.pool
	l := p.addOpen(c, o.request.Customer)
	switch {
	case p.closed:
		p.drop(l)
		o.err = ErrClosed
	case o.abandoned:
		p.addIdle(l)
	default:
		l.entry = o.entry
		o.lease = l
		return
	}
	p.releaseUnused(o.entry)
	p.adjust()
}
