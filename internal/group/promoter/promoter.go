// Package promoter decides the steps in which an entry host promotes a new primary of a database group.
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
	// ClaimTimeout bounds all steps of the claim together. After it the promotion goes on without
	// a claim.
	ClaimTimeout time.Duration
	// ClaimTTL is how long another host's claim is valid after this host first read it.
	ClaimTTL time.Duration
	// FenceTimeout bounds the wait until a majority of the instances has accepted the term.
	FenceTimeout time.Duration
	// MaxRetries is how often an attempt raises a higher term after all instances have answered
	// and no majority accepted the term, usually because another host raised the same one.
	MaxRetries int
	// RetryDelay is the minimum delay before such a retry, and RetrySpread the most that is added
	// to it, by a hash of the host's name.
	RetryDelay, RetrySpread time.Duration
	// FenceGrace is how long to wait for the remaining instances once a majority has accepted
	// the term.
	FenceGrace time.Duration
	// PromoteTimeout bounds the promotion and the wait for the term-start record.
	PromoteTimeout time.Duration
}

// Step is the current step of a promotion.
type Step string

// Steps of a promotion.
const (
	// StepReadClaim reads the group's claim.
	StepReadClaim Step = "read-claim"
	// StepPutClaim writes this host's claim.
	StepPutClaim Step = "put-claim"
	// StepSettleClaim reads the claim again after the answer to the put was lost.
	StepSettleClaim Step = "settle-claim"
	// StepFence raises the term at all instances and waits for a majority to accept it.
	StepFence Step = "fence"
	// StepRetry waits before a higher term is raised.
	StepRetry Step = "retry"
	// StepPromote waits for the chosen instance to become primary.
	StepPromote Step = "promote"
	// StepConfirm waits until a majority holds the term-start record.
	StepConfirm Step = "confirm"
	// StepDone and StepAbandoned are final. The view shows whether another attempt is needed.
	StepDone      Step = "done"
	StepAbandoned Step = "abandoned"
)

// ActionKind is the kind of call that an action asks for.
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
	// Term is the term to raise, or under which to promote or follow.
	Term marker.Term
	// Primary is the server to follow.
	Primary string
	// Object is the claim object to put.
	Object accessor.Object
}

// Result is the answer to an action.
type Result struct {
	// Action is the action that was carried out.
	Action Action
	// Status is the instance's status after raise-term, promote or follow.
	Status controller.Status
	// Object is the claim object that was read or put.
	Object accessor.Object
	// Err is nil only if the call is known to have succeeded.
	Err error
}

// Attempt is one host's attempt to promote a primary of a group. It gets a majority for at most one
// term, under which it promotes at most one server. The exported fields above Step are set before
// Begin; Step, Term, Chosen and AbandonReason are results.
type Attempt struct {
	Settings Settings
	// Host is the name of this entry host.
	Host string
	// Group is the name of the database group.
	Group string
	// Servers are the names of all instances of the group.
	Servers []string
	// Prefer is the server to choose among equally long logs, empty for none.
	Prefer string
	// Avoid is a server that isn't chosen if the others are a majority, empty for none. It is the
	// old primary in a hand-over, and after the loss of a primary: a primary that is isolated from
	// its replicas may still answer, with the longest log of all, and would be promoted again and
	// again without ever being confirmed.
	Avoid string
	// Planned marks a hand-over without a failure: Avoid is still the primary, and another server
	// is only promoted if its log covers that of Avoid.
	Planned bool
	// HighestTerm is the highest accepted term that this host has observed. The attempt raises a
	// higher one.
	HighestTerm marker.Term
	// Writer identifies this attempt as the writer of its claim.
	Writer string
	// ClaimTracker is shared by all attempts of this host for the group.
	ClaimTracker *ClaimTracker

	// Step is the current step.
	Step Step
	// Term is the term that the attempt raises.
	Term marker.Term
	// Chosen is the server that the attempt promotes, empty until a majority has accepted Term.
	Chosen string
	// AbandonReason says why the attempt was abandoned, empty if it wasn't.
	AbandonReason string

	// started is when the attempt began, stepSince when the current step did.
	started   time.Duration
	stepSince time.Duration
	// issued says that the actions of the current step have been returned by Next.
	issued bool
	// claim is the claim object to put.
	claim accessor.Object
	// accepted holds the statuses of the instances that accepted Term, refused counts the failed
	// answers to the raise.
	accepted      []controller.Status
	retries       int
	refused       int
	promoteFailed bool
}

