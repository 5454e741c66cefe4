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

// transaction is one that a caller has begun. Its first statement leases a connection, which it
// keeps to its end.
type transaction struct {
	admission
	// arrived is when the begin arrived, on the blackboard's clock.
	arrived time.Duration
	// readOnly is set if the caller declared the transaction read-only.
	readOnly bool
	lease    *connpooler.Lease
	server   string
	primary  bool
	wrote    bool
	failed   bool
}

// abort ends the transaction without effect and returns its connection to the pool.
func (t *transaction) abort() {
	t.failed = true
	if t.lease != nil {
		t.lease.Release(false)
		t.lease = nil
	}
}

// abortBroken ends a transaction whose connection broke. The server rolls it back.
func (t *transaction) abortBroken() {
	t.failed = true
	if t.lease != nil {
		t.lease.Release(true)
		t.lease = nil
	}
}

// runInTransaction serves a statement of the open transaction.
func (s *Session) runInTransaction(q *request) error {
	t := s.openTransaction
	if t.readOnly && q.Writes {
		return s.fail(declarer.CodeReadOnly, "the transaction only reads")
	}
	a := s.newAttempt(t.admission, q)
	if t.lease == nil {
		return s.runFirst(t, a)
	}
	return s.runOnConnection(t, a)
}

// runFirst serves the statement with which the transaction leases its connection.
func (s *Session) runFirst(t *transaction, a *attempt) error {
	a.beginTransaction(t)
	l, code, text := a.tryServers()
	a.report(code)
	if l == nil {
		return s.fail(code, text)
	}
	t.lease, t.server, t.primary = l, a.server, a.primary
	return s.forwardAnswer(t, a)
}

// beginTransaction makes the attempt begin the transaction before its statement. On a route whose
// reads see every commit, even a read-only transaction is begun as read-write, since a server that
// has lost leadership refuses only that.
func (a *attempt) beginTransaction(t *transaction) {
	a.arrived = t.arrived
	a.primaryOnly = !t.readOnly || a.session.readsPrimary(&t.route)
	a.begin = declarer.VerbBeginRead
	if a.primaryOnly {
		a.begin = declarer.VerbBegin
	}
}

// forwardAnswer forwards the answer and updates the state of the transaction.
func (s *Session) forwardAnswer(t *transaction, a *attempt) error {
	if a.answer.Code == declarer.CodeNone && a.request.Writes {
		t.wrote = true
	}
	if a.answer.State != declarer.StateTransaction {
		t.abort()
	}
	return s.Caller.Forward(&a.answer, s.state())
}

// runOnConnection serves a statement on the transaction's connection.
func (s *Session) runOnConnection(t *transaction, a *attempt) error {
	if err := a.sendUntilServed(t); err != nil {
		a.report(declarer.CodeAborted)
		s.abortUnanswered(t, err)
		if notSent(err) {
			return s.fail(declarer.CodeAborted, rolledBackText(err))
		}
		return s.fail(declarer.CodeAborted, "the server's answer didn't come; the transaction is rolled back")
	}
	a.report(a.answer.Code)
	return s.forwardAnswer(t, a)
}

// notSent reports whether the statement was certainly not sent.
func notSent(err error) bool {
	return errors.Is(err, connpooler.ErrRefused) || errors.Is(err, connpooler.ErrNotSent)
}

// rolledBackText returns the text for a statement of a transaction that was refused before it was
// sent.
func rolledBackText(err error) string {
	return "not run: " + err.Error() + "; the transaction is rolled back"
}

// abortUnanswered ends a transaction whose statement got no answer.
func (s *Session) abortUnanswered(t *transaction, err error) {
	if errors.Is(err, connpooler.ErrTimeout) || errors.Is(err, connpooler.ErrRefused) {
		t.abort()
		return
	}
	t.abortBroken()
	if errors.Is(err, connpooler.ErrOutOfStep) || notSent(err) {
		return // the server has answered, or was not asked
	}
	s.Board.Do(t.route.Group, func(g *grouptracker.Group) { g.RecordFailure(t.server, s.Board.Time(), s.Board.Time()) })
}

