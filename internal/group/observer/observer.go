// Package observer derives one entry host's view of a database group: its primary, its term, and whether the primary has failed.
package observer

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Majority returns how many of n instances form a majority.
func Majority(n int) int {
	return n/2 + 1
}

// Settings are the thresholds for suspecting a primary.
type Settings struct {
	// SuspicionTimeout is how long a primary must be silent, towards this host and towards a
	// majority of its replicas, before it is suspected.
	SuspicionTimeout time.Duration
	// RefusalTimeout replaces SuspicionTimeout for a primary whose machine refuses connections;
	// zero means SuspicionTimeout. It is shorter, since a silent process may only be paused,
	// whereas a paused process does not refuse connections.
	RefusalTimeout time.Duration
	// IsolationTimeout is how long a majority of the replicas must have received nothing from
	// a primary before it is suspected even though it answers entry hosts. It is longer than
	// SuspicionTimeout, since the replicas' reports are the only evidence.
	IsolationTimeout time.Duration
	// NoPrimaryTimeout is how long no instance may be primary before the group needs a
	// promotion. A promotion in progress at another host takes less.
	NoPrimaryTimeout time.Duration
	// MaximumStatusAge is the age up to which a status counts as fresh.
	MaximumStatusAge time.Duration
	// TermAheadTimeout is how long a replica may be fenced at a higher term than that of a
	// working primary before the group is moved to a term above both.
	TermAheadTimeout time.Duration
	// MaximumViewInterval is the largest part of the time between two views of a host that
	// counts as evidence. The host is assumed to have been paused for the rest. Zero means no
	// limit.
	MaximumViewInterval time.Duration
	// MaximumAnswerInterval is the same for the time between two answers of a replica.
	// MaximumEvidenceAge is the age up to which a replica's answer counts as evidence that the
	// replica receives nothing from the primary; zero means no limit.
	MaximumAnswerInterval, MaximumEvidenceAge time.Duration
}

// Observation is the latest state of one backend server that one entry host has observed. Times
// are read from the entry host's own monotonic clock.
type Observation struct {
	// Status is the last answer, zero if there was none.
	Status controller.Status
	// Answered reports whether the server has ever answered.
	Answered bool
	// PolledAt is when the last answered call began.
	PolledAt time.Duration
	// RoundTrip is the smoothed duration of a call.
	RoundTrip time.Duration
	// Failures counts the failed calls since the last answer. The first failure may be due to
	// a stale connection; the later calls use fresh connections.
	Failures int
	// Refused reports whether the last call failed because the machine refused the connection.
	Refused bool
}

// Fresh reports whether the observation was made at most f before now.
func (o Observation) Fresh(now, f time.Duration) bool {
	return o.Answered && now-o.PolledAt <= f
}

// PrimaryReport is an entry host's report on the reachability of a primary. Other entry hosts
// receive it with its fields under their own names.
type PrimaryReport struct {
	// Host is the reporting entry host.
	Host string
	// Primary and Term identify the reported primary.
	Primary string
	Term    marker.Term
	// Lost reports whether fresh connections from Host to the primary fail.
	Lost bool
}

// Reason is why a group needs a promotion.
type Reason string

// Reasons for a suspicion.
const (
	// ReasonNone: there is no suspicion.
	ReasonNone Reason = ""
	// ReasonUnreachable: fresh connections to the primary fail and a majority of the replicas
	// receives nothing from it.
	ReasonUnreachable Reason = "primary-unreachable"
	// ReasonIsolated: a majority of the replicas receives nothing from the primary, although
	// it may answer entry hosts.
	ReasonIsolated Reason = "primary-isolated-from-replicas"
	// ReasonNoPrimary: no instance is primary under the accepted term.
	ReasonNoPrimary Reason = "no-primary"
	// ReasonTermAhead: a replica accepted a higher term and cannot follow the primary.
	ReasonTermAhead Reason = "term-ahead-of-primary"
)

