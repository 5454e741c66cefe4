package watcher

import "time"

// Defaults of a Backoff.
const (
	// DefaultMinimum is the default upper bound of the first pause.
	DefaultMinimum = 100 * time.Millisecond
	// DefaultMaximum is the default upper bound of every pause.
	DefaultMaximum = 5 * time.Second
)

// Backoff computes the pauses between retries: exponential backoff with full jitter.
type Backoff struct {
	// Minimum is the upper bound of the first pause, DefaultMinimum if unset. The bound doubles with
	// each failure.
	Minimum time.Duration
	// Maximum is the upper bound of every pause, DefaultMaximum if unset.
	Maximum time.Duration
}

// Next returns the pause after the given number of consecutive failures, for a random number in
// [0, 1).
func (b Backoff) Next(failures int, random float64) time.Duration {
	d := b.Minimum
	if d <= 0 {
		d = DefaultMinimum
	}
	m := b.Maximum
	if m <= 0 {
		m = DefaultMaximum
	}
	for i := 1; i < failures && d < m; i++ {
		d *= 2
	}
	return time.Duration(float64(min(d, m)) * random)
}
