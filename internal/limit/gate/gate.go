// Package gate lets requests wait for the slots of one backend server, in the order of an admitter.
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

// ErrNotGranted is matched by each *Refusal.
const ErrNotGranted = errors.ConstError("request not run")

// SQLSTATE values of a refusal.
const (
	stateTooManyConnections = "53300"
	stateQueryCanceled      = "57014"
)

// Refusal is the error of a request that did not run, not in part either.
type Refusal struct {
	BackendServer string
	Reason        admitter.Reason
	// RetryAfter is when a retry may have better luck.
	RetryAfter time.Duration
}

// Error describes the refusal for the caller.
func (r *Refusal) Error() string {
	return fmt.Sprintf("backend server %s refused the request: %s", r.BackendServer, r.Reason)
}

// Is reports whether target is ErrNotGranted.
func (r *Refusal) Is(target error) bool { return target == ErrNotGranted }

// SQLState returns the code for the caller: 57014 where its deadline or its own
// cancel ended the request, 53300 where there was no room.
func (r *Refusal) SQLState() string {
	switch r.Reason {
	case admitter.ReasonDeadline, admitter.ReasonCancelled:
		return stateQueryCanceled
	}
	return stateTooManyConnections
}

// RetryAfterHint returns RetryAfter.
func (r *Refusal) RetryAfterHint() time.Duration { return r.RetryAfter }

// RefusalReason returns the reason in kebab case.
func (r *Refusal) RefusalReason() string { return r.Reason.String() }

// Request is what a caller wants a slot for.
type Request struct {
	Team  string
	Class admitter.Class
	// HoldsConnection says that the request holds a connection already.
	HoldsConnection bool
	// Timeout is how long the request may take in all, zero for no bound.
	Timeout time.Duration
}

// Gate guards the slots of one backend server. Its exported fields are set
// before use; it may be used by many goroutines and starts none.
type Gate struct {
	BackendServer string
	// Queue holds the settings; the gate owns it once Acquire is called.
	Queue admitter.Queue
	// Clock tells when a waiting request's time is over, a timer of each
	// request's own if nil.
	Clock *scheduler.Scheduler

	mu    sync.Mutex
	watch scheduler.Stopwatch
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

// Acquire waits for a slot. It returns a *Refusal at once when the request is
// refused, and when its time runs out or ctx ends while it waits.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Slot, error) {
	w := &waiter{done: make(chan struct{})}
	w.entry.Team, w.entry.Class, w.entry.HoldsConnection = r.Team, r.Class, r.HoldsConnection
	var late <-chan time.Time
	g.offer(w, r.Timeout)
	select {
	case <-w.done:
		return g.result(w)
	default:
	}
	if r.Timeout > 0 {
		t, x := g.Clock.Timer(r.Timeout)
		defer x.Cancel()
		late = t
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		g.cancel(w)
	case <-late:
		g.expire(w)
	}
	return g.result(w)
}

// Release gives the slot back.
func (s *Slot) Release() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Release(&s.waiter.entry, g.now())
	g.deliver()
}

// ReleaseUnused gives the slot back unused, so that nothing is learnt from how long it
// was held.
func (s *Slot) ReleaseUnused() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.ReleaseUnused(&s.waiter.entry, g.now())
	g.deliver()
}

// Adjust changes settings of the queue under the gate's lock, for instance its
// slots, its teams, or that the server is leaving.
func (g *Gate) Adjust(change func(q *admitter.Queue)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.Queue)
	g.Queue.Adjust(g.now())
	g.deliver()
}

// TransactionOpened and TransactionClosed count the transactions that hold a
// connection of the server, see admitter.Queue.OpenTransactions.
func (g *Gate) TransactionOpened() {
	g.Adjust(func(q *admitter.Queue) { q.OpenTransactions++ })
}

// TransactionClosed ends TransactionOpened.
func (g *Gate) TransactionClosed() {
	g.Adjust(func(q *admitter.Queue) { q.OpenTransactions-- })
}

// Load is what the gate's queue looks like, for the chooser of any entry host.
type Load struct {
	Slots       int           `cbor:"1,keyasint" json:"slots"`
	Running     int           `cbor:"2,keyasint" json:"running"`
	Waiting     int           `cbor:"3,keyasint" json:"waiting"`
	ServiceTime time.Duration `cbor:"4,keyasint" json:"service-time"`
}

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.Queue
	return Load{Slots: q.Slots, Running: q.Running(), Waiting: q.Waiting(), ServiceTime: q.ServiceTime()}
}

func (g *Gate) offer(w *waiter, timeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.now()
	if timeout > 0 {
		w.entry.Deadline = n + timeout
	}
	// The entry leads back to its waiter without a table.
	w.entry.Owner = w
	g.Queue.Offer(&w.entry, n)
	g.deliver()
}

func (g *Gate) cancel(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.now()
	if !g.Queue.Cancel(&w.entry, n) {
		// The grant came at the same moment. Nothing has run yet, so the slot
		// goes to the next and the answer is the same.
		g.Queue.ReleaseUnused(&w.entry, n)
		w.entry.State = admitter.StateRefused
		w.entry.Reason = admitter.ReasonCancelled
	}
	g.deliver()
}

func (g *Gate) expire(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Expire(&w.entry, g.now())
	g.deliver()
}

// deliver wakes those that the last call decided on.
func (g *Gate) deliver() {
	for _, e := range g.Queue.Granted {
		close(e.Owner.(*waiter).done)
	}
	for _, e := range g.Queue.Refused {
		close(e.Owner.(*waiter).done)
	}
}

func (g *Gate) result(w *waiter) (*Slot, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.entry.State == admitter.StateGranted {
		return &Slot{gate: g, waiter: w}, nil
	}
	return nil, &Refusal{BackendServer: g.BackendServer, Reason: w.entry.Reason, RetryAfter: w.entry.RetryAfter}
}

// now is the monotonic time since the gate's first use.
func (g *Gate) now() time.Duration {
	return g.watch.Elapsed()
}
