// Package lender lends this host's connections to a server to other entry hosts.
//
// If a server accepts too few connections for each entry host to have its own, one host owns all of
// them and the others borrow: there is one queue for the few slots, and no host holds an idle
// connection while callers of another host wait.
package lender

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/drainer"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Kind is the kind of an Event.
type Kind uint8

// Kinds of event.
const (
	// KindLend requests a connection.
	KindLend Kind = iota
	// KindStatements sends a batch of statements to run on the borrowed connection.
	KindStatements
	// KindReturn returns the connection.
	KindReturn
)

// Event is a message of a borrower.
type Event struct {
	Kind Kind
	// Wait is how long the borrower waits: for a connection, or for the answers.
	Wait time.Duration
	// Objective, Class, Importance and Team are set with KindLend. Objective is the time within which
	// the connection should be granted, zero for none. Importance is that of default priorities if the
	// borrower sends none.
	Objective  time.Duration
	Class      admitter.Class
	Importance admitter.Importance
	Team       string
	// Customer and AnyCustomer, set with KindLend, are those of connpooler.AcquireRequest.
	Customer    string
	AnyCustomer bool
	// Requests are the statements, set with KindStatements.
	Requests []declarer.Request
}

// Refusal tells a borrower why it got no connection.
type Refusal struct {
	// Unreachable is set if this host has no connection to lend, for example as it can't reach
	// the server.
	Unreachable bool
	// RetryAfter is after what time there should be a connection, zero if that isn't known.
	RetryAfter time.Duration
	// Message describes the reason.
	Message string
	// Forecast says which further requests would be refused, zero if none is known.
	Forecast forecaster.Forecast
}

// Borrower is the link to a host that borrows connections.
type Borrower interface {
	// Handshake answers the start of the link.
	Handshake(deadline time.Time) error
	// Next waits for the next event, until the deadline if it isn't zero; an error ends the link.
	Next(deadline time.Time) (Event, error)
	// Answer adds the server's answer to a statement to the output.
	Answer(a *declarer.Answer)
	// Done adds the answer to a statement that didn't need to be sent to the server.
	Done(s declarer.State)
	// Position adds the answer to a request for a position that the server had so long ago.
	Position(m marker.Mark, age time.Duration)
	// Refuse adds the answer to a statement that was refused.
	Refuse(r Refusal)
	// Flush sends the output.
	Flush() error
}

const (
	// handshakeTimeout bounds the handshake of a link.
	handshakeTimeout = time.Second
	// answerTimeout bounds the wait for the answers of a batch, even if the borrower allows more
	// time.
	answerTimeout = 10 * time.Second
	// returnTimeout bounds the wait for a borrower that is expected to return its connection or to send
	// its next statement. Without it, a link that has gone silent would keep the connection for ever.
	returnTimeout = 2 * time.Second
)

// Link serves the link to one borrower. Its exported fields are set before Run.
type Link struct {
	Borrower Borrower
	// Pool returns this host's own connections to the server, nil if the server isn't listed.
	// byCustomer is set if each must serve one customer only.
	Pool func(byCustomer bool) *connpooler.Pool
	// Ranked, if not nil, reports whether this host's configuration is ranked. If it isn't, the requests
	// of borrowers are equally important.
	Ranked func() bool
	// OnAnswer is called for each answer of the server.
	OnAnswer func()
	// Position returns a position that the server had as the primary at most maximum ago, and how long
	// ago it had it, false if there is none.
	Position func(maximum time.Duration) (m marker.Mark, age time.Duration, ok bool)
	// IdleTransactionTimeout returns how long an open transaction may wait for its caller.
	IdleTransactionTimeout func() time.Duration
	// Work counts the connections that are lent and the requests for one, over all links that share it. Once it is
	// closed, nothing is lent.
	Work *drainer.Work

	lease *connpooler.Lease
	// request is the event with which the borrower requested the lease.
	request Event
	// fresh is set until the first batch of the lease.
	fresh bool
	// code is CodeBusy if the server had no capacity for one of the statements of the last batch.
	code declarer.Code
	// refusal tells why there is no lease.
	refusal Refusal
}

