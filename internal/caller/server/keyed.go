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
	// codeAlreadyRan is cuminwick's own SQLSTATE for a transaction whose key
	// says that it has run before.
	codeAlreadyRan = "CW001"
	// codeSerialization tells a driver that the transaction may be run again.
	codeSerialization = "40001"
)

const (
	rollbackSQL = "ROLLBACK"
	commitSQL   = "COMMIT"
	// rollbackTimeout bounds the wait for a slot and the answer to a ROLLBACK,
	// after which the connection is closed instead.
	rollbackTimeout = 250 * time.Millisecond
)

// keyed is the state of a request or transaction with an idempotency key.
type keyed struct {
	// attempt is the row that shares the fate of the transaction.
	attempt recorder.Attempt
	// reserved says that the row is inserted in the open transaction.
	reserved bool
	// wrapped says that the transaction was opened here around one request.
	wrapped bool
	// begun is the caller's own BEGIN, for another try.
	begun *beginning
}

// keyOf returns the key of a plan that starts on a fresh connection, empty if
// it has none. A key given by SET belongs to the next write or transaction.
func (a *attempt) keyOf() string {
	s := a.session
	for _, d := range a.plan.parts {
		if k := d.statement.IdempotencyKey; k != "" {
			return k
		}
	}
	if s.begun != nil && s.begun.key != "" {
		return s.begun.key
	}
	if s.begun != nil || a.writes() {
		return s.key
	}
	return ""
}

// writes reports whether the plan shows itself to be a write.
func (a *attempt) writes() bool {
	for _, d := range a.plan.parts {
		if d.statement.Writes {
			return true
		}
	}
	return a.write
}

// startKeyed sets the state of a keyed request before its first attempt.
func (a *attempt) startKeyed() *failure {
	s := a.session
	if s.lease != nil {
		return nil
	}
	k := a.keyOf()
	if k == "" {
		return nil
	}
	if err := recorder.CheckKey(k); err != nil {
		return notRun(codeInvalidParameter, "idempotency key refused: "+errors.Cause(err).Error(), err)
	}
	if s.begun == nil && a.controlsTransaction() {
		return notRun(codeFeature, "a request with an idempotency key can't control transactions in the same batch", nil)
	}
	s.keyed = &keyed{attempt: recorder.First(k), wrapped: s.begun == nil, begun: s.begun}
	return nil
}

// controlsTransaction reports whether the plan begins or ends a transaction.
func (a *attempt) controlsTransaction() bool {
	for _, d := range a.plan.parts {
		for _, p := range d.statement.Parts {
			switch p.Kind {
			case classifier.KindBegin, classifier.KindCommit, classifier.KindRollback:
				return true
			}
		}
	}
	return false
}

// reserve opens the transaction with the key's row in it, so that whatever
// becomes of the transaction becomes of the row.
func (a *attempt) reserve(x context.Context) (*failure, bool) {
	s := a.session
	b := "BEGIN"
	if s.begun != nil {
		b = s.begun.sql
	}
	r, err := s.execute(x, false, b, s.keyed.attempt.Reserve())
	if err != nil {
		return a.reserveLost(x, err)
	}
	switch r.Code {
	case "":
		s.keyed.reserved = true
		s.begun = nil
		s.status = exchanger.InTransaction
		return nil, false
	case recorder.UniqueViolation:
		a.abandon(x)
		return a.repeated(x)
	case recorder.UndefinedTable:
		a.abandon(x)
		if err := s.Director.CreateTable(x, s.group); err != nil {
			return a.refused(x, err), false
		}
		return notRun(codeCannotConnect, "outcome table made", nil), true
	case codeReadOnly:
		return a.elsewhere(r)
	default:
		a.abandon(x)
		return notRun(r.Code, "the idempotency key could not be recorded", nil), false
	}
}

// reserveLost judges a connection lost before the request itself was sent:
// without a COMMIT nothing of it can take effect.
func (a *attempt) reserveLost(x context.Context, err error) (*failure, bool) {
	s := a.session
	if errors.Is(err, lessor.ErrNotRun) && !errors.Is(err, exchanger.ErrNotSent) {
		// The lease's refusal may come with its first exchange.
		a.letGo(true)
		a.avoid = s.choice.Server
		return a.refused(x, err), errors.Is(err, lessor.ErrUnreachable)
	}
	a.letGo(false)
	return a.refused(x, err), true
}

// abandon rolls the transaction back and returns the connection.
//
// It goes on after the caller's cancel, since a new connection costs more than
// a ROLLBACK, but not for long: the caller waits for its answer meanwhile.
func (a *attempt) abandon(x context.Context) {
	s := a.session
	y, stop := context.WithTimeout(context.WithoutCancel(x), rollbackTimeout)
	defer stop()
	r, err := s.execute(y, true, rollbackSQL)
	s.giveBack(err == nil && r.Status == exchanger.Idle)
}

