package dialer

import "time"

// Bounds of the wait between attempts to connect to a peer.
const (
	firstBackoff   = 50 * time.Millisecond
	maximumBackoff = 10 * time.Second
)

// Backoff returns how long to wait after so many failures in a row; r is a
// random number from 0 up to 1. The whole wait is random, so that hosts that
// lost a peer at the same time don't come back at the same time.
func Backoff(failures int, r float64) time.Duration {
	d := maximumBackoff
	if n := failures - 1; n < 8 {
		d = min(firstBackoff<<n, maximumBackoff)
	}
	return time.Duration(r * float64(d))
}
