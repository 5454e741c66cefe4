// Package admitter orders the requests that wait for the slots of one backend server.
package admitter

import (
	"time"
)

// Class orders requests by what they may hold up.
type Class uint8

// Classes of a request.
const (
	// ClassTransaction is a statement inside an open transaction, which holds a
	// connection and perhaps locks until it ends. It goes first.
	ClassTransaction Class = iota
	// ClassRead takes no row locks.
	ClassRead
	// ClassWrite may wait for row locks.
	ClassWrite
	classes
)

// Reason says why a request was refused. None of it ran.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull is a queue at its bound.
	ReasonQueueFull
	// ReasonTeamLimit is a team at its own limit.
	ReasonTeamLimit
	// ReasonExpectedWait is an expected wait beyond the deadline.
	ReasonExpectedWait
	// ReasonDeadline is a deadline that passed, or can't be met any more, in the queue.
	ReasonDeadline
	// ReasonLeaving is a backend server that will stop soon.
	ReasonLeaving
	// ReasonShutdown is an entry host or pool that stops.
	ReasonShutdown
	// ReasonNoConnections is a server that takes no connection for want of room.
	ReasonNoConnections
	// ReasonCancelled is a request that its caller gave up.
	ReasonCancelled
)

var reasonNames = [...]string{"none", "queue-full", "team-limit", "expected-wait", "deadline", "leaving", "shutdown", "no-connections", "cancelled"}

// String returns the reason in kebab case.
func (r Reason) String() string { return reasonNames[r] }

// State is where an entry is.
type State uint8

// States of an entry.
const (
	StateWaiting State = iota
	StateGranted
	StateRefused
	StateReleased
)

// Entry is one request. The owner sets the exported fields before Offer.
type Entry struct {
	Team  string
	Class Class
	// Deadline is on the clock of now, zero for none.
	Deadline time.Duration
	// Objective is by when the request should be granted, on the same clock, zero for none.
	// One that would wait longer is refused on arrival: under a standing overload a long
	// queue answers everybody late.
	Objective time.Duration
	// HoldsConnection says that the request holds a connection already. It is taken in
	// whatever the queue's length, and goes before others of its team and class.
	HoldsConnection bool
	// State and, once it is refused, Reason and RetryAfter are set by the queue.
	State      State
	Reason     Reason
	RetryAfter time.Duration
	// Owner is left alone by the queue.
	Owner any

	team    *team
	index   int
	arrived time.Duration
	granted time.Duration
	charged time.Duration
	order   uint64
}

// TeamLimit is what the configuration gives one team.
type TeamLimit struct {
	// Share weighs the team against others, 1 if unset.
	Share int
	// Requests bounds the team's waiting and running requests, none if unset.
	Requests int
}

// Defaults of a Queue.
const (
	DefaultLength      = 64
	DefaultServiceTime = 5 * time.Millisecond
	// transactionRun is how many statements of transactions are granted in a row
	// while others wait. Without it, transactions that follow each other closely
	// would keep all others waiting for good.
	transactionRun = 7
	// smoothing is the weight of a new service time, as one part in this many.
	smoothing = 16
	// minimumRetryAfter keeps refused callers from coming back in a tight loop.
	minimumRetryAfter = 10 * time.Millisecond
)

// Queue decides who gets the slots of one backend server. The exported
// settings may change between calls; it belongs to one goroutine at a time.
// Granted and Refused collect the decisions of the last call to any method.
type Queue struct {
	// Slots is how many requests may run at a time.
	Slots int
	// Length bounds the waiting requests outside of transactions.
	Length int
	// Teams holds the limits by team; unknown teams have share 1 and no limit.
	Teams map[string]TeamLimit
	// OpenTransactions is how many transactions hold a connection. While there
	// are any, a ClassWrite leaves the last slot free: writes that wait for a
	// row lock could fill all slots, and the commit that frees the lock would
	// wait behind them until their deadlines end it.
	OpenTransactions int
	// Closed refuses new requests with this reason if it isn't ReasonNone;
	// transactions may still end unless it is ReasonShutdown.
	Closed Reason

	Granted []*Entry
	Refused []*Entry

	teams   map[string]*team
	active  []*team
	virtual time.Duration
	service time.Duration
	// deviation is the smoothed distance of service times from their mean.
	deviation time.Duration
	// progress is when a slot last came free, or was taken while another one was free.
	progress time.Duration
	running  int
	waiting  [classes]int
	run      int
	order    uint64
}

// Offer grants e, queues it, or refuses it.
func (q *Queue) Offer(e *Entry, now time.Duration) {
	q.clear()
	t := q.teamOf(e.Team)
	q.order++
	e.team, e.arrived, e.order, e.index, e.State = t, now, q.order, -1, StateWaiting
	if r := q.refusal(e, now); r != ReasonNone {
		q.refuse(e, r)
		q.dropIdle(t)
		return
	}
	q.push(e)
	q.grant(now)
}

// Cancel takes a waiting entry out and reports whether it had not been granted.
// A granted entry must be released instead.
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

// Expire refuses e if it still waits, as its deadline has come.
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

// Release gives the slot of a granted entry back.
func (q *Queue) Release(e *Entry, now time.Duration) {
	q.clear()
	if e.State != StateGranted {
		return
	}
	d := now - e.granted
	q.learn(d)
	q.end(e, d, now)
}

// ReleaseUnused gives the slot of a granted entry back unused.
func (q *Queue) ReleaseUnused(e *Entry, now time.Duration) {
	q.clear()
	if e.State == StateGranted {
		q.end(e, 0, now)
	}
}

func (q *Queue) end(e *Entry, took, now time.Duration) {
	e.State = StateReleased
	q.running--
	q.progress = now
	e.team.running--
	// What was charged at the grant was an estimate.
	e.team.virtual += (took - e.charged) / time.Duration(e.team.share)
	q.dropIdle(e.team)
	q.grant(now)
}

// Adjust takes changed settings into account.
func (q *Queue) Adjust(now time.Duration) {
	q.clear()
	if q.Closed != ReasonNone {
		q.refuseAll()
	}
	for _, t := range q.teams {
		t.set(q.Teams[t.name])
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

// ServiceTime returns the smoothed time for which a request holds a slot.
func (q *Queue) ServiceTime() time.Duration {
	if q.service == 0 {
		return DefaultServiceTime
	}
	return q.service
}

// ResetServiceTime drops what was learnt of service times, where the slots that it was learnt on are
// gone: refused by it, no request could run and correct it.
func (q *Queue) ResetServiceTime() { q.service, q.deviation = 0, 0 }

func (q *Queue) learn(d time.Duration) {
	if q.service == 0 {
		q.service = max(d, 1)
		return
	}
	q.deviation += ((d - q.service).Abs() - q.deviation) / smoothing
	q.service = max(q.service+(d-q.service)/smoothing, 1)
}

func (q *Queue) clear() {
	clear(q.Granted)
	clear(q.Refused)
	q.Granted = q.Granted[:0]
	q.Refused = q.Refused[:0]
}

func (q *Queue) refuse(e *Entry, r Reason) {
	e.State = StateRefused
	e.Reason = r
	e.RetryAfter = max(minimumRetryAfter, q.expectedWait(e.team, ClassWrite))
	q.Refused = append(q.Refused, e)
}

// RefuseWaiting refuses all that wait, those of transactions as well: there is nothing left
// to wait for.
func (q *Queue) RefuseWaiting(r Reason) {
	q.clear()
	for c := range classes {
		q.refuseClass(c, r)
	}
}

func (q *Queue) refuseAll() {
	for c := range classes {
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