// sendUntilServed sends a statement on the transaction's connection, and again while the server is
// too busy and the transaction is open.
func (a *attempt) sendUntilServed(t *transaction) error {
	a.server, a.primary = t.server, t.primary
	// Aborting the transaction would cost more than the retries.
	a.retries.SingleServer, a.retries.Budget = true, nil
	for {
		a.retries.CountTry()
		e := &exchange{lease: t.lease, deadline: a.deadline}
		if err := e.acquirePermit(connpooler.AcquireRequest{Deadline: a.deadline, Class: admitter.ClassTransaction, Importance: a.importance, Ranked: a.ranked, Customer: a.customer, Team: a.team()}); err != nil {
			a.reason = err.Error()
			return err
		}
		e.addSetup(a.session, a.request)
		e.add(a.request.Request)
		if err := e.run(&a.answer); err != nil {
			a.reason = err.Error()
			return err
		}
		if a.answer.Code.FromOwner() {
			a.reason = a.answer.Detail
			return errors.Annotatef(connpooler.ErrRefused, "server %s: %s", t.server, a.answer.Detail)
		}
		busy := a.answer.Code == declarer.CodeBusy && a.answer.State == declarer.StateTransaction
		if !busy {
			return nil
		}
		next := a.afterRefusal(t.server, retrier.CauseBusy, 0)
		if next.Action != retrier.ActionWait {
			return nil
		}
		time.Sleep(next.Delay)
	}
}

// commit commits the open transaction.
func (s *Session) commit(x declarer.Statement) error {
	t := s.openTransaction
	if t == nil {
		return s.fail(declarer.CodeMalformed, "no transaction is open")
	}
	defer s.releaseConnection(t)
	if t.failed {
		s.openTransaction = nil
		return s.Caller.Fail(declarer.CodeAborted, "the transaction was rolled back", declarer.StateIdle)
	}
	a := s.newAttempt(t.admission, &request{Request: declarer.Request{ID: x.ID, Text: x.Text}, verb: x.Verb})
	if t.lease == nil {
		return s.commitEmpty(t, a)
	}
	asked := s.Board.Time()
	err := a.sendUntilServed(t)
	s.openTransaction = nil
	if err != nil {
		return s.failCommit(t, a, err)
	}
	if t.wrote && a.answer.Code == declarer.CodeNone {
		s.recordCommit(t.route.Group, a.answer.Position)
		s.Board.RecordLeadership(t.route.Group, t.server, asked, a.answer.Position)
	}
	a.report(a.answer.Code)
	return s.Caller.Forward(&a.answer, declarer.StateIdle)
}

// releaseConnection returns the connection of a transaction that has ended.
func (s *Session) releaseConnection(t *transaction) {
	if t.lease != nil {
		t.lease.Release(false)
		t.lease = nil
	}
}

// commitEmpty commits a transaction without statements. It still asks a server, as only a server
// can confirm the commit to the caller.
func (s *Session) commitEmpty(t *transaction, a *attempt) error {
	a.beginTransaction(t)
	l, code, text := a.tryServers()
	t.lease = l
	a.report(code)
	s.openTransaction = nil
	if l == nil {
		return s.Caller.Fail(code, text, declarer.StateIdle)
	}
	return s.Caller.Forward(&a.answer, declarer.StateIdle)
}

// failCommit answers a commit that the server didn't answer.
func (s *Session) failCommit(t *transaction, a *attempt, err error) error {
	s.abortUnanswered(t, err)
	code, text := declarer.CodeOutcomeUnknown, "the server's answer to the commit didn't come; whether it took effect isn't known"
	switch {
	case notSent(err):
		code, text = declarer.CodeAborted, rolledBackText(err)
	case !t.wrote:
		code, text = declarer.CodeAborted, "the server's answer to the commit didn't come; nothing had been written"
	}
	a.report(code)
	return s.Caller.Fail(code, text, declarer.StateIdle)
}
