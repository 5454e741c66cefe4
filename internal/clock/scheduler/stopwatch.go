package scheduler

import "time"

// Stopwatch tells the monotonic time since its first reading. A jump of the wall
// clock doesn't move it. It may not be read by several goroutines at once before
// the first reading has returned.
type Stopwatch struct {
	started time.Time
}

// Elapsed returns the time since the first call, zero for that one.
func (w *Stopwatch) Elapsed() time.Duration {
	if w.started.IsZero() {
		w.started = time.Now()
	}
	return time.Since(w.started)
}
