package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 400 * time.Millisecond
)

// gate lets one call at a time go out to a store that doesn't answer, in growing
// intervals, and all of them once it has. The store counts and refuses calls also while
// it is away; if each of a host's parts asked by itself, a fleet would make four times as
// many, and find out no sooner.
type gate struct {
	mu sync.Mutex
	// pause is the present interval, zero while the store answers.
	pause time.Duration
	// next is when the next call may go out.
	next time.Time
	// opened is closed when the store has answered.
	opened chan struct{}
}

// pass waits until a call may be made.
func (g *gate) pass(ctx context.Context) error {
	for ctx.Err() == nil {
		d, opened := g.turn()
		if d <= 0 {
			return nil
		}
		t := time.NewTimer(d)
		select {
		case <-opened:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}

// turn returns how long to wait, and what ends the wait sooner. Whoever needn't wait has
// the only call of this interval.
func (g *gate) turn() (time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return 0, nil
	}
	if d := time.Until(g.next); d > 0 {
		return d, g.opened
	}
	g.putOff()
	return 0, nil
}

// putOff puts the next call off. The mutex is held.
func (g *gate) putOff() { g.next = time.Now().Add(g.pause/2 + rand.N(g.pause)) }

// failed notes a call that the store didn't answer.
func (g *gate) failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		g.opened = make(chan struct{})
	}
	g.pause = min(max(firstBackoff, 2*g.pause), longestBackoff)
	g.putOff()
}

// answered notes one that it did.
func (g *gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return
	}
	g.pause = 0
	close(g.opened)
}
