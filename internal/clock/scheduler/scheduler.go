// Package scheduler runs what other parts of the process want done at a time.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/container/prioritizer"
)

// Scheduler is the one timer service of a process: a heap of due times with a
// single loop, so that no part keeps a timer or ticker of its own. Its zero
// value is ready; what is due waits until Run. A nil Scheduler gives each
// subscription a timer of the standard library, for a part that runs alone.
type Scheduler struct {
	mu    sync.Mutex
	queue prioritizer.Queue[*Subscription]
	wake  chan struct{}
	once  sync.Once
}

// Subscription is something to be done once or again and again.
type Subscription struct {
	scheduler *Scheduler
	plain     *plain
	item      *prioritizer.Item[*Subscription]
	due       time.Time
	period    time.Duration
	notify    func(now time.Time)
	cancelled bool
}

// After calls notify once, after d. All notify functions run in the
// scheduler's loop, one at a time: they must not wait for anything.
func (s *Scheduler) After(d time.Duration, notify func(now time.Time)) *Subscription {
	if s == nil {
		return &Subscription{plain: &plain{timer: time.AfterFunc(d, caller{notify: notify}.call)}}
	}
	return s.add(d, 0, notify)
}

// Every calls notify each d, for the first time after d. A period that passed
// while the process was paused isn't made up for.
func (s *Scheduler) Every(d time.Duration, notify func(now time.Time)) *Subscription {
	return s.add(d, d, notify)
}

// Ticks sends on the returned channel each d. A receiver that is behind gets
// one tick, not all that it missed.
func (s *Scheduler) Ticks(d time.Duration) (<-chan time.Time, *Subscription) {
	if s == nil {
		t := time.NewTicker(d)
		return t.C, &Subscription{plain: &plain{ticker: t}}
	}
	t := ticker{c: make(chan time.Time, 1)}
	return t.c, s.Every(d, t.notify)
}

type ticker struct {
	c chan time.Time
}

func (t ticker) notify(now time.Time) {
	select {
	case t.c <- now:
	default:
	}
}

// Cancel ends the subscription and reports whether it was still pending. A
// notify function that is running already isn't waited for.
func (x *Subscription) Cancel() bool {
	if x.plain != nil {
		return x.plain.stop()
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

// Run notifies subscribers until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	s.once.Do(s.init)
	return s.loop(ctx)
}

// idle is how long the loop sleeps when nothing is due.
const idle = time.Hour

func (s *Scheduler) loop(ctx context.Context) error {
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		t.Reset(s.step())
		select {
		case <-t.C:
		case <-s.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// step notifies all that is due and returns the time until the next.
func (s *Scheduler) step() time.Duration {
	for {
		now := time.Now()
		x, wait := s.next(now)
		if x == nil {
			return wait
		}
		x.notify(now)
	}
}

// next takes the first subscription if it is due, or returns the time until it is.
func (s *Scheduler) next(now time.Time) (*Subscription, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.queue.First()
	if !ok {
		return nil, idle
	}
	if d := x.due.Sub(now); d > 0 {
		return nil, d
	}
	s.queue.Pop()
	x.renew(now)
	return x, 0
}

// renew puts a periodic subscription back at its next time after now.
func (x *Subscription) renew(now time.Time) {
	if x.period <= 0 || x.cancelled {
		return
	}
	x.due = x.due.Add(x.period)
	if !x.due.After(now) {
		x.due = now.Add(x.period)
	}
	x.item = x.scheduler.queue.Push(x)
}
