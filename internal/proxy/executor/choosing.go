package executor

import (
	"math/rand/v2"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

// observeSpare is the part of a route's staleness at which the primary is asked anew, so
// that reads don't have to wait for its position.
const observeSpare = 2

// failingFor is how long a primary may fail before reads that need its position are
// refused soon. Most failures of that length end with a promotion.
const failingFor = 300 * time.Millisecond

// choose returns the server to try, empty if there is none now, and false if it isn't
// known what a server must have.
func (a *attempt) choose() (string, bool) {
	id := ""
	if a.leads {
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
			if s := g.Primary(); s != nil {
				id = s.ID
			}
		})
		a.primary = true
		a.why = "primary"
		if id == "" {
			a.why = "no primary is known"
		}
		return id, true
	}
	need, ok := a.need()
	if !ok {
		a.why = "no recent position of the primary is known"
		return "", false
	}
	a.request.RequiredPosition = need
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		s, d := g.ChooseReadServer(need, a.retries.Excluded(), rand.Uint64(), a.session.Board.Time())
		a.why = d.Reason.String()
		if s != nil {
			id = s.ID
			a.primary = s == g.Primary()
		}
	})
	return id, true
}

// leaderless reports whether no primary is known that answers.
func (a *attempt) leaderless() bool {
	lost := true
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		if p := g.Primary(); p != nil {
			lost = p.FailingSince != 0 && a.session.Board.Time()-p.FailingSince > failingFor
		}
	})
	return lost
}

// need returns the position that the read's server must have. If no proof is recent
// enough, the primary is asked first.
func (a *attempt) need() (marker.Mark, bool) {
	m, ok, old := a.known()
	if old {
		a.session.Observer.Observe(a.route.Group, !ok, a.deadline)
	}
	if !ok {
		m, ok, _ = a.known()
	}
	return m, ok
}

// known returns what need does from what is known, and whether the primary should be
// asked anew.
func (a *attempt) known() (need marker.Mark, ok, old bool) {
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		need, ok = g.RequiredPosition(a.arrived, a.route.MaximumStaleness)
		if ok && a.route.Kind == declarer.KindReadYourWrites {
			need = marker.Max(need, g.ToNewestTerm(a.session.own(a.route.Group)))
		}
		l, known := g.LatestConfirmation()
		old = !known || a.session.Board.Time()-l.PolledAt > a.route.MaximumStaleness/observeSpare
	})
	return need, ok, old
}
