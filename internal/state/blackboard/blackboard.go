// Package blackboard holds state that is written by one goroutine and read by others without a lock.
package blackboard

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrStopped is returned for a write that had no effect because Run has ended.
const ErrStopped = errors.ConstError("blackboard stopped")

// Section is one part of the state.
type Section[T any] struct {
	// Version counts the calls of Set.
	Version uint64
	Value   T
}

// Set replaces the value. It is called only from a Write. v must not be changed afterwards, because
// readers keep references to it.
func (s *Section[T]) Set(v T) {
	s.Version++
	s.Value = v
}

// Write changes a copy of the state by calling Set on its sections.
type Write[S any] func(s *S)

// Board holds a state S, which is a struct of sections. Its zero value is ready to use.
type Board[S any] struct {
	state       atomic.Pointer[S]
	once        sync.Once
	writes      chan *request[S]
	stopped     chan struct{}
	mu          sync.Mutex
	subscribers []*Subscriber[S]
}

// request is a write that waits to be applied.
type request[S any] struct {
	write Write[S]
	// done is closed once readers see the write.
	done chan struct{}
}

// queueLength is the number of writes that can be queued before Update blocks.
const queueLength = 256

func (b *Board[S]) init() {
	b.writes = make(chan *request[S], queueLength)
	b.stopped = make(chan struct{})
	var s S
	b.state.Store(&s)
}

// Read returns the current state by one atomic load. The state must not be changed.
func (b *Board[S]) Read() *S {
	if s := b.state.Load(); s != nil {
		return s
	}
	b.once.Do(b.init)
	return b.state.Load()
}

// Update queues w for Run and returns once readers see the result. It returns ErrStopped, or the
// error of ctx if that ends while the queue is full. It must not be called from a Write or from a
// Subscriber's Version, because Run would wait for itself.
func (b *Board[S]) Update(ctx context.Context, w Write[S]) error {
	b.once.Do(b.init)
	r := &request[S]{write: w, done: make(chan struct{})}
	if err := b.enqueue(ctx, r); err != nil {
		return err
	}
	select {
	case <-r.done:
		return nil
	case <-b.stopped:
		return b.resultAfterStop(r)
	}
}

// resultAfterStop returns nil if a write was applied before Run ended, else ErrStopped.
func (b *Board[S]) resultAfterStop(r *request[S]) error {
	select {
	case <-r.done:
		return nil
	default:
		return ErrStopped
	}
}

func (b *Board[S]) enqueue(ctx context.Context, r *request[S]) error {
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

// Run applies queued writes until ctx ends, and then returns nil. It is called once.
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

// gather appends the writes that are already queued, so that a burst of writes needs only one copy
// of the state and one round of notifications.
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
