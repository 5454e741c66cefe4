package director

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// runAhead chooses a replica for a read before its read index is known, if the answer can be withheld
// until then. If it chooses none, the read index stays pending in s.
func (s *search) runAhead(ctx context.Context) (server.Choice, bool) {
	if !s.query.MaySpeculate || s.request.StaleAllowed || !chooser.NeedsReadIndex(&s.request) || !s.group.Driver.View().HasMajority() {
		return server.Choice{}, false
	}
	if s.group.Driver.HandingOver() {
		// The replica may become the primary meanwhile, where the read could not be run again.
		return server.Choice{}, false
	}
	s.pending = s.group.Driver.BeginReadIndex(ctx)
	if !s.runtime.budget.HasReserve() {
		return server.Choice{}, false
	}
	l := s.group.candidates(s.director, s.group.statistics.Load(), s.candidates[:0])
	s.request.ReadIndex, s.request.HasReadIndex = chooser.ExpectedReadIndex(l), true
	x, l := s.choose()
	s.request.ReadIndex, s.request.HasReadIndex = marker.Mark{}, false
	if !chooser.CanSpeculate(&x, l) {
		return server.Choice{}, false
	}
	b := s.group.servers[x.Index].repeatBudget
	b.CountRequest()
	if !b.HasReserve() {
		return server.Choice{}, false
	}
	c := s.choice(&x, l)
	c.Speculation = &ahead{index: s.pending, mark: s.request.Mark, known: l[x.Index].Last, repeatBudget: b}
	return c, true
}

// ahead implements server.Speculation.
type ahead struct {
	// index is the pending read index.
	index driver.PendingIndex
	// mark is the session's mark.
	mark marker.Mark
	// known is the last entry of the server's log when it was last polled.
	known marker.Mark
	// repeatBudget is charged for a read that must be run again.
	repeatBudget *retrier.Budget
}

// Confirm implements server.Speculation.
func (a *ahead) Confirm(ctx context.Context, before marker.Mark) server.Confirmation {
	m, err := awaitIndex(ctx, a.index)
	if err != nil {
		return server.Confirmation{}
	}
	ok := chooser.SpeculationValid(a.mark, m, a.known, before)
	if !ok {
		a.repeatBudget.Allow(retrier.OutcomeNotRun, true)
	}
	return server.Confirmation{Covered: ok, ReadIndex: m, HasReadIndex: true}
}

// awaitIndex waits for the read index, at most for indexTimeout.
func awaitIndex(ctx context.Context, r driver.PendingIndex) (marker.Mark, error) {
	x, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	return r.Await(x)
}
