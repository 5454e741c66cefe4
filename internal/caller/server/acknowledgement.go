package server

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/outcome/settler"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// exchangeAnswered handles an exchange whose answer is complete.
func (a *attempt) exchangeAnswered(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	if a.readOnlyRefusal(r) && s.out.rewind() {
		return a.retryElsewhere(r)
	}
	s.errored = r.Code != ""
	if r.Status != 0 {
		s.status = r.Status
	}
	if s.deferredBegin != nil && r.Status != 0 {
		return a.firstStatementAnswered(x, r)
	}
	if s.keyed != nil && s.keyed.wrapped && a.end != batcher.Flush {
		return a.finishKeyed(x, r)
	}
	a.applyChanges(r)
	if r.Status != exchanger.Idle {
		s.out.releaseHeld()
		return nil, false
	}
	return a.acknowledge(x, r)
}

// firstStatementAnswered handles the answer to the first statement of a transaction.
func (a *attempt) firstStatementAnswered(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	s.deferredBegin = nil
	a.applyChanges(r)
	if r.Status != exchanger.Idle {
		s.out.releaseHeld()
		return nil, false
	}
	if r.Code == "" || a.commits() {
		// The same batch ended the transaction.
		return a.acknowledge(x, r)
	}
	// BEGIN itself was cancelled or was part of a text that the server couldn't parse, so no
	// transaction is open.
	s.out.releaseHeld()
	s.releaseConnection(true)
	s.status = exchanger.Failed
	return nil, false
}

// acknowledge waits until a majority holds what was committed or read, and sends the held answer.
func (a *attempt) acknowledge(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	if s.keyed != nil && a.commits() && settler.AnswerOf(r.Code, false) == settler.AnswerLost {
		// The server can't tell whether the commit took effect, but the row of the key can.
		return a.commitLost(x, errors.Errorf("SQLSTATE %s to COMMIT", r.Code))
	}
	if r.Position.IsZero() {
		m, err := a.askPosition(x)
		if err != nil {
			return a.unproved(x, err)
		}
		r.Position = m
	}
	s.Director.Observe(s.group, s.choice.Server, r.Position)
	if r.Code != "" && !a.commits() || !a.mustAwaitMajority(r.Position) {
		s.raiseMark(r.Position)
		s.out.releaseHeld()
		s.recordOutcome(a.outcome(r), nil)
		return nil, false
	}
	if r.Position.IsZero() {
		return a.unacknowledged(x, errNoPosition)
	}
	if !s.pinned {
		s.releaseConnection(true)
	}
	y, stop := withoutCancel(x)
	defer stop()
	if err := s.Director.WaitAcknowledged(y, s.group, r.Position); err != nil {
		return a.unacknowledged(y, err)
	}
	s.raiseMark(r.Position)
	s.out.releaseHeld()
	s.recordOutcome(a.outcome(r), nil)
	return nil, false
}

// withoutCancel returns x without the caller's cancel, with the same deadline. A cancel after the
// commit can't undo it, and would only end the wait before the outcome is known.
func withoutCancel(x context.Context) (context.Context, context.CancelFunc) {
	y := context.WithoutCancel(x)
	if t, ok := x.Deadline(); ok {
		return context.WithDeadline(y, t)
	}
	return y, func() {}
}

// mustAwaitMajority reports whether the answer waits until a majority holds m. It does after
// anything that may have written, and after a read that may have returned data that only one server
// holds.
func (a *attempt) mustAwaitMajority(m marker.Mark) bool {
	c := &a.session.choice
	if c.Primary && !a.readsOnly() {
		return true
	}
	return !c.AgeUnknown && !m.IsZero() && m.Term != c.SafeTerm
}

// outcome returns the outcome of a request whose answer is complete. A request that failed took no
// effect, unless it is a text of several statements with a COMMIT, which may have committed a part.
func (a *attempt) outcome(r exchanger.Result) recorder.Outcome {
	if r.Code == "" {
		return recorder.Ran
	}
	if settler.AnswerOf(r.Code, false) == settler.AnswerLost {
		return recorder.Unknown
	}
	if a.commits() && len(a.plan.executed) > 0 && len(a.plan.executed[0].statement.Parts) > 1 {
		return recorder.Unknown
	}
	return recorder.NotRun
}

// unacknowledged answers a commit or a read that no majority confirmed in time, or that another
// primary superseded.
func (a *attempt) unacknowledged(x context.Context, err error) (*failure, bool) {
	s := a.session
	superseded := errors.Is(err, driver.ErrSuperseded)
	switch {
	case s.keyed != nil && (superseded || x.Err() == nil):
		return a.settle(x, err)
	case superseded && a.standalone() && s.out.rewind():
		s.releaseConnection(false)
		return notRun(codeSerialization, "the commit was superseded by another primary", err), true
	case superseded:
		return notRun(codeSerialization, "the commit was superseded by another primary; the transaction did not run", err), false
	case a.readsOnly():
		// A function that the read called may have written, so the outcome isn't not-run.
		f := unknown("request not answered: what it read isn't confirmed by a majority", err)
		f.code = codeCancelled
		return f, false
	}
	f := unknown("the primary committed, but no majority confirmed it in time; whether the write lasts isn't known", err)
	if s.keyed != nil {
		f.key = s.keyed.attempt.Key
	}
	return f, false
}

// standalone reports whether the plan is a request outside a transaction block, which can be
// repeated as a whole.
func (a *attempt) standalone() bool {
	return a.fresh && !a.controlsTransaction()
}

// readsOnly reports whether the plan contains no write, as far as its statements show.
func (a *attempt) readsOnly() bool {
	for _, d := range a.plan.executed {
		if d.statement.Writes {
			return false
		}
	}
	return !a.write && a.session.deferredBegin == nil
}

// askPosition queries the log position if it wasn't queried along with the batch, or if the server
// answered that query with an error.
func (a *attempt) askPosition(x context.Context) (marker.Mark, error) {
	s := a.session
	var b batcher.Batch
	r, err := s.lease.Exchange(context.WithoutCancel(x), lessor.Exchange{Batch: &b, Output: &s.out, AskPosition: true, InTransaction: true})
	return r.Position, err
}

// unproved handles a request whose answer isn't followed by that to a position query. It may be the
// answer to an earlier request on the connection.
func (a *attempt) unproved(x context.Context, err error) (*failure, bool) {
	s := a.session
	a.releaseForRetry(false)
	if s.keyed != nil {
		return a.settle(x, err)
	}
	return a.connectionLost(x, err)
}

// errNoPosition is returned if a commit can't be waited for because its log position is unknown. A
// success without the wait could acknowledge what a superseded primary has written.
const errNoPosition = errors.ConstError("the primary's log position isn't known")
