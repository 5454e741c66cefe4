package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// StartDrain starts a graceful shutdown of the host, as the first termination signal to the process
// does. Further calls have no effect.
func (h *Host) StartDrain() {
	h.drainOnce.Do(h.closeDrain)
}

func (h *Host) closeDrain() {
	close(h.drain)
}

// DrainTimeout returns the configured maximum duration of a drain.
func (h *Host) DrainTimeout() time.Duration {
	return h.Settings.Limits.DrainTimeout
}

// handOverTimeout bounds a planned change of the primary.
const handOverTimeout = 30 * time.Second

// HandOver moves a group's primary off the named backend server. It returns a NotFound error for an
// unknown group.
func (h *Host) HandOver(ctx context.Context, group, backendServer string) error {
	r := h.director.Runtime()
	if r == nil || r.Groups[group] == nil {
		return errors.NotFoundf("database group %q", group)
	}
	c, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return r.Groups[group].Driver.HandOver(c, backendServer)
}

// outcomeTimeout bounds the look-up of an outcome.
const outcomeTimeout = 10 * time.Second

// Outcome returns the outcome of the request with an idempotency key. If no attempt has run yet,
// one may still be in progress, so the outcome is Unknown, unless settle is set, which prevents the
// attempt from ever running.
func (h *Host) Outcome(ctx context.Context, group, key string, settle bool) (recorder.Outcome, error) {
	c, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	a, err := h.director.LookUp(c, group, recorder.First(key))
	if err != nil {
		return recorder.Unknown, err
	}
	if a.Outcome == recorder.Ran {
		return recorder.Ran, nil
	}
	if !settle {
		return recorder.Unknown, nil
	}
	return h.director.Settle(c, group, a.Attempt)
}
