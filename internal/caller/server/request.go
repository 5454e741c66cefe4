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
	q, _, err := split(body)
	if err != nil {
		return s.refuse(describe(errors.Annotate(err, "read query message")))
	}
	c, err := s.Classifier.Classify(q)
	if err != nil {
		return s.refuse(describe(errors.Annotate(err, "classify statement")))
	}
	if c.Kind == classifier.KindEmpty {
		s.out.send(&pgproto3.EmptyQueryResponse{})
		s.ready()
		return nil
	}
	p := &plan{parts: []*prepared{{statement: c}}}
	p.batch.AddQuery(batcher.Pass, q)
	return s.perform(p, batcher.Sync)
}

// extended handles the messages of the extended protocol up to a Sync or Flush.
func (s *Session) extended(t byte) error {
	defer s.pending.Reset(parkedBytes)
	if t == batcher.Sync && s.skip {
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
		s.ready()
		return nil
	}
	return s.perform(p, t)
}

// syncOnly reports whether the messages are a lone Sync that no backend server waits for.
func (s *Session) syncOnly(t byte) bool {
	return t == batcher.Sync && len(s.pending.Items) == 1 && !s.flushed
}

// refuse answers a request that isn't sent to a backend server.
func (s *Session) refuse(f *failure) error {
	s.report(f)
	s.ended(f, 0)
	s.ready()
	return nil
}

// refuseExtended also skips to the Sync where the error came at a Flush.
func (s *Session) refuseExtended(f *failure, t byte) error {
	if t == batcher.Sync && !s.flushed {
		return s.refuse(f)
	}
	s.report(f)
	s.ended(f, 0)
	s.skip = true
	if t == batcher.Sync {
		return s.endSkip()
	}
	return nil
}

// endSkip ends a pipeline that failed at a Flush.
func (s *Session) endSkip() error {
	s.skip = false
	s.pending.Reset(parkedBytes)
	if !s.flushed || s.lease == nil {
		s.flushed = false
		s.ready()
		return nil
	}
	p := &plan{}
	p.batch.AddBody(batcher.Sync, batcher.Pass)
	return s.perform(p, batcher.Sync)
}

// perform runs a plan here or at a backend server and answers the caller.
func (s *Session) perform(p *plan, t byte) error {
	if f := s.check(p); f != nil {
		return s.refuseExtended(f, t)
	}
	if a, ok := s.answerHere(p); ok {
		return s.answerLocally(p, a, t)
	}
	s.errored = false
	var w scheduler.Stopwatch
	w.Elapsed()
	x := s.startRequest()
	f := s.attempts(x, p, t)
	s.endRequest(x)
	if f != nil {
		s.report(f)
	}
	s.ended(f, w.Elapsed())
	if f != nil && s.lease == nil && endsTransaction(p) {
		s.status = exchanger.Idle
	}
	s.settleDefinitions(p, f != nil || s.errored)
	s.afterRequest(f, t)
	if s.out.err != nil {
		return s.out.err
	}
	return nil
}

