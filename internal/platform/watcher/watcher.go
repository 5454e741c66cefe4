// Package watcher shares one waiting watch per object among many subscribers.
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
	// DefaultRate is how many calls a second a watcher may make.
	DefaultRate = rate.Limit(20)
	// DefaultBurst is how many calls a watcher may make at once.
	DefaultBurst = 20
)

// Observation is one answer of the platform about a watched object.
type Observation struct {
	// Object is the object as last seen, zero if it is absent.
	Object accessor.Object
	// Sent is the local time before the call was sent: the platform confirmed
	// the object at some time after it.
	Sent time.Time
}

// Watcher watches objects for its subscribers, one waiting call per object.
type Watcher struct {
	Platform accessor.Platform
	// Backoff spaces calls after failures.
	Backoff Backoff
	// Random returns a number in [0, 1) for the jitter; it is called by several
	// goroutines at a time, as rand.Float64 allows.
	Random func() float64
	// Limiter limits all calls of the watcher; a default one is made if unset.
	Limiter *rate.Limiter
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
	Log   log.Interface

	mu      sync.Mutex
	watches map[key]*watch
	ctx     context.Context
	failing time.Time
}

type key struct {
	kind, name string
}

// Run lets the subscriptions live until ctx ends.
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

// Subscribe returns a subscription to one object, which is watched while
// anybody subscribes to it. The subscription must be closed.
func (w *Watcher) Subscribe(kind, name string) *Subscription {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := key{kind, name}
	h := w.watches[k]
	if h == nil {
		h = w.add(k)
	}
	s := &Subscription{sights: make(chan Observation, 1), watch: h}
	h.subscribe(s)
	return s
}

// add makes a new watch; the caller holds the lock.
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

// drop ends the watch of k once nobody subscribes to it.
func (w *Watcher) drop(h *watch) {
	w.mu.Lock()
	if w.watches[h.key] != h || h.used() {
		w.mu.Unlock()
		return
	}
	delete(w.watches, h.key)
	w.mu.Unlock()
	h.stop()
}

// FailingSince returns when the platform stopped answering, zero if it answers.
func (w *Watcher) FailingSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing
}

func (w *Watcher) note(err error) {
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

// call makes one waiting call within the budget. An absent object is a good answer.
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
