// Package admitter decides which requests get the slots of one backend server, and which are refused.
package admitter

import (
	"time"
)

// Class is the priority class of a request, by what it may block while it waits.
type Class uint8

// Classes of a request.
const (
	// ClassTransaction is a statement inside an open transaction. It is granted first, as the
	// transaction holds a connection and possibly locks until it ends.
	ClassTransaction Class = iota
	// ClassRead is a request that takes no row locks.
	ClassRead
	// ClassWrite is a request that may wait for row locks.
	ClassWrite
	classCount
)

// Reason says why a request was refused. No part of a refused request has run.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that the queue is at its maximum length.
	ReasonQueueFull
	// ReasonTeamLimit means that the team has as many requests as TeamLimit.Requests allows.
	ReasonTeamLimit
	// ReasonExpectedWait means that the expected wait would exceed the deadline or the objective.
	ReasonExpectedWait
	// ReasonDeadline means that the deadline has passed, or could not be met after the time in the queue.
	ReasonDeadline
	// ReasonLeaving means that the backend server will stop soon.
	ReasonLeaving
	// ReasonShutdown means that the entry host or the pool is shutting down.
	ReasonShutdown
	// ReasonNoConnections means that the server accepts no more connections.
	ReasonNoConnections
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled
	// ReasonNotAdmitted means that the host that owns the server's connections would refuse the request,
	// by its last forecast. It wasn't asked.
	ReasonNotAdmitted
)

var reasonNames = [...]string{"none", "queue-full", "team-limit", "expected-wait", "deadline", "leaving", "shutdown", "no-connections", "cancelled", "not-admitted"}

// String returns the reason in kebab case.
func (r Reason) String() string { return reasonNames[r] }

// State is the state of an entry in the queue.
type State uint8

// States of an entry.
const (
	StateWaiting State = iota
	StateGranted
	StateRefused
	StateReleased
)

// Entry is one request. The caller sets the exported fields before Queue.Offer, except State, Reason
// and RetryAfter.
type Entry struct {
	// Team is the name of the team that the request is charged to.
	Team       string
	Class      Class
	Importance Importance
	// Deadline is the time at which the caller stops waiting, on the clock that is passed to the
	// queue's methods as now; zero for none.
	Deadline time.Duration
	// Objective is the time by which the request should be granted, on the same clock, zero for
	// none. A request whose expected wait exceeds it is refused on arrival: under sustained
	// overload a long queue would delay every request.
	Objective time.Duration
	// HoldsConnection says that the request already holds a connection. It is queued even if the
	// queue is full, and is granted before others of its team and class.
	HoldsConnection bool
	// State is set by the queue, as are Reason and RetryAfter when the request is refused.
	State  State
	Reason Reason
	// level is the level in the order of the queue, see Queue.levelOf. It takes no further memory here.
	level      uint8
	RetryAfter time.Duration
	// Owner is for the caller's use; the queue ignores it.
	Owner any

	team *team
	// index is the position in the team's heap, -1 if the entry isn't waiting.
	index     int
	arrivedAt time.Duration
	grantedAt time.Duration
	// chargedTime is the service time that was charged to the team at the grant.
	chargedTime time.Duration
	// sequence is the position in the order of arrival.
	sequence uint64
}

// TeamLimit holds the configured limits of one team.
type TeamLimit struct {
	// Share is the team's weight in the division of slot time among teams, 1 if unset.
	Share int
	// Requests is the maximum number of the team's waiting and running requests, unlimited if zero.
	Requests int
}

// Defaults of a Queue.
const (
	// DefaultLength is the default of Queue.Length, in requests.
	DefaultLength = 64
	// DefaultServiceTime is assumed until a request has released its slot.
	DefaultServiceTime = 5 * time.Millisecond
	// maximumTransactionsInRow is the number of transaction statements that are granted in a row
	// while other requests wait. Without this limit, a steady stream of transactions would
	// starve all other requests.
	maximumTransactionsInRow = 7
	// smoothingDivisor is the divisor of the exponential moving average of service times: a new
	// sample has a weight of 1/smoothingDivisor.
	smoothingDivisor = 16
	// minimumRetryAfter keeps refused callers from retrying in a tight loop.
	minimumRetryAfter = 10 * time.Millisecond
)

