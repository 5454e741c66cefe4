// Package regulator adapts the number of concurrent requests to a server's capacity, by additive
// increase and multiplicative decrease.
package regulator

import "time"

const (
	// increasePerRound is the increase of the limit, in requests, after as many accepted requests as
	// the limit. It is small because each step beyond the server's capacity causes refusals.
	increasePerRound = 0.02
	// decreaseFactor is the factor by which a refusal reduces the limit.
	decreaseFactor = 0.85
	// decreaseInterval is the minimum time between two decreases: refusals of requests that were
	// sent at about the same time indicate the same overload.
	decreaseInterval = 100 * time.Millisecond
)

// Regulator is a concurrency limit that rises slowly while the server accepts requests and falls by a
// factor when it refuses one. Its exported fields are set before use. A Regulator must not be used
// concurrently.
type Regulator struct {
	// Minimum and Maximum bound the limit, which starts at Maximum.
	Minimum int
	Maximum int

	limit float64
	// decreasedAt is the time of the last decrease; decreased says whether there was one.
	decreasedAt time.Duration
	decreased   bool
}

// Limit returns the number of requests that may run at the same time.
func (r *Regulator) Limit() int { return int(r.current()) }

// current returns the limit including its fraction, at most Maximum.
func (r *Regulator) current() float64 {
	if r.limit == 0 {
		return float64(r.Maximum)
	}
	return min(r.limit, float64(r.Maximum))
}

// Accepted records a request that the server accepted while running requests were in progress. It
// changes the limit only if the limit was reached.
func (r *Regulator) Accepted(running int) {
	l := r.current()
	if running < int(l) {
		return
	}
	r.limit = min(l+increasePerRound/l, float64(r.Maximum))
}

// Refused records a request that the server refused while running requests were in progress.
func (r *Regulator) Refused(running int, now time.Duration) {
	if r.decreased && now-r.decreasedAt < decreaseInterval {
		return
	}
	r.decreased, r.decreasedAt = true, now
	r.limit = max(float64(r.Minimum), min(r.current(), float64(running))*decreaseFactor)
}
