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
	// maximumRefusals is how many attempts in a row may find the server at its limit before those
	// who wait for a first connection are refused.
	maximumRefusals = 2
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
	// ErrNoRouteAnywhere is ErrNoRoute where other entry hosts say so as well.
	ErrNoRouteAnywhere = errors.ConstError("no host has a route to the server")
	// ErrServerAlive is ErrNoRoute from a host that the server has just answered on another
	// connection: it takes no new ones now.
	ErrServerAlive = errors.ConstError("server lives, but takes no connection")
	// ErrConnectionRejected is a server that refuses, as it isn't the one that is meant.
	ErrConnectionRejected = errors.ConstError("server turned the connection away")
)

// Observer is told what is learnt of the server.
type Observer interface {
	// Connected is told of an answer to the start of a connection, with the end of the
	// server's log if the server told it.
	Connected(s declarer.Server, m marker.Mark)
	Unreachable(s declarer.Server, err error)
}

// full reports whether another connection wouldn't shorten a wait: there may be none, or the
// server has as many statements as it gets. The mutex is held.
func (p *Pool) full() bool { return p.open+p.opening >= p.Limit || p.permits.taken() }

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
		p.refuse(admitter.ReasonNoConnections)
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
