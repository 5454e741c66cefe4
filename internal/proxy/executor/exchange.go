package executor

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// exchange gathers requests, sends them at once and reads their answers.
type exchange struct {
	lease    *connpooler.Lease
	deadline time.Time
	requests []declarer.Request
	// setup is how many of the requests prepare the connection for the session.
	setup int
	// permit is that of the caller's statement among them, nil if there is none: statements of
	// our own need no slot of the server.
	permit *connpooler.Permit
}

// errSetup is a connection that can't be given the session's values.
const errSetup = errors.ConstError("connection can't be set up")

func (e *exchange) add(q declarer.Request) {
	e.requests = append(e.requests, q)
}

// setUp gives the connection the session's values and the statement that it prepared,
// as far as they differ from what the connection has of its last use.
func (e *exchange) setUp(s *Session, q *request) {
	l := e.lease
	for name := range l.Values {
		if _, ok := s.values[name]; !ok {
			// There is no way to take back one value.
			e.add(declarer.Request{Verb: declarer.VerbReset})
			clear(l.Values)
			clear(l.Prepared)
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if v, ok := l.Values[name]; !ok || v != s.values[name] {
			l.Values[name] = s.values[name]
			e.add(declarer.Request{Verb: declarer.VerbSet, Name: name, Argument: s.values[name]})
		}
	}
	if q.prepared != nil {
		e.prepare(q)
	}
	e.setup = len(e.requests)
}

func (e *exchange) prepare(q *request) {
	if _, ok := e.lease.Prepared[q.Name]; ok {
		return
	}
	e.lease.Prepared[q.Name] = struct{}{}
	e.add(declarer.Request{Verb: declarer.VerbPrepare, Name: q.Name, Writes: q.prepared.writes, Argument: q.prepared.shape})
}

// wait waits until a statement of the caller may be sent. It comes before the connection is
// set up for the statement, as nothing is sent after a refusal.
func (e *exchange) wait(a connpooler.AcquireRequest) error {
	t, err := e.lease.AcquirePermit(a)
	e.permit = t
	return err
}

// run sends what was added and reads the answers to all but the setup into l. The first of
// them is that to the caller's statement.
func (e *exchange) run(l ...*declarer.Answer) error {
	err := e.perform(l)
	if e.permit != nil {
		e.permit.End(l[0].Code)
		e.permit = nil
	}
	return err
}

func (e *exchange) perform(l []*declarer.Answer) error {
	r, n := e.requests, e.setup
	e.requests, e.setup = nil, 0
	for _, a := range l {
		*a = declarer.Answer{Body: a.Body[:0]} // an earlier answer says nothing where this one doesn't come
	}
	if err := e.lease.Send(r, e.deadline); err != nil {
		return err
	}
	for range n {
		var a declarer.Answer
		if err := e.receive(&a); err != nil {
			return err
		}
		if a.Code.FromOwner() {
			continue // the statement itself is answered so as well; nothing was sent
		}
		if a.Code != declarer.CodeNone {
			return errors.Annotatef(errSetup, "%s", a.Detail)
		}
	}
	for _, a := range l {
		if err := e.receive(a); err != nil {
			return err
		}
	}
	return nil
}

func (e *exchange) receive(a *declarer.Answer) error {
	err := e.lease.Receive(a, e.deadline)
	if err == nil {
		e.lease.State = a.State
	}
	return err
}
