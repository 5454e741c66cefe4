package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// exchange collects requests, sends them in one batch and reads their answers.
type exchange struct {
	lease    *connpooler.Lease
	deadline time.Time
	requests []declarer.Request
	// setupCount is the number of leading requests that set up the connection for the session.
	setupCount int
	// permit is held for the caller's statement in the batch. It is nil if there is none, as the
	// proxy's own statements use no slot of the server.
	permit *connpooler.Permit
}

func (e *exchange) add(q declarer.Request) {
	e.requests = append(e.requests, q)
}

// addSetup adds the requests that give the connection the session's values and prepared statement,
// as far as the connection doesn't have them from its last use.
func (e *exchange) addSetup(s *Session, q *request) {
	l := e.lease
	for name := range l.Values {
		if _, ok := s.values[name]; !ok {
			// A single value can't be unset.
			e.add(declarer.Request{Verb: declarer.VerbReset})
			clear(l.Values)
			clear(l.Prepared)
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		want := s.values[name]
		if v, ok := l.Values[name]; !ok || v != want.text {
			l.Values[name] = want.text
			e.add(declarer.Request{Verb: declarer.VerbSet, Name: name, Argument: want.value, Text: want.text})
		}
	}
	if q.prepared != nil {
		e.addPrepare(q)
	}
	e.setupCount = len(e.requests)
}

func (e *exchange) addPrepare(q *request) {
	if _, ok := e.lease.Prepared[q.Name]; ok {
		return
	}
	e.lease.Prepared[q.Name] = struct{}{}
	e.add(declarer.Request{Verb: declarer.VerbPrepare, Name: q.Name, Writes: q.prepared.writes, Argument: q.prepared.shape})
}

// acquirePermit waits until a statement of the caller may be sent. Nothing is sent after a refusal,
// so no setup may be pending then: addSetup records it on the lease as done.
func (e *exchange) acquirePermit(a connpooler.AcquireRequest) error {
	t, err := e.lease.AcquirePermit(a)
	e.permit = t
	return err
}

// run sends the batch and reads the answers to all but the setup into l. The first of them answers
// the caller's statement.
func (e *exchange) run(l ...*declarer.Answer) error {
	err := e.sendAndReceive(l)
	e.endPermit(l[0].Code, err)
	return err
}

// endPermit returns the permit, if there is one, after an exchange.
func (e *exchange) endPermit(c declarer.Code, err error) {
	switch {
	case e.permit == nil:
		return
	case errors.Is(err, connpooler.ErrNotSent):
		e.permit.Cancel()
	default:
		e.permit.End(c)
	}
	e.permit = nil
}

func (e *exchange) sendAndReceive(l []*declarer.Answer) error {
	r, n := e.requests, e.setupCount
	e.requests, e.setupCount = nil, 0
	for _, a := range l {
		*a = declarer.Answer{Body: a.Body[:0]} // discards an earlier answer, in case this one doesn't arrive
	}
	if err := e.lease.Send(r, e.deadline); err != nil {
		return err
	}
	idle := e.lease.State == declarer.StateIdle
	refused, err := e.receiveSetup(n)
	switch {
	case err != nil:
		return err
	case refused != nil && !idle:
		return refused
	}
	for _, a := range l {
		if err := e.receive(a); err != nil {
			return err
		}
	}
	if refused == nil {
		return nil
	}
	if l[0].Code.NotRun() {
		return nil // as for a statement that was sent alone
	}
	return refused
}

// receiveSetup receives the answers to n statements that set up the connection. It returns an ErrSetup as refused if
// the server refused one of them.
func (e *exchange) receiveSetup(n int) (refused, err error) {
	for range n {
		var a declarer.Answer
		if err := e.receive(&a); err != nil {
			return nil, err
		}
		// If the owner refuses, nothing was sent, and the statement itself gets the same answer.
		if a.Code != declarer.CodeNone && !a.Code.FromOwner() {
			refused = errors.Annotatef(connpooler.ErrSetup, "%s", a.Detail)
			e.lease.Unusable = true
		}
	}
	return refused, nil
}

func (e *exchange) receive(a *declarer.Answer) error {
	if err := e.lease.Receive(a, e.deadline); err != nil {
		return err
	}
	e.lease.State = a.State
	if a.Code == declarer.CodeNoSuchStatement {
		clear(e.lease.Prepared)
	}
	return nil
}