// check refuses what can't be served without being silently wrong.
func (s *Session) check(p *plan) *failure {
	for _, d := range p.all() {
		if r := d.statement.Refusal; r != classifier.RefusalNone {
			return notRun(codeFeature, "statement refused: "+r.String(), nil)
		}
	}
	if s.status == exchanger.Idle && !s.pinned && asksSequence(p) {
		return notRun(codeFeature, "currval and lastval are only served within the transaction that used the sequence", nil)
	}
	if s.status == exchanger.Failed && s.lease == nil && !endsTransaction(p) {
		return notRun(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block", nil)
	}
	return nil
}

// asksSequence reports whether the answer would depend on what the connection
// last did with a sequence, which may have been another caller's request.
func asksSequence(p *plan) bool {
	for _, d := range p.parts {
		if d.statement.SequenceState {
			return true
		}
	}
	return false
}

// all returns the statements that a plan executes or looks at.
func (p *plan) all() []*prepared {
	return append(p.parts[:len(p.parts):len(p.parts)], p.parsed...)
}

// endsTransaction reports whether the plan is a single COMMIT or ROLLBACK.
func endsTransaction(p *plan) bool {
	if len(p.parts) != 1 {
		return false
	}
	k := p.parts[0].statement.Kind
	return k == classifier.KindCommit || k == classifier.KindRollback
}

func (s *Session) timeout() time.Duration {
	t := s.statementTimeout()
	if t == 0 || t > s.RequestTimeout {
		return s.RequestTimeout
	}
	return t
}

// attempts runs a plan at backend servers until it is done, can't be repeated,
// or the request's time is over.
func (s *Session) attempts(x context.Context, p *plan, t byte) *failure {
	a := attempt{session: s, plan: p, end: t}
	if f := a.startKeyed(); f != nil {
		return f
	}
	for {
		f, again := a.run(x)
		if !again {
			return f
		}
		if x.Err() != nil {
			return notRun(codeCancelled, "request not run: "+cause(x)+" while it waited for a backend server", f)
		}
		s.out.rewind()
		a.number++
	}
}

// settleDefinitions forgets statements whose Parse didn't succeed.
func (s *Session) settleDefinitions(p *plan, failed bool) {
	n := s.out.parsed
	if !failed || n >= len(p.defined) {
		return
	}
	s.statements.forget(p.defined[n:])
}

// afterRequest releases the connection at a transaction's end and tells the caller.
func (s *Session) afterRequest(f *failure, t byte) {
	s.flushed = t == batcher.Flush && s.lease != nil
	if t == batcher.Flush {
		// A server that has answered with an error skips to the Sync as well.
		s.skip = f != nil || s.errored
		return
	}
	if s.lease != nil && s.status == exchanger.Idle && !s.pinned {
		s.giveBack(true)
	}
	if s.keyed != nil && s.status == exchanger.Idle {
		s.endKeyed(f)
	}
	s.ready()
}

// endKeyed forgets the key once its request is over; one that did not run may
// be sent again under the same SET.
func (s *Session) endKeyed(f *failure) {
	if f == nil || f.outcome != recorder.NotRun {
		s.key = ""
	}
	s.keyed = nil
}

// giveBack returns the connection to its pool.
func (s *Session) giveBack(clean bool) {
	if s.lease == nil {
		return
	}
	s.lease.Release(lessor.Return{Clean: clean, Settings: s.replay.Settings(), HiddenState: s.hidden})
	s.lease = nil
	s.hidden = false
	s.begun = nil
}

// report sends an error with its outcome and notes it.
func (s *Session) report(f *failure) {
	s.abort()
	s.out.dropHeld()
	s.out.send(f.response(s.requestID()))
	s.note(f.outcome, f)
}

// abort ends the transaction in which an error was answered, as a server does
// by itself. Otherwise a caller that takes the transaction for failed would
// commit with its next one what it was told did not run.
func (s *Session) abort() {
	if s.status != exchanger.InTransaction {
		return
	}
	s.giveBack(false)
	s.begun = nil
	s.pinned = false
	s.replay.End(false)
	s.status = exchanger.Failed
}

// note keeps and logs the outcome of a request.
func (s *Session) note(o recorder.Outcome, f *failure) {
	s.last = lastOutcome{request: s.request, outcome: o}
	if f == nil {
		return
	}
	s.Log.WithField("session", s.ID).WithField("request", s.requestID()).WithField("outcome", string(o)).WithField("sqlstate", f.code).WithError(f).Warn("request failed")
}

// moveMark takes over a position that the session has seen and that lasts.
func (s *Session) moveMark(m marker.Mark) {
	if !m.IsZero() {
		s.marks.Raise(s.group, m)
	}
}

// cause returns why a request's context ended, for the caller.
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
