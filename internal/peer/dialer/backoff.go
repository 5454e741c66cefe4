package dialer

import "time"

// Bounds of the wait between attempts to connect to a peer, before it is randomized.
const (
	firstBackoff   = 50 * time.Millisecond
	maximumBackoff = 10 * time.Second
)

// Backoff returns how long to wait after the given number of consecutive failures, which is at
// least 1. The wait is an exponentially growing bound times r, a random number in [0, 1). The full
// range is randomized, so that hosts that lost a peer at the same time don't reconnect at the same
// time.
func Backoff(failures int, r float64) time.Duration {
	d := maximumBackoff
	if n := failures - 1; n < 8 {
		d = min(firstBackoff<<n, maximumBackoff)
	}
	return time.Duration(r * float64(d))
}
