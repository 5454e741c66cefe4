package connpooler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// connectTimeout bounds the opening of a connection: a round-trip time of 16 ms, tens of
	// milliseconds at the server, and the wait in its queue.
	connectTimeout = 700 * time.Millisecond
	// firstBackoff is the pause after a server at its connection limit has refused a connection.
	// It doubles with each consecutive refusal up to longestBackoff, as a failed attempt takes a
	// slot at the server like a successful one. For a host without any connection it doesn't
	// grow: that host can't run any statement on the server until it has one.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 2 * time.Second
	// growWait is the expected wait above which another connection is opened. Opening one takes
	// 10 to 30 ms of one of the server's few slots. For a shorter wait, a connection in use
	// becomes free sooner.
	growWait = 25 * time.Millisecond
	// maximumRefusals is how many consecutive attempts may find the server at its limit before
	// the callers that wait for the first connection are refused.
	maximumRefusals = 2
)

// Dialer opens connections to servers.
type Dialer interface {
	// Dial opens a connection for a customer, or for the proxy itself if the name is empty, and
	// returns it with the end of the server's log. It returns ErrTooManyConnections if the server is
	// at its connection limit.
	Dial(ctx context.Context, s declarer.Server, customer string) (Connection, marker.Mark, error)
}

// Errors of opening a connection. They were reported by the server unless stated otherwise.
const (
	// ErrTooManyConnections is returned if the server is at its connection limit.
	ErrTooManyConnections = errors.ConstError("server is at its limit of connections")
	// ErrNoRoute is returned if no network connection to the server can be made. It is reported
	// by the host that tried, not by the server.
	ErrNoRoute = errors.ConstError("no route to the server")
	// ErrNoRouteAnywhere is an ErrNoRoute that other entry hosts have confirmed.
	ErrNoRouteAnywhere = errors.ConstError("no host has a route to the server")
	// ErrServerAlive is returned instead of ErrNoRoute by a host that has recently received an
	// answer of the server on an existing connection: it works, but accepts no new connection.
	ErrServerAlive = errors.ConstError("server lives, but takes no connection")
	// ErrConnectionRejected is returned if a server rejects the connection, for example as it isn't
	// the server that was addressed.
	ErrConnectionRejected = errors.ConstError("server turned the connection away")
)

// Observer is notified of the results of opening connections.
type Observer interface {
	// Connected is called when the server has answered an attempt to open a connection, even if
	// it is at its connection limit. The mark is the end of the server's log, zero if unknown.
	Connected(s declarer.Server, m marker.Mark)
	// Unreachable is called when an attempt has failed in any other way.
	Unreachable(s declarer.Server, err error)
}

// saturated reports whether another connection wouldn't shorten the wait: no more may be opened,
// or as many statements as allowed are in flight. The caller must hold the mutex.
func (p *Pool) saturated() bool { return p.open+p.opening >= p.Limit || p.permits.exhausted() }

// grow opens a connection if the waiters need one. The caller must hold the mutex.
func (p *Pool) grow() { p.growFor(p.queue.Waiting()) }

// growFor opens a connection if that is worthwhile for a demand of so many callers. The caller
// must hold the mutex.
func (p *Pool) growFor(demand int) {
	if p.ByCustomer || p.closed || demand <= p.opening || p.open+p.opening >= p.Limit {
		return
	}
	if !p.OnDemand && (p.opening > 0 || time.Now().Before(p.retryAt) || !p.worthOpening(demand)) {
		return
	}
	p.opening++
	go p.openOne()
}

// worthOpening reports whether the expected wait of so many callers is long enough to open another
// connection. The caller must hold the mutex.
func (p *Pool) worthOpening(demand int) bool {
	if p.usable() == 0 {
		return true
	}
	if p.permits.exhausted() {
		return false
	}
	return time.Duration(demand)*p.queue.ServiceTime()/time.Duration(p.usable()) > growWait
}

// openOne opens one connection and adds it to the pool.
func (p *Pool) openOne() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, m, err := p.Dialer.Dial(ctx, p.Server, "")
	p.observe(m, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	switch {
	case err == nil && p.closed:
		c.Close()
	case err == nil:
		p.idle = append(p.idle, p.addOpen(c, ""))
	case errors.Is(err, ErrTooManyConnections):
		p.backOff()
	case p.opening == 0 || p.OnDemand:
		p.refuseWaiting(admitter.ReasonLeaving)
	}
	p.adjust()
}

// addOpen counts a connection that has been opened and returns its lease. The caller must hold the
// mutex.
func (p *Pool) addOpen(c Connection, customer string) *Lease {
	p.open++
	p.backoff, p.refusals = 0, 0
	return &Lease{Connection: c, Values: make(map[string]string), Prepared: make(map[string]struct{}), pool: p, customer: customer, usedAt: time.Now()}
}

// backOff suspends the opening of connections to a server at its limit for a while. The caller
// must hold the mutex.
func (p *Pool) backOff() {
	p.backoff = min(max(firstBackoff, 2*p.backoff), longestBackoff)
	if p.open == 0 {
		p.backoff = firstBackoff
	}
	p.retryAt = time.Now().Add(p.backoff/2 + rand.N(p.backoff))
	p.refusals++
	if p.refusals >= maximumRefusals {
		p.refuseWaiting(admitter.ReasonNoConnections)
	}
	time.AfterFunc(time.Until(p.retryAt), p.resume)
}

// resume opens a connection after a pause if one is still needed.
func (p *Pool) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grow()
}

// observe notifies the observer of the result of opening a connection.
func (p *Pool) observe(m marker.Mark, err error) {
	switch {
	case err == nil:
		p.Observer.Connected(p.Server, m)
	case errors.Is(err, ErrTooManyConnections):
		p.Observer.Connected(p.Server, marker.Mark{})
	default:
		p.Observer.Unreachable(p.Server, err)
	}
}

// refuseWaiting refuses all waiters if the pool has no connection, so that they can try another
// server. Links to another host that are open tell nothing: a host that accepts no new one may have
// gone silent on them, and there is another host to borrow from. The caller must hold the mutex.
func (p *Pool) refuseWaiting(r admitter.Reason) {
	if p.open > 0 && !p.OnDemand {
		return
	}
	p.queue.RefuseWaiting(r)
	p.notifyWaiters()
}
