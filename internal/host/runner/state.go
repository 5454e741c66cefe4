package runner

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/route/director"
	"github.com/cuminwick/cuminwick/internal/state/blackboard"
)

// State is what several controllers of one entry host share, the sections of
// its blackboard.
type State struct {
	// Configuration is the one in force, nil before the first. The reconciler
	// writes it and the director decides each request by it.
	Configuration blackboard.Section[*director.Runtime]
	// Members is what heartbeats tell of all entry hosts, empty where the
	// members are told.
	Members blackboard.Section[declarer.View]
	// Draining says that the host lets its last requests end.
	Draining blackboard.Section[bool]
}

// runtime returns the configuration in force by one atomic load, nil before the first.
func (h *Host) runtime() *director.Runtime {
	return h.board.Read().Configuration.Value
}

// configurationVersion is for those who subscribe to Configuration.
func configurationVersion(s *State) uint64 {
	return s.Configuration.Version
}

// configured is the write of the reconciler.
type configured struct {
	runtime *director.Runtime
}

func (c configured) write(s *State) {
	s.Configuration.Set(c.runtime)
}

// startDraining is the write of the drain.
func startDraining(s *State) {
	s.Draining.Set(true)
}

// sighted is the write of the membership.
type sighted struct {
	view declarer.View
}

func (x sighted) write(s *State) {
	s.Members.Set(x.view)
}

// update has w seen by all. It fails only once the host ends, when nobody
// reads the state any more.
func (h *Host) update(ctx context.Context, w blackboard.Write[State]) {
	if err := h.board.Update(ctx, w); err != nil {
		h.Log.WithError(err).WithField("step", "write host state").Debug("host state not written")
	}
}
