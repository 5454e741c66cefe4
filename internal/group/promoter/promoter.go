// Package promoter decides the steps by which an entry host gives a database group a new primary.
package promoter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Settings are the time limits of a promotion.
type Settings struct {
	// ClaimTimeout bounds the whole claim; promotion then goes on without it.
	ClaimTimeout time.Duration
	// ClaimTTL is how long another host's claim is respected.
	ClaimTTL time.Duration
	// FenceTimeout bounds the wait for a majority to accept the term.
	FenceTimeout time.Duration
	// MaxRetries is how often a higher term is raised at once when two hosts have
	// raised the same one.
	MaxRetries int
	// RetryDelay is the least delay before that, and RetrySpread what is added to
	// it at most.
	RetryDelay, RetrySpread time.Duration
	// FenceGrace is how long the rest is waited for once a majority accepted.
	FenceGrace time.Duration
	// PromoteTimeout bounds the promotion and the wait for the term-start record.
	PromoteTimeout time.Duration
}

// Step is where a promotion stands.
type Step string

// Steps of a promotion.
const (
	StepReadClaim   Step = "read-claim"
	StepPutClaim    Step = "put-claim"
	StepSettleClaim Step = "settle-claim"
	StepFence       Step = "fence"
	// StepRetry waits before a higher term is raised.
	StepRetry Step = "retry"
	// StepPromote waits for the chosen instance to become primary.
	StepPromote Step = "promote"
	// StepConfirm waits until a majority holds the term-start record.
	StepConfirm Step = "confirm"
	// StepDone and StepAbandoned are final; the view tells what to do next.
	StepDone      Step = "done"
	StepAbandoned Step = "abandoned"
)

// ActionKind is what an action asks for.
type ActionKind string

// Kinds of action.
const (
	ActionReadClaim ActionKind = "read-claim"
	ActionPutClaim  ActionKind = "put-claim"
	ActionRaiseTerm ActionKind = "raise-term"
	ActionPromote   ActionKind = "promote"
	ActionFollow    ActionKind = "follow"
)

// Action is one call that the attempt asks the host to make.
type Action struct {
	Kind ActionKind
	// Server is the backend server to call.
	Server string
	Term   marker.Term
	// Primary is the server to follow.
	Primary string
	// Object is the claim to put.
	Object accessor.Object
}

// Result is the answer to an action.
type Result struct {
	Action Action
	Status controller.Status
	Object accessor.Object
	// Err is nil if the call is known to have succeeded.
	Err error
}

// Attempt is one host's attempt to give a group a primary. It owns at most one
// term, and under that it promotes at most one server.
type Attempt struct {
	Settings Settings
	// Host is this entry host.
	Host string
	// Group is the database group.
	Group string
	// Servers are all instances of the group.
	Servers []string
	// Prefer is chosen among equally long logs, empty for none.
	Prefer string
	// Avoid isn't chosen where the others are a majority, empty for none. It is the
	// old primary in a hand-over, and where it was lost: one that its replicas
	// don't hear may still answer, with the longest log of all, and would be
	// promoted again and again without ever being confirmed.
	Avoid string
	// Planned says that nothing failed: Avoid still serves, and is only given up
	// where another log covers its own.
	Planned bool
	// HighestTerm is the highest accepted term seen; the attempt goes above it.
	HighestTerm marker.Term
	// Writer identifies this attempt's claim.
	Writer string
	// ClaimTracker remembers other hosts' claims between attempts.
	ClaimTracker *ClaimTracker

	// Step is where the attempt stands.
	Step Step
	// Term is the term that it raises.
	Term marker.Term
	// Chosen is the server it promotes, once there is one.
	Chosen string
	// AbandonReason tells why it was abandoned.
	AbandonReason string

	begun    time.Duration
	since    time.Duration
	asked    bool
	object   accessor.Object
	accepted []controller.Status
	round    int
	refused  int
	failed   bool
}

// Due reports whether a host that waits for delay after others begins an attempt
// now. While a term was raised only just, another host is promoting: to raise a
// higher one would take the primary away that it is about to give.
func Due(v *observer.View, c observer.Settings, delay time.Duration) bool {
	return v.Suspected() && v.At-v.SuspectedSince >= delay && v.At-v.HighestTermSince >= c.NoPrimaryTimeout
}

