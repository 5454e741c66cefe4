// Package observer decides what one entry host knows of a database group: its primary, its term, and whether the primary is lost.
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

// Settings are the thresholds of an observer.
type Settings struct {
	// SuspicionTimeout is how long a primary must be silent before it is suspected.
	SuspicionTimeout time.Duration
	// RefusalTimeout is the same for a primary whose machine refuses connections, zero for
	// Suspicion. It is shorter, since silence may be a pause and a refusal isn't.
	RefusalTimeout time.Duration
	// IsolationTimeout is how long a majority of the replicas must not have heard a
	// primary before it is suspected though it answers. It is longer, since it is
	// the only evidence.
	IsolationTimeout time.Duration
	// NoPrimaryTimeout is how long no instance may be primary; a promotion in progress at
	// another host takes less.
	NoPrimaryTimeout time.Duration
	// MaximumStatusAge is how old a status may be and still count.
	MaximumStatusAge time.Duration
	// TermAheadTimeout is how long a replica may be fenced at a higher term than a working
	// primary's before the group is moved to a term above both.
	TermAheadTimeout time.Duration
	// MaximumViewInterval is the most time between two looks of a host that counts as
	// evidence; for the rest it stood still. Zero is no limit.
	MaximumViewInterval time.Duration
	// MaximumAnswerInterval is the same between two answers of a replica, and MaximumEvidenceAge
	// how old an answer may be that says that it doesn't hear the primary.
	MaximumAnswerInterval, MaximumEvidenceAge time.Duration
}

// Observation is what one entry host knows of one backend server. Times are
// read from the entry host's own monotonic clock.
type Observation struct {
	// Status is the last answer, zero if there was none.
	Status controller.Status
	// Answered says whether there was an answer at all.
	Answered bool
	// PolledAt is when the call that was answered last began.
	PolledAt time.Duration
	// RoundTrip is the smoothed time of a call.
	RoundTrip time.Duration
	// Failures counts the failed calls since the last answer. The first one may
	// be due to an old connection gone silent, the later ones used fresh ones.
	Failures int
	// Refused says that the last call failed because no server takes connections.
	Refused bool
}

// Fresh reports whether the observation is at most f old.
func (o Observation) Fresh(now, f time.Duration) bool {
	return o.Answered && now-o.PolledAt <= f
}

// PrimaryReport is another entry host's word on the primary.
type PrimaryReport struct {
	// Host is the entry host that gives its word.
	Host string
	// Primary and Term name the primary that it speaks of.
	Primary string
	Term    marker.Term
	// Lost says that its fresh connections to the primary fail as well.
	Lost bool
}

// Reason says why a primary is suspected.
type Reason string

// Reasons for a suspicion.
const (
	// ReasonNone stands for no suspicion.
	ReasonNone Reason = ""
	// ReasonUnreachable: fresh connections fail and the replicas don't hear it.
	ReasonUnreachable Reason = "primary-unreachable"
	// ReasonIsolated: it may answer entry hosts, but the replicas don't hear it.
	ReasonIsolated Reason = "primary-isolated-from-replicas"
	// ReasonNoPrimary: no instance is primary under the accepted term.
	ReasonNoPrimary Reason = "no-primary"
	// ReasonTermAhead: a replica accepted a higher term and can't follow the primary.
	ReasonTermAhead Reason = "term-ahead-of-primary"
)

// Obstacle says why the group can't take writes now.
type Obstacle string

// Obstacles to writes.
const (
	// ObstacleNone: the primary is confirmed.
	ObstacleNone Obstacle = ""
	// ObstacleNoMajority: fewer than a majority of the instances answer, so that
	// nothing can be acknowledged and no promotion would be safe.
	ObstacleNoMajority Obstacle = "majority-not-reachable"
	// ObstacleNoPrimary: no primary is known, or it was superseded.
	ObstacleNoPrimary Obstacle = "no-primary"
	// ObstaclePrimarySilent: the primary doesn't answer.
	ObstaclePrimarySilent Obstacle = "primary-silent"
	// ObstacleSuspected: the primary answers, but is suspected.
	ObstacleSuspected Obstacle = "primary-suspected"
	// ObstacleTermStart: a majority doesn't hold the term-start record yet.
	ObstacleTermStart Obstacle = "term-start-not-held-by-majority"
)

// Server is one backend server in a View.
type Server struct {
	Name string
	Observation
	// Fresh says whether the observation counted as fresh.
	Fresh bool

	// unwatched is how long this host stood still since it asked for the last answer.
	unwatched time.Duration
	// answered is when the last answer was made, at the latest.
	answered time.Duration
	// resumed is when it last answered again after it hadn't for too long.
	resumed time.Duration
	// unwitnessed is how much of SinceHeard the server doesn't vouch for.
	unwitnessed time.Duration
}

