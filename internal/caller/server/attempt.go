package server

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// attempt is the state of the attempts to run a plan at a backend server.
type attempt struct {
	session *Session
	plan    *plan
	// end is the type of the message that ends the batch, Sync or Flush.
	end byte
	// number is the number of the current attempt, counted from zero.
	number int

	// fresh says that the connection was leased for this attempt, so that no transaction is open
	// on it.
	fresh bool
	// avoid is the name of the server at which an earlier attempt failed, empty for none.
	avoid string
	// readIndex is the read index of an earlier speculative attempt.
	readIndex    marker.Mark
	hasReadIndex bool
	// write says that a server refused the request as a write in a read-only transaction.
	write bool
}

// run makes one attempt and reports whether another attempt is safe and useful.
func (a *attempt) run(x context.Context) (*failure, bool) {
	s := a.session
	if f, retry := a.acquire(x); f != nil {
		return f, retry
	}
	if s.keyed != nil && !s.keyed.reserved {
		if f, retry := a.reserve(x); f != nil || s.lease == nil {
			return f, retry
		}
	}
	if s.choice.AgeUnknown && a.fresh {
		s.notice("no majority can be reached; the age of the data is unknown, but it holds this session's own writes")
	}
	s.out.beginAnswer(a.holdsAnswer())
	if a.fresh && s.choice.Speculation != nil {
		s.out.gate = &gate{context: x, speculation: s.choice.Speculation}
	}
	r, err := s.lease.Exchange(x, a.exchange())
	if err != nil {
		s.out.dropGated()
		return a.exchangeFailed(x, r, err)
	}
	if f, retry := a.confirm(x, r); f != nil {
		return f, retry
	}
	return a.exchangeAnswered(x, r)
}

// acquire leases a connection unless the session holds one.
func (a *attempt) acquire(x context.Context) (*failure, bool) {
	s := a.session
	a.fresh = s.lease == nil
	if !a.fresh {
		return nil, false
	}
	c, err := s.Director.Choose(x, a.query())
	if err != nil {
		return a.refused(x, err), false
	}
	l, err := c.Lessor.Lease(x, a.demand(x, c))
	if err != nil {
		a.avoid = c.Server
		return a.refused(x, err), errors.Is(err, lessor.ErrUnreachable)
	}
	s.lease = l
	s.leaseSettings = s.replay.Settings()
	s.choice = c
	return nil, false
}

// refused returns the failure of a request that failed before anything was sent.
func (a *attempt) refused(x context.Context, err error) *failure {
	if x.Err() == nil {
		return describe(err)
	}
	f := notRun(codeCancelled, "request not run: "+cause(x)+" while it waited", err)
	if errors.Is(context.Cause(x), context.DeadlineExceeded) {
		f.hint = hint(err)
	}
	return f
}

func (a *attempt) query() Query {
	s := a.session
	q := Query{
		Session:         s.ID,
		Request:         s.request,
		Group:           s.group,
		Role:            s.role,
		ApplicationName: s.applicationName(),
		Write:           a.write,
		ReplicaSafe:     true,
		Avoid:           a.avoid,
		Attempt:         a.number,
	}
	q.Mark, q.HasMark = s.marks.Get(s.group)
	q.Tag = s.tag
	if s.maximumAge != "" {
		d, err := time.ParseDuration(s.maximumAge)
		q.MaximumAge, q.HasMaximumAge = d, err == nil
	}
	for _, d := range a.plan.all() {
		c := &d.statement
		q.Write = q.Write || c.Writes || c.Pin != classifier.PinNone
		q.ReplicaSafe = q.ReplicaSafe && c.ReplicaSafe
		if c.Tag != "" {
			q.Tag = c.Tag
		}
		if c.HasMaximumAge {
			q.MaximumAge = c.MaximumAge
			q.HasMaximumAge = true
		}
	}
	if b := s.deferredBegin; b != nil {
		q.Write = !b.readOnly
	}
	q.Write = q.Write || s.keyed != nil
	q.MaySpeculate = a.maySpeculate(&q)
	q.ReadIndex, q.HasReadIndex = a.readIndex, a.hasReadIndex
	return q
}

