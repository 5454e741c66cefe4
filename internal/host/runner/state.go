package runner

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/route/director"
	"github.com/cuminwick/cuminwick/internal/state/blackboard"
)

// State is the state that several controllers of one entry host share. Its fields are the sections
// of the host's blackboard.
type State struct {
	// Configuration is the configuration in force, nil before the first one. The reconciler writes
	// it, and the director reads it for each request.
	Configuration blackboard.Section[*director.Runtime]
	// Members is the view of all entry hosts from heartbeats, empty if Host.Members was set.
	Members blackboard.Section[declarer.View]
	// Draining reports that the host accepts no callers and waits for its last requests to end.
	Draining blackboard.Section[bool]
}

// runtime returns the configuration in force by one atomic load, nil before the first one.
func (h *Host) runtime() *director.Runtime {
	return h.board.Read().Configuration.Value
}

// configurationVersion selects Configuration for a subscriber of the board.
func configurationVersion(s *State) uint64 {
	return s.Configuration.Version
}

// configurationWrite sets Configuration. It is used by the reconciler.
type configurationWrite struct {
	runtime *director.Runtime
}

func (c configurationWrite) write(s *State) {
	s.Configuration.Set(c.runtime)
}

// startDraining sets Draining. It is used by the drainer.
func startDraining(s *State) {
	s.Draining.Set(true)
}

// membersWrite sets Members. It is used by loopMembers.
type membersWrite struct {
	view declarer.View
}

func (x membersWrite) write(s *State) {
	s.Members.Set(x.view)
}

// update applies w to the board. It fails only after the host has ended, when the state isn't read
// by anyone, so the error is only logged.
func (h *Host) update(ctx context.Context, w blackboard.Write[State]) {
	if err := h.board.Update(ctx, w); err != nil {
		h.Log.WithError(err).WithField("step", "write host state").Debug("host state not written")
	}
}
