package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
)

const (
	// watchSlack is what the answer to a waiting call may begin later than it waits.
	watchSlack = 400 * time.Millisecond
	// listTimeout bounds other calls, up to the beginning of an answer.
	listTimeout = 700 * time.Millisecond
	// stallTimeout ends a call of whose answer nothing more comes.
	stallTimeout = 700 * time.Millisecond
)

// Source is one kind of object on the platform, decoded.
type Source[T any] interface {
	// List returns all there are, and the revision from where to watch.
	List(ctx context.Context) ([]T, uint64, error)
	// Watch waits for changes after the revision and returns them with the new one.
	// It returns cachesyncer.ErrCompacted if they aren't kept so long.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change[T], uint64, error)
}

// Change is that of one object.
type Change[T any] struct {
	// Name is the object's, Value is zero if it is gone or can't be understood.
	Name    string
	Value   T
	Removed bool
}

// follower keeps up with one kind of object.
type follower[T any] struct {
	name   string
	source Source[T]
	// wait is how long a waiting call lasts. It bounds for how long a change stays
	// unknown that was missed on a watch that went silent, and each call is counted by
	// the platform.
	wait func() time.Duration
	// reset takes the whole list, apply one change.
	reset func([]T)
	apply func([]Change[T])
	log   log.Interface
	// lost counts losses of the platform by name.
	lost func(name string)
	// gate says when the store may be asked.
	gate *gate
	// after, if it isn't nil, is what is waited for, up to patience, before the first call:
	// that other hosts are known from which can be read.
	after    <-chan struct{}
	patience time.Duration
	// first is closed with the first list.
	first chan struct{}
	// confirmed is told of each answer.
	confirmed func()
	listed    atomic.Bool
	failing   bool
}

// run lists and watches until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	f.await(ctx)
	var at uint64
	fresh := false
	for f.gate.pass(ctx) == nil {
		var err error
		if fresh {
			at, err = f.watch(ctx, at)
		} else {
			at, err = f.list(ctx)
		}
		f.note(err)
		switch {
		case err == nil:
			fresh = true
			f.gate.answered()
			f.confirmed()
		case errors.Is(err, cachesyncer.ErrCompacted):
			fresh = false
		default:
			f.gate.failed()
		}
	}
}

func (f *follower[T]) await(ctx context.Context) {
	if f.after == nil {
		return
	}
	t := time.NewTimer(f.patience)
	defer t.Stop()
	select {
	case <-f.after:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *follower[T]) list(ctx context.Context) (uint64, error) {
	c, cancel := watchdog.With(ctx, listTimeout, stallTimeout)
	defer cancel()
	l, at, err := f.source.List(c)
	if err != nil {
		return 0, err
	}
	f.reset(l)
	if f.listed.CompareAndSwap(false, true) && f.first != nil {
		close(f.first)
	}
	return at, nil
}

func (f *follower[T]) watch(ctx context.Context, at uint64) (uint64, error) {
	wait := f.wait()
	c, cancel := watchdog.With(ctx, wait+watchSlack, stallTimeout)
	defer cancel()
	l, next, err := f.source.Watch(c, at, wait)
	if err != nil {
		return at, err
	}
	if len(l) > 0 {
		f.apply(l)
	}
	return max(at, next), nil
}

// note writes down when the platform is lost and regained.
func (f *follower[T]) note(err error) {
	failing := err != nil && !errors.Is(err, cachesyncer.ErrCompacted)
	if failing == f.failing {
		return
	}
	f.failing = failing
	if failing {
		f.lost(f.name)
		f.log.WithError(err).WithField("kind", f.name).Warn("platform lost")
		return
	}
	f.log.WithField("kind", f.name).Info("platform regained")
}
