package chooser

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

const (
	// waitToleranceDivisor divides the wait at the best server: servers whose cost is higher by no
	// more than the quotient count as equal.
	waitToleranceDivisor = 4
)

// estimate is the expected cost of running a read at one server.
type estimate struct {
	// eligible says that the server may run the read.
	eligible bool
	// expected is the expected time until the answer; cost is expected plus the penalties.
	expected time.Duration
	cost     time.Duration
	// wait is the part of expected that is spent in the queue or in catching up.
	wait time.Duration
	// behind says that the server isn't known to cover the required mark.
	behind bool
}

// chooseRead chooses the server with the lowest cost, at random among equal ones.
func (c *Chooser) chooseRead(q *Request, l []Candidate, d *Decision) {
	var o [MaximumCandidates]estimate
	best := -1
	for i := range l {
		var r Reason
		o[i], r = c.estimateFor(q, l, i, d)
		if r != ReasonNone {
			d.passOver(i, r)
			continue
		}
		if best < 0 || o[i].cost < o[best].cost {
			best = i
		}
	}
	if best < 0 {
		d.refuse(ReasonNoServer)
		return
	}
	i := c.chooseAmongEqual(q.Random, o[:len(l)], best, d.Primary)
	d.setChosen(i, o[:len(l)])
	if i == d.Primary {
		d.Reason = primaryReason(d, o[:len(l)])
	}
}

// chooseAmongEqual returns the index of a random server among those with about the same cost as best.
// Queue lengths are known with a delay, and the longer a queue is the less exactly, so servers also
// count as equal within a part of the wait. The primary is only included if it is the best: under load
// nearly all servers count as equal, and the primary would get a full share of the reads.
func (c *Chooser) chooseAmongEqual(random uint64, o []estimate, best, primary int) int {
	maximumCost := o[best].cost + max(orDefault(c.Tolerance, DefaultTolerance), o[best].wait/waitToleranceDivisor)
	equal := func(i int) bool {
		return o[i].eligible && o[i].cost <= maximumCost && (i == best || i != primary)
	}
	n := uint64(0)
	for i := range o {
		if equal(i) {
			n++
		}
	}
	k := random % n
	for i := range o {
		if !equal(i) {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return best
}

// setChosen sets the fields of a read that runs at server i, and passes over the other eligible servers.
func (d *Decision) setChosen(i int, o []estimate) {
	d.Index = i
	d.ExpectedTime = o[i].expected
	d.WaitForMark = o[i].behind
	for j := range o {
		if o[j].eligible && j != i {
			d.passOver(j, ReasonLater)
		}
	}
}

// primaryReason returns the reason for a read at the primary.
func primaryReason(d *Decision, o []estimate) Reason {
	if d.AgeUnknown {
		return d.Reason
	}
	for j := range o {
		if o[j].eligible && j != d.Primary {
			return ReasonPrimaryFaster
		}
	}
	return ReasonOnlyPrimary
}

// estimateFor returns the estimate for server i, or the reason to pass it over.
func (c *Chooser) estimateFor(q *Request, l []Candidate, i int, d *Decision) (estimate, Reason) {
	s := &l[i]
	switch {
	case q.Excluded&(1<<i) != 0:
		return estimate{}, ReasonExcluded
	case s.Unreachable:
		return estimate{}, ReasonUnreachable
	case s.Leaving && (i != d.Primary || q.Now-s.LeavingSince >= orDefault(c.LeavingGrace, DefaultLeavingGrace)):
		return estimate{}, ReasonLeaving
	}
	if i != d.Primary && s.Role != controller.RoleReplica && d.Reason != ReasonUnconfirmedServe {
		// The log of an unconfirmed primary may end in writes that were never acknowledged.
		return estimate{}, ReasonNotConfirmed
	}
	w, r := c.catchUpTime(q, s, d.RequiredMark, i == d.Primary)
	if r != ReasonNone {
		return estimate{}, r
	}
	o := estimate{eligible: true, behind: i != d.Primary && !s.Last.Covers(d.RequiredMark)}
	// The queue shrinks while the server catches up, so the longer wait counts, not the sum.
	o.wait = max(w, s.queueWait())
	o.expected = s.RoundTrip + o.wait
	o.cost = o.expected + c.penalty(q, s)
	return o, ReasonNone
}

// penalty returns the sum of the penalties of running q at s.
func (c *Chooser) penalty(q *Request, s *Candidate) time.Duration {
	var p time.Duration
	if s.OtherRegion {
		p += orDefault(c.LinkPenalty, DefaultLinkPenalty)
	}
	if s.Role != controller.RolePrimary {
		return p
	}
	if q.StaleAllowed {
		return p + orDefault(c.StalePrimaryPenalty, DefaultStalePrimaryPenalty)
	}
	return p + orDefault(c.PrimaryPenalty, DefaultPrimaryPenalty)
}

// catchUpTime returns the expected time until the log of s covers required, or the reason to pass s
// over. The confirmed primary of the term of required covers it, however old its status is.
func (c *Chooser) catchUpTime(q *Request, s *Candidate, required marker.Mark, primary bool) (time.Duration, Reason) {
	if s.Last.Covers(required) || primary && s.Last.Term == required.Term {
		return 0, ReasonNone
	}
	// A log that ends in an earlier term must first be reconciled with the new primary's log, which
	// takes an unknown time.
	if s.Last.Term < required.Term {
		return 0, ReasonBehindTerm
	}
	if s.CatchUpRate <= 0 {
		return 0, ReasonBehind
	}
	records := float64(required.Position - s.Last.Position)
	seconds := records/s.CatchUpRate - (q.Now - s.Observed).Seconds()
	if seconds > orDefault(c.MaximumCatchUp, DefaultMaximumCatchUp).Seconds() {
		return 0, ReasonBehind
	}
	return max(s.Lag, time.Duration(seconds*float64(time.Second))), ReasonNone
}
