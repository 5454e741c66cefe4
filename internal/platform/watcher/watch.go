package watcher

import (
	"context"
	"sync"
)

// Subscription receives what the platform says about one object.
type Subscription struct {
	sights chan Observation
	watch  *watch
}

// Observations returns the channel of answers. A slow reader misses older answers
// and always gets the latest one.
func (s *Subscription) Observations() <-chan Observation {
	return s.sights
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.watch.unsubscribe(s)
	s.watch.watcher.drop(s.watch)
}

// offer replaces an unread sight by the later one.
func (s *Subscription) offer(v Observation) {
	select {
	case <-s.sights:
	default:
	}
	s.sights <- v
}

// watch is one object with its subscribers.
type watch struct {
	watcher *Watcher
	key     key

	mu            sync.Mutex
	subscriptions map[*Subscription]bool
	last          Observation
	cancel        context.CancelFunc
	done          chan struct{}
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
		s.offer(h.last)
	}
}

func (h *watch) unsubscribe(s *Subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscriptions, s)
}

func (h *watch) used() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscriptions) > 0
}

func (h *watch) publish(v Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = v
	for s := range h.subscriptions {
		s.offer(v)
	}
}

// loopWatch asks again and again; after a failure it waits with full jitter,
// or else all hosts would ask at the same moment when an outage ends.
func (h *watch) loopWatch(ctx context.Context) {
	defer close(h.done)
	var v Observation
	failures := 0
	for ctx.Err() == nil {
		n, err := h.watcher.call(ctx, h.key, v.Object)
		if ctx.Err() != nil {
			return
		}
		h.watcher.note(err)
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