// View is one entry host's picture of a database group at one moment.
type View struct {
	// At is the host's monotonic time of the view.
	At time.Duration
	// Servers are in the order of the configuration.
	Servers []Server
	// Primary is the primary of the highest term seen, empty if there is none
	// or a majority has accepted a higher term.
	Primary string
	// Term is the primary's, or the highest accepted one if there is none.
	Term marker.Term
	// HighestTerm is the highest term that any instance accepted.
	HighestTerm marker.Term
	// HighestTermSince is when this host first saw HighestTerm.
	HighestTermSince time.Duration
	// Confirmed says that the primary may be sent writes and that no record of
	// an earlier term that it lacks can ever come back.
	Confirmed bool
	// Obstacle says why Confirmed is false.
	Obstacle Obstacle
	// Reason says why the primary is suspected, if it is.
	Reason Reason
	// SuspectedSince is when the present suspicion began.
	SuspectedSince time.Duration
	// PrimarySince is when this host first saw the primary under its term.
	PrimarySince time.Duration
	// Leaving says that the primary's server will stop soon, LeavingSince when
	// this host first saw it.
	Leaving      bool
	LeavingSince time.Duration
	// Reachable counts the instances with a fresh status.
	Reachable int
	// NoMajoritySince is when fewer than a majority began to answer.
	NoMajoritySince time.Duration

	noPrimarySince time.Duration
	aheadSince     time.Duration
}

// Suspected reports whether the group needs a promotion.
func (v *View) Suspected() bool {
	return v.Reason != ReasonNone
}

// HasMajority reports whether a majority of the instances answers.
func (v *View) HasMajority() bool {
	return v.Reachable >= Majority(len(v.Servers))
}

// Server returns the named backend server of the view.
func (v *View) Server(name string) (Server, bool) {
	for _, s := range v.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return Server{}, false
}

// Observe folds the present observations into a view; p is the view before.
// The servers of s carry Name and Observation.
func Observe(now time.Duration, c Settings, s []Server, w []PrimaryReport, p View) View {
	v := View{At: now, Servers: s}
	for i := range v.Servers {
		v.Servers[i].Fresh = v.Servers[i].Observation.Fresh(now, c.MaximumStatusAge)
	}
	v.leaveOut(c, &p)
	v.findPrimary()
	v.count()
	v.since(p)
	v.Reason = v.suspect(c, w)
	v.Obstacle = v.obstacle()
	v.Confirmed = v.Obstacle == ObstacleNone
	v.SuspectedSince = began(v.Suspected(), p.Suspected(), p.SuspectedSince, now)
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
	if v.Primary != "" && v.above(v.Term) < Majority(len(v.Servers)) {
		return
	}
	v.Primary = ""
	v.Term = v.HighestTerm
}

// above counts the instances that accepted a term above t. Accepted terms never
// fall, so that old statuses count as well.
func (v *View) above(t marker.Term) int {
	n := 0
	for _, s := range v.Servers {
		if s.Status.Term > t {
			n++
		}
	}
	return n
}

func (v *View) count() {
	for _, s := range v.Servers {
		if s.Fresh {
			v.Reachable++
		}
	}
}

// since carries over from p when each lasting condition began.
func (v *View) since(p View) {
	same := v.Primary == p.Primary && v.Term == p.Term && v.Primary != ""
	v.PrimarySince = began(v.Primary != "", same, p.PrimarySince, v.At)
	v.noPrimarySince = began(v.Primary == "", p.Primary == "" && len(p.Servers) > 0, p.noPrimarySince, v.At)
	v.aheadSince = began(v.ahead(), p.ahead() && same, p.aheadSince, v.At)
	v.HighestTermSince = began(true, p.HighestTerm == v.HighestTerm, p.HighestTermSince, v.At)
	s, _ := v.Server(v.Primary)
	v.Leaving = s.Status.Leaving
	v.LeavingSince = began(v.Leaving, p.Leaving && same, p.LeavingSince, v.At)
	v.NoMajoritySince = began(!v.HasMajority(), !p.HasMajority() && len(p.Servers) > 0, p.NoMajoritySince, v.At)
}

// began returns when a condition began: then if it held before as well, else now.
func began(holds, held bool, then, now time.Duration) time.Duration {
	if holds && held {
		return then
	}
	return now
}

// ahead reports whether an instance accepted a higher term than the primary's,
// so that it refuses to follow. A promoter that died after its first raise
// leaves this behind.
func (v *View) ahead() bool {
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

// termStartHeld reports whether a majority holds the term-start record of the
// present term. Without this rule a second failure right after a promotion could
// bring back a write of the old primary that a caller was told did not run. A
// log whose last entry bears the term begins that term with its start record.
func (v *View) termStartHeld() bool {
	n := 0
	for _, s := range v.Servers {
		if s.Status.Last.Term == v.Term {
			n++
		}
	}
	return n >= Majority(len(v.Servers))
}
