package promoter

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

func (a *Attempt) raise() []Action {
	var s []Action
	for _, n := range a.Servers {
		s = append(s, Action{Kind: ActionRaiseTerm, Server: n, Term: a.Term})
	}
	return s
}

func (a *Attempt) hasAccepted(name string) bool {
	for _, s := range a.accepted {
		if s.BackendServer == name {
			return true
		}
	}
	return false
}

// takeRaise counts an instance only if its own answer says that it accepted
// this attempt's raise. After a lost answer its status may show the term, but
// the raise may have been another host's: counting it could give two hosts a
// majority for one term, and two primaries that both gather acknowledgements.
func (a *Attempt) takeRaise(r Result) {
	if r.Action.Term != a.Term || a.Step != StepFence {
		return
	}
	if r.Err != nil || a.hasAccepted(r.Action.Server) {
		a.refused++
		return
	}
	s := r.Status
	s.BackendServer = r.Action.Server
	a.accepted = append(a.accepted, s)
}

func (a *Attempt) advanceFence(now time.Duration, v *observer.View) {
	all := len(a.accepted)+a.refused >= len(a.Servers)
	waited := now - a.since
	late := waited >= a.Settings.FenceTimeout
	switch {
	case a.majority(a.accepted) && a.settled() && (all || late || a.graceOver(waited)):
		a.Chosen = Choose(a.candidates(), a.Prefer)
		a.enter(now, StepPromote)
	case v.Primary != "" && v.Term > a.HighestTerm && v.Term != a.Term:
		a.abandon(now, "another host promoted")
	case all && a.round < a.Settings.MaxRetries:
		a.round++
		a.enter(now, StepRetry)
	case all, late:
		a.abandon(now, "no majority accepted the term")
	}
}

// advanceRetry raises a higher term after a delay that differs between hosts.
// Two hosts that raised the same term each took a part of the instances. Were they
// to give up instead, the group would have no primary until it is suspected anew.
func (a *Attempt) advanceRetry(now time.Duration, v *observer.View) {
	if v.Primary != "" && v.Term > a.HighestTerm {
		a.abandon(now, "another host promoted")
		return
	}
	if now-a.since < a.Settings.RetryDelay+Delay(nil, a.Host, a.Group, a.Term, 0, a.Settings.RetrySpread) {
		return
	}
	a.Term = max(a.Term, v.HighestTerm) + 1
	a.accepted = nil
	a.refused = 0
	a.enter(now, StepFence)
}

func (a *Attempt) majority(s []controller.Status) bool {
	return len(s) >= observer.Majority(len(a.Servers))
}

// graceOver reports whether the wait for the instances that haven't answered yet
// is over. They are waited for a little, since a log may be longer by
// commits that nobody acknowledged yet, which then need not be told as superseded;
// and longer where without them the avoided server would have to be chosen.
func (a *Attempt) graceOver(waited time.Duration) bool {
	return waited >= a.Settings.FenceGrace && (a.Avoid == "" || a.majority(a.others()))
}

// settled reports whether enough is known of the old primary. Where a planned move
// is made, the end of its log must be: its answer to the raise, after which it takes
// no more writes, may only have been slow.
func (a *Attempt) settled() bool {
	return !a.Planned || a.hasAccepted(a.Avoid)
}

// others returns those beside the avoided server that accepted.
func (a *Attempt) others() []controller.Status {
	var s []controller.Status
	for _, o := range a.accepted {
		if !a.avoided(o) {
			s = append(s, o)
		}
	}
	return s
}

// candidates returns the instances to choose from: those beside the avoided one,
// if they are a majority. Any majority that accepted the term holds every
// acknowledged write, so this loses none; commits that the old primary was still
// alone with are superseded, and their callers learn so. In a planned move such
// commits keep the old primary where it is: other hosts send it writes until they
// hear of the move, and their callers would be told that the outcome of a write
// isn't known though nothing failed.
func (a *Attempt) candidates() []controller.Status {
	if s := a.others(); a.majority(s) && (!a.Planned || !a.ahead(s)) {
		return s
	}
	return a.accepted
}

// ahead reports whether the avoided server's log goes beyond all of s.
func (a *Attempt) ahead(s []controller.Status) bool {
	i := slices.IndexFunc(a.accepted, a.avoided)
	if i < 0 {
		return false
	}
	last := a.accepted[i].Last
	for _, o := range s {
		if o.Last.Covers(last) {
			return false
		}
	}
	return true
}

func (a *Attempt) avoided(s controller.Status) bool {
	return s.BackendServer == a.Avoid
}

// Choose returns the server with the highest last entry among those that
// accepted a term; it holds every acknowledged write. Among equals the preferred
// one goes first, then one that isn't leaving, then the first by name.
func Choose(accepted []controller.Status, prefer string) string {
	var c controller.Status
	for i, s := range accepted {
		if i == 0 || better(s, c, prefer) {
			c = s
		}
	}
	return c.BackendServer
}

func better(s, o controller.Status, prefer string) bool {
	if c := s.Last.Compare(o.Last); c != 0 {
		return c > 0
	}
	if p := s.BackendServer == prefer; p != (o.BackendServer == prefer) {
		return p
	}
	if s.Leaving != o.Leaving {
		return o.Leaving
	}
	return s.BackendServer < o.BackendServer
}

// Repoint returns what brings instances that don't follow the view's primary
// back to it: an old primary that was cut off, a replica that was down during
// the promotion, or the rest after a promoter died. Every host may do it at any
// time, since an instance refuses a term below the one it accepted.
func Repoint(v *observer.View) []Action {
	p, ok := v.Server(v.Primary)
	if !ok || !p.Fresh {
		return nil
	}
	var s []Action
	for _, o := range v.Servers {
		if o.Name != p.Name && o.Fresh && astray(o.Status, p.Name, v.Term) {
			s = append(s, Action{Kind: ActionFollow, Server: o.Name, Term: v.Term, Primary: p.Name})
		}
	}
	return s
}

func astray(s controller.Status, primary string, t marker.Term) bool {
	if s.Term > t {
		return false
	}
	return s.Term < t || s.Role != controller.RoleReplica || s.Following != primary
}
