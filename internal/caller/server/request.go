package server

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// simple handles one simple query.
func (s *Session) simple(body []byte) error {
	s.request++
	q, err := onlyString(body)
	if err != nil {
		return s.refuse(describe(errors.Annotate(err, "read query message")))
	}
	c, err := s.Classifier.Classify(q)
	if err != nil {
		return s.refuse(describe(errors.Annotate(err, "classify statement")))
	}
	if c.Kind == classifier.KindEmpty {
		s.out.send(&pgproto3.EmptyQueryResponse{})
		s.readyForQuery()
		return nil
	}
	p := &plan{executed: []*prepared{{statement: c}}}
	p.batch.AddStatements(batcher.Pass, q, resultsOf(&c))
	return s.perform(p, batcher.Sync)
}

// resultsOf returns the number of results of a text, zero if it isn't known.
func resultsOf(c *classifier.Statement) int {
	if c.Kind == classifier.KindUnparsed {
		return 0
	}
	return len(c.Parts)
}

// extended handles the pending messages of the extended protocol; t is the type of the message that
// ends them, Sync or Flush.
func (s *Session) extended(t byte) error {
	defer s.pending.Reset(idleBufferBytes)
	if t == batcher.Sync && s.skipToSync {
		return s.endSkip()
	}
	if !s.flushed {
		s.request++
	}
	p := newPlan(&s.pending)
	l := planner{statements: &s.statements, plan: p}
	for i := range s.pending.Items {
		if err := l.add(&s.pending, i); err != nil {
			return s.refuseExtended(describe(err), t)
		}
	}
	if s.syncOnly(t) {
		s.readyForQuery()
		return nil
	}
	return s.perform(p, t)
}

// syncOnly reports whether the messages are a single Sync that no backend server waits for.
func (s *Session) syncOnly(t byte) bool {
	return t == batcher.Sync && len(s.pending.Items) == 1 && !s.flushed
}

// refuse answers a request that isn't sent to a backend server.
func (s *Session) refuse(f *failure) error {
	s.report(f)
	s.countRequest(f, 0)
	s.readyForQuery()
	return nil
}

// refuseExtended answers a request that isn't sent to a backend server. After an error at a Flush,
// the messages up to the next Sync are skipped.
func (s *Session) refuseExtended(f *failure, t byte) error {
	if t == batcher.Sync && !s.flushed {
		return s.refuse(f)
	}
	s.report(f)
	s.countRequest(f, 0)
	s.skipToSync = true
	if t == batcher.Sync {
		return s.endSkip()
	}
	return nil
}

// endSkip ends the skipping of messages at a Sync, after an error at a Flush.
func (s *Session) endSkip() error {
	s.skipToSync = false
	s.pending.Reset(idleBufferBytes)
	if !s.flushed || s.lease == nil {
		s.flushed = false
		s.readyForQuery()
		return nil
	}
	p := &plan{}
	p.batch.AddBody(batcher.Sync, batcher.Pass)
	return s.perform(p, batcher.Sync)
}

// perform runs a plan locally or at a backend server and answers the caller.
func (s *Session) perform(p *plan, t byte) error {
	if f := s.check(p); f != nil {
		return s.refuseExtended(f, t)
	}
	if a, ok := s.findLocalAnswer(p); ok {
		return s.answerLocally(p, a, t)
	}
	s.errored = false
	var w scheduler.Stopwatch
	w.Elapsed()
	x := s.startRequest()
	f := s.runAttempts(x, p, t)
	s.endRequest(x)
	if f != nil {
		s.report(f)
	}
	s.countRequest(f, w.Elapsed())
	if f != nil && s.lease == nil && endsTransaction(p) {
		s.status = exchanger.Idle
	}
	s.forgetFailedParses(p, f != nil || s.errored)
	s.afterRequest(f, t)
	if s.out.err != nil {
		return s.out.err
	}
	return nil
}

