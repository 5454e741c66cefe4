package runner

import "time"

// Bounds are times that the deployment sets, and may change while hosts run.
type Bounds struct {
	// Grace is the time from a request to stop to the kill.
	Grace time.Duration
	// ConfigurationLimit is how soon a configuration must be in force everywhere.
	ConfigurationLimit time.Duration
	// DrainLimit is how soon a leaving server must get no more work.
	DrainLimit time.Duration
	// Lease is how long a host that has ordered a promotion is respected by the others.
	Lease time.Duration
}

// SetBounds takes b into force for whatever begins from now on; a waiting call that has begun
// ends by the old ones.
func (h *Host) SetBounds(b Bounds) { h.adjusted.Store(&b) }

func (h *Host) bounds() Bounds {
	if b := h.adjusted.Load(); b != nil {
		return *b
	}
	return h.Bounds
}

// lasting is a time that doesn't change.
func lasting(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