// Run serves the borrower until the link ends. A connection that is still lent is then returned to
// the pool, which recovers it.
func (l *Link) Run() {
	defer l.returnLease(false)
	if l.Borrower.Handshake(time.Now().Add(handshakeTimeout)) != nil {
		return
	}
	for {
		e, err := l.Borrower.Next(l.nextDeadline())
		if err != nil || !l.serve(e) {
			return
		}
	}
}

// nextDeadline returns until when the borrower may keep a connection without a word, zero if none is lent.
func (l *Link) nextDeadline() time.Time {
	switch {
	case l.lease == nil:
		return time.Time{}
	case l.lease.State == declarer.StateIdle:
		return time.Now().Add(returnTimeout)
	}
	return time.Now().Add(l.IdleTransactionTimeout() + returnTimeout)
}

// serve handles an event and reports whether the link can be used further.
func (l *Link) serve(e Event) bool {
	switch e.Kind {
	case KindLend:
		l.lend(e)
		return true
	case KindReturn:
		l.returnLease(false)
		return true
	}
	if len(e.Requests) == 1 && e.Requests[0].Verb == declarer.VerbPosition {
		return l.tellPosition(e.Requests[0].MaximumAge)
	}
	if l.lease == nil {
		return l.refuseAll(len(e.Requests))
	}
	err := l.runOrReplace(e.Requests, time.Now().Add(min(e.Wait, answerTimeout)))
	if errors.Is(err, errNoReplacement) {
		return l.refuseAll(len(e.Requests))
	}
	if errors.Is(err, connpooler.ErrRefused) {
		l.refusal = refusalOf(err)
		return l.refuseAll(len(e.Requests))
	}
	if err != nil {
		l.returnLease(!errors.Is(err, connpooler.ErrTimeout))
		return false
	}
	return l.Borrower.Flush() == nil
}

// tellPosition answers a request for a position, and reports whether the link can be used further.
func (l *Link) tellPosition(maximum time.Duration) bool {
	m, age, ok := l.Position(maximum)
	if ok {
		l.Borrower.Position(m, age)
	} else {
		l.Borrower.Refuse(Refusal{Unreachable: true, Message: "no position of the server is known"})
	}
	return l.Borrower.Flush() == nil
}

// lend leases a connection to the borrower, or records why there is none. The borrower gets the
// refusal as the answer to its statements.
func (l *Link) lend(e Event) {
	l.returnLease(false)
	l.refusal = Refusal{Unreachable: true, Message: "server isn't listed here"}
	p := l.Pool(e.Customer != "")
	if p == nil {
		return
	}
	if l.Ranked == nil || !l.Ranked() {
		e.Importance = 0
	}
	if !l.Work.Begin() {
		l.refusal.Message = "host is stopping"
		return
	}
	var err error
	l.lease, err = p.Acquire(e.acquireRequest(time.Now()))
	if err != nil {
		l.refusal = refusalOf(err)
		l.Work.End()
		return
	}
	l.fresh, l.request = true, e
}

// acquireRequest returns the event as a request to the pool.
func (e *Event) acquireRequest(now time.Time) connpooler.AcquireRequest {
	a := connpooler.AcquireRequest{Deadline: now.Add(e.Wait), Class: e.Class, Importance: e.Importance, Team: e.Team, Customer: e.Customer, AnyCustomer: e.AnyCustomer}
	if e.Objective > 0 {
		a.Objective = now.Add(e.Objective)
	}
	return a
}

// returnLease returns the lease, if there is one, to its pool.
func (l *Link) returnLease(broken bool) {
	if l.lease != nil {
		l.lease.Release(broken)
		l.lease = nil
		l.Work.End()
	}
	l.refusal = Refusal{Unreachable: true, Message: "nothing was borrowed"}
}

// refusalOf returns an error of the pool as a refusal for the borrower.
func refusalOf(err error) Refusal {
	r := Refusal{Message: err.Error()}
	if q, ok := errors.AsType[*connpooler.Refusal](err); ok {
		r.RetryAfter, r.Forecast = q.RetryAfter, q.Forecast
		return r
	}
	r.Unreachable = true
	return r
}

// refuseAll answers n statements with the refusal, and reports whether the link can be used further.
func (l *Link) refuseAll(n int) bool {
	for range n {
		l.Borrower.Refuse(l.refusal)
	}
	return l.Borrower.Flush() == nil
}
