// Package successor decides whether a database group needs another primary, and which server to
// promote.
package successor

import (
	"hash/fnv"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

const (
	// notListeningAfter is how long connections to the primary must have been refused before
	// it counts as lost, provided that other hosts report the same. A process that has ended needs
	// longer than this to restart.
	notListeningAfter = 300 * time.Millisecond
	// unresponsiveAfter is how long the primary must have been unresponsive to this host before
	// it counts as lost, provided that other hosts report the same: otherwise the fault may be
	// between the primary and this host.
	unresponsiveAfter = 500 * time.Millisecond
	// stalledAfter is how long a primary with statements in progress may answer none of them
	// before it is probed on a new connection.
	stalledAfter = 250 * time.Millisecond
	// noPrimaryAfter is how long a group may have no server that reports to be the primary. A
	// promotion ordered by another host is visible within this time.
	noPrimaryAfter = 1500 * time.Millisecond
	// maximumDelay bounds the delay by which each host postpones its decision.
	maximumDelay = 100 * time.Millisecond
)

// DownAfter is how long a primary may be unreachable before it counts as lost even if other
// hosts can't confirm it, unless one of them has received an answer from it. The primary's
// entry in the platform's list expires after about the same time.
const DownAfter = 4 * time.Second

// Reason says why a group needs another primary.
type Reason string

// Reasons.
const (
	// ReasonNone means that the group needs no other primary.
	ReasonNone Reason = ""
	// ReasonNotListening means that the primary refuses this host's connections. Other hosts must
	// confirm that they can't reach it either: a firewall between this host and a sound primary
	// refuses connections too.
	ReasonNotListening Reason = "primary-absent"
	// ReasonUnresponsive means that the primary doesn't answer this host. Other hosts must
	// confirm that they can't reach it either.
	ReasonUnresponsive Reason = "primary-silent"
	// ReasonDown means that the primary hasn't answered this host for DownAfter. It is
	// sufficient if no other host reports an answer, even if no other host can be asked.
	ReasonDown Reason = "primary-unheard"
	// ReasonNoPrimary means that no server reports to be the primary.
	ReasonNoPrimary Reason = "no-primary"
	// ReasonDraining means that the primary will stop soon.
	ReasonDraining Reason = "primary-leaving"
)

// Detector detects on one entry host that one group needs another primary. Its exported
// fields are set before use; it must be used by one goroutine only.
type Detector struct {
	// Host is the name of this entry host, Group that of the group.
	Host  string
	Group string

	noPrimarySince time.Duration
	reason         Reason
	since          time.Duration
}

// View is the state of a group as this host has observed it.
type View struct {
	// Now is the present time on the clock of the times in Primary and Servers.
	Now time.Duration
	// Primary is the server that this host assumes to be the primary, nil for none.
	Primary *grouptracker.Server
	Servers []*grouptracker.Server
	// Absent is the number of servers that aren't listed any more and may hold commits.
	Absent int
}

// ShouldProbe reports whether the primary should be probed on a new connection now.
func (j *Detector) ShouldProbe(s View) bool {
	p := s.Primary
	if p == nil {
		return true
	}
	stalled := p.InFlight > 0 && s.Now-p.AnsweredAt > stalledAfter
	return stalled || p.FailingSince != 0
}

// Decide returns why this host should give the group another primary now. Each host delays
// its decision by a different time, so that usually one acts before the others.
func (j *Detector) Decide(s View) Reason {
	r := j.currentReason(s)
	if r != j.reason {
		j.reason, j.since = r, s.Now
	}
	if r == ReasonNone || s.Now-j.since < j.Delay() {
		return ReasonNone
	}
	return r
}

// currentReason returns the reason that applies now, without the delay of Decide.
func (j *Detector) currentReason(s View) Reason {
	if len(s.Servers) == 0 {
		return ReasonNone
	}
	p := s.Primary
	if p == nil {
		return j.withoutPrimary(s)
	}
	j.noPrimarySince = 0
	failing := p.FailingSince != 0
	unresponsive := failing && s.Now-max(p.FailingSince, p.AnsweredAt) > unresponsiveAfter
	switch {
	case unresponsive && s.Now-p.FailingSince > DownAfter:
		return ReasonDown
	case failing && p.ConnectionRefusedSince != 0 && s.Now-p.ConnectionRefusedSince > notListeningAfter:
		return ReasonNotListening
	case unresponsive:
		return ReasonUnresponsive
	case p.Draining:
		return ReasonDraining
	}
	return ReasonNone
}

// withoutPrimary returns the reason that applies to a group without a known primary.
func (j *Detector) withoutPrimary(s View) Reason {
	if j.noPrimarySince == 0 {
		j.noPrimarySince = s.Now
	}
	if s.Now-j.noPrimarySince > noPrimaryAfter {
		return ReasonNoPrimary
	}
	return ReasonNone
}

// Delay returns how long this host delays its decision, at most maximumDelay. It is derived
// from a hash of host and group, so that the order of the hosts differs between groups.
func (j *Detector) Delay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.Host + "/" + j.Group))
	return time.Duration(h.Sum32()) * maximumDelay / (1 << 32)
}

