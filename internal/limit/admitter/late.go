package admitter

import (
	"cmp"
	"slices"
	"time"
)

// placed is a waiting entry and the number of entries of its team and level that are granted before it.
type placed struct {
	entry *Entry
	place int
}

// refuseLate refuses the waiting requests of less important levels than e that can't meet their
// objective or deadline after the arrival of e, the last ones first. They would wait in vain.
func (q *Queue) refuseLate(e *Entry, now time.Duration) {
	l := e.level
	if q.queued.below(l) == 0 || !q.mayBeLate(l, now) {
		return
	}
	q.place(l)
	slices.SortFunc(q.places, compareLastFirst)
	for _, p := range q.places {
		q.refuseIfLate(p, now)
	}
	clear(q.places)
	q.places = q.places[:0]
}

// mayBeLate reports whether any request of a less important level than l would be late if it were the
// last one of its level. It spares the sorting where none is.
func (q *Queue) mayBeLate(l uint8, now time.Duration) bool {
	var longest [OrderCount]time.Duration
	for k := l + 1; k < OrderCount; k++ {
		longest[k] = q.waitBehind(q.aheadInOrder(k, max(0, q.queued[k]-1)))
	}
	for _, t := range q.waitingTeams {
		for c := ClassRead; c <= ClassWrite; c++ {
			for _, e := range t.heaps[c] {
				if k := e.level; k > l && q.late(e, longest[k], now) {
					return true
				}
			}
		}
	}
	return false
}

// place sets places to the waiting requests of less important levels than l.
func (q *Queue) place(l uint8) {
	for _, t := range q.waitingTeams {
		if t.queuedAt.below(l) == 0 {
			continue
		}
		first := len(q.places)
		for c := ClassRead; c <= ClassWrite; c++ {
			for _, e := range t.heaps[c] {
				if e.level > l {
					q.places = append(q.places, placed{entry: e})
				}
			}
		}
		own := q.places[first:]
		slices.SortFunc(own, func(a, b placed) int { return compareOrder(a.entry, b.entry) })
		var seen levelCounts
		for i := range own {
			k := own[i].entry.level
			own[i].place = seen[k]
			seen[k]++
		}
	}
}

// refuseIfLate refuses the entry of p if it would be late even if it were granted before the requests of its
// level of other teams.
func (q *Queue) refuseIfLate(p placed, now time.Duration) {
	e := p.entry
	if e.HoldsConnection {
		return
	}
	l := e.level
	ahead := q.aheadInOrder(l, min(p.place, q.queued[l]-1))
	if !q.late(e, q.waitBehind(ahead), now) {
		return
	}
	q.remove(e)
	q.refuse(e, ReasonExpectedWait)
	q.observeRefusal(e.level, true)
	q.dropIdle(e.team)
}

// late reports whether e can't meet its deadline or objective if it waits for w from now on.
func (q *Queue) late(e *Entry, w, now time.Duration) bool {
	if e.Deadline != 0 && now+w+q.levelTime(e.level) > e.Deadline {
		return true
	}
	return e.Objective != 0 && now+max(w, q.stalledFor(now)) > e.Objective
}

func compareOrder(a, b *Entry) int {
	if a.before(b) {
		return -1
	}
	return 1
}

// compareLastFirst orders by level and customer's priority, the least important first, then by place, the
// last first.
func compareLastFirst(a, b placed) int {
	if a.entry.Importance != b.entry.Importance {
		return cmp.Compare(b.entry.Importance, a.entry.Importance)
	}
	return cmp.Or(cmp.Compare(b.place, a.place), cmp.Compare(b.entry.sequence, a.entry.sequence))
}
