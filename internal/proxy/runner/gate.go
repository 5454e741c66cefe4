package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minimumBackoff and maximumBackoff bound the pause after a failed call.
	minimumBackoff = 100 * time.Millisecond
	maximumBackoff = 400 * time.Millisecond
)

// gate admits one call at a time to a store that does not answer, at growing intervals, and all
// calls once it has answered. The store counts and refuses calls even while it is unavailable. If
// each part of a host retried on its own, a deployment would make four times as many calls and
// detect the store's return no sooner.
type gate struct {
	mu sync.Mutex
	// pause is the current interval between calls, zero while the store answers.
	pause time.Duration
	// nextCall is when the next call is admitted.
	nextCall time.Time
	// reopened is closed when the store answers again or the next call is admitted earlier.
	reopened chan struct{}
	// queue holds the callers that wait, the first one in front. Each is admitted in its turn: one that always came too
	// late would get no call through.
	queue []*waiter
}

// waiter is a caller that waits at a gate.
type waiter struct {
	// first is closed when the caller comes to the front of the queue.
	first chan struct{}
}

// await waits until a call is admitted. It returns the error of ctx if that ends first.
func (g *gate) await(ctx context.Context) error {
	c := g.enter()
	defer g.leave(c)
	select {
	case <-c.first:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		d, reopened := g.delay()
		if d <= 0 {
			return nil
		}
		t := time.NewTimer(d)
		select {
		case <-reopened:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}

// enter adds a caller at the end of the queue.
func (g *gate) enter() *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &waiter{first: make(chan struct{})}
	g.queue = append(g.queue, c)
	if len(g.queue) == 1 {
		close(c.first)
	}
	return c
}

// leave removes a caller from the queue.
func (g *gate) leave(c *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.queue[0]
	g.queue = slices.DeleteFunc(g.queue, func(x *waiter) bool { return x == c })
	if len(g.queue) > 0 && g.queue[0] != first {
		close(g.queue[0].first)
	}
}

// open reports whether calls are admitted without delay.
func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pause == 0
}

// delay returns how long to wait and a channel whose closing ends the wait early. A caller that
// gets no delay while the store does not answer makes the only call of this interval.
func (g *gate) delay() (time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return 0, nil
	}
	if d := time.Until(g.nextCall); d > 0 {
		return d, g.reopened
	}
	g.postpone()
	return 0, nil
}

// postpone sets the time of the next call with a random jitter. The caller holds the mutex.
func (g *gate) postpone() { g.nextCall = time.Now().Add(g.pause/2 + rand.N(g.pause)) }

// recordFailure records a call that the store did not answer.
func (g *gate) recordFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		g.reopened = make(chan struct{})
	}
	g.pause = min(max(minimumBackoff, 2*g.pause), maximumBackoff)
	g.postpone()
}

// hasten admits the next call now.
func (g *gate) hasten() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return
	}
	g.nextCall = time.Now()
	close(g.reopened)
	g.reopened = make(chan struct{})
}

// recordAnswer records a call that the store answered, and admits all waiting calls.
func (g *gate) recordAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return
	}
	g.pause = 0
	close(g.reopened)
}
