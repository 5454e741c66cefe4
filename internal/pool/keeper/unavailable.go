package keeper

import (
	"time"
)

// Unavailable is the failure of the last attempt to connect, told to requests
// that find no connection before the next attempt is due.
type Unavailable struct {
	// Cause is the error of the attempt.
	Cause error
	// RetryAfter is the time until the next attempt.
	RetryAfter time.Duration
}

// Error implements error.
func (u *Unavailable) Error() string { return u.Cause.Error() }

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Cause }

// RetryAfterHint returns RetryAfter. A caller that came back sooner would be
// told of the same attempt once more.
func (u *Unavailable) RetryAfterHint() time.Duration { return u.RetryAfter }

// unavailable returns what requests are told of the last failure.
func (f *failure) unavailable(now time.Time) error {
	return &Unavailable{
		Cause:      f.err,
		RetryAfter: f.until.Sub(now),
	}
}
