package chooser

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

const (
	// waitTolerance is the part of the best wait up to which servers count as equal.
	waitTolerance = 4
)

// offer is what one fit server would cost.
type offer struct {
	fit bool
	// expected is the time to the answer, cost adds the penalties.
	expected time.Duration
	cost     time.Duration
	wait     time.Duration
	// behind says that the server isn't known to cover the need.
	behind bool
}

// chooseRead takes the server with the lowest cost, by draw among equals.
func (c *Chooser) chooseRead(q *Request, l []Candidate, d *Decision) {
	var o [MaximumCandidates]offer
	best := -1
	for i := range l {
		var r Reason
		o[i], r = c.offerOf(q, l, i, d)
		if r != ReasonNone {
			d.pass(i, r)
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
	i := c.draw(q.Random, o[:len(l)], best, d.Primary)
	d.take(i, o[:len(l)])
	if i == d.Primary {
		d.Reason = primaryReason(d, o[:len(l)])
	}
}

// draw returns one of the offers that cost about as little as the best. The
// queues are known late, the less exactly the longer they are, so a part of the
// wait counts as equal as well. The primary is drawn only if it is the best:
// under load nearly all would count as equal, and it would get a full share.
func (c *Chooser) draw(draw uint64, o []offer, best, primary int) int {
	most := o[best].cost + max(orDefault(c.Tolerance, DefaultTolerance), o[best].wait/waitTolerance)
	equal := func(i int) bool {
		return o[i].fit && o[i].cost <= most && (i == best || i != primary)
	}
	n := uint64(0)
	for i := range o {
		if equal(i) {
			n++
		}
	}
	k := draw % n
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

func (d *Decision) take(i int, o []offer) {
	d.Index = i
	d.ExpectedTime = o[i].expected
	d.WaitForMark = o[i].behind
	for j := range o {
		if o[j].fit && j != i {
			d.pass(j, ReasonLater)
		}
	}
}

func primaryReason(d *Decision, o []offer) Reason {
	if d.AgeUnknown {
		return d.Reason
	}
	for j := range o {
		if o[j].fit && j != d.Primary {
			return ReasonPrimaryFaster
		}
	}
	return ReasonOnlyPrimary
}

// offerOf returns what server i would cost, or why it is passed over.
func (c *Chooser) offerOf(q *Request, l []Candidate, i int, d *Decision) (offer, Reason) {
	s := &l[i]
	switch {
	case q.Excluded&(1<<i) != 0:
		return offer{}, ReasonExcluded
	case s.Unreachable:
		return offer{}, ReasonUnreachable
	case s.Leaving && (i != d.Primary || q.Now-s.LeavingSince >= orDefault(c.LeavingGrace, DefaultLeavingGrace)):
		return offer{}, ReasonLeaving
	}
	if i != d.Primary && s.Role != controller.RoleReplica && d.Reason != ReasonUnconfirmedServe {
		// Its log may end in writes that were never acknowledged.
		return offer{}, ReasonNotConfirmed
	}
	w, r := c.catchUp(q, s, d.RequiredMark, i == d.Primary)
	if r != ReasonNone {
		return offer{}, r
	}
	o := offer{fit: true, behind: i != d.Primary && !s.Last.Covers(d.RequiredMark)}
	// The queue is worked off while the server catches up.
	o.wait = max(w, s.wait())
	o.expected = s.RoundTrip + o.wait
	o.cost = o.expected + c.penalty(q, s)
	return o, ReasonNone
}

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

// catchUp returns how long s will probably need until its log covers need. The
// primary of the need's own term holds all of it, however old its status is.
func (c *Chooser) catchUp(q *Request, s *Candidate, need marker.Mark, primary bool) (time.Duration, Reason) {
	if s.Last.Covers(need) || primary && s.Last.Term == need.Term {
		return 0, ReasonNone
	}
	// A log that ends in an earlier term is first brought in line with the new
	// primary's, which takes an unknown time.
	if s.Last.Term < need.Term {
		return 0, ReasonBehindTerm
	}
	if s.CatchUpRate <= 0 {
		return 0, ReasonBehind
	}
	records := float64(need.Position - s.Last.Position)
	seconds := records/s.CatchUpRate - (q.Now - s.Observed).Seconds()
	if seconds > orDefault(c.MaximumCatchUp, DefaultMaximumCatchUp).Seconds() {
		return 0, ReasonBehind
	}
	return max(s.Lag, time.Duration(seconds*float64(time.Second))), ReasonNone
}
