// Package gate blocks requests until they get a slot of one backend server, in the order of an
// admitter.Queue.
package gate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// ErrNotGranted is matched by each *Refusal with errors.Is.
const ErrNotGranted = errors.ConstError("request not run")

// SQLSTATE values of a refusal.
const (
	stateTooManyConnections = "53300"
	stateQueryCanceled      = "57014"
)

// Refusal is the error of a request that got no slot. No part of the request has run.
type Refusal struct {
	BackendServer string
	Reason        admitter.Reason
	// RetryAfter is the time after which a retry is likely to be granted, zero if unknown.
	RetryAfter time.Duration
	// Order is that of the request in the queue, see admitter.Entry.Order.
	Order uint8
}

// Error describes the refusal for the caller.
func (r *Refusal) Error() string {
	return fmt.Sprintf("backend server %s refused the request: %s", r.BackendServer, r.Reason)
}

// Is reports whether target is ErrNotGranted.
func (r *Refusal) Is(target error) bool { return target == ErrNotGranted }

// SQLState returns the SQLSTATE for the caller: 57014 if the deadline passed or the caller cancelled
// the request, 53300 otherwise.
func (r *Refusal) SQLState() string {
	switch r.Reason {
	case admitter.ReasonDeadline, admitter.ReasonCancelled:
		return stateQueryCanceled
	}
	return stateTooManyConnections
}

// RetryAfterHint returns RetryAfter, for callers that match errors by interface.
func (r *Refusal) RetryAfterHint() time.Duration { return r.RetryAfter }

// RefusalReason returns the reason in kebab case, for callers that match errors by interface.
func (r *Refusal) RefusalReason() string { return r.Reason.String() }

// Request describes a request for a slot.
type Request struct {
	// Team is the name of the team that the request is charged to.
	Team       string
	Class      admitter.Class
	Importance admitter.Importance
	// HoldsConnection says that the request already holds a connection, see
	// admitter.Entry.HoldsConnection.
	HoldsConnection bool
	// Timeout is the time that the request may take including its wait, zero for no limit.
	Timeout time.Duration
	// Objective is the time within which the request should be granted, zero for none, see
	// admitter.Entry.Objective.
	Objective time.Duration
}

// Gate hands out the slots of one backend server. Its exported fields are set before use. A Gate is safe
// for concurrent use and starts no goroutines.
type Gate struct {
	// BackendServer is the name of the server, for refusals.
	BackendServer string
	// Queue holds the settings and the waiting requests. After the first Acquire it may only be
	// changed by Adjust.
	Queue admitter.Queue
	// Clock schedules the timeouts of waiting requests. If it is nil, each request uses a timer of
	// its own.
	Clock *scheduler.Scheduler

	mu        sync.Mutex
	stopwatch scheduler.Stopwatch
}

// Slot is the right to run one request. It must be released exactly once.
type Slot struct {
	gate   *Gate
	waiter *waiter
}

// waiter is one waiting request.
type waiter struct {
	entry admitter.Entry
	// done is closed when the entry is granted or refused.
	done chan struct{}
}

// Acquire waits for a slot. It returns a *Refusal as soon as the request is refused, its timeout passes
// or ctx ends.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Slot, error) {
	w := &waiter{done: make(chan struct{})}
	w.entry.Team, w.entry.Class, w.entry.HoldsConnection = r.Team, r.Class, r.HoldsConnection
	w.entry.Importance = r.Importance
	var timedOut <-chan time.Time
	g.offer(w, r)
	select {
	case <-w.done:
		return g.result(w)
	default:
	}
	if r.Timeout > 0 {
		t, x := g.Clock.Timer(r.Timeout)
		defer x.Cancel()
		timedOut = t
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		g.cancel(w)
	case <-timedOut:
		g.expire(w)
	}
	return g.result(w)
}

// Release frees the slot and records how long it was held.
func (s *Slot) Release() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Release(&s.waiter.entry, g.now())
	g.notifyWaiters()
}

