package director

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// ahead chooses a replica for a read before the read index is known, if the
// answer can be kept back until then. Otherwise the index goes on being taken.
func (s *search) ahead(ctx context.Context) (server.Choice, bool) {
	if !s.query.Repeatable || s.request.StaleAllowed || !chooser.NeedsReadIndex(&s.request) || !s.group.Driver.View().HasMajority() {
		return server.Choice{}, false
	}
	if s.group.Driver.HandingOver() {
		// At the server that becomes the primary meanwhile, it couldn't be run again.
		return server.Choice{}, false
	}
	s.pending = s.group.Driver.BeginReadIndex(ctx)
	if !s.runtime.budget.HasReserve() {
		return server.Choice{}, false
	}
	l := s.group.candidates(s.director, s.group.knowledge.Load(), s.candidates[:0])
	s.request.ReadIndex, s.request.HasReadIndex = chooser.ExpectedReadIndex(l), true
	x, l := s.look()
	s.request.ReadIndex, s.request.HasReadIndex = marker.Mark{}, false
	if !chooser.CanSpeculate(&x, l) {
		return server.Choice{}, false
	}
	b := s.group.servers[x.Index].repeats
	b.CountRequest()
	if !b.HasReserve() {
		return server.Choice{}, false
	}
	c := s.chosen(&x, l)
	c.Ahead = &ahead{index: s.pending, mark: s.request.Mark, known: l[x.Index].Last, repeats: b}
	return c, true
}

// ahead implements server.Ahead.
type ahead struct {
	index driver.PendingIndex
	mark  marker.Mark
	known marker.Mark
	// repeats is charged for a read that must be run again.
	repeats *retrier.Budget
}

// Confirm implements server.Ahead.
func (a *ahead) Confirm(ctx context.Context, before marker.Mark) server.Confirmation {
	m, err := awaitIndex(ctx, a.index)
	if err != nil {
		return server.Confirmation{}
	}
	ok := chooser.SpeculationValid(a.mark, m, a.known, before)
	if !ok {
		a.repeats.Allow(retrier.OutcomeNotRun, true)
	}
	return server.Confirmation{Covered: ok, Index: m, HasIndex: true}
}

func awaitIndex(ctx context.Context, r driver.PendingIndex) (marker.Mark, error) {
	x, cancel := context.WithTimeout(ctx, indexTimeout)
	defer cancel()
	return r.Await(x)
}
