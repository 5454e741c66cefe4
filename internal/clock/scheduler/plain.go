package scheduler

import (
	"context"
	"time"
)

// standardTimer is a timer or ticker of the standard library, for subscriptions of a nil Scheduler.
type standardTimer struct {
	ticker *time.Ticker
	timer  *time.Timer
}

func (p *standardTimer) stop() bool {
	if p.ticker != nil {
		p.ticker.Stop()
		return true
	}
	return p.timer.Stop()
}

// Timer sends the time once on the returned channel, after d.
func (s *Scheduler) Timer(d time.Duration) (<-chan time.Time, *Subscription) {
	if s == nil {
		t := time.NewTimer(d)
		return t.C, &Subscription{standard: &standardTimer{timer: t}}
	}
	t := channelNotifier{c: make(chan time.Time, 1)}
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

// callback adapts a notify function to the parameterless function that time.AfterFunc expects.
type callback struct {
	notify func(now time.Time)
}

func (c callback) call() {
	c.notify(time.Now())
}
