// Package chooser decides which backend server of a database group runs a request.
package chooser

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// MaximumCandidates is the number of servers of a group that are considered; further ones are ignored.
const MaximumCandidates = 16

// Chooser holds the weights of the decision. Its fields are set before use, zero fields take their
// defaults. A Chooser is safe for concurrent use.
type Chooser struct {
	// LinkPenalty is the expected time that a request must save to use the link between regions,
	// which is billed.
	LinkPenalty time.Duration
	// PrimaryPenalty is the expected time that a read must save to run at the primary, whose slots
	// are also needed for writes.
	PrimaryPenalty time.Duration
	// StalePrimaryPenalty replaces PrimaryPenalty for reads that may return stale data.
	StalePrimaryPenalty time.Duration
	// MaximumCatchUp is the longest expected catch-up time of a replica that is chosen.
	MaximumCatchUp time.Duration
	// Tolerance is the difference in cost up to which servers count as equal. Among equal servers
	// one is chosen at random, so that hosts with the same observations don't all choose the same
	// server.
	Tolerance time.Duration
	// LeavingGrace is the time for which a leaving primary still gets writes, while the group
	// switches over to another one.
	LeavingGrace time.Duration
}

// Defaults of a Chooser.
const (
	DefaultLinkPenalty         = 15 * time.Millisecond
	DefaultPrimaryPenalty      = 30 * time.Millisecond
	DefaultStalePrimaryPenalty = 250 * time.Millisecond
	DefaultMaximumCatchUp      = 50 * time.Millisecond
	DefaultTolerance           = 500 * time.Microsecond
	DefaultLeavingGrace        = 2 * time.Second
)

// Candidate is the last known state of one backend server.
type Candidate struct {
	Name string
	Role controller.Role
	// Confirmed says that a majority of the group has confirmed the server as primary.
	Confirmed bool
	// Unreachable says that the server doesn't answer on new connections.
	Unreachable bool
	// Leaving says that the server will stop soon.
	Leaving bool
	// LeavingSince is the time at which Leaving was first observed, on the monotonic clock.
	LeavingSince time.Duration
	// Last is the end of the server's log when it was last polled, at the time Observed. It is a
	// safe lower bound, as a log only grows within a term.
	Last     marker.Mark
	Observed time.Duration
	// CatchUpRate is the number of records per second that the server applies when it lags, zero if
	// it has stopped, see estimator.Estimator.
	CatchUpRate float64
	// Lag is the average wait for the server to cover a read index.
	Lag time.Duration
	// Busy, Queued and Slots are the used slots, the waiting requests and all slots of the server,
	// over all entry hosts.
	Busy, Queued, Slots int
	// ServiceTime is the average time for which a request holds a slot.
	ServiceTime time.Duration
	// RoundTrip is the average round-trip time from this host.
	RoundTrip time.Duration
	// OtherRegion says that the server is in another region than this host.
	OtherRegion bool
}

// Request holds the properties of a request that the decision depends on.
type Request struct {
	// Write says that the request must run at the primary.
	Write bool
	// Mark is the session's mark in the group, which covers what it has written and read; it is
	// valid if HasMark is set.
	Mark    marker.Mark
	HasMark bool
	// ReadIndex is the mark of a confirmed primary that was requested after the request arrived; it
	// is valid if HasReadIndex is set.
	ReadIndex    marker.Mark
	HasReadIndex bool
	// StaleAllowed says that a routing rule allows data up to a maximum age. AgeMark is the mark
	// that proves that data isn't older, from historian.Historian; it is valid if HasAgeMark is set.
	StaleAllowed bool
	AgeMark      marker.Mark
	HasAgeMark   bool
	// WhenUnconfirmed is the routing rule's setting for reads whose freshness can't be confirmed. If it
	// is empty, a read is served where the session's mark is covered; if StaleAllowed is set, it is
	// refused.
	WhenUnconfirmed declarer.WhenUnconfirmed
	// Excluded is a bit set, by candidate index, of the servers that refused the request before.
	Excluded uint32
	// Random is any random number, for the choice among equal servers.
	Random uint64
	// Now is the time on the monotonic clock of the candidates' times.
	Now time.Duration
}

// PassedOver is a server that wasn't chosen, with the reason.
type PassedOver struct {
	Index  int8
	Reason Reason
}

