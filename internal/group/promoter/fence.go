package promoter

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

func (a *Attempt) raiseTermActions() []Action {
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

// handleRaiseTerm counts an instance only if its answer confirms that it accepted the term from
// this attempt. After a lost answer the instance's status may show the term, but another host may
// have raised it: counting that could give two hosts a majority for one term, and so two
// primaries whose writes are both acknowledged.
func (a *Attempt) handleRaiseTerm(r Result) {
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
	waited := now - a.stepSince
	late := waited >= a.Settings.FenceTimeout
	switch {
	case a.isMajority(a.accepted) && a.oldPrimaryKnown() && (all || late || a.graceElapsed(waited)):
		a.Chosen = Choose(a.candidates(), a.Prefer)
		a.enter(now, StepPromote)
	case v.Primary != "" && v.Term > a.HighestTerm && v.Term != a.Term:
		a.abandon(now, "another host promoted")
	case all && a.retries < a.Settings.MaxRetries:
		a.retries++
		a.enter(now, StepRetry)
	case all, late:
		a.abandon(now, "no majority accepted the term")
	}
}

// advanceRetry raises a higher term after a delay that differs between hosts. When two hosts raise
// the same term, each may be accepted by a minority of the instances. If both abandoned their
// attempts, the group would have no primary until the next suspicion.
func (a *Attempt) advanceRetry(now time.Duration, v *observer.View) {
	if v.Primary != "" && v.Term > a.HighestTerm {
		a.abandon(now, "another host promoted")
		return
	}
	if now-a.stepSince < a.Settings.RetryDelay+Delay(nil, a.Host, a.Group, a.Term, 0, a.Settings.RetrySpread) {
		return
	}
	a.Term = max(a.Term, v.HighestTerm) + 1
	a.accepted = nil
	a.refused = 0
	a.enter(now, StepFence)
}

func (a *Attempt) isMajority(s []controller.Status) bool {
	return len(s) >= observer.Majority(len(a.Servers))
}

// graceElapsed reports whether the wait for the remaining instances is over. An instance that
// answers late may have a longer log, with commits that aren't acknowledged yet and needn't be
// reported as superseded if it is chosen. The wait goes on beyond the grace period, up to
// FenceTimeout, if otherwise the avoided server would have to be chosen.
func (a *Attempt) graceElapsed(waited time.Duration) bool {
	return waited >= a.Settings.FenceGrace && (a.Avoid == "" || a.isMajority(a.acceptedExceptAvoided()))
}

// oldPrimaryKnown reports whether the end of the old primary's log is known as far as the attempt
// needs it. A planned hand-over needs the old primary's answer to the raise, after which that
// server accepts no more writes; a missing answer may merely be slow.
func (a *Attempt) oldPrimaryKnown() bool {
	return !a.Planned || a.hasAccepted(a.Avoid)
}

// acceptedExceptAvoided returns the instances that accepted the term, without the avoided server.
func (a *Attempt) acceptedExceptAvoided() []controller.Status {
	var s []controller.Status
	for _, o := range a.accepted {
		if !a.isAvoided(o) {
			s = append(s, o)
		}
	}
	return s
}

// candidates returns the instances to choose from: all that accepted the term except the avoided
// server, if they are a majority. Any majority that accepted the term holds every acknowledged
// write, so no acknowledged write is lost. Commits that only the old primary holds are superseded,
// and their callers are told so. In a planned hand-over such commits make the old primary stay
// primary: other hosts send it writes until they are informed of the hand-over, and their callers
// would be told that the outcome of a write is unknown though nothing failed.
func (a *Attempt) candidates() []controller.Status {
	if s := a.acceptedExceptAvoided(); a.isMajority(s) && (!a.Planned || !a.avoidedAhead(s)) {
		return s
	}
	return a.accepted
}

// avoidedAhead reports whether no log in s covers the avoided server's log.
func (a *Attempt) avoidedAhead(s []controller.Status) bool {
	i := slices.IndexFunc(a.accepted, a.isAvoided)
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

func (a *Attempt) isAvoided(s controller.Status) bool {
	return s.BackendServer == a.Avoid
}

// Choose returns the name of the server to promote among a majority that accepted a term. It takes
// the one with the highest last log entry, which holds every acknowledged write. Ties go to the
// server named prefer, then to one that isn't leaving, then to the first by name.
func Choose(accepted []controller.Status, prefer string) string {
	var c controller.Status
	for i, s := range accepted {
		if i == 0 || better(s, c, prefer) {
			c = s
		}
	}
	return c.BackendServer
}

// better reports whether s ranks before o as the server to promote.
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

// Repoint returns the actions that make instances follow the view's primary if they don't yet: an
// old primary that was cut off, a replica that was down during the promotion, or all remaining
// instances if the promoting host crashed. Any host may carry them out at any time, since an
// instance refuses a term below the one that it has accepted.
func Repoint(v *observer.View) []Action {
	p, ok := v.Server(v.Primary)
	if !ok || !p.Fresh {
		return nil
	}
	var s []Action
	for _, o := range v.Servers {
		if o.Name != p.Name && o.Fresh && needsRepoint(o.Status, p.Name, v.Term) {
			s = append(s, Action{Kind: ActionFollow, Server: o.Name, Term: v.Term, Primary: p.Name})
		}
	}
	return s
}

// needsRepoint reports whether an instance with status s must be told to follow the primary of
// term t. An instance with a higher term would refuse.
func needsRepoint(s controller.Status, primary string, t marker.Term) bool {
	if s.Term > t {
		return false
	}
	return s.Term < t || s.Role != controller.RoleReplica || s.Following != primary
}
