package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
)

const (
	// watchSlack is how long after the end of its wait the answer to a watch call may begin.
	watchSlack = cachesyncer.WatchSlack
	// listTimeout bounds the time until the answer to any other call begins.
	listTimeout = 700 * time.Millisecond
	// stallTimeout ends a call whose answer has begun and makes no more progress.
	stallTimeout = cachesyncer.StallTimeout
)

// Source reads and decodes one kind of object of the platform's store.
type Source[T any] interface {
	// List returns all objects and the revision to watch from. Objects that can't be decoded are
	// returned as removed.
	List(ctx context.Context) ([]Change[T], uint64, error)
	// Watch waits up to wait for changes after a revision and returns them with the new
	// revision. It returns cachesyncer.ErrCompacted if the store has discarded the changes since
	// that revision.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change[T], uint64, error)
}

// Change is the change of one object.
type Change[T any] struct {
	// Name is the name of the object.
	Name string
	// Value is the new value, zero if the object was removed or can't be decoded.
	Value   T
	Removed bool
}

// follower keeps a local copy of one kind of object current by list and watch calls.
type follower[T any] struct {
	name   string
	source Source[T]
	// wait returns how long a watch call waits for changes. A change that is missed on a stalled
	// watch stays unknown for so long at most; shorter waits make more calls, and the platform
	// counts each.
	wait func() time.Duration
	// reset receives the whole list, apply the changes after it.
	reset func([]T)
	apply func([]Change[T])
	log   log.Interface
	// onLost is called with name when the platform stops answering.
	onLost func(name string)
	// gate limits the calls while the store does not answer.
	gate *gate
	// startAfter, if not nil, delays the first call until it is closed or startTimeout has
	// passed, so that the upstream hosts are known by then.
	startAfter   <-chan struct{}
	startTimeout time.Duration
	// firstListed, if not nil, is closed when the first list has been received.
	firstListed chan struct{}
	// onAnswer is called after each successful call.
	onAnswer func()
	// listed reports whether a list has been received.
	listed atomic.Bool
	// failing reports whether the last call failed.
	failing bool
}

// run lists and watches until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	f.awaitStart(ctx)
	var revision uint64
	watching := false
	for f.gate.await(ctx) == nil {
		var err error
		if watching {
			revision, err = f.watch(ctx, revision)
		} else {
			revision, err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		switch {
		case err == nil:
			watching = true
			f.gate.recordAnswer()
			f.onAnswer()
		case errors.Is(err, cachesyncer.ErrCompacted):
			watching = false
			f.gate.recordAnswer()
		default:
			f.gate.recordFailure()
		}
	}
}

func (f *follower[T]) awaitStart(ctx context.Context) {
	if f.startAfter == nil {
		return
	}
	_ = scheduler.Await(ctx, f.startAfter, f.startTimeout) // run looks at ctx next
}

func (f *follower[T]) list(ctx context.Context) (uint64, error) {
	c, cancel := watchdog.WithStallTimeout(ctx, listTimeout, stallTimeout)
	defer cancel()
	l, revision, err := f.source.List(c)
	if err != nil {
		return 0, err
	}
	f.replaceAll(l)
	if f.listed.CompareAndSwap(false, true) && f.firstListed != nil {
		close(f.firstListed)
	}
	return revision, nil
}

// replaceAll passes on a list. Objects that can't be decoded are gone, and aren't merely missing.
func (f *follower[T]) replaceAll(l []Change[T]) {
	var removed []Change[T]
	values := make([]T, 0, len(l))
	for _, x := range l {
		if x.Removed {
			removed = append(removed, x)
			continue
		}
		values = append(values, x.Value)
	}
	f.reset(values)
	if len(removed) > 0 {
		f.apply(removed)
	}
}

func (f *follower[T]) watch(ctx context.Context, revision uint64) (uint64, error) {
	wait := f.wait()
	c, cancel := watchdog.WithStallTimeout(ctx, wait+watchSlack, stallTimeout)
	defer cancel()
	l, next, err := f.source.Watch(c, revision, wait)
	if err != nil {
		return revision, err
	}
	if len(l) > 0 {
		f.apply(l)
	}
	return max(revision, next), nil
}

// recordResult logs when calls begin to fail and when they succeed again. ErrCompacted is not a
// failure, since the store has answered.
func (f *follower[T]) recordResult(err error) {
	failing := err != nil && !errors.Is(err, cachesyncer.ErrCompacted)
	if failing == f.failing {
		return
	}
	f.failing = failing
	if failing {
		f.onLost(f.name)
		f.log.WithError(err).WithField("kind", f.name).Warn("platform lost")
		return
	}
	f.log.WithField("kind", f.name).Info("platform regained")
}
