package admitter

import (
	"container/heap"
	"slices"
	"time"
)

// minimumTeamsToSweep is the number of idle teams that are kept before a sweep.
const minimumTeamsToSweep = 64

// team holds the waiting and running requests of one team. It is dropped once it has none and its
// virtual time isn't above the queue's, so that memory doesn't grow with each team name ever seen.
type team struct {
	name  string
	share int
	// virtualTime is the slot time charged to the team, divided by its share.
	virtualTime time.Duration
	// virtualTimes is the same for the slot time of each level. A newcomer of a level that is seldom
	// granted would wait behind all others of its level if the grants of other levels counted.
	virtualTimes [OrderCount]time.Duration
	running      int
	heaps        [classCount]entryHeap
	// queuedAt and transactionsAt are the numbers of waiting requests outside of and inside
	// transactions by level.
	queuedAt, transactionsAt levelCounts
	isWaiting                bool
	// usage is the use of the team's entitlement, nil if it has none.
	usage *usage
}

// entryHeap orders the entries of one team and class by Entry.before.
type entryHeap []*Entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is called by container/heap.
func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop is called by container/heap.
func (h *entryHeap) Pop() any {
	l := *h
	e := l[len(l)-1]
	l[len(l)-1] = nil
	*h = l[:len(l)-1]
	e.index = -1
	return e
}

// before reports whether e is granted before o of the same team. The more important level comes first
// outside of transactions, then entries that hold a connection, then those with the earlier deadline,
// those without a deadline last; ties are broken by arrival.
func (e *Entry) before(o *Entry) bool {
	if a, b := e.level, o.level; a != b && e.Class != ClassTransaction {
		return a < b
	}
	if e.HoldsConnection != o.HoldsConnection {
		return e.HoldsConnection
	}
	if e.Deadline == o.Deadline {
		return e.sequence < o.sequence
	}
	if e.Deadline == 0 || o.Deadline == 0 {
		return o.Deadline == 0
	}
	return e.Deadline < o.Deadline
}

func (t *team) applyLimit(l TeamLimit) {
	t.share = max(1, l.Share)
}

// queued returns the number of the team's waiting requests outside of transactions.
func (t *team) queued() int {
	return len(t.heaps[ClassRead]) + len(t.heaps[ClassWrite])
}

// waitsAt reports whether a request of level l waits.
func (t *team) waitsAt(l uint8) bool { return t.queuedAt[l]+t.transactionsAt[l] > 0 }

// requests returns the number of the team's running and waiting requests.
func (t *team) requests() int {
	return t.running + t.queued() + len(t.heaps[ClassTransaction])
}

// last returns the waiting entry of class c and the level that would be granted last, nil if there is
// none. Entries that hold a connection are left out, as they are not displaced.
func (t *team) last(c Class, level uint8) *Entry {
	var l *Entry
	for _, e := range t.heaps[c] {
		if e.level == level && !e.HoldsConnection && (l == nil || l.before(e)) {
			l = e
		}
	}
	return l
}

func (q *Queue) teamOf(name string) *team {
	t := q.teams[name]
	if t != nil {
		return t
	}
	if q.teams == nil {
		q.teams = make(map[string]*team)
	}
	if len(q.teams) >= 2*len(q.waitingTeams)+minimumTeamsToSweep {
		q.sweep()
	}
	t = &team{name: name, virtualTime: q.virtualTime, virtualTimes: q.virtualTimes, usage: q.usages[name]}
	t.applyLimit(q.Teams[name])
	q.teams[name] = t
	return t
}

func (q *Queue) push(e *Entry) {
	t := e.team
	if !t.isWaiting {
		t.isWaiting = true
		// An idle team accumulates no credit.
		t.virtualTime = max(t.virtualTime, q.virtualTime)
		q.waitingTeams = append(q.waitingTeams, t)
	}
	l := e.level
	if !t.waitsAt(l) {
		t.virtualTimes[l] = max(t.virtualTimes[l], q.virtualTimes[l])
	}
	if q.queued[l] == 0 {
		q.levelGrantedAt[l] = e.arrivedAt
	}
	heap.Push(&t.heaps[e.Class], e)
	q.count(e, 1)
}

func (q *Queue) remove(e *Entry) {
	t := e.team
	heap.Remove(&t.heaps[e.Class], e.index)
	q.count(e, -1)
	if t.queued()+len(t.heaps[ClassTransaction]) > 0 {
		return
	}
	t.isWaiting = false
	i := slices.Index(q.waitingTeams, t)
	q.waitingTeams = slices.Delete(q.waitingTeams, i, i+1)
}

// sweep drops the idle teams that dropIdle kept because their virtual time was above the queue's.
func (q *Queue) sweep() {
	for _, t := range q.teams {
		q.dropIdle(t)
	}
}

// dropIdle drops t if it has no requests and its virtual time isn't above the queue's.
func (q *Queue) dropIdle(t *team) {
	if t.requests() > 0 || t.virtualTime > q.virtualTime {
		return
	}
	for l, v := range t.virtualTimes {
		if v > q.virtualTimes[l] {
			return
		}
	}
	delete(q.teams, t.name)
}