// repeated answers a request whose key is taken: it isn't run again.
func (a *attempt) repeated(x context.Context) (*failure, bool) {
	s := a.session
	y, stop := s.settling(x)
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

// alreadyRan gives a repeat the recorded outcome.
func (a *attempt) alreadyRan(tag string) *failure {
	s := a.session
	k := s.keyed
	if !k.wrapped || tag == "" {
		s.status = a.failedStatus()
		s.begun = nil
		return &failure{code: codeAlreadyRan, message: "the request with this idempotency key has run before", outcome: recorder.Ran, key: k.attempt.Key}
	}
	s.notice("the request with this idempotency key has run before, it wasn't run again")
	for i := range a.plan.batch.Items {
		if a.plan.batch.Items[i].Answer == batcher.Swallow {
			continue
		}
		if f := s.answerItem(&a.plan.batch, i, localAnswer{tag: tag}); f != nil {
			return f
		}
	}
	s.status = exchanger.Idle
	s.note(recorder.Ran, nil)
	return nil
}

// failedStatus is the transaction state after an error that ended the
// transaction here: one that the caller has begun waits for its ROLLBACK.
func (a *attempt) failedStatus() byte {
	if a.session.keyed.wrapped {
		return exchanger.Idle
	}
	return exchanger.Failed
}

// finishKeyed commits a request that was wrapped into a transaction.
func (a *attempt) finishKeyed(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	if r.Code != "" || r.Status == exchanger.Failed {
		a.abandon(x)
		s.status = exchanger.Idle
		s.out.release()
		s.note(recorder.NotRun, nil)
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
		a.abandon(x)
		s.status = exchanger.Idle
		return rolledBack(x), false
	}
	s.status = exchanger.Idle
	a.takeChanges(exchanger.Result{Status: exchanger.Idle, Tag: r.Tag})
	return a.acknowledge(x, c)
}

// commitLost settles a request whose COMMIT may or may not have arrived.
func (a *attempt) commitLost(x context.Context, err error) (*failure, bool) {
	s := a.session
	if errors.Is(err, lessor.ErrNotRun) {
		a.abandon(x)
		s.status = a.failedStatus()
		return a.refused(x, err), false
	}
	s.giveBack(false)
	s.status = exchanger.Idle
	return a.settle(x, err)
}

// settle makes the outcome of a keyed request final after its connection was
// lost, and answers or repeats it accordingly.
func (a *attempt) settle(x context.Context, cause error) (*failure, bool) {
	s := a.session
	k := s.keyed
	if k == nil {
		return unknown("the connection was lost before the backend server answered; whether the request ran isn't known", cause), false
	}
	y, stop := s.settling(x)
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

// rolledBack tells of a request that the server rolled back at its commit. Where its
// caller has cancelled, that is why: drivers run again what ends with codeSerialization,
// which a caller that cancelled didn't ask for.
func rolledBack(x context.Context) *failure {
	if x.Err() != nil {
		return notRun(codeCancelled, "canceling statement due to user request: "+cause(x), x.Err())
	}
	return notRun(codeSerialization, "the request was rolled back at its commit", nil)
}

// settling returns x without the caller's cancel, up to the same deadline, for as
// long as the session lasts.
//
// Most callers cancel, many of them while the server is still asked whether it
// works on a connection that has gone silent. To ask for the key's row under the
// context that has been cancelled fails at once and leaves the caller with
// "unknown", though a round trip would tell. A caller that has left needs no answer.
func (s *Session) settling(x context.Context) (context.Context, context.CancelFunc) {
	y, stop := committed(x)
	z, cancel := context.WithCancel(y)
	ended := context.AfterFunc(s.ctx, cancel)
	return z, func() {
		ended()
		cancel()
		stop()
	}
}

// settledNotRun repeats a request that was wrapped here under the next
// attempt; a transaction is its caller's to repeat.
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

// settledRan answers a request of which only the answer was lost.
func (a *attempt) settledRan() {
	s := a.session
	if s.keyed.wrapped {
		s.out.release()
	} else {
		s.out.rewind()
		for i := range a.plan.batch.Items {
			_ = s.answerItem(&a.plan.batch, i, localAnswer{tag: commitSQL})
		}
	}
	s.note(recorder.Ran, nil)
}

// execute runs texts on the session's connection, unseen by the caller. They
// are one request, so that after an error, a cancel among them, none of the
// rest runs.
func (s *Session) execute(x context.Context, inTransaction bool, texts ...string) (exchanger.Result, error) {
	var b batcher.Batch
	b.AddQuery(batcher.Swallow, strings.Join(texts, "; "))
	return s.lease.Exchange(x, lessor.Exchange{
		Batch:         &b,
		Output:        unseen{},
		AskPosition:   texts[len(texts)-1] == commitSQL,
		InTransaction: inTransaction,
	})
}

// unseen is the output of what the caller didn't send.
type unseen struct{}

// Frame implements exchanger.Output.
func (unseen) Frame(byte, []byte, bool, bool) error { return nil }
