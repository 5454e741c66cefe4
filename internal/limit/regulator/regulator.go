// Package regulator learns how many requests a server takes at a time, by additive increase and
// multiplicative decrease.
package regulator

import "time"

const (
	// increase is by how much a whole round of requests that were taken raises the limit. It
	// is small as each step beyond the server's room costs refusals.
	increase = 0.02
	// decrease is the part of the limit that is left after a refusal.
	decrease = 0.85
	// rest is the least time between two decreases: refusals of requests that were under
	// way together say the same thing.
	rest = 100 * time.Millisecond
)

// Regulator is a limit that rises a little with each round of requests that the server took,
// and falls by a part when it refuses one. Its exported fields are set before use; it
// belongs to one goroutine at a time.
type Regulator struct {
	// Minimum and Most bound the limit. It begins at Most.
	Minimum int
	Maximum int

	limit float64
	// lowered is when the limit fell last, fell whether it has.
	lowered time.Duration
	fell    bool
}

// Limit returns how many requests may be under way.
func (r *Regulator) Limit() int { return int(r.present()) }

func (r *Regulator) present() float64 {
	if r.limit == 0 {
		return float64(r.Maximum)
	}
	return min(r.limit, float64(r.Maximum))
}

// Accepted notes a request that the server took while so many were under way. A limit that
// isn't reached says nothing and stays.
func (r *Regulator) Accepted(running int) {
	l := r.present()
	if running < int(l) {
		return
	}
	r.limit = min(l+increase/l, float64(r.Maximum))
}

// Refused notes one that it refused while so many were under way.
func (r *Regulator) Refused(running int, now time.Duration) {
	if r.fell && now-r.lowered < rest {
		return
	}
	r.fell, r.lowered = true, now
	r.limit = max(float64(r.Minimum), min(r.present(), float64(running))*decrease)
}
