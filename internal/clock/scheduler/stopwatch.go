package scheduler

import "time"

// Stopwatch measures monotonic time from the first call of Elapsed. Steps of the wall clock don't
// affect it. Concurrent calls of Elapsed are allowed only after the first one has returned.
type Stopwatch struct {
	started time.Time
}

// Elapsed returns the time since its first call, which itself returns zero.
func (w *Stopwatch) Elapsed() time.Duration {
	if w.started.IsZero() {
		w.started = time.Now()
	}
	return time.Since(w.started)
}
