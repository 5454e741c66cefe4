package watcher

import "time"

// Defaults of a Backoff.
const (
	DefaultMinimum = 100 * time.Millisecond
	DefaultMaximum = 5 * time.Second
)

// Backoff spaces retries by full jitter.
type Backoff struct {
	// Minimum bounds the first pause, DefaultMinimum if unset.
	Minimum time.Duration
	// Maximum bounds every pause, DefaultMaximum if unset.
	Maximum time.Duration
}

// Next returns the pause after the given number of failures in a row, for a
// random number in [0, 1).
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