// Due reports whether a host that delays its promotions by delay starts an attempt now. A term that
// was raised recently shows that another host is promoting: a higher one would fence the primary
// that the other host is about to promote.
func Due(v *observer.View, c observer.Settings, delay time.Duration) bool {
	return v.Suspected() && v.At-v.SuspectedSince >= delay && v.At-v.HighestTermSince >= c.NoPrimaryTimeout
}

// New returns an attempt that resolves the suspicion in v. It prefers the present primary among
// equally long logs, except that an isolated or unreachable primary is avoided.
func New(v *observer.View) *Attempt {
	a := &Attempt{Prefer: v.Primary}
	if v.Reason == observer.ReasonIsolated || v.Reason == observer.ReasonUnreachable {
		a.Prefer = ""
		a.Avoid = v.Primary
	}
	return a
}

// Begin starts the attempt at now. Without claim it starts with raising the term.
func (a *Attempt) Begin(now time.Duration, claim bool) {
	a.started = now
	a.Term = a.HighestTerm + 1
	if claim {
		a.enter(now, StepReadClaim)
		return
	}
	a.enter(now, StepFence)
}

// enter makes s the current step; Next then returns its actions.
func (a *Attempt) enter(now time.Duration, s Step) {
	a.Step = s
	a.stepSince = now
	a.issued = false
}

func (a *Attempt) abandon(now time.Duration, reason string) {
	a.AbandonReason = reason
	a.enter(now, StepAbandoned)
}

// Final reports whether the attempt has ended.
func (a *Attempt) Final() bool {
	return a.Step == StepDone || a.Step == StepAbandoned
}

// Next returns the actions to carry out at now. Each action is returned once. v is the host's
// current view.
func (a *Attempt) Next(now time.Duration, v *observer.View) []Action {
	a.advance(now, v)
	if a.issued {
		return nil
	}
	a.issued = true
	switch a.Step {
	case StepReadClaim, StepSettleClaim:
		return []Action{{Kind: ActionReadClaim}}
	case StepPutClaim:
		return []Action{{Kind: ActionPutClaim, Object: a.claim}}
	case StepFence:
		return a.raiseTermActions()
	case StepPromote:
		return []Action{{Kind: ActionPromote, Server: a.Chosen, Term: a.Term}}
	case StepConfirm:
		return a.followActions()
	}
	return nil
}

// HandleResult applies the answer to an action. An answer that belongs to an earlier step is
// ignored.
func (a *Attempt) HandleResult(now time.Duration, r Result) {
	switch r.Action.Kind {
	case ActionReadClaim, ActionPutClaim:
		a.handleClaimResult(now, r)
	case ActionRaiseTerm:
		a.handleRaiseTerm(r)
	case ActionPromote:
		a.handlePromote(now, r)
	}
}

func (a *Attempt) advance(now time.Duration, v *observer.View) {
	switch a.Step {
	case StepReadClaim, StepPutClaim, StepSettleClaim:
		if v.HighestTerm > a.HighestTerm {
			a.abandon(now, "another host raised a term")
			return
		}
		if now-a.started >= a.Settings.ClaimTimeout {
			a.enter(now, StepFence)
		}
	case StepFence:
		a.advanceFence(now, v)
	case StepRetry:
		a.advanceRetry(now, v)
	case StepPromote:
		if a.promoteFailed || now-a.stepSince >= a.Settings.PromoteTimeout {
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
	if now-a.stepSince >= a.Settings.PromoteTimeout {
		a.abandon(now, "term-start record not held by a majority")
	}
}

func (a *Attempt) handlePromote(now time.Duration, r Result) {
	if a.Step != StepPromote {
		return
	}
	if r.Err != nil {
		a.promoteFailed = true
		return
	}
	a.enter(now, StepConfirm)
}

// followActions returns the actions that make all other servers follow the new primary. Servers
// that they don't reach are redirected later by any host, see Repoint.
func (a *Attempt) followActions() []Action {
	var s []Action
	for _, n := range a.Servers {
		if n != a.Chosen {
			s = append(s, Action{Kind: ActionFollow, Server: n, Term: a.Term, Primary: a.Chosen})
		}
	}
	return s
}
