package admitter

import "time"

// refusal returns why e can't even wait, ReasonNone if it can.
func (q *Queue) refusal(e *Entry, now time.Duration) Reason {
	if e.Deadline != 0 && now >= e.Deadline {
		return ReasonDeadline
	}
	if e.Class == ClassTransaction || e.HoldsConnection {
		// Its connections bound their number, and to refuse one would only hold
		// the connection longer.
		if q.Closed == ReasonShutdown {
			return ReasonShutdown
		}
		return ReasonNone
	}
	if q.Closed != ReasonNone {
		return q.Closed
	}
	if l := q.Teams[e.Team].Requests; l > 0 && e.team.requests() >= l {
		return ReasonTeamLimit
	}
	// A free slot is given whatever the estimate says. The estimate could be too
	// long, and only a request that runs can correct it.
	if q.mayRun(e.Class) && q.Waiting() == 0 {
		return ReasonNone
	}
	w := q.expectedWait(e.team, e.Class)
	if e.Deadline != 0 && now+w+q.ServiceTime() > e.Deadline {
		return ReasonExpectedWait
	}
	if e.Objective != 0 && now+max(w, q.stalled(now)) > e.Objective {
		return ReasonExpectedWait
	}
	if q.waiting[ClassRead]+q.waiting[ClassWrite] >= q.length() && !q.makeRoom(e) {
		return ReasonQueueFull
	}
	return ReasonNone
}

// stalled returns for how long no slot has come free though all are taken. The next one
// will hardly come sooner than after as long again, whatever requests took before.
func (q *Queue) stalled(now time.Duration) time.Duration {
	if q.running == 0 || q.running < q.Slots {
		return 0
	}
	return now - q.progress
}

// expectedWait returns how long a request of t that comes now will wait.
func (q *Queue) expectedWait(t *team, c Class) time.Duration {
	if q.Slots <= 0 {
		return 0
	}
	ahead := q.waiting[ClassTransaction]
	if c != ClassTransaction {
		ahead += min(q.waiting[ClassRead]+q.waiting[ClassWrite], q.fairAhead(t))
	}
	n := ahead + q.running + 1 - q.Slots
	if n <= 0 {
		return 0
	}
	return time.Duration(n) * q.ServiceTime() / time.Duration(q.Slots)
}

// fairAhead returns how many requests go before the next one of t when each
// waiting team gets its share.
func (q *Queue) fairAhead(t *team) int {
	shares := t.share
	for _, a := range q.active {
		if a != t {
			shares += a.share
		}
	}
	own := len(t.heaps[ClassRead]) + len(t.heaps[ClassWrite])
	return (own+1)*shares/t.share - 1
}

// makeRoom refuses another entry of a full queue in e's favour, if one should
// give way, and reports whether it did.
func (q *Queue) makeRoom(e *Entry) bool {
	v := q.yielding(e)
	if v == nil {
		return false
	}
	q.remove(v)
	q.refuse(v, ReasonQueueFull)
	if v.team != e.team {
		q.dropIdle(v.team)
	}
	return true
}

// yielding returns the entry that gives way to e. A write displaces a read of
// its own team: a refused save has to be entered again, a read just repeated.
// Else the last entry gives way of the team that takes up most of the queue for
// its share; otherwise one team could fill it and keep all others out.
func (q *Queue) yielding(e *Entry) *Entry {
	if e.Class == ClassWrite {
		if v := e.team.last(ClassRead); v != nil {
			return v
		}
	}
	var most *team
	for _, t := range q.active {
		if most == nil || t.load()*most.share > most.load()*t.share {
			most = t
		}
	}
	if most == nil || most == e.team || (e.team.load()+1)*most.share >= most.load()*e.team.share {
		return nil
	}
	if v := most.last(ClassRead); v != nil {
		return v
	}
	return most.last(ClassWrite)
}

// mayRun reports whether a slot is free for class c.
func (q *Queue) mayRun(c Class) bool {
	free := q.Slots - q.running
	if c == ClassWrite && q.OpenTransactions > 0 && q.Slots > 1 {
		free--
	}
	return free > 0
}

func (q *Queue) length() int {
	if q.Length == 0 {
		return DefaultLength
	}
	return q.Length
}

// grant gives free slots to waiting entries.
func (q *Queue) grant(now time.Duration) {
	for q.Slots > q.running {
		e := q.next()
		if e == nil {
			return
		}
		q.remove(e)
		if e.Deadline != 0 && now+q.leastService(e, now) > e.Deadline {
			// It would be cut off halfway and waste the slot.
			q.refuse(e, ReasonDeadline)
			q.dropIdle(e.team)
			continue
		}
		q.start(e, now)
	}
}

// leastService is the time that a request out of the queue must still have. One
// that found a free slot on arrival gets it in any case, see refusal.
func (q *Queue) leastService(e *Entry, now time.Duration) time.Duration {
	if e.arrived == now || e.Class == ClassTransaction {
		return 0
	}
	return q.service + q.deviation
}

func (q *Queue) start(e *Entry, now time.Duration) {
	t := e.team
	e.State = StateGranted
	e.granted = now
	q.progress = now
	e.charged = q.ServiceTime()
	q.virtual = max(q.virtual, t.virtual)
	t.virtual += e.charged / time.Duration(t.share)
	t.running++
	q.running++
	q.run++
	if e.Class != ClassTransaction {
		q.run = 0
	}
	q.Granted = append(q.Granted, e)
}

// next returns the entry that runs next: of a transaction first, then of the
// team that has had least for its share, of that the earliest deadline.
func (q *Queue) next() *Entry {
	other := q.nextOf(ClassRead, ClassWrite)
	if other != nil && q.run >= transactionRun {
		return other
	}
	if e := q.nextOf(ClassTransaction, ClassTransaction); e != nil {
		return e
	}
	return other
}

func (q *Queue) nextOf(a, b Class) *Entry {
	var best *Entry
	for _, t := range q.active {
		e := earlier(q.top(t, a), q.top(t, b))
		if e == nil {
			continue
		}
		if best == nil || t.virtual < best.team.virtual || t.virtual == best.team.virtual && e.order < best.order {
			best = e
		}
	}
	return best
}

func (q *Queue) top(t *team, c Class) *Entry {
	if len(t.heaps[c]) == 0 || !q.mayRun(c) {
		return nil
	}
	return t.heaps[c][0]
}

func earlier(a, b *Entry) *Entry {
	switch {
	case a == nil:
		return b
	case b == nil || !b.before(a):
		return a
	}
	return b
}
