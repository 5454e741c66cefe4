package server

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/outcome/settler"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

const (
	// codeAlreadyRan is a SQLSTATE defined by cuminwick, for a transaction that has run before under
	// the same idempotency key.
	codeAlreadyRan = "CW001"
	// codeSerialization is the SQLSTATE after which drivers may retry the transaction.
	codeSerialization = "40001"
)

const (
	rollbackSQL = "ROLLBACK"
	commitSQL   = "COMMIT"
	// rollbackTimeout bounds the wait for a slot and for the answer to a ROLLBACK. The connection is
	// closed after it.
	rollbackTimeout = 250 * time.Millisecond
)

// keyedRequest is the state of a request or transaction with an idempotency key.
type keyedRequest struct {
	// attempt identifies the key's row in the outcome table, which is inserted in the transaction.
	attempt recorder.Attempt
	// reserved says that the row has been inserted in the open transaction.
	reserved bool
	// wrapped says that the session opened the transaction itself, around a single request.
	wrapped bool
	// deferredBegin is the caller's own BEGIN, which another attempt needs; nil if wrapped.
	deferredBegin *deferredBegin
}

// requestKey returns the key of a plan that starts on a fresh connection, empty for none. A key
// that was set by SET applies to the next write or transaction.
func (a *attempt) requestKey() string {
	s := a.session
	for _, d := range a.plan.executed {
		if k := d.statement.IdempotencyKey; k != "" {
			return k
		}
	}
	if s.deferredBegin != nil && s.deferredBegin.key != "" {
		return s.deferredBegin.key
	}
	if s.deferredBegin != nil || a.writes() {
		return s.idempotencyKey
	}
	return ""
}

// writes reports whether the plan contains a write or was refused as one.
func (a *attempt) writes() bool {
	for _, d := range a.plan.executed {
		if d.statement.Writes {
			return true
		}
	}
	return a.write
}

// startKeyed initializes the state of a request with an idempotency key before its first attempt.
func (a *attempt) startKeyed() *failure {
	s := a.session
	if s.lease != nil {
		return nil
	}
	k := a.requestKey()
	if k == "" {
		return nil
	}
	if err := recorder.CheckKey(k); err != nil {
		return notRun(codeInvalidParameter, "idempotency key refused: "+errors.Cause(err).Error(), err)
	}
	if s.deferredBegin == nil && a.controlsTransaction() {
		return notRun(codeFeature, "a request with an idempotency key can't control transactions in the same batch", nil)
	}
	s.keyed = &keyedRequest{attempt: recorder.First(k), wrapped: s.deferredBegin == nil, deferredBegin: s.deferredBegin}
	return nil
}

// controlsTransaction reports whether the plan begins or ends a transaction.
func (a *attempt) controlsTransaction() bool {
	for _, d := range a.plan.executed {
		for _, p := range d.statement.Parts {
			switch p.Kind {
			case classifier.KindBegin, classifier.KindCommit, classifier.KindRollback:
				return true
			}
		}
	}
	return false
}

// reserve opens the transaction and inserts the key's row in it, so that the row commits or rolls
// back with the transaction.
func (a *attempt) reserve(x context.Context) (*failure, bool) {
	s := a.session
	b := "BEGIN"
	if s.deferredBegin != nil {
		b = s.deferredBegin.sql
	}
	r, err := s.execute(x, false, b, s.keyed.attempt.Reserve())
	if err != nil {
		return a.reserveFailed(x, err)
	}
	switch r.Code {
	case "":
		s.keyed.reserved = true
		s.deferredBegin = nil
		s.status = exchanger.InTransaction
		return nil, false
	case recorder.UniqueViolation:
		a.rollBack(x)
		return a.answerTakenKey(x)
	case recorder.UndefinedTable:
		a.rollBack(x)
		if err := s.Director.CreateTable(x, s.group); err != nil {
			return a.refused(x, err), false
		}
		return notRun(codeCannotConnect, "outcome table made", nil), true
	case codeReadOnly:
		return a.retryElsewhere(r)
	default:
		a.rollBack(x)
		return notRun(r.Code, "the idempotency key could not be recorded", nil), false
	}
}

