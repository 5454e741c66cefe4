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

// answered judges an exchange whose answer is complete.
func (a *attempt) answered(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	if a.readOnlyRefusal(r) && s.out.rewind() {
		return a.elsewhere(r)
	}
	s.errored = r.Code != ""
	if r.Status != 0 {
		s.status = r.Status
	}
	if s.begun != nil && r.Status != 0 {
		return a.begunAnswered(x, r)
	}
	if s.keyed != nil && s.keyed.wrapped && a.end != batcher.Flush {
		return a.finishKeyed(x, r)
	}
	a.takeChanges(r)
	if r.Status != exchanger.Idle {
		s.out.release()
		return nil, false
	}
	return a.acknowledge(x, r)
}

// begunAnswered judges the answer to the first statement of a transaction.
func (a *attempt) begunAnswered(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	s.begun = nil
	a.takeChanges(r)
	if r.Status != exchanger.Idle {
		s.out.release()
		return nil, false
	}
	if r.Code == "" || a.commits() {
		// The same batch ended the transaction.
		return a.acknowledge(x, r)
	}
	// BEGIN itself was cancelled or stood in a text that didn't parse, so there
	// is no transaction to go on with.
	s.out.release()
	s.giveBack(true)
	s.status = exchanger.Failed
	return nil, false
}

// acknowledge waits until what was committed or shown lasts, and releases the answer.
func (a *attempt) acknowledge(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	if s.keyed != nil && a.commits() && settler.AnswerOf(r.Code, false) == settler.AnswerLost {
		// The server doesn't know whether the commit lasts, but the key's row tells.
		return a.commitLost(x, errors.Errorf("SQLSTATE %s to COMMIT", r.Code))
	}
	if r.Position.IsZero() {
		r.Position = a.position(x)
	}
	s.Director.Observe(s.group, s.choice.Server, r.Position)
	if r.Code != "" && !a.commits() || !a.mustHold(r.Position) {
		s.moveMark(r.Position)
		s.out.release()
		s.note(a.outcome(r), nil)
		return nil, false
	}
	if r.Position.IsZero() {
		return a.unacknowledged(x, errNoPosition)
	}
	if !s.pinned {
		s.giveBack(true)
	}
	y, stop := committed(x)
	defer stop()
	if err := s.Director.Acknowledge(y, s.group, r.Position); err != nil {
		return a.unacknowledged(y, err)
	}
	s.moveMark(r.Position)
	s.out.release()
	s.note(a.outcome(r), nil)
	return nil, false
}

// committed returns x without its caller's cancel, up to the same deadline: a
// cancel that comes after the commit can't undo it, and to end the wait would
// only leave the caller without the outcome.
func committed(x context.Context) (context.Context, context.CancelFunc) {
	y := context.WithoutCancel(x)
	if t, ok := x.Deadline(); ok {
		return context.WithDeadline(y, t)
	}
	return y, func() {}
}

// mustHold reports whether the answer waits until a majority holds m: what may
// have written always, a read if it may have shown what only one server holds.
func (a *attempt) mustHold(m marker.Mark) bool {
	c := &a.session.choice
	if c.Primary && !a.reads() {
		return true
	}
	return !c.AgeUnknown && !m.IsZero() && m.Term != c.SafeTerm
}

// outcome tells what became of a request whose answer is complete. A request
// that failed took no effect, unless its text committed some of it before.
func (a *attempt) outcome(r exchanger.Result) recorder.Outcome {
	if r.Code == "" {
		return recorder.Ran
	}
	if settler.AnswerOf(r.Code, false) == settler.AnswerLost {
		return recorder.Unknown
	}
	if a.commits() && len(a.plan.parts) > 0 && len(a.plan.parts[0].statement.Parts) > 1 {
		return recorder.Unknown
	}
	return recorder.NotRun
}

// unacknowledged answers a commit that the primary made and no majority has
// confirmed in time.
func (a *attempt) unacknowledged(x context.Context, err error) (*failure, bool) {
	s := a.session
	superseded := errors.Is(err, driver.ErrSuperseded)
	switch {
	case s.keyed != nil && (superseded || x.Err() == nil):
		return a.settle(x, err)
	case superseded && a.single() && s.out.rewind():
		s.giveBack(false)
		return notRun(codeSerialization, "the commit was superseded by another primary", err), true
	case superseded:
		return notRun(codeSerialization, "the commit was superseded by another primary; the transaction did not run", err), false
	case a.reads():
		// A function that it called may have written, so it isn't told as not run.
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

// single reports whether the plan is a request of its own, outside a
// transaction block, so that it can be repeated as a whole.
func (a *attempt) single() bool {
	return a.fresh && !a.controlsTransaction()
}

// reads reports whether the plan can't have written.
func (a *attempt) reads() bool {
	for _, d := range a.plan.parts {
		if d.statement.Writes {
			return false
		}
	}
	return !a.write && a.session.begun == nil
}

// position asks for the log position where it wasn't asked for along with the batch.
func (a *attempt) position(x context.Context) marker.Mark {
	s := a.session
	var b batcher.Batch
	r, err := s.lease.Exchange(context.WithoutCancel(x), lessor.Exchange{Batch: &b, Output: &s.out, Input: s, AskPosition: true, InTransaction: true})
	if err != nil {
		return marker.Mark{}
	}
	return r.Position
}

// errNoPosition says that a commit can't be waited for. To answer it as done
// without the wait could acknowledge what a superseded primary has written.
const errNoPosition = errors.ConstError("the primary's log position isn't known")
