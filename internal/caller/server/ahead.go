package server

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// repeatable reports whether the request may run ahead of its read index: a read
// of its own at a replica, whose whole answer can be taken back. q is complete
// but for this.
func (a *attempt) repeatable(q *Query) bool {
	s := a.session
	if q.Write || !q.ReplicaSafe || a.number > 0 || a.end != batcher.Sync || len(a.plan.parts) == 0 {
		return false
	}
	return s.status == exchanger.Idle && s.begun == nil && !s.pinned && !s.flushed && a.asksPosition() && !a.controlsTransaction()
}

// gate keeps an answer from the caller until its read index is known.
type gate struct {
	context context.Context
	ahead   Speculation
	// word is what Confirm said, once asked.
	word  Confirmation
	asked bool
}

// open asks for the read index once and reports whether the answer may go out.
func (g *gate) open(before marker.Mark) bool {
	if !g.asked {
		g.word = g.ahead.Confirm(g.context, before)
		g.asked = true
	}
	return g.word.Covered
}

// confirm waits for the read index of an answer that was taken ahead of it, and
// reports whether another attempt is needed because the answer may lack a write
// that the session must see.
//
// The connection is given back before the wait, so that it holds no slot. What
// the answer left on it is noted first: the next caller must not meet it.
func (a *attempt) confirm(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	g := s.out.gate
	if g == nil || a.readOnlyRefusal(r) {
		return nil, false
	}
	a.takePins(r)
	if r.Status == exchanger.Idle && !r.Position.IsZero() && !s.pinned {
		s.giveBack(true)
	}
	if g.open(r.Before) {
		s.out.gate = nil
		return nil, false
	}
	s.out.rewind()
	s.giveBack(r.Status == exchanger.Idle)
	switch {
	case !a.atReplica(r) && !logStoodStill(r):
		f := unknown("request not answered: what it read isn't known to hold all that the session must see", x.Err())
		f.code = codeCancelled
		return f, false
	case x.Err() != nil:
		return notRun(codeCancelled, "canceling statement due to user request: "+cause(x), x.Err()), false
	}
	a.index, a.hasIndex = g.word.ReadIndex, g.word.HasReadIndex
	return notRun(codeCancelled, "the replica didn't hold what the session must see", nil), true
}

// atReplica reports whether the server was certainly a replica when it answered.
// Were it promoted meanwhile, a function that the read called may have written,
// and would write again in another attempt.
func (a *attempt) atReplica(r exchanger.Result) bool {
	return !r.Position.IsZero() && r.Position.Term == a.session.choice.SafeTerm
}

// logStoodStill reports whether the server's log didn't grow while it answered, so
// that the read wrote nothing, whatever the server was. A planned move of the primary
// would otherwise show to callers whose reads run at the server that it moves to.
func logStoodStill(r exchanger.Result) bool {
	return !r.Position.IsZero() && r.Position == r.Before
}
