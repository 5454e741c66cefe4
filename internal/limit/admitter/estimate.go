package admitter

import (
	"math"
	"time"
)

// usedWindow is the time constant of the moving sums of slot time by level. It is long beside a request,
// and short beside a burst.
const usedWindow = 500 * time.Millisecond

// expectedMargin is the factor by which the expected wait of a less important request is overestimated.
// Otherwise, each request would be let in with no time to spare, and a more important one that arrives would
// have it refused after it has waited.
const expectedMargin = 1.4

// The margin is raised for each request that is refused after it has waited, and lowered for each that is
// refused on arrival. In between it settles at one of the first for promptPerLate of the others: refusals
// are to be sent within 50 ms but for one in ten.
const (
	promptPerLate  = 24
	cautionStep    = 0.03
	maximumCaution = 3
	// cautionIdle is the idle time of the slots with which the margin goes back, as a time constant.
	cautionIdle = 200 * time.Millisecond
)

// maximumPlace bounds placeByDebt, so that waits calculated from it don't overflow.
const maximumPlace = 1 << 20

// work is an estimate of what is granted before a request.
type work struct {
	// requests is the number of requests.
	requests int
	// extra is the slot time that they take beyond that of as many average requests.
	extra time.Duration
}

// expectedWait returns the expected wait of e if it arrives now with class c.
func (q *Queue) expectedWait(e *Entry, c Class) time.Duration {
	if c == ClassTransaction {
		return q.waitBehind(work{})
	}
	l, t := e.level, e.team
	shares := q.waitingSharesWith(t, l)
	return q.waitBehind(q.expectedAhead(l, max(q.placeByShare(t, l, shares), q.placeByDebt(t, l, t.queuedAt[l], shares))))
}

// waitBehind returns the expected wait of a request before which w is granted besides the waiting
// statements of transactions.
func (q *Queue) waitBehind(w work) time.Duration {
	n := q.waiting[ClassTransaction] + w.requests + q.running + 1 - q.Slots
	if n <= 0 || q.Slots <= 0 {
		return 0
	}
	return max(0, time.Duration(n)*q.ServiceTime()+w.extra) / time.Duration(q.Slots)
}

// waitingSharesWith returns the sum of the shares of t and of the teams that wait at level l.
func (q *Queue) waitingSharesWith(t *team, l uint8) int {
	shares := t.share
	for _, a := range q.waitingTeams {
		if a != t && a.waitsAt(l) {
			shares += a.share
		}
	}
	return shares
}

// placeByShare returns the number of waiting requests of level l that are granted before a further one of t,
// if the shares of the waiting teams add up to shares.
func (q *Queue) placeByShare(t *team, l uint8, shares int) int {
	return min(q.queued[l], (t.queuedAt[l]+1)*shares/t.share-1)
}

// placeByDebt returns the number of requests of level l that are granted before one of t that has own
// requests before it, as t has had more than its share of the slot time: the requests of teams that haven't
// pass it, also those that are still to arrive. It is only known with entitlements, and otherwise zero.
func (q *Queue) placeByDebt(t *team, l uint8, own, shares int) int {
	if q.usages == nil {
		return 0
	}
	s := q.levelTime(l)
	debt := max(0, t.virtualTimes[l]-q.virtualTimes[l]).Seconds() + float64(own)*s.Seconds()/float64(t.share)
	return int(min(debt*float64(shares)/s.Seconds(), maximumPlace))
}

// aheadInOrder returns what is granted before a waiting request of level l that has place others of its
// level before it: these, the more important ones, and the less important ones that get a reserved grant.
// Reserved grants also bound the wait of a less important level.
func (q *Queue) aheadInOrder(l uint8, place int) work {
	w := work{requests: place, extra: time.Duration(place) * q.extraTime(l)}
	for k, n := range q.queued[:l] {
		w.requests += n
		w.extra += time.Duration(n) * q.extraTime(uint8(k))
	}
	return q.withReserved(l, place, w)
}

// expectedAhead returns the same as aheadInOrder, including the more important requests that are expected
// to arrive meanwhile. They take as much of the slots as they took of late.
func (q *Queue) expectedAhead(l uint8, place int) work {
	w := q.aheadInOrder(l, place)
	if u := q.usedAbove(l); u > 0 {
		f := (expectedMargin + q.caution[l]) / (1 - u)
		w.requests = int(float64(w.requests) * f)
		w.extra = time.Duration(float64(w.extra) * f)
		w = q.boundByReserved(l, place, w)
	}
	return w
}

// withReserved adds the reserved grants to w, which is granted before a request of level l.
func (q *Queue) withReserved(l uint8, place int, w work) work {
	w.requests += min(q.queued.reservedBelow(l), w.requests/(reservedInterval-1))
	return q.boundByReserved(l, place, w)
}

// boundByReserved bounds w, which is granted before a request of level l, by the reserved grants that
// this level gets if a more important one waits.
func (q *Queue) boundByReserved(l uint8, place int, w work) work {
	if l >= LevelCount || q.queued.above(l) == 0 {
		return w
	}
	if n := (place+1)*reservedInterval*passedLevels(q.queued[:LevelCount], int(l)) - 1; n < w.requests {
		return work{requests: n}
	}
	return w
}

// levelTime returns the moving average of the time for which a request of level l holds a slot.
func (q *Queue) levelTime(l uint8) time.Duration {
	if t := q.serviceTimes[l%LevelCount]; t > 0 {
		return t
	}
	return q.ServiceTime()
}

// extraTime returns by how much levelTime is above the average of all requests.
func (q *Queue) extraTime(l uint8) time.Duration { return q.levelTime(l) - q.ServiceTime() }

// observeUsed adds the slot time that a request of level l took.
func (q *Queue) observeUsed(l uint8, took, now time.Duration) {
	if t := &q.serviceTimes[l%LevelCount]; *t == 0 {
		*t = max(took, 1)
	} else {
		*t = max(*t+(took-*t)/smoothingDivisor, 1)
	}
	f := math.Exp(-(now - q.usedAt).Seconds() / usedWindow.Seconds())
	idle := max(0, 1-sum(q.used[:])/(float64(max(1, q.Slots))*usedWindow.Seconds()))
	g := math.Exp(-(now - q.usedAt).Seconds() * idle / cautionIdle.Seconds())
	for k := range q.used {
		q.used[k] *= f
		q.caution[k] *= g
	}
	q.used[l] += took.Seconds()
	q.usedAt = now
}

// usedAbove returns the part of the slots that the more important levels than l took of late, at most all
// but the reserved grants.
func (q *Queue) usedAbove(l uint8) float64 {
	above := sum(q.used[:l])
	if above == 0 {
		return 0
	}
	return min(above/(float64(q.Slots)*usedWindow.Seconds()), 1-1.0/reservedInterval)
}

// observeRefusal adapts the margin of the expected wait of level l to whether a request that can't be served
// was refused on arrival or only after it had waited.
func (q *Queue) observeRefusal(l uint8, waited bool) {
	c := q.caution[l] - cautionStep
	if waited {
		c = q.caution[l] + cautionStep*promptPerLate
	}
	q.caution[l] = min(max(c, 0), maximumCaution)
}

// retryAfter returns the time after which a retry of e makes sense: when those that wait before it have been
// granted. What else expectedWait includes is caution, with which a caller would be told to come back long
// after the queue has room.
func (q *Queue) retryAfter(e *Entry) time.Duration {
	l, t := e.level, e.team
	return max(minimumRetryAfter, q.waitBehind(q.aheadInOrder(l, q.placeByShare(t, l, q.waitingSharesWith(t, l)))))
}