// New returns an attempt that answers the suspicion of v. A primary whose
// replicas hear it is chosen again if its log is the longest.
func New(v *observer.View) *Attempt {
	a := &Attempt{Prefer: v.Primary}
	if v.Reason == observer.ReasonIsolated || v.Reason == observer.ReasonUnreachable {
		a.Prefer = ""
		a.Avoid = v.Primary
	}
	return a
}

// Begin starts the attempt at now; without a claim it goes straight to the instances.
func (a *Attempt) Begin(now time.Duration, claim bool) {
	a.begun = now
	a.Term = a.HighestTerm + 1
	if claim {
		a.enter(now, StepReadClaim)
		return
	}
	a.enter(now, StepFence)
}

func (a *Attempt) enter(now time.Duration, s Step) {
	a.Step = s
	a.since = now
	a.asked = false
}

func (a *Attempt) abandon(now time.Duration, why string) {
	a.AbandonReason = why
	a.enter(now, StepAbandoned)
}

// Final reports whether the attempt has ended.
func (a *Attempt) Final() bool {
	return a.Step == StepDone || a.Step == StepAbandoned
}

// Next returns the actions that are due at now. Each is returned once; v is
// the host's present view.
func (a *Attempt) Next(now time.Duration, v *observer.View) []Action {
	a.advance(now, v)
	if a.asked {
		return nil
	}
	a.asked = true
	switch a.Step {
	case StepReadClaim, StepSettleClaim:
		return []Action{{Kind: ActionReadClaim}}
	case StepPutClaim:
		return []Action{{Kind: ActionPutClaim, Object: a.object}}
	case StepFence:
		return a.raise()
	case StepPromote:
		return []Action{{Kind: ActionPromote, Server: a.Chosen, Term: a.Term}}
	case StepConfirm:
		return a.follow()
	}
	return nil
}

// HandleResult folds the answer to an action into the attempt. An answer that belongs
// to an earlier step changes nothing.
func (a *Attempt) HandleResult(now time.Duration, r Result) {
	switch r.Action.Kind {
	case ActionReadClaim, ActionPutClaim:
		a.takeClaim(now, r)
	case ActionRaiseTerm:
		a.takeRaise(r)
	case ActionPromote:
		a.takePromote(now, r)
	}
}

func (a *Attempt) advance(now time.Duration, v *observer.View) {
	switch a.Step {
	case StepReadClaim, StepPutClaim, StepSettleClaim:
		if v.HighestTerm > a.HighestTerm {
			a.abandon(now, "another host raised a term")
			return
		}
		if now-a.begun >= a.Settings.ClaimTimeout {
			a.enter(now, StepFence)
		}
	case StepFence:
		a.advanceFence(now, v)
	case StepRetry:
		a.advanceRetry(now, v)
	case StepPromote:
		if a.failed || now-a.since >= a.Settings.PromoteTimeout {
			a.abandon(now, "promotion not answered")
		}
	case StepConfirm:
		a.advanceConfirm(now, v)
	}
}

func (a *Attempt) advanceConfirm(now time.Duration, v *observer.View) {
	if v.Term >= a.Term && v.Confirmed {
		a.enter(now, StepDone)
		return
	}
	if v.Primary != a.Chosen && v.HighestTerm > a.Term {
		a.abandon(now, "another host raised a term")
		return
	}
	if now-a.since >= a.Settings.PromoteTimeout {
		a.abandon(now, "term-start record not held by a majority")
	}
}

func (a *Attempt) takePromote(now time.Duration, r Result) {
	if a.Step != StepPromote {
		return
	}
	if r.Err != nil {
		a.failed = true
		return
	}
	a.enter(now, StepConfirm)
}

// follow points all other servers at the new primary. Those that miss it are
// pointed at it later, by Repoint and any host.
func (a *Attempt) follow() []Action {
	var s []Action
	for _, n := range a.Servers {
		if n != a.Chosen {
			s = append(s, Action{Kind: ActionFollow, Server: n, Term: a.Term, Primary: a.Chosen})
		}
	}
	return s
}
