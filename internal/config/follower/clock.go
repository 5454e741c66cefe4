package follower

import "time"

// clock measures the time elapsed on this host; it never goes back.
//
// Suspending a machine may stop its monotonic clock, so that a lease would seem to
// last longer than it does. The clock therefore advances by the larger of the monotonic
// and the wall-clock difference; a forward jump of the wall clock only ends the lease early.
type clock struct {
	last    time.Time
	elapsed time.Duration
}

func (c *clock) now() time.Duration {
	t := time.Now()
	if !c.last.IsZero() {
		c.elapsed += between(c.last, t)
	}
	c.last = t
	return c.elapsed
}

// since returns how long ago t was, by the larger of the two differences that between
// compares.
func since(t time.Time) time.Duration {
	return between(t, time.Now())
}

// between returns the larger of the monotonic and the wall-clock difference from a to
// b, at least zero.
func between(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)), 0)
}
