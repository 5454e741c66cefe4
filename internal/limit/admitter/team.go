package admitter

import (
	"container/heap"
	"slices"
	"time"
)

// sweepTeams is how many idle teams are kept at least before a sweep.
const sweepTeams = 64

// team is the waiting and running part of one team. It is forgotten once it has
// nothing of either and no advantage or debt in virtual time, so that the queue
// doesn't grow with all teams ever seen.
type team struct {
	name  string
	share int
	// virtual is the slot time that the team has had, divided by its share.
	virtual time.Duration
	running int
	heaps   [classes]entryHeap
	active  bool
}

// entryHeap orders the entries of one team and class by deadline.
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

// before orders those that hold a connection first, then by deadline, those
// without one last, then by arrival.
func (e *Entry) before(o *Entry) bool {
	if e.HoldsConnection != o.HoldsConnection {
		return e.HoldsConnection
	}
	if e.Deadline == o.Deadline {
		return e.order < o.order
	}
	if e.Deadline == 0 || o.Deadline == 0 {
		return o.Deadline == 0
	}
	return e.Deadline < o.Deadline
}

func (t *team) set(l TeamLimit) {
	t.share = max(1, l.Share)
}

// load is how many of the team's requests wait outside of transactions.
func (t *team) load() int {
	return len(t.heaps[ClassRead]) + len(t.heaps[ClassWrite])
}

func (t *team) requests() int {
	return t.running + t.load() + len(t.heaps[ClassTransaction])
}

// last returns the waiting entry of class c that would come last, nil if none.
// One that holds a connection doesn't give way.
func (t *team) last(c Class) *Entry {
	var l *Entry
	for _, e := range t.heaps[c] {
		if !e.HoldsConnection && (l == nil || l.before(e)) {
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
	if len(q.teams) >= 2*len(q.active)+sweepTeams {
		q.sweep()
	}
	t = &team{name: name, virtual: q.virtual}
	t.set(q.Teams[name])
	q.teams[name] = t
	return t
}

func (q *Queue) push(e *Entry) {
	t := e.team
	if !t.active {
		t.active = true
		// A team saves up nothing while it asks for nothing.
		t.virtual = max(t.virtual, q.virtual)
		q.active = append(q.active, t)
	}
	heap.Push(&t.heaps[e.Class], e)
	q.waiting[e.Class]++
}

func (q *Queue) remove(e *Entry) {
	t := e.team
	heap.Remove(&t.heaps[e.Class], e.index)
	q.waiting[e.Class]--
	if t.load()+len(t.heaps[ClassTransaction]) > 0 {
		return
	}
	t.active = false
	i := slices.Index(q.active, t)
	q.active = slices.Delete(q.active, i, i+1)
}

// sweep forgets the idle teams that still had a debt when they became idle.
func (q *Queue) sweep() {
	for _, t := range q.teams {
		q.dropIdle(t)
	}
}

// dropIdle forgets t if nothing of it is left.
func (q *Queue) dropIdle(t *team) {
	if t.requests() == 0 && t.virtual <= q.virtual {
		delete(q.teams, t.name)
	}
}