// ReleaseUnused frees a slot that no request ran on, without recording how long it was held.
func (s *Slot) ReleaseUnused() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.ReleaseUnused(&s.waiter.entry, g.now())
	g.notifyWaiters()
}

// Adjust calls change with the queue under the gate's lock, to change its settings such as Slots, Teams
// or Closed, and applies them.
func (g *Gate) Adjust(change func(q *admitter.Queue)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.Queue)
	g.Queue.Adjust(g.now())
	g.notifyWaiters()
}

// SetTeams calls the same method of the queue.
func (g *Gate) SetTeams(teams map[string]admitter.TeamLimit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.SetTeams(teams, g.now())
	g.notifyWaiters()
}

// TransactionOpened counts a transaction that holds a connection of the server, see
// admitter.Queue.OpenTransactions. TransactionClosed must be called when it ends.
func (g *Gate) TransactionOpened() {
	g.Adjust(func(q *admitter.Queue) { q.OpenTransactions++ })
}

// TransactionClosed reverts one TransactionOpened.
func (g *Gate) TransactionClosed() {
	g.Adjust(func(q *admitter.Queue) { q.OpenTransactions-- })
}

// Load is the load of a gate's queue. Entry hosts exchange it to choose servers.
type Load struct {
	Slots       int           `cbor:"1,keyasint" json:"slots"`
	Running     int           `cbor:"2,keyasint" json:"running"`
	Waiting     int           `cbor:"3,keyasint" json:"waiting"`
	ServiceTime time.Duration `cbor:"4,keyasint" json:"service-time"`
	// WaitingByLevel is Waiting by level of importance, where statements of transactions count as
	// level 0. It is for decisions at the queue's own host and isn't sent.
	WaitingByLevel [admitter.LevelCount]int `cbor:"-" json:"-"`
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.Queue
	return Load{
		Slots: q.Slots, Running: q.Running(), Waiting: q.Waiting(), ServiceTime: q.ServiceTime(),
		WaitingByLevel: q.WaitingByLevel(),
	}
}

func (g *Gate) offer(w *waiter, r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.now()
	if r.Timeout > 0 {
		w.entry.Deadline = n + r.Timeout
	}
	if r.Objective > 0 {
		w.entry.Objective = n + r.Objective
	}
	// notifyWaiters finds the waiter by its entry.
	w.entry.Owner = w
	g.Queue.Offer(&w.entry, n)
	g.notifyWaiters()
}

func (g *Gate) cancel(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.now()
	if !g.Queue.Cancel(&w.entry, n) {
		// The slot was granted before the cancellation took effect. Nothing has run yet, so the
		// slot is freed for the next request and the caller gets the same refusal.
		g.Queue.ReleaseUnused(&w.entry, n)
		w.entry.State = admitter.StateRefused
		w.entry.Reason = admitter.ReasonCancelled
	}
	g.notifyWaiters()
}

func (g *Gate) expire(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Expire(&w.entry, g.now())
	g.notifyWaiters()
}

// notifyWaiters unblocks the requests that the queue's last call granted or refused.
func (g *Gate) notifyWaiters() {
	for _, e := range g.Queue.Granted {
		close(e.Owner.(*waiter).done)
	}
	for _, e := range g.Queue.Refused {
		close(e.Owner.(*waiter).done)
	}
}

// result returns the slot of a granted waiter or the *Refusal of a refused one.
func (g *Gate) result(w *waiter) (*Slot, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.entry.State == admitter.StateGranted {
		return &Slot{gate: g, waiter: w}, nil
	}
	return nil, &Refusal{BackendServer: g.BackendServer, Reason: w.entry.Reason, RetryAfter: w.entry.RetryAfter, Order: w.entry.Order()}
}

// now returns the monotonic time since the gate's first use.
func (g *Gate) now() time.Duration {
	return g.stopwatch.Elapsed()
}