func (a *attempt) demand(x context.Context, c Choice) lessor.Demand {
	s := a.session
	t, _ := x.Deadline()
	return lessor.Demand{
		Session:   s.ID,
		Request:   s.request,
		Team:      c.Team,
		Deadline:  t,
		Write:     c.Primary,
		Settings:  s.replay.Settings(),
		Retryable: s.keyed != nil && !s.keyed.reserved || s.deferredBegin != nil && !a.commits(),
	}
}

// exchange returns the exchange of the plan's batch, preceded by the caller's deferred BEGIN.
func (a *attempt) exchange() lessor.Exchange {
	s := a.session
	b := &a.plan.batch
	if s.deferredBegin != nil && a.fresh {
		b = b.WithBegin(s.deferredBegin.sql)
	}
	return lessor.Exchange{
		Batch:         b,
		Output:        &s.out,
		Input:         a.copyInput(),
		AskPosition:   a.asksPosition(),
		AskBefore:     s.out.gate != nil,
		AskProof:      a.asksProof(),
		InTransaction: !a.fresh || s.keyed != nil,
		ReturnIfIdle:  a.leavesNoState(),
	}
}

// holdsAnswer reports whether the answer is held from its CommandComplete on, until it is known that it
// is the batch's own, or whether it must wait for the majority. The latter applies to whatever may
// commit, and to reads, for which only the log position in the answer shows whether they must wait.
func (a *attempt) holdsAnswer() bool {
	s := a.session
	if a.asksProof() {
		return true
	}
	if a.end == batcher.Flush {
		return false
	}
	if s.keyed != nil && s.keyed.wrapped {
		return true
	}
	return s.status == exchanger.Idle && s.deferredBegin == nil || a.commits()
}

// asksProof reports whether it is checked that the answer is that to the batch. The log position shows
// that too, but is only queried outside of transactions.
func (a *attempt) asksProof() bool {
	return !a.mayCopyIn() && !a.asksPosition()
}

// commits reports whether the plan contains a COMMIT.
func (a *attempt) commits() bool {
	for _, d := range a.plan.executed {
		for i := range d.statement.Parts {
			if d.statement.Parts[i].Kind == classifier.KindCommit {
				return true
			}
		}
		if d.statement.Kind == classifier.KindCommit {
			return true
		}
	}
	return false
}

// asksPosition reports whether the log position can be queried along with the batch. A server in
// COPY FROM STDIN would take the query for data.
func (a *attempt) asksPosition() bool {
	s := a.session
	if a.end == batcher.Flush {
		return false
	}
	if a.mayCopyIn() {
		return false
	}
	return s.status == exchanger.Idle && s.deferredBegin == nil || a.commits()
}

func copiesIn(c *classifier.Statement) bool {
	if c.Kind == classifier.KindCopyIn {
		return true
	}
	for i := range c.Parts {
		if c.Parts[i].Kind == classifier.KindCopyIn {
			return true
		}
	}
	return false
}

// readOnlyRefusal reports whether a replica, or a primary that was fenced in the meantime, refused a
// write before any of it took effect.
func (a *attempt) readOnlyRefusal(r exchanger.Result) bool {
	s := a.session
	if r.Code != codeReadOnly || !a.fresh {
		return false
	}
	return s.deferredBegin == nil || !s.deferredBegin.readOnly
}

// retryElsewhere releases the connection and asks for another attempt at another server.
func (a *attempt) retryElsewhere(r exchanger.Result) (*failure, bool) {
	s := a.session
	a.releaseForRetry(r.Status == exchanger.Idle)
	a.restartKeyed()
	a.avoid = s.choice.Server
	a.write = true
	return notRun(codeReadOnly, "no primary took the write", nil), true
}
