package runner

import "time"

// Bounds are times that the deployment sets, and may change while hosts run.
type Bounds struct {
	// Grace is the time from a request to stop to the kill.
	Grace time.Duration
	// Configuration is how soon a configuration must be in force everywhere.
	Configuration time.Duration
	// Drain is how soon a leaving server must get no more work.
	Drain time.Duration
	// Lease is how long a host that has ordered a promotion is respected by the others.
	Lease time.Duration
}

// Adjust takes b into force for whatever begins from now on; a waiting call that has begun
// ends by the old ones.
func (h *Host) Adjust(b Bounds) { h.adjusted.Store(&b) }

func (h *Host) bounds() Bounds {
	if b := h.adjusted.Load(); b != nil {
		return *b
	}
	return h.Bounds
}

// lasting is a time that doesn't change.
func lasting(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
