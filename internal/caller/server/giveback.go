package server

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// leavesNothing reports whether the connection can go back with the answer, before
// the session has judged it: after a request of its own, or the COMMIT of a
// transaction, that leaves the settings with which the connection was lent and
// nothing hidden.
//
// Was a request let through that changes a setting or leaves state, the next caller
// on the connection would run under it.
func (a *attempt) leavesNothing() bool {
	s := a.session
	if s.pinned || s.hidden || s.flushed || a.end != batcher.Sync || !a.asksPosition() {
		return false
	}
	if !a.fresh {
		return a.endsPlainly() && slices.Equal(s.replay.Settings(), s.leased)
	}
	return s.keyed == nil && s.begun == nil && a.plain()
}

// plain reports whether the plan reads or writes data only.
func (a *attempt) plain() bool {
	for _, d := range a.plan.parts {
		switch only(&d.statement) {
		case classifier.KindRead, classifier.KindWrite, classifier.KindShow:
		default:
			return false
		}
	}
	return len(a.plan.parts) > 0
}

// endsPlainly reports whether the plan is a COMMIT that opens no next transaction.
func (a *attempt) endsPlainly() bool {
	if len(a.plan.parts) != 1 {
		return false
	}
	c := &a.plan.parts[0].statement
	return only(c) == classifier.KindCommit && !c.Parts[0].Chain
}

// only returns the kind of c if it is a single statement without a trace on the
// connection, else KindUnparsed.
func only(c *classifier.Statement) classifier.Kind {
	if c.Pin != classifier.PinNone || c.HiddenState || len(c.Parts) != 1 {
		return classifier.KindUnparsed
	}
	return c.Parts[0].Kind
}
