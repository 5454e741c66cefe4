package director

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
)

// Refusal is the error of a request for which no backend server was found. The
// caller is answered at once and told when to come back: one that isn't told
// asks again immediately, and in an outage all callers would do so together.
type Refusal struct {
	// Cause is one of the errors above, or of the driver's.
	Cause error
	// RetryAfter is when a retry may have better luck.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// RetryAfterHint returns RetryAfter.
func (r *Refusal) RetryAfterHint() time.Duration { return r.RetryAfter }

// retryAfter returns when a request refused for err may have better luck, by
// what has to change until then; cut says that no majority can be reached.
func retryAfter(err error, cut bool, s driver.Settings) time.Duration {
	switch {
	case cut, errors.Is(err, driver.ErrNoMajority):
		// A cut is told from a missed status or two only after this long, so one
		// of that length is over by then.
		return s.NoMajorityTimeout
	case errors.Is(err, driver.ErrNoPrimary):
		// The loss of a primary is noticed within this time, then it is replaced.
		return s.Observer.IsolationTimeout
	default:
		// By then each server has been asked for its status again.
		return s.StatusInterval
	}
}

// refuse adds to err when the caller may come back.
func (g *Group) refuse(err error) error {
	return &Refusal{
		Cause:      err,
		RetryAfter: retryAfter(err, !g.Driver.View().HasMajority(), g.Driver.Thresholds()),
	}
}
