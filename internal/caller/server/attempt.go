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

// attempt is one try of a plan at a backend server.
type attempt struct {
	session *Session
	plan    *plan
	end     byte
	number  int

	// fresh says that the connection was taken for this attempt, so that
	// nothing of an open transaction is on it.
	fresh bool
	// avoid names a server that refused the request as read-only.
	avoid string
	// index is the read index of an earlier try that ran ahead of it.
	index    marker.Mark
	hasIndex bool
	// write says that the request has shown itself to be a write.
	write bool
}

// run tries once and reports whether another try is safe and makes sense.
func (a *attempt) run(x context.Context) (*failure, bool) {
	s := a.session
	if f, again := a.take(x); f != nil {
		return f, again
	}
	if s.keyed != nil && !s.keyed.reserved {
		if f, again := a.reserve(x); f != nil || s.lease == nil {
			return f, again
		}
	}
	if s.choice.AgeUnknown && a.fresh {
		s.notice("no majority can be reached; the age of the data is unknown, but it holds this session's own writes")
	}
	s.out.begin(a.holds())
	if a.fresh && s.choice.Speculation != nil {
		s.out.gate = &gate{context: x, ahead: s.choice.Speculation}
	}
	r, err := s.lease.Exchange(x, a.exchange())
	if err != nil {
		s.out.dropGated()
		return a.failed(x, r, err)
	}
	if f, again := a.confirm(x, r); f != nil {
		return f, again
	}
	return a.answered(x, r)
}

// take makes sure that the session holds a connection.
func (a *attempt) take(x context.Context) (*failure, bool) {
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
	s.leased = s.replay.Settings()
	s.choice = c
	return nil, false
}

// refused describes an error before anything was sent.
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
	if b := s.begun; b != nil {
		q.Write = !b.readOnly
	}
	q.Write = q.Write || s.keyed != nil
	q.MaySpeculate = a.repeatable(&q)
	q.ReadIndex, q.HasReadIndex = a.index, a.hasIndex
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
		Retryable: s.keyed != nil && !s.keyed.reserved || s.begun != nil && !a.commits(),
	}
}

// exchange builds the batch, with the BEGIN that the caller sent before.
func (a *attempt) exchange() lessor.Exchange {
	s := a.session
	b := &a.plan.batch
	if s.begun != nil && a.fresh {
		b = b.Begun(s.begun.sql)
	}
	return lessor.Exchange{
		Batch:         b,
		Output:        &s.out,
		Input:         s,
		AskPosition:   a.asksPosition(),
		AskBefore:     s.out.gate != nil,
		InTransaction: !a.fresh || s.keyed != nil,
		ReturnIfIdle:  a.leavesNothing(),
	}
}

// holds reports whether the answer's CommandComplete waits for the majority:
// whatever may commit, and reads, of which only the answer's position tells.
func (a *attempt) holds() bool {
	s := a.session
	if a.end == batcher.Flush {
		return false
	}
	if s.keyed != nil && s.keyed.wrapped {
		return true
	}
	return s.status == exchanger.Idle && s.begun == nil || a.commits()
}

// commits reports whether the plan holds a COMMIT.
func (a *attempt) commits() bool {
	for _, d := range a.plan.parts {
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

// asksPosition reports whether the log position can be asked for along with
// the batch; a server in COPY FROM STDIN would mistake the question for data.
func (a *attempt) asksPosition() bool {
	s := a.session
	if a.end == batcher.Flush {
		return false
	}
	for _, d := range a.plan.parts {
		if d.statement.Kind == classifier.KindUnparsed || copies(&d.statement) {
			return false
		}
	}
	return s.status == exchanger.Idle && s.begun == nil || a.commits()
}

func copies(c *classifier.Statement) bool {
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

// readOnlyRefusal reports whether a server refused a write that nothing was
// done of: a replica, or a primary that was fenced meanwhile.
func (a *attempt) readOnlyRefusal(r exchanger.Result) bool {
	s := a.session
	if r.Code != codeReadOnly || !a.fresh {
		return false
	}
	return s.begun == nil || !s.begun.readOnly
}

// elsewhere gives the connection back and asks for another try.
func (a *attempt) elsewhere(r exchanger.Result) (*failure, bool) {
	s := a.session
	a.letGo(r.Status == exchanger.Idle)
	a.restartKeyed()
	a.avoid = s.choice.Server
	a.write = true
	return notRun(codeReadOnly, "no primary took the write", nil), true
}
