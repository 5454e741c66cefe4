package scheduler

import (
	"context"
	"time"
)

// Pause waits for d, or until ctx ends, whose error it returns then. It is for
// parts that have no scheduler: requests, operators' commands and stand-ins.
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
