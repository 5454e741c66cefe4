package runner

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
)

// Bounds holds the time limits that the deployment sets and may change while hosts run.
type Bounds struct {
	// Grace is the time between the request to stop the process and its kill.
	Grace time.Duration
	// ConfigurationLimit is the time within which a new configuration must be in force on all
	// hosts.
	ConfigurationLimit time.Duration
	// DrainLimit is the time within which a draining backend server must receive no more
	// statements.
	DrainLimit time.Duration
	// Lease is how long other hosts order no promotion of a group after a host has ordered one.
	Lease time.Duration
	// FencesChecked is set if the platform refuses a promotion whose token is lower than one that it has
	// received.
	FencesChecked bool
	// KeyLimit is how long a host that can't confirm the configuration accepts its customers' keys,
	// zero for no limit.
	KeyLimit time.Duration
}

// SetBounds replaces the bounds. Operations that begin afterwards use b; a watch call that is
// already waiting keeps its time limit.
func (h *Host) SetBounds(b Bounds) { h.currentBounds.Store(&b) }

func (h *Host) bounds() Bounds {
	if b := h.currentBounds.Load(); b != nil {
		return *b
	}
	return h.Bounds
}

// fencesChecked reports whether the platform refuses a promotion whose token is lower than one that it has received.
func (h *Host) fencesChecked() bool {
	if h.FencesChecked != nil {
		return h.FencesChecked()
	}
	return h.bounds().FencesChecked
}

// keysConfirmed reports whether the configuration was confirmed recently enough to accept the keys of
// its customers.
func (h *Host) keysConfirmed() bool {
	l := h.bounds().KeyLimit
	return l == 0 || h.Board.Age(blackboard.SectionConfiguration) < l
}

// constant returns a function that always returns d.
func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
