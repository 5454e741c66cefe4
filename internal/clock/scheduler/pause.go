package scheduler

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends, and returns the error of ctx if that ended first. It uses a
// timer of the standard library and is meant for code that has no scheduler: requests, operators'
// commands and stand-ins.
func Pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	var s *Scheduler
	if s.Sleep(ctx, d) {
		return nil
	}
	return ctx.Err()
}

// Await waits until done is closed, for d at most, or until ctx ends, and returns the error of ctx if that ended first. It is
// meant for the same code as Pause.
func Await(ctx context.Context, done <-chan struct{}, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