// Obstacle is why a group cannot accept writes at present.
type Obstacle string

// Obstacles to writes.
const (
	// ObstacleNone: the primary is confirmed.
	ObstacleNone Obstacle = ""
	// ObstacleNoMajority: fewer than a majority of the instances answer, so no write can be
	// acknowledged and no promotion would be safe.
	ObstacleNoMajority Obstacle = "majority-not-reachable"
	// ObstacleNoPrimary: no primary is known, or the last one was superseded.
	ObstacleNoPrimary Obstacle = "no-primary"
	// ObstaclePrimarySilent: the primary has no fresh status.
	ObstaclePrimarySilent Obstacle = "primary-silent"
	// ObstacleSuspected: the primary has a fresh status but is suspected.
	ObstacleSuspected Obstacle = "primary-suspected"
	// ObstacleTermStart: fewer than a majority hold the term-start record.
	ObstacleTermStart Obstacle = "term-start-not-held-by-majority"
)

// Server is one backend server in a View.
type Server struct {
	Name string
	Observation
	// Fresh reports whether the observation was at most MaximumStatusAge old.
	Fresh bool

	// hostPaused is how long this host was paused since it sent the last answered poll.
	hostPaused time.Duration
	// answeredAt is the latest time at which the server can have made its last answer.
	answeredAt time.Duration
	// resumedAt is when the server last answered after a gap above MaximumAnswerInterval.
	resumedAt time.Duration
	// pausedSilence is the part of Status.SinceLastContact for which the server itself may have been
	// paused, so that it is no evidence against the primary.
	pausedSilence time.Duration
}

// View is the state of a database group as observed by one entry host at one time.
type View struct {
	// At is the time of the view on the host's monotonic clock, as are all times of the view.
	At time.Duration
	// Servers are in the order of the configuration.
	Servers []Server
	// Primary is the name of the observed primary with the highest term. It is empty if there
	// is none or if a majority has accepted a higher term.
	Primary string
	// Term is the term of Primary, or HighestTerm if Primary is empty.
	Term marker.Term
	// HighestTerm is the highest term that any instance has accepted.
	HighestTerm marker.Term
	// HighestTermSince is when this host first observed HighestTerm.
	HighestTermSince time.Duration
	// Confirmed reports whether writes may be sent to the primary and no record of an earlier
	// term that the primary lacks can reappear.
	Confirmed bool
	// Obstacle is why Confirmed is false.
	Obstacle Obstacle
	// Reason is why the group needs a promotion, ReasonNone if it needs none.
	Reason Reason
	// SuspectedSince is when the present suspicion began.
	SuspectedSince time.Duration
	// PrimarySince is when this host first observed Primary under Term.
	PrimarySince time.Duration
	// Leaving reports whether the primary's server is about to stop.
	Leaving bool
	// LeavingSince is when this host first observed Leaving.
	LeavingSince time.Duration
	// Reachable counts the instances with a fresh status.
	Reachable int
	// NoMajoritySince is since when fewer than a majority of the instances have a fresh status.
	NoMajoritySince time.Duration

	noPrimarySince time.Duration
	termAheadSince time.Duration
}

// Suspected reports whether the group needs a promotion.
func (v *View) Suspected() bool {
	return v.Reason != ReasonNone
}

// HasMajority reports whether a majority of the instances has a fresh status.
func (v *View) HasMajority() bool {
	return v.Reachable >= Majority(len(v.Servers))
}

// Server returns the backend server with the given name, and whether the view has it.
func (v *View) Server(name string) (Server, bool) {
	for _, s := range v.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return Server{}, false
}

