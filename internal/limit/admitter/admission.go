package admitter

import "time"

// refusal returns the reason to refuse e on arrival, ReasonNone if it may wait.
func (q *Queue) refusal(e *Entry, now time.Duration) Reason {
	if e.Deadline != 0 && now >= e.Deadline {
		return ReasonDeadline
	}
	if e.Class == ClassTransaction || e.HoldsConnection {
		// The number of such requests is bounded by the number of connections, and a refusal
		// would only hold the connection longer.
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
	// A free slot is granted regardless of the estimate. The estimate may be too long, and only
	// a request that runs can correct it.
	if q.mayRun(e.Class) && q.Waiting() == 0 {
		return ReasonNone
	}
	w := q.expectedWait(e.team, e.Class)
	if e.Deadline != 0 && now+w+q.ServiceTime() > e.Deadline {
		return ReasonExpectedWait
	}
	if e.Objective != 0 && now+max(w, q.stalledFor(now)) > e.Objective {
		return ReasonExpectedWait
	}
	if q.waiting[ClassRead]+q.waiting[ClassWrite] >= q.length() && !q.displace(e) {
		return ReasonQueueFull
	}
	return ReasonNone
}

// stalledFor returns the time since the last grant or release if all slots are in use, else zero. It
// serves as a lower bound of the expected wait: a slot that has not been released for some time is
// unlikely to be released within the same time again, whatever the earlier service times.
func (q *Queue) stalledFor(now time.Duration) time.Duration {
	if q.running == 0 || q.running < q.Slots {
		return 0
	}
	return now - q.progressAt
}

// expectedWait returns the expected wait of a request of t and class c that arrives now.
func (q *Queue) expectedWait(t *team, c Class) time.Duration {
	if q.Slots <= 0 {
		return 0
	}
	ahead := q.waiting[ClassTransaction]
	if c != ClassTransaction {
		ahead += min(q.waiting[ClassRead]+q.waiting[ClassWrite], q.aheadAtFairShare(t))
	}
	n := ahead + q.running + 1 - q.Slots
	if n <= 0 {
		return 0
	}
	return time.Duration(n) * q.ServiceTime() / time.Duration(q.Slots)
}

// aheadAtFairShare returns the number of requests that are granted before the next one of t if each
// waiting team gets its share.
func (q *Queue) aheadAtFairShare(t *team) int {
	shares := t.share
	for _, a := range q.waitingTeams {
		if a != t {
			shares += a.share
		}
	}
	own := len(t.heaps[ClassRead]) + len(t.heaps[ClassWrite])
	return (own+1)*shares/t.share - 1
}

// displace refuses an entry of a full queue in favour of e, if entryToDisplace returns one, and
// reports whether it did.
func (q *Queue) displace(e *Entry) bool {
	v := q.entryToDisplace(e)
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

// entryToDisplace returns the waiting entry that e displaces, nil if none. A write displaces a read
// of its own team: a refused write may have to be entered again by a user, while a read is simply
// repeated. Otherwise e displaces the last entry of the team with the longest queue relative to its
// share, so that no team can fill the queue and keep the others out.
func (q *Queue) entryToDisplace(e *Entry) *Entry {
	if e.Class == ClassWrite {
		if v := e.team.last(ClassRead); v != nil {
			return v
		}
	}
	var longest *team
	for _, t := range q.waitingTeams {
		if longest == nil || t.queued()*longest.share > longest.queued()*t.share {
			longest = t
		}
	}
	if longest == nil || longest == e.team || (e.team.queued()+1)*longest.share >= longest.queued()*e.team.share {
		return nil
	}
	if v := longest.last(ClassRead); v != nil {
		return v
	}
	return longest.last(ClassWrite)
}

// mayRun reports whether a slot is free for class c, see OpenTransactions.
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

// grant grants free slots to waiting entries.
func (q *Queue) grant(now time.Duration) {
	for q.Slots > q.running {
		e := q.next()
		if e == nil {
			return
		}
		q.remove(e)
		if e.Deadline != 0 && now+q.minimumRemaining(e, now) > e.Deadline {
			// The request would exceed its deadline while running and waste the slot.
			q.refuse(e, ReasonDeadline)
			q.dropIdle(e.team)
			continue
		}
		q.start(e, now)
	}
}

// minimumRemaining returns the time before the deadline that e needs to be granted. It is zero for a
// request that found a free slot on arrival, see refusal, and for statements of transactions.
func (q *Queue) minimumRemaining(e *Entry, now time.Duration) time.Duration {
	if e.arrivedAt == now || e.Class == ClassTransaction {
		return 0
	}
	return q.serviceTime + q.serviceDeviation
}

func (q *Queue) start(e *Entry, now time.Duration) {
	t := e.team
	e.State = StateGranted
	e.grantedAt = now
	q.progressAt = now
	e.chargedTime = q.ServiceTime()
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	t.virtualTime += e.chargedTime / time.Duration(t.share)
	t.running++
	q.running++
	q.transactionsInRow++
	if e.Class != ClassTransaction {
		q.transactionsInRow = 0
	}
	q.Granted = append(q.Granted, e)
}

// next returns the entry to grant next, nil if none can run. Statements of transactions come first,
// up to maximumTransactionsInRow; then the team with the least virtual time, and of that team the
// first entry by Entry.before.
func (q *Queue) next() *Entry {
	other := q.nextOf(ClassRead, ClassWrite)
	if other != nil && q.transactionsInRow >= maximumTransactionsInRow {
		return other
	}
	if e := q.nextOf(ClassTransaction, ClassTransaction); e != nil {
		return e
	}
	return other
}

// nextOf returns the first runnable entry of the classes a and b of the team with the least virtual
// time, nil if there is none.
func (q *Queue) nextOf(a, b Class) *Entry {
	var best *Entry
	for _, t := range q.waitingTeams {
		e := earlier(q.firstRunnable(t, a), q.firstRunnable(t, b))
		if e == nil {
			continue
		}
		if best == nil || t.virtualTime < best.team.virtualTime || t.virtualTime == best.team.virtualTime && e.sequence < best.sequence {
			best = e
		}
	}
	return best
}

func (q *Queue) firstRunnable(t *team, c Class) *Entry {
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