// reserveFailed handles an error before the request itself was sent. Nothing of the request can have
// taken effect, since no COMMIT was sent.
func (a *attempt) reserveFailed(x context.Context, err error) (*failure, bool) {
	s := a.session
	if errors.Is(err, lessor.ErrNotRun) && !errors.Is(err, exchanger.ErrNotSent) {
		// A lessor may report the refusal of a lease as late as its first exchange.
		a.releaseForRetry(true)
		a.avoid = s.choice.Server
		return a.refused(x, err), errors.Is(err, lessor.ErrUnreachable)
	}
	a.releaseForRetry(false)
	return a.refused(x, err), true
}

// rollBack rolls the transaction back and releases the connection.
//
// It continues after the caller's cancel, since a new connection is more expensive than a ROLLBACK,
// but only for rollbackTimeout, since the caller waits for the answer.
func (a *attempt) rollBack(x context.Context) {
	s := a.session
	y, stop := context.WithTimeout(context.WithoutCancel(x), rollbackTimeout)
	defer stop()
	r, err := s.execute(y, true, rollbackSQL)
	s.releaseConnection(err == nil && r.Status == exchanger.Idle)
}

// answerTakenKey answers a request whose key is already in use. The request isn't run again if an
// earlier attempt ran.
func (a *attempt) answerTakenKey(x context.Context) (*failure, bool) {
	s := a.session
	y, stop := s.settleContext(x)
	defer stop()
	w, err := s.Director.LookUp(y, s.group, s.keyed.attempt)
	if err != nil {
		f := unknown("the key is taken, and its outcome could not be read", err)
		f.key = s.keyed.attempt.Key
		return f, false
	}
	if w.Outcome != recorder.Ran {
		s.keyed.attempt = w.Attempt
		return notRun(codeCannotConnect, "an earlier attempt did not run", nil), true
	}
	return a.alreadyRan(w.Tag), false
}

// alreadyRan answers a repeated request with the recorded outcome.
func (a *attempt) alreadyRan(tag string) *failure {
	s := a.session
	k := s.keyed
	if !k.wrapped || tag == "" {
		s.status = a.failedStatus()
		s.deferredBegin = nil
		return &failure{code: codeAlreadyRan, message: "the request with this idempotency key has run before", outcome: recorder.Ran, key: k.attempt.Key}
	}
	s.notice("the request with this idempotency key has run before, it wasn't run again")
	for i := range a.plan.batch.Items {
		if a.plan.batch.Items[i].Answer == batcher.Discard {
			continue
		}
		if f := s.answerItem(&a.plan.batch, i, localAnswer{tag: tag}); f != nil {
			return f
		}
	}
	s.status = exchanger.Idle
	s.recordOutcome(recorder.Ran, nil)
	return nil
}

// failedStatus returns the transaction state after an error that ended the transaction. A
// transaction that the caller began is failed until its ROLLBACK.
func (a *attempt) failedStatus() byte {
	if a.session.keyed.wrapped {
		return exchanger.Idle
	}
	return exchanger.Failed
}

// finishKeyed commits a request that was wrapped in a transaction, or rolls it back after an error.
func (a *attempt) finishKeyed(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	if r.Code != "" || r.Status == exchanger.Failed {
		a.rollBack(x)
		s.status = exchanger.Idle
		s.out.releaseHeld()
		s.recordOutcome(recorder.NotRun, nil)
		return nil, false
	}
	c, err := s.execute(x, true, s.keyed.attempt.RecordTag(r.Tag), commitSQL)
	if err != nil {
		return a.commitLost(x, err)
	}
	if settler.AnswerOf(c.Code, false) == settler.AnswerLost {
		return a.commitLost(x, errors.Errorf("SQLSTATE %s to COMMIT", c.Code))
	}
	if c.Code != "" || c.Tag == rollbackSQL {
		a.rollBack(x)
		s.status = exchanger.Idle
		return rolledBack(x), false
	}
	s.status = exchanger.Idle
	a.applyChanges(exchanger.Result{Status: exchanger.Idle, Tag: r.Tag})
	return a.acknowledge(x, c)
}

