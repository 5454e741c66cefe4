package server

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// leavesNoState reports whether the lessor may take the connection back with the answer, before the
// session has handled it. This applies to a request outside a transaction, and to the COMMIT of a
// transaction, if the connection keeps the settings with which it was leased and has no hidden
// state.
//
// If it were true for a request that changes a setting or leaves state, the next caller on the
// connection would run with that state.
func (a *attempt) leavesNoState() bool {
	s := a.session
	if s.pinned || s.hiddenState || s.flushed || a.end != batcher.Sync || !a.asksPosition() {
		return false
	}
	if !a.fresh {
		return a.commitsOnly() && slices.Equal(s.replay.Settings(), s.leaseSettings)
	}
	return s.keyed == nil && s.deferredBegin == nil && a.accessesDataOnly()
}

// accessesDataOnly reports whether the plan only reads or writes data or shows settings.
func (a *attempt) accessesDataOnly() bool {
	for _, d := range a.plan.executed {
		switch statelessKind(&d.statement) {
		case classifier.KindRead, classifier.KindWrite, classifier.KindShow:
		default:
			return false
		}
	}
	return len(a.plan.executed) > 0
}

// commitsOnly reports whether the plan is a single COMMIT without AND CHAIN.
func (a *attempt) commitsOnly() bool {
	if len(a.plan.executed) != 1 {
		return false
	}
	c := &a.plan.executed[0].statement
	return statelessKind(c) == classifier.KindCommit && !c.Parts[0].Chain
}

// statelessKind returns the kind of a text that is a single statement and leaves no state on the
// connection, else KindUnparsed.
func statelessKind(c *classifier.Statement) classifier.Kind {
	if c.Pin != classifier.PinNone || c.HiddenState || len(c.Parts) != 1 {
		return classifier.KindUnparsed
	}
	return c.Parts[0].Kind
}
