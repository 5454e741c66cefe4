package follower

import "time"

// clock measures how much time has passed on this host, and only moves forward.
//
// A machine that is suspended may stop its monotonic clock, and its lease would
// seem to last. Where the wall clock has gone further it counts; a jump of the
// wall clock can only let the lease run out early.
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

// since returns how long ago t was, by the clock that has gone further.
func since(t time.Time) time.Duration {
	return between(t, time.Now())
}

func between(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)), 0)
}
