package watcher

import (
	"context"
	"sync"
)

// Subscription receives the observations of one object.
type Subscription struct {
	observations chan Observation
	watch        *watch
}

// Observations returns the channel of observations. A slow reader misses older ones, but always gets
// the latest one.
func (s *Subscription) Observations() <-chan Observation {
	return s.observations
}

// Close ends the subscription, and the watch if this was its last subscription.
func (s *Subscription) Close() {
	s.watch.unsubscribe(s)
	s.watch.watcher.removeUnused(s.watch)
}

// deliver sends an observation. It replaces an earlier one that hasn't been received.
func (s *Subscription) deliver(v Observation) {
	select {
	case <-s.observations:
	default:
	}
	s.observations <- v
}

// watch watches one object for its subscriptions.
type watch struct {
	watcher *Watcher
	key     key

	mu            sync.Mutex
	subscriptions map[*Subscription]bool
	// last is the latest observation, zero before the first one.
	last Observation
	// cancel ends the loop, done is closed at its end. Both are nil until the loop is started.
	cancel context.CancelFunc
	done   chan struct{}
}

func (h *watch) start(ctx context.Context) {
	ctx, h.cancel = context.WithCancel(ctx)
	h.done = make(chan struct{})
	go h.loopWatch(ctx)
}

// stop ends the loop and waits for it.
func (h *watch) stop() {
	if h.cancel == nil {
		return
	}
	h.cancel()
	<-h.done
}

func (h *watch) subscribe(s *Subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscriptions[s] = true
	if !h.last.Sent.IsZero() {
		s.deliver(h.last)
	}
}

func (h *watch) unsubscribe(s *Subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscriptions, s)
}

func (h *watch) inUse() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscriptions) > 0
}

func (h *watch) publish(v Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = v
	for s := range h.subscriptions {
		s.deliver(v)
	}
}

// loopWatch repeats the watch until ctx ends. After a failure it pauses with full jitter, as all hosts
// would otherwise call at the same moment when an outage ends.
func (h *watch) loopWatch(ctx context.Context) {
	defer close(h.done)
	var v Observation
	failures := 0
	for ctx.Err() == nil {
		n, err := h.watcher.call(ctx, h.key, v.Object)
		if ctx.Err() != nil {
			return
		}
		h.watcher.recordResult(err)
		if err == nil {
			v = n
			failures = 0
			h.publish(v)
			continue
		}
		failures++
		d := h.watcher.Backoff.Next(failures, h.watcher.Random())
		if h.watcher.Log != nil {
			h.watcher.Log.WithError(err).WithField("retry-in", d.String()).Warn("watch failed")
		}
		h.watcher.Clock.Sleep(ctx, d)
	}
}
