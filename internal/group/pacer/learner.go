package pacer

import "time"

const (
	// smoothing divides the difference between an observed delay and the usual one before it is
	// added to the usual one.
	smoothing = 8
	// probeDivisor divides the usual delay to give the amount by which it is shortened after the
	// first poll for a demand met it, since an earlier poll may have met it as well. Too long a
	// delay holds up every commit, too short a delay costs polls.
	probeDivisor = 32
)

// UpdateDelay returns a server's new usual delay after a poll met a demand. The poll began the time
// delay after the demand arrived; missed reports whether an earlier poll did not meet the demand.
// After a miss the result is at most maximum: a server with a longer delay lags, and its lag
// differs each time.
func UpdateDelay(usual, delay time.Duration, missed bool, maximum time.Duration) time.Duration {
	if !missed {
		usual = min(usual, delay)
		return usual - usual/probeDivisor
	}
	return min(maximum, usual+(delay-usual)/smoothing)
}