// commitLost handles a COMMIT whose outcome is unknown, or that wasn't sent.
func (a *attempt) commitLost(x context.Context, err error) (*failure, bool) {
	s := a.session
	if errors.Is(err, lessor.ErrNotRun) {
		a.rollBack(x)
		s.status = a.failedStatus()
		return a.refused(x, err), false
	}
	s.releaseConnection(false)
	s.status = exchanger.Idle
	return a.settle(x, err)
}

// settle makes the outcome of a keyed request final after its connection was lost, and answers or
// repeats the request accordingly. Without a key the outcome is unknown.
func (a *attempt) settle(x context.Context, cause error) (*failure, bool) {
	s := a.session
	k := s.keyed
	if k == nil {
		return unknown("the connection was lost before the backend server answered; whether the request ran isn't known", cause), false
	}
	y, stop := s.settleContext(x)
	defer stop()
	o, err := s.Director.Settle(y, s.group, k.attempt)
	switch {
	case err != nil || o == recorder.Unknown:
		f := unknown("the connection was lost before the backend server answered; ask for the outcome of the key", cause)
		f.key = k.attempt.Key
		return f, false
	case o == recorder.NotRun:
		return a.settledNotRun(cause)
	}
	a.settledRan()
	return nil, false
}

// rolledBack returns the failure of a request that the server rolled back at its commit. If the
// caller has cancelled the request, the failure is the cancel: drivers retry after
// codeSerialization, which a caller that cancelled doesn't want.
func rolledBack(x context.Context) *failure {
	if x.Err() != nil {
		return notRun(codeCancelled, "canceling statement due to user request: "+cause(x), x.Err())
	}
	return notRun(codeSerialization, "the request was rolled back at its commit", nil)
}

// settleContext returns x without the caller's cancel, with the same deadline. It ends with the
// session, as a caller that has disconnected needs no answer.
//
// Callers often cancel while the server is still being asked whether it works on a connection that
// has gone silent. A look-up of the key's row with the cancelled context would fail at once, and
// the caller would receive the outcome "unknown", although one round trip can determine it.
func (s *Session) settleContext(x context.Context) (context.Context, context.CancelFunc) {
	y, stop := withoutCancel(x)
	z, cancel := context.WithCancel(y)
	detach := context.AfterFunc(s.ctx, cancel)
	return z, func() {
		detach()
		cancel()
		stop()
	}
}

// settledNotRun starts the next attempt of a request that was wrapped in a transaction. A
// transaction that the caller began must be repeated by the caller.
func (a *attempt) settledNotRun(cause error) (*failure, bool) {
	s := a.session
	k := s.keyed
	if k.wrapped && s.out.rewind() {
		k.attempt.Number++
		k.reserved = false
		return notRun(codeCannotConnect, "the commit was lost", cause), true
	}
	f := notRun(codeSerialization, "the connection was lost at the commit; the transaction did not run", cause)
	f.key = k.attempt.Key
	return f, false
}

// settledRan answers a request that ran, but whose answer was lost.
func (a *attempt) settledRan() {
	s := a.session
	if s.keyed.wrapped {
		s.out.releaseHeld()
	} else {
		s.out.rewind()
		for i := range a.plan.batch.Items {
			_ = s.answerItem(&a.plan.batch, i, localAnswer{tag: commitSQL})
		}
	}
	s.recordOutcome(recorder.Ran, nil)
}

// execute runs texts on the session's connection without passing the answer to the caller. They are
// sent as one query, so that after an error or a cancel none of the remaining texts run.
func (s *Session) execute(x context.Context, inTransaction bool, texts ...string) (exchanger.Result, error) {
	var b batcher.Batch
	b.AddStatements(batcher.Discard, strings.Join(texts, "; "), len(texts))
	return s.lease.Exchange(x, lessor.Exchange{
		Batch:         &b,
		Output:        discardOutput{},
		AskPosition:   texts[len(texts)-1] == commitSQL,
		AskProof:      true,
		InTransaction: inTransaction,
	})
}

// discardOutput discards the answer to messages that the caller didn't send.
type discardOutput struct{}

// Frame implements exchanger.Output.
func (discardOutput) Frame(byte, []byte, bool, bool) error { return nil }
