// Package successor decides when a database group needs another primary, and which.
package successor

import (
	"hash/fnv"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

const (
	// absentAfter is how long a primary's host refuses connections to it before it is
	// taken for lost. A process that is gone takes longer to come back.
	absentAfter = 300 * time.Millisecond
	// silentAfter is the same for a primary that doesn't answer, where other hosts say
	// so as well: by itself it may be a fault between it and this host.
	silentAfter = 500 * time.Millisecond
	// stalledAfter is how long a primary with statements under way may answer none of
	// them before it is asked on a new connection.
	stalledAfter = 250 * time.Millisecond
	// leaderlessAfter is how long no server may report the lead. A promotion that
	// somebody else ordered shows by then.
	leaderlessAfter = 1500 * time.Millisecond
	// spread is the most that one host waits longer than another.
	spread = 100 * time.Millisecond
)

// DownAfter is how long a primary may be unreachable where no other host has had an
// answer of it either. Its entry on the platform's list lapses after about as long.
const DownAfter = 4 * time.Second

// Reason says why a group needs another primary.
type Reason string

// Reasons.
const (
	// ReasonNone is a group that needs none.
	ReasonNone Reason = ""
	// ReasonNotListening: no process listens at the primary's address.
	ReasonNotListening Reason = "primary-absent"
	// ReasonUnresponsive: the primary doesn't answer this host. Others must say so too.
	ReasonUnresponsive Reason = "primary-silent"
	// ReasonDown: the primary doesn't answer for long. No other host may have had an
	// answer; that none can be asked is enough.
	ReasonDown Reason = "primary-unheard"
	// ReasonNoPrimary: no server reports the lead.
	ReasonNoPrimary Reason = "no-primary"
	// ReasonDraining: the primary will stop soon.
	ReasonDraining Reason = "primary-leaving"
)

// Detector decides for one group at one entry host. Its exported fields are set before
// use; it belongs to one goroutine.
type Detector struct {
	// Host is this entry host, Group the group.
	Host  string
	Group string

	leaderless time.Duration
	reason     Reason
	since      time.Duration
}

// View is what the judge is told.
type View struct {
	Now time.Duration
	// Primary is the one believed in, nil for none.
	Primary *grouptracker.Server
	Servers []*grouptracker.Server
}

// ShouldProbe reports whether the primary should be asked on a new connection now.
func (j *Detector) ShouldProbe(s View) bool {
	p := s.Primary
	if p == nil {
		return true
	}
	stalled := p.InFlight > 0 && s.Now-p.AnsweredAt > stalledAfter
	return stalled || p.FailingSince != 0
}

// Decide returns why this host should give the group another primary now. Each host
// waits a little differently, so that mostly one goes first.
func (j *Detector) Decide(s View) Reason {
	r := j.reasonNow(s)
	if r != j.reason {
		j.reason, j.since = r, s.Now
	}
	if r == ReasonNone || s.Now-j.since < j.Delay() {
		return ReasonNone
	}
	return r
}

func (j *Detector) reasonNow(s View) Reason {
	if len(s.Servers) == 0 {
		return ReasonNone
	}
	p := s.Primary
	if p == nil {
		return j.withoutPrimary(s)
	}
	j.leaderless = 0
	failing := p.FailingSince != 0
	mute := failing && s.Now-max(p.FailingSince, p.AnsweredAt) > silentAfter
	switch {
	case failing && p.ConnectionRefusedSince != 0 && s.Now-p.ConnectionRefusedSince > absentAfter:
		return ReasonNotListening
	case mute && s.Now-p.FailingSince <= DownAfter:
		return ReasonUnresponsive
	case mute:
		return ReasonDown
	case p.Draining:
		return ReasonDraining
	}
	return ReasonNone
}

func (j *Detector) withoutPrimary(s View) Reason {
	if j.leaderless == 0 {
		j.leaderless = s.Now
	}
	if s.Now-j.leaderless > leaderlessAfter {
		return ReasonNoPrimary
	}
	return ReasonNone
}

// Delay spreads the hosts by a hash, differently for each group.
func (j *Detector) Delay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.Host + "/" + j.Group))
	return time.Duration(h.Sum32()) * spread / (1 << 32)
}

// Candidate is one server's own word, asked for a promotion.
type Candidate struct {
	Server declarer.Server
	Status declarer.Status
}

// Choose returns the candidate with the longest log, of equals the first in the same
// zone as the old primary's, false if there is none that may lead. What it lacks is
// lost: with asynchronous replication the last commits of a lost primary may be.
//
// Unless a majority of the listed servers has answered, none may. Where a cut leaves a
// host with the old primary alone, another host may have promoted one beyond the cut:
// giving the lead back would drop all that was written there since, and bring back what
// was dropped before.
//
// Where commits are acknowledged once so many replicas have them, synchronous isn't zero,
// so many must have answered that one of them has each commit: all but as many as would
// have one, and the primary. One that leaves then leads for as long as it runs, if nobody
// else has as much.
func Choose(l []Candidate, listed, synchronous int, zone string) (Candidate, bool) {
	var best Candidate
	found := false
	if 2*len(l) <= listed || synchronous > 0 && len(l) < listed-synchronous {
		return best, false
	}
	for _, c := range l {
		if c.Status.Primary || c.Server.Draining && synchronous == 0 {
			continue
		}
		if !found || better(c, best, zone) {
			best, found = c, true
		}
	}
	return best, found
}

func better(c, o Candidate, zone string) bool {
	if n := c.Status.Received.Compare(o.Status.Received); n != 0 {
		return n > 0
	}
	if c.Server.Draining != o.Server.Draining {
		return o.Server.Draining
	}
	if n := c.Server.AvailabilityZone == zone; n != (o.Server.AvailabilityZone == zone) {
		return n
	}
	return c.Server.ID < o.Server.ID
}

// NewestTerm returns the newest term among the candidates.
func NewestTerm(l []Candidate) marker.Term {
	var t marker.Term
	for _, c := range l {
		t = max(t, c.Status.Term, c.Status.Received.Term)
	}
	return t
}
