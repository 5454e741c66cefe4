// Package scheduler calls functions after a delay or periodically.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/container/prioritizer"
)

// Scheduler is the timer service shared by all packages of a process. It keeps a heap of due times
// and runs a single loop, which replaces separate timers and tickers. The zero value is ready to
// use; nothing is notified before Run. With a nil Scheduler, After, Ticks, Timer and Sleep use
// timers of the standard library; Every requires a Scheduler.
type Scheduler struct {
	mu    sync.Mutex
	queue prioritizer.Queue[*Subscription]
	wake  chan struct{}
	once  sync.Once
}

// Subscription is a pending call, either single or periodic.
type Subscription struct {
	scheduler *Scheduler
	// standard is set instead of all other fields if there is no scheduler.
	standard *standardTimer
	item     *prioritizer.Item[*Subscription]
	due      time.Time
	// period is zero for a single call.
	period    time.Duration
	notify    func(now time.Time)
	cancelled bool
}

// After calls notify once, after d. All notify functions run one at a time in the scheduler's loop,
// so they must not block.
func (s *Scheduler) After(d time.Duration, notify func(now time.Time)) *Subscription {
	if s == nil {
		return &Subscription{standard: &standardTimer{timer: time.AfterFunc(d, callback{notify: notify}.call)}}
	}
	return s.add(d, 0, notify)
}

// Every calls notify at intervals of d, the first time after d. Periods that passed while the
// process was paused are skipped.
func (s *Scheduler) Every(d time.Duration, notify func(now time.Time)) *Subscription {
	return s.add(d, d, notify)
}

// Ticks sends the time on the returned channel at intervals of d. A slow receiver gets one pending
// tick; the others are dropped.
func (s *Scheduler) Ticks(d time.Duration) (<-chan time.Time, *Subscription) {
	if s == nil {
		t := time.NewTicker(d)
		return t.C, &Subscription{standard: &standardTimer{ticker: t}}
	}
	t := channelNotifier{c: make(chan time.Time, 1)}
	return t.c, s.Every(d, t.notify)
}

// channelNotifier sends times on a channel of capacity one and drops those that don't fit.
type channelNotifier struct {
	c chan time.Time
}

func (t channelNotifier) notify(now time.Time) {
	select {
	case t.c <- now:
	default:
	}
}

// Cancel ends the subscription and reports whether it was still pending. It doesn't wait for a
// notify function that is already running.
func (x *Subscription) Cancel() bool {
	if x.standard != nil {
		return x.standard.stop()
	}
	s := x.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	x.cancelled = true
	return x.item != nil && s.queue.Remove(x.item)
}

func (s *Scheduler) add(d, period time.Duration, notify func(now time.Time)) *Subscription {
	s.once.Do(s.init)
	x := &Subscription{scheduler: s, due: time.Now().Add(d), period: period, notify: notify}
	s.mu.Lock()
	x.item = s.queue.Push(x)
	f, _ := s.queue.First()
	s.mu.Unlock()
	if f == x {
		s.signal()
	}
	return x
}

func (s *Scheduler) init() {
	s.wake = make(chan struct{}, 1)
	s.queue.Less = earlier
}

func earlier(a, b *Subscription) bool {
	return a.due.Before(b.due)
}

func (s *Scheduler) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run calls the notify functions of due subscriptions until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	s.once.Do(s.init)
	return s.loop(ctx)
}

// idleWait is how long the loop waits while there are no subscriptions.
const idleWait = time.Hour

func (s *Scheduler) loop(ctx context.Context) error {
	t := time.NewTimer(idleWait)
	defer t.Stop()
	for {
		t.Reset(s.notifyDue())
		select {
		case <-t.C:
		case <-s.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// notifyDue notifies all due subscriptions and returns the time until the next one is due.
func (s *Scheduler) notifyDue() time.Duration {
	for {
		now := time.Now()
		x, wait := s.popDue(now)
		if x == nil {
			return wait
		}
		x.notify(now)
	}
}

// popDue removes and returns the first subscription if it is due. Otherwise it returns nil and the
// time until one is due.
func (s *Scheduler) popDue(now time.Time) (*Subscription, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.queue.First()
	if !ok {
		return nil, idleWait
	}
	if d := x.due.Sub(now); d > 0 {
		return nil, d
	}
	s.queue.Pop()
	x.reschedule(now)
	return x, 0
}

// reschedule queues a periodic subscription again, for its next time after now.
func (x *Subscription) reschedule(now time.Time) {
	if x.period <= 0 || x.cancelled {
		return
	}
	x.due = x.due.Add(x.period)
	if !x.due.After(now) {
		x.due = now.Add(x.period)
	}
	x.item = x.scheduler.queue.Push(x)
}