// Observe returns the view at now. Name and Observation of the servers s are set by the caller, r
// are the recent reports of other hosts, and p is the previous view, zero at first.
func Observe(now time.Duration, c Settings, s []Server, r []PrimaryReport, p View) View {
	v := View{At: now, Servers: s}
	for i := range v.Servers {
		v.Servers[i].Fresh = v.Servers[i].Observation.Fresh(now, c.MaximumStatusAge)
	}
	v.discountPauses(c, &p)
	v.findPrimary()
	v.countReachable()
	v.carryOver(p)
	v.Reason = v.suspicionReason(c, r)
	v.Obstacle = v.obstacle()
	v.Confirmed = v.Obstacle == ObstacleNone
	v.SuspectedSince = startOf(v.Suspected(), p.Suspected(), p.SuspectedSince, now)
	return v
}

func (v *View) findPrimary() {
	for _, s := range v.Servers {
		v.HighestTerm = max(v.HighestTerm, s.Status.Term)
		if s.Status.Role == controller.RolePrimary && s.Status.Term > v.Term {
			v.Primary = s.Name
			v.Term = s.Status.Term
		}
	}
	if v.Primary != "" && v.acceptedAbove(v.Term) < Majority(len(v.Servers)) {
		return
	}
	v.Primary = ""
	v.Term = v.HighestTerm
}

// acceptedAbove counts the instances that accepted a term above t. An accepted term never
// decreases, so old statuses count as well.
func (v *View) acceptedAbove(t marker.Term) int {
	n := 0
	for _, s := range v.Servers {
		if s.Status.Term > t {
			n++
		}
	}
	return n
}

func (v *View) countReachable() {
	for _, s := range v.Servers {
		if s.Fresh {
			v.Reachable++
		}
	}
}

// carryOver sets when each condition of v began, taken from the previous view p if the condition
// held there as well.
func (v *View) carryOver(p View) {
	same := v.Primary == p.Primary && v.Term == p.Term && v.Primary != ""
	v.PrimarySince = startOf(v.Primary != "", same, p.PrimarySince, v.At)
	v.noPrimarySince = startOf(v.Primary == "", p.Primary == "" && len(p.Servers) > 0, p.noPrimarySince, v.At)
	v.termAheadSince = startOf(v.termAhead(), p.termAhead() && same, p.termAheadSince, v.At)
	v.HighestTermSince = startOf(true, p.HighestTerm == v.HighestTerm, p.HighestTermSince, v.At)
	s, _ := v.Server(v.Primary)
	v.Leaving = s.Status.Leaving
	v.LeavingSince = startOf(v.Leaving, p.Leaving && same, p.LeavingSince, v.At)
	v.NoMajoritySince = startOf(!v.HasMajority(), !p.HasMajority() && len(p.Servers) > 0, p.NoMajoritySince, v.At)
}

// startOf returns when a condition began: then if it holds now and held before, else now.
func startOf(holds, held bool, then, now time.Duration) time.Duration {
	if holds && held {
		return then
	}
	return now
}

// termAhead reports whether an instance accepted a higher term than that of the primary, so that
// it refuses to follow. This remains after a promoting host that fails once it has raised the term
// of one instance.
func (v *View) termAhead() bool {
	return v.Primary != "" && v.HighestTerm > v.Term
}

func (v *View) obstacle() Obstacle {
	if !v.HasMajority() {
		return ObstacleNoMajority
	}
	if v.Primary == "" {
		return ObstacleNoPrimary
	}
	if s, _ := v.Server(v.Primary); !s.Fresh {
		return ObstaclePrimarySilent
	}
	if v.Suspected() && v.Reason != ReasonTermAhead {
		return ObstacleSuspected
	}
	if !v.termStartHeld() {
		return ObstacleTermStart
	}
	return ObstacleNone
}

// termStartHeld reports whether a majority holds the term-start record of the present term.
// Without this rule, a second failure right after a promotion could bring back a write of the old
// primary that was reported to its caller as not run. A log whose last entry has the term contains
// that term's start record, which is the first record of the term.
func (v *View) termStartHeld() bool {
	n := 0
	for _, s := range v.Servers {
		if s.Status.Last.Term == v.Term {
			n++
		}
	}
	return n >= Majority(len(v.Servers))
}
