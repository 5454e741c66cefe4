package scheduler

import (
	"context"
	"time"
)

// plain is a timer of the standard library, for parts that have no scheduler.
type plain struct {
	ticker *time.Ticker
	timer  *time.Timer
}

func (p *plain) stop() bool {
	if p.ticker != nil {
		p.ticker.Stop()
		return true
	}
	return p.timer.Stop()
}

// Timer sends once on the returned channel, after d.
func (s *Scheduler) Timer(d time.Duration) (<-chan time.Time, *Subscription) {
	if s == nil {
		t := time.NewTimer(d)
		return t.C, &Subscription{plain: &plain{timer: t}}
	}
	t := ticker{c: make(chan time.Time, 1)}
	return t.c, s.After(d, t.notify)
}

// Sleep waits for d or until ctx ends, and reports whether d has passed.
func (s *Scheduler) Sleep(ctx context.Context, d time.Duration) bool {
	c, x := s.Timer(d)
	defer x.Cancel()
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

// caller makes a function of time one without, as time.AfterFunc takes it.
type caller struct {
	notify func(now time.Time)
}

func (c caller) call() {
	c.notify(time.Now())
}
