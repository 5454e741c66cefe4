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
	if q.late(e, q.expectedWait(e, e.Class), now) {
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
	e.chargedTime = q.levelTime(e.level)
	q.charge(e, e.chargedTime)
	t.running++
	q.running++
	q.transactionsInRow++
	if e.Class != ClassTransaction {
		q.transactionsInRow = 0
		q.countPassed(e, now)
	}
	q.Granted = append(q.Granted, e)
}

// next returns the entry to grant next, nil if none can run. Statements of transactions come first,
// up to maximumTransactionsInRow.
func (q *Queue) next() *Entry {
	other := q.nextRequest()
	if other != nil && q.transactionsInRow >= maximumTransactionsInRow {
		return other
	}
	if e := q.nextTransaction(); e != nil {
		return e
	}
	return other
}

// nextTransaction returns the first runnable statement of a transaction of the team with the least virtual
// time, nil if there is none. Their importance is ignored, as each holds a connection and possibly locks.
func (q *Queue) nextTransaction() *Entry {
	var best *Entry
	for _, t := range q.waitingTeams {
		e := q.firstRunnable(t, ClassTransaction)
		if e == nil {
			continue
		}
		if best == nil || t.virtualTime < best.team.virtualTime || t.virtualTime == best.team.virtualTime && e.sequence < best.sequence {
			best = e
		}
	}
	return best
}

// nextRequest returns the first runnable entry outside of transactions by Entry.precedes, or the one that
// has a reserved grant; nil if there is none. Of each team it regards the first one by Entry.before.
func (q *Queue) nextRequest() *Entry {
	var best *Entry
	for _, t := range q.waitingTeams {
		e := earlier(q.firstRunnable(t, ClassRead), q.firstRunnable(t, ClassWrite))
		if e != nil && (best == nil || e.precedes(best)) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	if e := q.nextReserved(best); e != nil {
		return e
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