// Queue divides the slots of one backend server among requests by their importance, and within a level by
// weighted fair queueing between teams. The exported settings may change between calls. A Queue must not be
// used concurrently.
type Queue struct {
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// Length is the maximum number of waiting requests outside of transactions, DefaultLength if
	// zero.
	Length int
	// Teams holds the limits by team name. Teams without an entry have share 1 and no limit.
	Teams map[string]TeamLimit
	// OpenTransactions is the number of transactions that hold a connection. While it is above
	// zero, the last slot is not granted to a ClassWrite: writes that wait for a row lock could
	// fill all slots, and the commit that releases the lock would wait behind them until their
	// deadlines.
	OpenTransactions int
	// Closed is the reason with which new requests are refused, ReasonNone to accept them.
	// Statements of open transactions are still accepted unless it is ReasonShutdown.
	Closed Reason

	// Granted and Refused list the entries that the last method call granted and refused.
	Granted []*Entry
	Refused []*Entry

	// teams holds the teams with requests or with a virtual time above the queue's.
	teams map[string]*team
	// waitingTeams are the teams with at least one waiting entry.
	waitingTeams []*team
	// virtualTime is the highest virtual time that a team had when it was granted a slot.
	virtualTime time.Duration
	// virtualTimes is the same for the grants of each level.
	virtualTimes [OrderCount]time.Duration
	// serviceTime is the moving average of service times, zero if there is no sample.
	serviceTime time.Duration
	// serviceDeviation is the moving average of the absolute deviation from serviceTime.
	serviceDeviation time.Duration
	// progressAt is the time of the last grant or release of a slot.
	progressAt time.Duration
	running    int
	waiting    [classCount]int
	// queued is the number of waiting entries outside of transactions by level.
	queued levelCounts
	// levelGrantedAt is the time at which each level had its last grant outside of transactions, or
	// began to wait if that was later.
	levelGrantedAt [OrderCount]time.Duration
	// passed is the number of grants since the last one to a less important level for which such a
	// level waited, see reservedInterval.
	passed int
	// used is the moving sum of the slot time that each level took until usedAt, in seconds.
	used   [OrderCount]float64
	usedAt time.Duration
	// serviceTimes is the same as serviceTime by level of importance.
	serviceTimes [LevelCount]time.Duration
	// caution is added to expectedMargin by level, see observeRefusal.
	caution [OrderCount]float64
	// usages holds the use of their entitlements by team, and entitledShares the sum of the shares,
	// once SetTeams has been called.
	usages         map[string]*usage
	entitledShares int
	// places is working memory of refuseLate.
	places []placed
	// transactionsInRow is the number of ClassTransaction entries granted since the last other one.
	transactionsInRow int
	// sequence is the number of entries offered so far.
	sequence uint64
}

// Offer grants, queues or refuses e.
func (q *Queue) Offer(e *Entry, now time.Duration) {
	q.clear()
	t := q.teamOf(e.Team)
	q.sequence++
	e.team, e.arrivedAt, e.sequence, e.index, e.State = t, now, q.sequence, -1, StateWaiting
	e.level = q.levelOf(e, now)
	if r := q.refusal(e, now); r != ReasonNone {
		q.refuse(e, r)
		if r == ReasonExpectedWait {
			q.observeRefusal(e.level, false)
		}
		q.dropIdle(t)
		return
	}
	q.push(e)
	q.grant(now)
	q.refuseLate(e, now)
}

// Cancel refuses e with ReasonCancelled if it is waiting. It reports whether e is refused now; if it
// is not, e was granted and must be released instead.
func (q *Queue) Cancel(e *Entry, now time.Duration) bool {
	q.clear()
	if e.State != StateWaiting {
		return e.State == StateRefused
	}
	q.remove(e)
	q.refuse(e, ReasonCancelled)
	q.dropIdle(e.team)
	q.grant(now)
	return true
}

// Expire refuses e with ReasonDeadline if it is still waiting. The caller calls it at the deadline.
func (q *Queue) Expire(e *Entry, now time.Duration) {
	q.clear()
	if e.State != StateWaiting {
		return
	}
	q.remove(e)
	q.refuse(e, ReasonDeadline)
	q.dropIdle(e.team)
	q.grant(now)
}

