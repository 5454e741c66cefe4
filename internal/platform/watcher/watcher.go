// Package watcher shares one watch per object of the platform among many subscribers.
package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Defaults of a Watcher.
const (
	// DefaultRate is how many calls per second a watcher may make.
	DefaultRate = rate.Limit(20)
	// DefaultBurst is how many calls a watcher may make at once.
	DefaultBurst = 20
)

// Observation is the state of a watched object according to one answer of the platform.
type Observation struct {
	// Object is the object, zero if it is absent.
	Object accessor.Object
	// Sent is the local time before the call was sent. The platform had the object in this state at
	// some time after it.
	Sent time.Time
}

// Watcher watches objects for its subscribers, with one long poll per object. Its exported fields are
// set before use.
type Watcher struct {
	Platform accessor.Platform
	// Backoff computes the pauses after failures.
	Backoff Backoff
	// Random returns a number in [0, 1) for the jitter. It must be safe for concurrent use, as
	// rand.Float64 is.
	Random func() float64
	// Limiter limits the rate of all calls of the watcher. If it is unset, one with DefaultRate and
	// DefaultBurst is created.
	Limiter *rate.Limiter
	// Clock provides the timers of the pauses. If it is nil, ordinary timers are used.
	Clock *scheduler.Scheduler
	Log   log.Interface

	mu      sync.Mutex
	watches map[key]*watch
	// ctx is that of Run, nil before Run.
	ctx context.Context
	// failing is when the present series of failures began, zero if the last call succeeded.
	failing time.Time
}

type key struct {
	kind, name string
}

// Run watches the subscribed objects until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.mu.Lock()
	w.ctx = ctx
	for _, h := range w.watches {
		h.start(ctx)
	}
	w.mu.Unlock()
	<-ctx.Done()
	w.mu.Lock()
	l := w.watches
	w.watches = nil
	w.mu.Unlock()
	for _, h := range l {
		h.stop()
	}
	return nil
}

// Subscribe returns a subscription to one object. The object is watched as long as it has
// subscriptions, so each must be closed.
func (w *Watcher) Subscribe(kind, name string) *Subscription {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := key{kind, name}
	h := w.watches[k]
	if h == nil {
		h = w.add(k)
	}
	s := &Subscription{observations: make(chan Observation, 1), watch: h}
	h.subscribe(s)
	return s
}

// add adds a watch. The caller holds the mutex.
func (w *Watcher) add(k key) *watch {
	if w.watches == nil {
		w.watches = map[key]*watch{}
	}
	if w.Limiter == nil {
		w.Limiter = rate.NewLimiter(DefaultRate, DefaultBurst)
	}
	h := &watch{watcher: w, key: k, subscriptions: map[*Subscription]bool{}}
	w.watches[k] = h
	if w.ctx != nil {
		h.start(w.ctx)
	}
	return h
}

// removeUnused ends a watch if it has no subscriptions.
func (w *Watcher) removeUnused(h *watch) {
	w.mu.Lock()
	if w.watches[h.key] != h || h.inUse() {
		w.mu.Unlock()
		return
	}
	delete(w.watches, h.key)
	w.mu.Unlock()
	h.stop()
}

// FailingSince returns when the present series of failed calls began, zero if the last call succeeded.
func (w *Watcher) FailingSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

// recordResult records the result of a call for FailingSince.
func (w *Watcher) recordResult(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.failing = time.Time{}
		return
	}
	if w.failing.IsZero() {
		w.failing = time.Now()
	}
}

// call makes one long poll when the limiter allows it. An absent object isn't an error.
func (w *Watcher) call(ctx context.Context, k key, last accessor.Object) (Observation, error) {
	if err := w.Limiter.Wait(ctx); err != nil {
		return Observation{}, errors.Trace(err)
	}
	t := time.Now()
	o, err := w.Platform.Watch(ctx, k.kind, k.name, last.Version)
	switch {
	case errors.Is(err, accessor.ErrUnchanged):
		o, err = last, nil
	case errors.Is(err, accessor.ErrNotFound):
		o, err = accessor.Object{}, nil
	}
	return Observation{Object: o, Sent: t}, err
}