// Candidate is a server and the status that it reported when it was probed for a promotion.
type Candidate struct {
	Server declarer.Server
	Status declarer.Status
}

// Requirement is what a group requires of the server to promote.
type Requirement struct {
	// Servers is the number of servers that the platform lists, and Absent that of the servers whose
	// entries have lapsed and which may hold commits.
	Servers, Absent int
	// Synchronous is how many replicas must have a commit before it is acknowledged.
	Synchronous int
	// Term is the newest term in which a server of the group is known to have led.
	Term marker.Term
	// Base is the end of the log of the last server whose promotion was ordered, when it was ordered.
	Base marker.Mark
	// Zone is the availability zone of the lost primary.
	Zone string
}

// admits reports whether the log that ends at m is part of the group's newest history: it has entries of
// the newest term or, with asynchronous replication, none that the last promotion may have rolled back. With
// synchronous replication the latter log lacks acknowledged commits if there are any of the newest term.
func (q Requirement) admits(m marker.Mark) bool {
	return m.Term >= q.Term && !q.lacksTermStart(m) || q.Synchronous == 0 && m.Term == q.Base.Term && m.Position <= q.Base.Position
}

// lacksTermStart reports whether the log that ends at m can't have the start of its own term, as that follows the
// base. A replica that has just begun to follow the newest primary may report its term before it has received
// anything, and lack commits of the terms before.
func (q Requirement) lacksTermStart(m marker.Mark) bool {
	return q.Synchronous > 0 && m.Term > q.Base.Term && m.Position < q.Base.Position
}

// Choose returns the candidate to promote: the one with the longest log. Among equals it
// prefers a server that isn't draining, then one in the old primary's availability zone, then the
// lowest ID. It returns false if no candidate may be promoted. Commits
// that the chosen server lacks are lost; with asynchronous replication these may be the last
// commits of a lost primary.
//
// No candidate may be promoted unless a majority of the listed servers has answered. If a
// network partition leaves this host with the old primary alone, another host may have promoted
// a server on the other side of it. Promoting the old primary again would drop all that was
// written there since, and restore what had been dropped before. A majority may consist of servers
// that received nothing of the newest term, of which the longest log is the one with the
// most entries to restore. A candidate must thus be part of the newest history. With asynchronous replication
// the longest log will do if all servers have answered, those that are absent included, and none is.
//
// If synchronous isn't zero, a commit is acknowledged once that many replicas have it. Each
// acknowledged commit must then be on at least one of the servers that have answered. As it is
// on that many replicas and on the primary, at most that many servers may be missing, absent ones
// included. A server with an empty log counts as missing: it may have lost what it held. In this
// mode a draining server may be promoted too, and is the primary until it stops, if no other
// candidate has a log as long.
func Choose(l []Candidate, q Requirement) (Candidate, bool) {
	q.Term = max(q.Term, NewestLog(l))
	known := q.Servers + q.Absent
	if 2*len(l) <= q.Servers || q.Synchronous > 0 && witnesses(l, q.Term) < known-q.Synchronous {
		return Candidate{}, false
	}
	if c, ok := longest(l, q, q.admits); ok || len(l) < known || q.Synchronous > 0 {
		return c, ok
	}
	return longest(l, q, func(marker.Mark) bool { return true })
}

// witnesses returns how many of the servers have a log, or all of them if nothing was written in the group.
func witnesses(l []Candidate, newest marker.Term) int {
	n := 0
	for _, c := range l {
		if newest == 0 || !c.Status.Received.IsZero() {
			n++
		}
	}
	return n
}

// longest returns the best of the candidates whose logs are admitted.
func longest(l []Candidate, q Requirement, admits func(marker.Mark) bool) (best Candidate, found bool) {
	for _, c := range l {
		if c.Status.Primary || c.Server.Draining && q.Synchronous == 0 || !admits(c.Status.Received) {
			continue
		}
		if !found || better(c, best, q.Zone) {
			best, found = c, true
		}
	}
	return best, found
}

// better reports whether c should be promoted rather than o.
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

// NewestTerm returns the newest term that any of the candidates has reported.
func NewestTerm(l []Candidate) marker.Term {
	var t marker.Term
	for _, c := range l {
		t = max(t, c.Status.Term, c.Status.Received.Term)
	}
	return t
}

// NewestLog returns the newest term in which any of the candidates has an entry.
func NewestLog(l []Candidate) marker.Term {
	var t marker.Term
	for _, c := range l {
		t = max(t, c.Status.Received.Term)
	}
	return t
}
