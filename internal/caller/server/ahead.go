package server

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// maySpeculate reports whether the request may run as a speculative read: a read outside a
// transaction that a replica may serve, and whose whole answer can be withheld. q is complete
// except for MaySpeculate and ReadIndex.
func (a *attempt) maySpeculate(q *Query) bool {
	s := a.session
	if q.Write || !q.ReplicaSafe || a.number > 0 || a.end != batcher.Sync || len(a.plan.executed) == 0 {
		return false
	}
	return s.status == exchanger.Idle && s.deferredBegin == nil && !s.pinned && !s.flushed && a.asksPosition() && !a.controlsTransaction()
}

// gate withholds the answer to a speculative read until its read index is known.
type gate struct {
	context     context.Context
	speculation Speculation
	// confirmation is the result of Confirm, valid if asked is set.
	confirmation Confirmation
	asked        bool
}

// open calls Confirm on its first call and reports whether the answer may be sent to the caller.
func (g *gate) open(before marker.Mark) bool {
	if !g.asked {
		g.confirmation = g.speculation.Confirm(g.context, before)
		g.asked = true
	}
	return g.confirmation.Covered
}

// confirm waits for the read index of a speculative read. If the answer may lack a write that the
// session must see, it returns a failure and reports whether another attempt can be made.
//
// The connection is released before the wait, so that it occupies no slot. The state that the
// request left on it is recorded first, since it must be cleared before the next caller uses the
// connection.
func (a *attempt) confirm(x context.Context, r exchanger.Result) (*failure, bool) {
	s := a.session
	g := s.out.gate
	if g == nil || a.readOnlyRefusal(r) {
		return nil, false
	}
	a.applyPins(r)
	if r.Status == exchanger.Idle && !r.Position.IsZero() && !s.pinned {
		s.releaseConnection(true)
	}
	if g.open(r.Before) {
		s.out.gate = nil
		return nil, false
	}
	s.out.rewind()
	s.releaseConnection(r.Status == exchanger.Idle)
	switch {
	case !a.ranAtReplica(r) && !logUnchanged(r):
		f := unknown("request not answered: what it read isn't known to hold all that the session must see", x.Err())
		f.code = codeCancelled
		return f, false
	case x.Err() != nil:
		return notRun(codeCancelled, "canceling statement due to user request: "+cause(x), x.Err()), false
	}
	a.readIndex, a.hasReadIndex = g.confirmation.ReadIndex, g.confirmation.HasReadIndex
	return notRun(codeCancelled, "the replica didn't hold what the session must see", nil), true
}

// ranAtReplica reports whether the server was certainly a replica when it answered. If it was
// promoted in the meantime, a function that the read called may have written, and would write again
// in another attempt.
func (a *attempt) ranAtReplica(r exchanger.Result) bool {
	return !r.Position.IsZero() && r.Position.Term == a.session.choice.SafeTerm
}

// logUnchanged reports whether the server's log did not grow during the read, so that the read wrote
// nothing even if the server was the primary. Without this check, a planned hand-over of the primary
// would fail the reads that run at the new primary.
func logUnchanged(r exchanger.Result) bool {
	return !r.Position.IsZero() && r.Position == r.Before
}
