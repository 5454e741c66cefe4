package executor

import (
	"math/rand/v2"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

// observeStalenessDivisor sets after which part of a route's maximum staleness, one in this many,
// the primary is asked for its position again, so that reads don't have to wait for it.
const observeStalenessDivisor = 2

// sharedPositionDivisor sets how old a position of the primary may be that another host has observed,
// as a part of a route's maximum staleness, one in this many. An older one is held by more replicas, a
// newer one can be used for longer.
const sharedPositionDivisor = 3

// primaryFailureLimit is how long a primary may fail before reads that require its position are
// refused soon. Most failures of that length end with a promotion.
const primaryFailureLimit = 300 * time.Millisecond

// chooseServer returns the id of the server to try, empty if none is available, and false if the
// position that the read requires is unknown.
func (a *attempt) chooseServer() (string, bool) {
	id := ""
	if a.primaryOnly {
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
			if s := g.Primary(); s != nil {
				id = s.ID
			}
		})
		a.primary = true
		a.reason = "primary"
		if id == "" {
			a.reason = "no primary is known"
		}
		return id, true
	}
	required, ok := a.requiredPosition()
	if !ok {
		a.reason = "no recent position of the primary is known"
		return "", false
	}
	a.request.RequiredPosition = required
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		s, d := g.ChooseReadServer(required, a.retries.Excluded(), rand.Uint64(), a.session.Board.Time())
		a.reason = d.Reason.String()
		if s != nil {
			id = s.ID
			a.primary = s == g.Primary()
		}
	})
	return id, true
}

// primaryUnavailable reports whether no primary is known, or the known one has failed for longer
// than primaryFailureLimit.
func (a *attempt) primaryUnavailable() bool {
	unavailable := true
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		if p := g.Primary(); p != nil {
			unavailable = p.FailingSince != 0 && a.session.Board.Time()-p.FailingSince > primaryFailureLimit
		}
	})
	return unavailable
}

// requiredPosition returns the position that the read requires of its server, false if it is
// unknown. If no confirmation of leadership is recent enough, it asks the primary first.
func (a *attempt) requiredPosition() (marker.Mark, bool) {
	m, ok, outdated := a.knownPosition()
	if outdated {
		a.session.Observer.Observe(a.route.Group, a.route.MaximumStaleness/sharedPositionDivisor, !ok, a.deadline)
	}
	if !ok {
		m, ok, _ = a.knownPosition()
	}
	return m, ok
}

// knownPosition returns the required position as far as the blackboard has it, and whether the
// primary should be asked again.
func (a *attempt) knownPosition() (required marker.Mark, ok, outdated bool) {
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		required, ok = g.RequiredPosition(a.arrived, a.route.MaximumStaleness)
		if ok && a.route.Kind == declarer.KindReadYourWrites {
			required = marker.Max(required, g.ToNewestTerm(a.session.lastCommitIn(a.route.Group)))
		}
		l, known := g.LatestConfirmation()
		outdated = !known || a.session.Board.Time()-l.PolledAt > a.route.MaximumStaleness/observeStalenessDivisor
	})
	return required, ok, outdated
}
