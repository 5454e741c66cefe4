package server

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/outcome/settler"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// exchangeFailed handles an exchange whose answer is incomplete.
func (a *attempt) exchangeFailed(x context.Context, r exchanger.Result, err error) (*failure, bool) {
	s := a.session
	notSent := errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, lessor.ErrNotRun)
	if s.out.err != nil {
		a.callerDisconnected(r)
		return nil, false
	}
	a.releaseForRetry(false)
	if a.fresh && notSent {
		a.restartKeyed()
		a.avoid = s.choice.Server
		return a.refused(x, err), retryableElsewhere(err)
	}
	if errors.Is(err, lessor.ErrNotRun) {
		// The transaction ends with the answer, see Session.abortTransaction.
		return a.refused(x, err), false
	}
	return a.connectionLost(x, err)
}

// releaseForRetry releases the connection before another attempt. It keeps the caller's BEGIN if
// that was sent in this attempt. Without it, the next attempt would run the transaction's first
// statement outside a transaction, and a ROLLBACK could not undo it.
func (a *attempt) releaseForRetry(clean bool) {
	b := a.session.deferredBegin
	a.session.releaseConnection(clean)
	if a.fresh {
		a.session.deferredBegin = b
	}
}

// retryableElsewhere reports whether another attempt should be made at once after a request did not
// run. After a refusal by a full queue it should not, since the retry would add to the load.
func retryableElsewhere(err error) bool {
	return errors.Is(err, exchanger.ErrNotSent) || errors.Is(err, lessor.ErrUnreachable)
}

// restartKeyed resets a keyed request, so that the next attempt inserts the key's row again.
func (a *attempt) restartKeyed() {
	s := a.session
	if s.keyed == nil {
		return
	}
	s.keyed.reserved = false
	s.deferredBegin = s.keyed.deferredBegin
	s.status = exchanger.Idle
	if s.deferredBegin != nil {
		s.status = exchanger.InTransaction
	}
}

// connectionLost handles a connection that was lost during an exchange.
func (a *attempt) connectionLost(x context.Context, err error) (*failure, bool) {
	s := a.session
	s.pinned = false
	if a.safeToRepeat() && s.out.rewind() {
		a.restartKeyed()
		return notRun(codeConnectionFailure, "the connection to the backend server was lost", err), true
	}
	s.replay.End(false)
	e := settler.Evidence{Sent: true, CommitSent: a.mayHaveCommitted(), Answer: settler.AnswerLost}
	open := a.inOpenTransaction()
	s.deferredBegin = nil
	s.status = exchanger.Idle
	if open {
		s.status = exchanger.Failed
	}
	if _, o := settler.Next(e); o == recorder.NotRun {
		return notRun(codeConnectionFailure, "the connection to the backend server was lost; nothing of the request or its transaction took effect", err), false
	}
	return a.settle(x, err)
}

// mayHaveCommitted reports whether the lost exchange may have committed: at a primary, with a
// COMMIT or a statement outside a transaction. A request that was wrapped in a transaction for its
// key commits in a separate exchange.
func (a *attempt) mayHaveCommitted() bool {
	s := a.session
	wrapped := s.keyed != nil && s.keyed.wrapped
	return s.choice.Primary && !wrapped && !a.inOpenTransaction()
}

// safeToRepeat reports whether the lost exchange can be repeated: it executed nothing, only began a
// transaction that can't be committed after the loss, or ran at a replica, which can't write.
func (a *attempt) safeToRepeat() bool {
	s := a.session
	if s.keyed != nil && s.keyed.wrapped {
		return true
	}
	if !a.fresh {
		return false
	}
	return len(a.plan.executed) == 0 || s.deferredBegin != nil && !a.commits() || !s.choice.Primary
}

// inOpenTransaction reports whether the lost exchange was inside a transaction and did not try to
// commit it.
func (a *attempt) inOpenTransaction() bool {
	s := a.session
	if s.keyed != nil && s.keyed.wrapped {
		return false
	}
	return (s.status != exchanger.Idle || s.deferredBegin != nil) && !a.commits()
}

// callerDisconnected ends a request whose answer can't be written to the caller.
func (a *attempt) callerDisconnected(r exchanger.Result) {
	s := a.session
	clean := r.Status == exchanger.Idle
	s.releaseConnection(clean)
	s.recordOutcome(recorder.Unknown, nil)
}
