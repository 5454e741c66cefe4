package director

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
)

// Refusal is the error of a request for which no backend server was found. It carries the time after
// which the caller may retry. Without that time callers retry immediately, and during an outage all
// of them would do so together.
type Refusal struct {
	// Cause wraps one of this package's errors or of the errors of package driver.
	Cause error
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// RetryAfterHint returns RetryAfter.
func (r *Refusal) RetryAfterHint() time.Duration { return r.RetryAfter }

// retryAfter returns the time after which a request refused with err may succeed, which depends on
// what has to change until then. noMajority reports whether this host reaches no majority.
func retryAfter(err error, noMajority bool, s driver.Settings) time.Duration {
	switch {
	case noMajority, errors.Is(err, driver.ErrNoMajority):
		// Only after this time does a loss of the majority count as more than a missed status or
		// two, so a loss of that length is over by then.
		return s.NoMajorityTimeout
	case errors.Is(err, driver.ErrNoPrimary):
		// The failure of a primary is detected within this time, and the primary is then replaced.
		return s.Observer.IsolationTimeout
	default:
		// By then each server has been polled again.
		return s.StatusInterval
	}
}

// refuse returns err as a Refusal, with the time after which the caller may retry.
func (g *Group) refuse(err error) error {
	return &Refusal{
		Cause:      err,
		RetryAfter: retryAfter(err, !g.Driver.View().HasMajority(), g.Driver.Thresholds()),
	}
}