// Decision says where a request runs. It contains no pointers, so that it needs no allocation.
type Decision struct {
	// Refused says that the request doesn't run, for Reason.
	Refused bool
	// Index is the index of the chosen candidate, -1 if Refused.
	Index int
	// Primary is the index of the confirmed primary, for a second run after a read-only error; -1 if
	// no primary is confirmed.
	Primary int
	// RequiredMark is the mark that the server's log must cover when the request starts to run.
	RequiredMark marker.Mark
	// WaitForMark says that the server isn't known to cover RequiredMark yet. It must be polled until
	// it does before the request starts.
	WaitForMark bool
	// AgeUnknown says that the caller must be informed that the age of the data is unknown.
	AgeUnknown bool
	// Reason is why the server was chosen or the request refused.
	Reason Reason
	// ExpectedTime is the expected time until the answer.
	ExpectedTime time.Duration

	// PassedOver holds the servers that weren't chosen, in its first PassedOverCount elements.
	PassedOver      [MaximumCandidates]PassedOver
	PassedOverCount int
}

// NeedsReadIndex reports whether a read index should be requested before Choose.
func NeedsReadIndex(q *Request) bool {
	if q.Write || q.HasReadIndex {
		return false
	}
	return !q.HasMark || !q.StaleAllowed || !q.HasAgeMark
}

// Choose decides which of the candidates l runs q. If no read index is available, q is passed without
// one, and the read counts as unconfirmed.
func (c *Chooser) Choose(q *Request, l []Candidate) Decision {
	l = l[:min(len(l), MaximumCandidates)]
	d := Decision{Index: -1, Primary: confirmedPrimary(l)}
	if q.Write {
		c.chooseWrite(q, l, &d)
		return d
	}
	if !d.setRequiredMark(q) {
		d.refuse(ReasonNoFreshness)
		return d
	}
	c.chooseRead(q, l, &d)
	return d
}

// setRequiredMark sets RequiredMark, Reason and AgeUnknown for a read. It returns false if the read
// must be refused because its freshness can't be ensured.
func (d *Decision) setRequiredMark(q *Request) bool {
	d.RequiredMark = q.Mark
	switch {
	case q.StaleAllowed && q.HasAgeMark && (q.HasMark || q.HasReadIndex):
		d.Reason = ReasonWithinAge
		d.RequiredMark = marker.Max(d.RequiredMark, q.AgeMark)
		if !q.HasMark {
			d.RequiredMark = marker.Max(d.RequiredMark, q.ReadIndex)
		}
	case q.HasReadIndex:
		d.Reason = ReasonReadIndex
		d.RequiredMark = marker.Max(d.RequiredMark, q.ReadIndex)
	case q.WhenUnconfirmed == declarer.Serve:
		// RequiredMark still covers the session's own writes.
		d.Reason = ReasonUnconfirmedServe
		d.AgeUnknown = true
	case q.HasMark && !q.StaleAllowed && q.WhenUnconfirmed == "":
		d.Reason = ReasonUnconfirmedMark
		d.AgeUnknown = true
	default:
		return false
	}
	return true
}

// chooseWrite chooses the confirmed primary, unless it is unreachable or has been leaving for
// LeavingGrace.
func (c *Chooser) chooseWrite(q *Request, l []Candidate, d *Decision) {
	for i := range l {
		switch {
		case i != d.Primary && l[i].Role == controller.RolePrimary:
			d.passOver(i, ReasonNotConfirmed)
		case i != d.Primary:
			d.passOver(i, ReasonNotPrimary)
		case l[i].Unreachable:
			d.passOver(i, ReasonUnreachable)
		case l[i].Leaving && q.Now-l[i].LeavingSince >= orDefault(c.LeavingGrace, DefaultLeavingGrace):
			d.passOver(i, ReasonLeaving)
		default:
			d.Index = i
			d.Reason = ReasonWrite
			d.ExpectedTime = l[i].RoundTrip + l[i].queueWait()
		}
	}
	if d.Index < 0 {
		d.refuse(ReasonNoPrimary)
	}
}

// refuse sets the fields of a refused request.
func (d *Decision) refuse(r Reason) {
	d.Refused = true
	d.AgeUnknown = false
	d.Index = -1
	d.Reason = r
}

// passOver records that server i isn't chosen, for the reason r.
func (d *Decision) passOver(i int, r Reason) {
	d.PassedOver[d.PassedOverCount] = PassedOver{Index: int8(i), Reason: r}
	d.PassedOverCount++
}

// confirmedPrimary returns the index of the confirmed primary, -1 if there is none.
func confirmedPrimary(l []Candidate) int {
	for i := range l {
		if l[i].Role == controller.RolePrimary && l[i].Confirmed {
			return i
		}
	}
	return -1
}

// queueWait returns the expected wait in the server's queue: the requests before this one finish at the
// rate of Slots per ServiceTime.
func (s *Candidate) queueWait() time.Duration {
	n := s.Busy + s.Queued + 1 - s.Slots
	if n <= 0 || s.Slots <= 0 {
		return 0
	}
	return time.Duration(n) * s.ServiceTime / time.Duration(s.Slots)
}

func orDefault(v, d time.Duration) time.Duration {
	if v == 0 {
		return d
	}
	return v
}