// check refuses statements that can't be served, or whose results could be wrong without an error.
func (s *Session) check(p *plan) *failure {
	for _, d := range p.all() {
		if r := d.statement.Refusal; r != classifier.RefusalNone {
			return notRun(codeFeature, "statement refused: "+r.String(), nil)
		}
	}
	if s.status == exchanger.Idle && !s.pinned && dependsOnSequenceState(p) {
		return notRun(codeFeature, "currval and lastval are only served within the transaction that used the sequence", nil)
	}
	if s.status == exchanger.Failed && s.lease == nil && !endsTransaction(p) {
		return notRun(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block", nil)
	}
	return nil
}

// dependsOnSequenceState reports whether the answer depends on the connection's last use of a
// sequence, which may belong to the request of another caller.
func dependsOnSequenceState(p *plan) bool {
	for _, d := range p.executed {
		if d.statement.SequenceState {
			return true
		}
	}
	return false
}

// all returns the statements that a plan executes, parses or describes.
func (p *plan) all() []*prepared {
	return append(p.executed[:len(p.executed):len(p.executed)], p.parsed...)
}

// endsTransaction reports whether the plan is a single COMMIT or ROLLBACK.
func endsTransaction(p *plan) bool {
	if len(p.executed) != 1 {
		return false
	}
	k := p.executed[0].statement.Kind
	return k == classifier.KindCommit || k == classifier.KindRollback
}

func (s *Session) timeout() time.Duration {
	t := s.statementTimeout()
	if t == 0 || t > s.RequestTimeout {
		return s.RequestTimeout
	}
	return t
}

// runAttempts runs a plan at backend servers until it is done, can't be repeated, or the request's
// context ends.
func (s *Session) runAttempts(x context.Context, p *plan, t byte) *failure {
	a := attempt{session: s, plan: p, end: t}
	if f := a.startKeyed(); f != nil {
		return f
	}
	for {
		f, retry := a.run(x)
		if !retry {
			return f
		}
		if x.Err() != nil {
			return notRun(codeCancelled, "request not run: "+cause(x)+" while it waited for a backend server", f)
		}
		s.out.rewind()
		a.number++
	}
}

// forgetFailedParses removes the statements whose Parse did not succeed.
func (s *Session) forgetFailedParses(p *plan, failed bool) {
	n := s.out.parseCompletes
	if !failed || n >= len(p.defined) {
		return
	}
	s.statements.forget(p.defined[n:])
}

// afterRequest releases the connection at the end of a transaction and sends ReadyForQuery.
func (s *Session) afterRequest(f *failure, t byte) {
	s.flushed = t == batcher.Flush && s.lease != nil
	if t == batcher.Flush {
		// After an error, the server skips the messages up to the Sync as well.
		s.skipToSync = f != nil || s.errored
		return
	}
	if s.lease != nil && s.status == exchanger.Idle && !s.pinned {
		s.releaseConnection(true)
	}
	if s.keyed != nil && s.status == exchanger.Idle {
		s.endKeyed(f)
	}
	s.readyForQuery()
}

// endKeyed removes the idempotency key once its request is done. The key that was set by SET is kept
// for a request that did not run, which may be sent again.
func (s *Session) endKeyed(f *failure) {
	if f == nil || f.outcome != recorder.NotRun {
		s.idempotencyKey = ""
	}
	s.keyed = nil
}

// releaseConnection returns the connection to its pool. clean says that it is outside a transaction
// with nothing unread.
func (s *Session) releaseConnection(clean bool) {
	if s.lease == nil {
		return
	}
	s.lease.Release(lessor.Return{Clean: clean, Settings: s.replay.Settings(), HiddenState: s.hiddenState})
	s.lease = nil
	s.hiddenState = false
	s.deferredBegin = nil
}

// report sends the caller an error with its outcome, and records the outcome.
func (s *Session) report(f *failure) {
	s.abortTransaction()
	s.out.dropHeld()
	s.out.send(f.response(s.requestID()))
	s.recordOutcome(f.outcome, f)
}

// abortTransaction ends the transaction in which an error was answered, as PostgreSQL does.
// Otherwise, a caller that assumes that the transaction failed would commit, with its next
// transaction, statements that were reported as not run.
func (s *Session) abortTransaction() {
	if s.status != exchanger.InTransaction {
		return
	}
	s.releaseConnection(false)
	s.deferredBegin = nil
	s.pinned = false
	s.replay.End(false)
	s.status = exchanger.Failed
}

// recordOutcome stores the outcome of the current request and logs a failure.
func (s *Session) recordOutcome(o recorder.Outcome, f *failure) {
	s.lastOutcome = lastOutcome{request: s.request, outcome: o}
	if f == nil {
		return
	}
	s.Log.WithField("session", s.ID).WithField("request", s.requestID()).WithField("outcome", string(o)).WithField("sqlstate", f.code).WithError(f).Warn("request failed")
}

// raiseMark raises the session's mark to a position that the session has observed and that is
// durable.
func (s *Session) raiseMark(m marker.Mark) {
	if !m.IsZero() {
		s.marks.Raise(s.group, m)
	}
}

// cause returns the reason for which a request's context ended, for a message to the caller.
func cause(x context.Context) string {
	switch c := context.Cause(x); {
	case errors.Is(c, errCancelled):
		return "cancelled by the caller"
	case errors.Is(c, errDisconnected):
		return "the caller disconnected"
	case errors.Is(c, ErrStopping):
		return "the entry host is stopping"
	default:
		return "its timeout has passed"
	}
}