// Release frees the slot of a granted entry and records how long the entry held it.
func (q *Queue) Release(e *Entry, now time.Duration) {
	q.clear()
	if e.State != StateGranted {
		return
	}
	d := now - e.grantedAt
	q.observeServiceTime(d)
	q.observeUsed(e.level, d, now)
	q.end(e, d, now)
}

// ReleaseUnused frees the slot of a granted entry without recording a service time.
func (q *Queue) ReleaseUnused(e *Entry, now time.Duration) {
	q.clear()
	if e.State == StateGranted {
		q.end(e, 0, now)
	}
}

func (q *Queue) end(e *Entry, took, now time.Duration) {
	e.State = StateReleased
	q.running--
	q.progressAt = now
	e.team.running--
	// The charge at the grant was an estimate: correct it by the time actually used.
	q.use(e, took-e.chargedTime)
	d := (took - e.chargedTime) / time.Duration(e.team.share)
	e.team.virtualTime += d
	e.team.virtualTimes[e.level] += d
	q.dropIdle(e.team)
	q.grant(now)
}

// Adjust applies changes of the exported settings.
func (q *Queue) Adjust(now time.Duration) {
	q.clear()
	if q.Closed != ReasonNone {
		q.refuseClosed()
	}
	for _, t := range q.teams {
		t.applyLimit(q.Teams[t.name])
	}
	q.grant(now)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, w := range q.waiting {
		n += w
	}
	return n
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// ServiceTime returns the moving average of the time for which a request holds a slot,
// DefaultServiceTime if there is no sample.
func (q *Queue) ServiceTime() time.Duration {
	if q.serviceTime == 0 {
		return DefaultServiceTime
	}
	return q.serviceTime
}

// ResetServiceTime discards the observed service times. It is called when the slots that they were
// observed on are gone: an estimate that is too long would refuse every request, and none could run
// and correct it.
func (q *Queue) ResetServiceTime() {
	q.serviceTime, q.serviceDeviation = 0, 0
	clear(q.serviceTimes[:])
}

func (q *Queue) observeServiceTime(d time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = max(d, 1)
		return
	}
	q.serviceDeviation += ((d - q.serviceTime).Abs() - q.serviceDeviation) / smoothingDivisor
	q.serviceTime = max(q.serviceTime+(d-q.serviceTime)/smoothingDivisor, 1)
}

// charge adds took to the virtual time of the team of e, which is granted a slot.
func (q *Queue) charge(e *Entry, took time.Duration) {
	t, l := e.team, e.level
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	q.virtualTimes[l] = max(q.virtualTimes[l], t.virtualTimes[l])
	q.use(e, took)
	d := took / time.Duration(t.share)
	t.virtualTime += d
	t.virtualTimes[l] += d
}

// clear empties Granted and Refused at the start of each method call.
func (q *Queue) clear() {
	clear(q.Granted)
	clear(q.Refused)
	q.Granted = q.Granted[:0]
	q.Refused = q.Refused[:0]
}

func (q *Queue) refuse(e *Entry, r Reason) {
	e.State = StateRefused
	e.Reason = r
	e.RetryAfter = q.retryAfter(e)
	q.Refused = append(q.Refused, e)
}

// RefuseWaiting refuses all waiting entries, including statements of transactions, when no slot will
// become available.
func (q *Queue) RefuseWaiting(r Reason) {
	q.clear()
	for c := range classCount {
		q.refuseClass(c, r)
	}
}

// refuseClosed refuses the waiting entries that Closed does not permit.
func (q *Queue) refuseClosed() {
	for c := range classCount {
		if c != ClassTransaction || q.Closed == ReasonShutdown {
			q.refuseClass(c, q.Closed)
		}
	}
}

func (q *Queue) refuseClass(c Class, r Reason) {
	for _, t := range q.teams {
		for len(t.heaps[c]) > 0 {
			e := t.heaps[c][0]
			q.remove(e)
			q.refuse(e, r)
		}
		q.dropIdle(t)
	}
}
