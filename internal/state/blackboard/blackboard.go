// Package blackboard keeps the state that controllers share, written by one loop and read without a lock.
package blackboard

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrStopped is returned for a write after the board's loop has ended; it had no effect.
const ErrStopped = errors.ConstError("blackboard stopped")

// Section is one part of the state with a version that counts its changes.
type Section[T any] struct {
	Version uint64
	Value   T
}

// Set replaces the value. It is called from a Write only, and v must not be
// changed afterwards: readers hold on to it.
func (s *Section[T]) Set(v T) {
	s.Version++
	s.Value = v
}

// Write changes a copy of the state by calling Set on its sections.
type Write[S any] func(s *S)

// Board holds a state S, a plain struct of sections. Its zero value is ready.
type Board[S any] struct {
	state       atomic.Pointer[S]
	once        sync.Once
	writes      chan *request[S]
	stopped     chan struct{}
	mu          sync.Mutex
	subscribers []*Subscriber[S]
}

// request is one write that waits for the loop.
type request[S any] struct {
	write Write[S]
	done  chan struct{}
}

// queueLength is how many writes may wait; further writers wait to get in.
const queueLength = 256

func (b *Board[S]) init() {
	b.writes = make(chan *request[S], queueLength)
	b.stopped = make(chan struct{})
	var s S
	b.state.Store(&s)
}

// Read returns the present state, which nobody changes, by one atomic load.
func (b *Board[S]) Read() *S {
	if s := b.state.Load(); s != nil {
		return s
	}
	b.once.Do(b.init)
	return b.state.Load()
}

// Update has the loop apply w and returns once readers see it. It must not be
// called from a Write or a Subscriber.
func (b *Board[S]) Update(ctx context.Context, w Write[S]) error {
	b.once.Do(b.init)
	r := &request[S]{write: w, done: make(chan struct{})}
	if err := b.queue(ctx, r); err != nil {
		return err
	}
	select {
	case <-r.done:
		return nil
	case <-b.stopped:
		return b.settle(r)
	}
}

// settle tells whether a write was applied before the loop ended.
func (b *Board[S]) settle(r *request[S]) error {
	select {
	case <-r.done:
		return nil
	default:
		return ErrStopped
	}
}

func (b *Board[S]) queue(ctx context.Context, r *request[S]) error {
	select {
	case <-b.stopped:
		return ErrStopped
	default:
	}
	select {
	case b.writes <- r:
		return nil
	case <-b.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "queue write to blackboard")
	}
}

// Run applies writes until ctx ends.
func (b *Board[S]) Run(ctx context.Context) error {
	b.once.Do(b.init)
	defer close(b.stopped)
	return b.loop(ctx)
}

func (b *Board[S]) loop(ctx context.Context) error {
	var l []*request[S]
	for {
		select {
		case r := <-b.writes:
			l = b.gather(append(l[:0], r))
			b.apply(l)
		case <-ctx.Done():
			return nil
		}
	}
}

// gather adds the writes that are waiting already, so that a burst of them
// costs one copy of the state and one round of notifications.
func (b *Board[S]) gather(l []*request[S]) []*request[S] {
	for len(l) < queueLength {
		select {
		case r := <-b.writes:
			l = append(l, r)
		default:
			return l
		}
	}
	return l
}

func (b *Board[S]) apply(l []*request[S]) {
	old := b.state.Load()
	s := *old
	for _, r := range l {
		r.write(&s)
	}
	b.state.Store(&s)
	for _, r := range l {
		close(r.done)
	}
	b.notify(old, &s)
}
