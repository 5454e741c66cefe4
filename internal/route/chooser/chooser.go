// Package chooser decides which backend server runs a request.
package chooser

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// MaximumCandidates is how many servers of a group are looked at.
const MaximumCandidates = 16

// Chooser holds the weights of the decision. Its fields are set before use,
// zero fields take their defaults; it may be used by many goroutines.
type Chooser struct {
	// LinkPenalty is what a request over the billed region link must save in time.
	LinkPenalty time.Duration
	// PrimaryPenalty is what a read at the primary must save, as the primary's
	// slots are also needed for writes.
	PrimaryPenalty time.Duration
	// StalePrimaryPenalty stands in its place for reads that may be old.
	StalePrimaryPenalty time.Duration
	// MaximumCatchUp is the longest expected wait for a replica to catch up.
	MaximumCatchUp time.Duration
	// Tolerance is the difference in expected time up to which servers count as
	// equal. Among equals the draw decides, so that hosts that see the same
	// figures don't all run to the same server.
	Tolerance time.Duration
	// LeavingGrace is how long a leaving primary still takes writes, while the
	// group changes over to another one.
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

// Candidate is what is known of one backend server.
type Candidate struct {
	Name string
	Role controller.Role
	// Confirmed says that a majority of the group accepts the server as primary.
	Confirmed bool
	// Unreachable says that the server doesn't answer on new connections.
	Unreachable bool
	Leaving     bool
	// LeavingSince is when Leaving was first seen, on the monotonic clock.
	LeavingSince time.Duration
	// Last is the end of the server's log when it was last asked, at Observed.
	// Within a term it only grows, so it is a safe lower bound.
	Last     marker.Mark
	Observed time.Duration
	// CatchUpRate is how many records the server applies in a second when it
	// lags, zero if it has stopped, see the estimator.
	CatchUpRate float64
	// Lag is the usual wait for the server to cover a read index.
	Lag time.Duration
	// Busy, Queued and Slots are those of the server as a whole.
	Busy, Queued, Slots int
	// ServiceTime is the mean time for which a request holds a slot.
	ServiceTime time.Duration
	// RoundTrip is the mean time of an empty request from this host.
	RoundTrip time.Duration
	// OtherRegion says that the billed region link lies between.
	OtherRegion bool
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Write says that only a primary will do.
	Write bool
	// Mark is the session's mark in the group, if HasMark.
	Mark    marker.Mark
	HasMark bool
	// ReadIndex is the mark of a confirmed primary, asked after the request
	// arrived, if HasReadIndex.
	ReadIndex    marker.Mark
	HasReadIndex bool
	// StaleAllowed says that a rule allows an age; AgeMark is the mark that shows it,
	// from the historian, if HasAgeMark.
	StaleAllowed bool
	AgeMark      marker.Mark
	HasAgeMark   bool
	// WhenUnconfirmed is the rule's choice. If it is empty, a read without an age
	// is served when its session's mark is covered, an aged one is refused.
	WhenUnconfirmed declarer.WhenUnconfirmed
	// Excluded is a set of bits by candidate index: servers that refused before.
	Excluded uint32
	// Random is any random number.
	Random uint64
	// Now is the time on the monotonic clock of the candidates' times.
	Now time.Duration
}

// PassedOver is one server that wasn't chosen.
type PassedOver struct {
	Index  int8
	Reason Reason
}

// Decision is where a request runs. It holds no pointers, so that it costs no
// allocation.
type Decision struct {
	// Refused says that the request doesn't run, by Why.
	Refused bool
	// Index is the chosen candidate.
	Index int
	// Primary is the candidate for a second run after a read-only error, -1 if
	// no primary is confirmed.
	Primary int
	// RequiredMark is the mark that the server's log must cover when the request starts.
	RequiredMark marker.Mark
	// WaitForMark says that the server isn't known to cover Need yet: it must be
	// asked again, or waited for, before the request starts.
	WaitForMark bool
	// AgeUnknown says that the caller must be told that the age can't be shown.
	AgeUnknown bool
	Reason     Reason
	// ExpectedTime is the expected time to the answer.
	ExpectedTime time.Duration

	PassedOver      [MaximumCandidates]PassedOver
	PassedOverCount int
}

// NeedsReadIndex reports whether a read index should be asked for before Choose.
func NeedsReadIndex(q *Request) bool {
	if q.Write || q.HasReadIndex {
		return false
	}
	return !q.HasMark || !q.StaleAllowed || !q.HasAgeMark
}

// Choose decides for q among the candidates l. A read index that can't be had
// is left out of q, which makes the read unconfirmed.
func (c *Chooser) Choose(q *Request, l []Candidate) Decision {
	l = l[:min(len(l), MaximumCandidates)]
	d := Decision{Index: -1, Primary: primaryOf(l)}
	if q.Write {
		c.chooseWrite(q, l, &d)
		return d
	}
	if !d.setNeed(q) {
		d.refuse(ReasonNoFreshness)
		return d
	}
	c.chooseRead(q, l, &d)
	return d
}

// setNeed sets the mark that the read needs, and reports false if nothing can
// show that the session would have its own writes.
func (d *Decision) setNeed(q *Request) bool {
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
		// A session's own writes are kept even so.
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

func (c *Chooser) chooseWrite(q *Request, l []Candidate, d *Decision) {
	for i := range l {
		switch {
		case i != d.Primary && l[i].Role == controller.RolePrimary:
			d.pass(i, ReasonNotConfirmed)
		case i != d.Primary:
			d.pass(i, ReasonNotPrimary)
		case l[i].Unreachable:
			d.pass(i, ReasonUnreachable)
		case l[i].Leaving && q.Now-l[i].LeavingSince >= orDefault(c.LeavingGrace, DefaultLeavingGrace):
			d.pass(i, ReasonLeaving)
		default:
			d.Index = i
			d.Reason = ReasonWrite
			d.ExpectedTime = l[i].RoundTrip + l[i].wait()
		}
	}
	if d.Index < 0 {
		d.refuse(ReasonNoPrimary)
	}
}

func (d *Decision) refuse(r Reason) {
	d.Refused = true
	d.AgeUnknown = false
	d.Index = -1
	d.Reason = r
}

func (d *Decision) pass(i int, r Reason) {
	d.PassedOver[d.PassedOverCount] = PassedOver{Index: int8(i), Reason: r}
	d.PassedOverCount++
}

func primaryOf(l []Candidate) int {
	for i := range l {
		if l[i].Role == controller.RolePrimary && l[i].Confirmed {
			return i
		}
	}
	return -1
}

// wait is the expected time in the server's queue: the requests before this one
// leave at the rate of the slots.
func (s *Candidate) wait() time.Duration {
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
