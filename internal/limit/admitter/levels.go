package admitter

import "time"

// reservedInterval is the number of consecutive grants outside of transactions of which at least one goes
// to a waiting request of a less important level.
const reservedInterval = 16

// OrderCount is the number of levels in the order of a queue, see Entry.Order.
const OrderCount = 2 * LevelCount

// levelCounts holds a number of requests for each level of the order.
type levelCounts [OrderCount]int

// above returns the number of requests of the levels that are more important than l.
func (c *levelCounts) above(l uint8) int { return sum(c[:l]) }

// below returns the number of requests of the levels that are less important than l.
func (c *levelCounts) below(l uint8) int { return sum(c[l+1:]) }

// reservedBelow returns the number of requests of the levels below l that have reserved grants. Requests
// beyond an entitlement have none: their team isn't starved, as it gets what it is entitled to.
func (c *levelCounts) reservedBelow(l uint8) int {
	if l >= LevelCount {
		return 0
	}
	return sum(c[l+1 : LevelCount])
}

// Order returns the level of the entry in the order of the queue: that of its importance, or LevelCount more
// if it was beyond the entitlement of its team, see Queue.SetTeams.
func (e *Entry) Order() uint8 { return e.level }

func sum[T int | float64](l []T) T {
	var n T
	for _, x := range l {
		n += x
	}
	return n
}

// WaitingByLevel returns the number of waiting requests by level. Statements of transactions are counted
// as level 0, as they are granted before all levels.
func (q *Queue) WaitingByLevel() [LevelCount]int {
	var c [LevelCount]int
	for l, n := range q.queued {
		c[l%LevelCount] += n
	}
	c[0] += q.waiting[ClassTransaction]
	return c
}

// count adds n to the counts of waiting requests with the class and level of e.
func (q *Queue) count(e *Entry, n int) {
	l := e.level
	q.waiting[e.Class] += n
	if e.Class == ClassTransaction {
		e.team.transactionsAt[l] += n
		return
	}
	e.team.queuedAt[l] += n
	q.queued[l] += n
}

// countPassed counts the grant of e outside of transactions for reservedInterval.
func (q *Queue) countPassed(e *Entry, now time.Duration) {
	l := e.level
	q.levelGrantedAt[l] = now
	if q.queued.above(l) > 0 || q.queued.reservedBelow(l) == 0 {
		q.passed = 0
		return
	}
	q.passed++
}

// nextReserved returns the entry that is granted in place of n because less important levels have been
// passed over too often, nil if it is not their turn. It is the first runnable one of the level that has
// waited longest.
func (q *Queue) nextReserved(n *Entry) *Entry {
	if q.passed < reservedInterval-1 {
		return nil
	}
	var best *Entry
	for _, t := range q.waitingTeams {
		for c := ClassRead; c <= ClassWrite; c++ {
			if !q.mayRun(c) {
				continue
			}
			for _, e := range t.heaps[c] {
				if e.level > n.level && e.level < LevelCount && (best == nil || q.reservedBefore(e, best)) {
					best = e
				}
			}
		}
	}
	return best
}

// reservedBefore reports whether a reserved grant goes to e rather than o.
func (q *Queue) reservedBefore(e, o *Entry) bool {
	a, b := e.level, o.level
	if a != b {
		s, t := q.levelGrantedAt[a], q.levelGrantedAt[b]
		return s < t || s == t && a < b
	}
	if e.team == o.team {
		return e.before(o)
	}
	return e.precedes(o)
}

// precedes reports whether e is granted before o of another team: first the more important level, then
// the team with the least virtual time at this level, then the customer's priority, then the one that
// arrived first.
func (e *Entry) precedes(o *Entry) bool {
	a, b := e.level, o.level
	if a != b {
		return a < b
	}
	if s, t := e.team.virtualTimes[a], o.team.virtualTimes[a]; s != t {
		return s < t
	}
	if e.Importance != o.Importance {
		return e.Importance < o.Importance
	}
	return e.sequence < o.sequence
}

// passedLevels returns the number of levels that share the reserved grants if one of the given level waits:
// all but the most important one. The counts are those of the waiting requests.
func passedLevels(counts []int, level int) int {
	n := 0
	for i, c := range counts {
		if c > 0 || i == level {
			n++
		}
	}
	return max(1, n-1)
}
