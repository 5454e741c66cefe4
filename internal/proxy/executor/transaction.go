package executor

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

// transaction is one that a caller has begun. It gets a connection with its first
// statement, and keeps it to its end.
type transaction struct {
	route   declarer.Route
	arrived time.Duration
	// reads says that the caller only reads.
	reads   bool
	lease   *connpooler.Lease
	server  string
	primary bool
	wrote   bool
	failed  bool
}

// fail ends the transaction without effect.
func (t *transaction) fail() {
	t.failed = true
	if t.lease != nil {
		t.lease.Release(false)
		t.lease = nil
	}
}

// lose ends the transaction whose connection broke; the server rolls it back.
func (t *transaction) lose() {
	t.failed = true
	if t.lease != nil {
		t.lease.Release(true)
		t.lease = nil
	}
}

// inside serves a statement of the open transaction.
func (s *Session) inside(q *request) error {
	t := s.open
	if t.reads && q.Writes {
		return s.fail(declarer.CodeReadOnly, "the transaction only reads")
	}
	a := s.newAttempt(t.route, q)
	if t.lease == nil {
		return s.first(t, a)
	}
	return s.further(t, a)
}

// first serves the statement with which the transaction gets its connection.
func (s *Session) first(t *transaction, a *attempt) error {
	a.opens(t)
	l, code, text := a.place()
	a.report(code)
	if l == nil {
		return s.fail(code, text)
	}
	t.lease, t.server, t.primary = l, a.server, a.primary
	return s.answered(t, a)
}

// opens has the statement begin the transaction at a server. On a route whose reads see
// every commit even one that only reads is begun as one that may write: only that is
// refused once its server has lost the lead.
func (a *attempt) opens(t *transaction) {
	a.arrived = t.arrived
	a.leads = !t.reads || t.route.Kind == declarer.KindPrimary
	a.begin = declarer.VerbBeginRead
	if a.leads {
		a.begin = declarer.VerbBegin
	}
}

// answered passes the answer on and notes where the transaction stands.
func (s *Session) answered(t *transaction, a *attempt) error {
	if a.answer.Code == declarer.CodeNone && a.request.Writes {
		t.wrote = true
	}
	if a.answer.State != declarer.StateTransaction {
		t.fail()
	}
	return s.Caller.Forward(&a.answer, s.state())
}

// further serves a statement on the transaction's connection.
func (s *Session) further(t *transaction, a *attempt) error {
	if err := a.repeat(t); err != nil {
		a.report(declarer.CodeAborted)
		s.drop(t, err)
		if errors.Is(err, connpooler.ErrRefused) {
			return s.fail(declarer.CodeAborted, rolledBack(err))
		}
		return s.fail(declarer.CodeAborted, "the server's answer didn't come; the transaction is rolled back")
	}
	a.report(a.answer.Code)
	return s.answered(t, a)
}

// rolledBack is the text for a statement of a transaction that was refused before it was sent.
func rolledBack(err error) string {
	return "not run: " + err.Error() + "; the transaction is rolled back"
}

// drop ends a transaction whose server didn't answer.
func (s *Session) drop(t *transaction, err error) {
	if errors.Is(err, connpooler.ErrTimeout) || errors.Is(err, connpooler.ErrRefused) {
		t.fail()
		return
	}
	t.lose()
	s.Board.Do(t.route.Group, func(g *grouptracker.Group) { g.RecordFailure(t.server, s.Board.Time(), s.Board.Time()) })
}

// repeat sends a statement on the transaction's connection, again while the server is
// too busy and the transaction stands.
func (a *attempt) repeat(t *transaction) error {
	a.server, a.primary = t.server, t.primary
	// To break the transaction off costs more than the tries do.
	a.retries.SingleServer, a.retries.Budget = true, nil
	for {
		a.retries.CountTry()
		e := &exchange{lease: t.lease, deadline: a.deadline}
		if err := e.wait(connpooler.AcquireRequest{Deadline: a.deadline, Class: admitter.ClassTransaction, Team: a.route.Database}); err != nil {
			a.why = err.Error()
			return err
		}
		e.setUp(a.session, a.request)
		e.add(a.request.Request)
		if err := e.run(&a.answer); err != nil {
			a.why = err.Error()
			return err
		}
		if a.answer.Code.FromOwner() {
			a.why = a.answer.Detail
			return errors.Annotatef(connpooler.ErrRefused, "server %s: %s", t.server, a.answer.Detail)
		}
		busy := a.answer.Code == declarer.CodeBusy && a.answer.State == declarer.StateTransaction
		if !busy {
			return nil
		}
		next := a.refused(t.server, retrier.CauseBusy, 0)
		if next.Action != retrier.ActionWait {
			return nil
		}
		time.Sleep(next.Delay)
	}
}

// commit ends the open transaction.
func (s *Session) commit(x declarer.Statement) error {
	t := s.open
	if t == nil {
		return s.fail(declarer.CodeMalformed, "no transaction is open")
	}
	defer s.end(t)
	if t.failed {
		s.open = nil
		return s.Caller.Fail(declarer.CodeAborted, "the transaction was rolled back", declarer.StateIdle)
	}
	a := s.newAttempt(t.route, &request{Request: declarer.Request{ID: x.ID, Text: x.Text}, verb: x.Verb})
	if t.lease == nil {
		return s.commitEmpty(t, a)
	}
	asked := s.Board.Time()
	err := a.repeat(t)
	s.open = nil
	if err != nil {
		return s.uncommitted(t, a, err)
	}
	if t.wrote && a.answer.Code == declarer.CodeNone {
		s.committed(t.route.Group, a.answer.Position)
		s.Board.RecordLeadership(t.route.Group, t.server, asked, a.answer.Position)
	}
	a.report(a.answer.Code)
	return s.Caller.Forward(&a.answer, declarer.StateIdle)
}

// end gives back the connection of a transaction that has ended.
func (s *Session) end(t *transaction) {
	if t.lease != nil {
		t.lease.Release(false)
		t.lease = nil
	}
}

// commitEmpty commits a transaction without statements. Only a server's word on it
// counts for the caller.
func (s *Session) commitEmpty(t *transaction, a *attempt) error {
	a.opens(t)
	l, code, text := a.place()
	t.lease = l
	a.report(code)
	s.open = nil
	if l == nil {
		return s.Caller.Fail(code, text, declarer.StateIdle)
	}
	return s.Caller.Forward(&a.answer, declarer.StateIdle)
}

// uncommitted answers a commit that the server didn't answer.
func (s *Session) uncommitted(t *transaction, a *attempt, err error) error {
	s.drop(t, err)
	code, text := declarer.CodeOutcomeUnknown, "the server's answer to the commit didn't come; whether it took effect isn't known"
	switch {
	case errors.Is(err, connpooler.ErrRefused):
		code, text = declarer.CodeAborted, rolledBack(err)
	case !t.wrote:
		code, text = declarer.CodeAborted, "the server's answer to the commit didn't come; nothing had been written"
	}
	a.report(code)
	return s.Caller.Fail(code, text, declarer.StateIdle)
}
