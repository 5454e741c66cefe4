package keeper

import (
	"time"
)

// Unavailable is the error that requests receive when there is no connection after a failed
// attempt to connect and the next attempt is not due yet.
type Unavailable struct {
	// Cause is the error of the last attempt.
	Cause error
	// RetryAfter is the time until the next attempt.
	RetryAfter time.Duration
}

// Error implements error.
func (u *Unavailable) Error() string { return u.Cause.Error() }

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Cause }

// RetryAfterHint returns RetryAfter. A caller that retries sooner gets the error of the same
// attempt again.
func (u *Unavailable) RetryAfterHint() time.Duration { return u.RetryAfter }

// unavailable returns the error that requests receive after the last failure.
func (f *failure) unavailable(now time.Time) error {
	return &Unavailable{
		Cause:      f.err,
		RetryAfter: f.until.Sub(now),
	}
}
