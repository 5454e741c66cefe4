package server

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/outcome/settler"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// failed judges an exchange whose answer didn't come to its end.
func (a *attempt) failed(x context.Context, r exchanger.Result, err error) (*failure, bool) {
	s := a.session
	notSent := errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, lessor.ErrNotRun)
	if s.out.err != nil {
		a.callerGone(r)
		return nil, false
	}
	a.letGo(false)
	if a.fresh && notSent {
		a.restartKeyed()
		a.avoid = s.choice.Server
		return a.refused(x, err), mayDoElsewhere(err)
	}
	if errors.Is(err, lessor.ErrNotRun) {
		// The transaction ends with the answer, see Session.abort.
		return a.refused(x, err), false
	}
	return a.lost(x, err)
}

// letGo gives the connection back before another try. The caller's BEGIN is kept if
// it was sent along in this attempt: without it, the next try would run the first
// statement of the transaction by itself, and a ROLLBACK couldn't undo it.
func (a *attempt) letGo(clean bool) {
	b := a.session.begun
	a.session.giveBack(clean)
	if a.fresh {
		a.session.begun = b
	}
}

// mayDoElsewhere reports whether a request that did not run is worth another
// try at once. A refusal by a full queue isn't: trying again would add to it.
func mayDoElsewhere(err error) bool {
	return errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, lessor.ErrUnreachable)
}

// restartKeyed makes the next try reserve the key's row anew.
func (a *attempt) restartKeyed() {
	s := a.session
	if s.keyed == nil {
		return
	}
	s.keyed.reserved = false
	s.begun = s.keyed.begun
	s.status = exchanger.Idle
	if s.begun != nil {
		s.status = exchanger.InTransaction
	}
}

// lost judges a connection that was lost in the middle of an exchange.
func (a *attempt) lost(x context.Context, err error) (*failure, bool) {
	s := a.session
	s.pinned = false
	if a.harmless() && s.out.rewind() {
		a.restartKeyed()
		return notRun(codeConnectionFailure, "the connection to the backend server was lost", err), true
	}
	s.replay.End(false)
	e := settler.Evidence{Sent: true, CommitSent: a.mayHaveCommitted(), Answer: settler.AnswerLost}
	open := a.openTransaction()
	s.begun = nil
	s.status = exchanger.Idle
	if open {
		s.status = exchanger.Failed
	}
	if _, o := settler.Next(e); o == recorder.NotRun {
		return notRun(codeConnectionFailure, "the connection to the backend server was lost; nothing of the request or its transaction took effect", err), false
	}
	return a.settle(x, err)
}

// mayHaveCommitted reports whether the lost exchange held what could commit:
// at a primary, a COMMIT or a statement outside a transaction. A request that
// is wrapped for its key commits in an exchange of its own.
func (a *attempt) mayHaveCommitted() bool {
	s := a.session
	wrapped := s.keyed != nil && s.keyed.wrapped
	return s.choice.Primary && !wrapped && !a.openTransaction()
}

// harmless reports whether the lost exchange can be repeated: it executed
// nothing, or only began a transaction that nobody commits any more, or ran at
// a replica, which can't write.
func (a *attempt) harmless() bool {
	s := a.session
	if s.keyed != nil && s.keyed.wrapped {
		return true
	}
	if !a.fresh {
		return false
	}
	return len(a.plan.parts) == 0 || s.begun != nil && !a.commits() || !s.choice.Primary
}

// openTransaction reports whether the lost exchange was inside a transaction
// that it didn't try to commit.
func (a *attempt) openTransaction() bool {
	s := a.session
	if s.keyed != nil && s.keyed.wrapped {
		return false
	}
	return (s.status != exchanger.Idle || s.begun != nil) && !a.commits()
}

// callerGone ends a request whose caller can't be answered any more.
func (a *attempt) callerGone(r exchanger.Result) {
	s := a.session
	clean := r.Status == exchanger.Idle
	s.giveBack(clean)
	s.note(recorder.Unknown, nil)
}
