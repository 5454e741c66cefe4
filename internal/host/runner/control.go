package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// StartDrain begins to stop the host, as the first signal does.
func (h *Host) StartDrain() {
	h.drainOnce.Do(h.closeDrain)
}

func (h *Host) closeDrain() {
	close(h.drain)
}

// DrainTimeout is the declared time within which a drain ends.
func (h *Host) DrainTimeout() time.Duration {
	return h.Settings.Limits.DrainTimeout
}

// handOverTimeout bounds a planned hand-over.
const handOverTimeout = 30 * time.Second

// HandOver moves a group's primary off the named backend server.
func (h *Host) HandOver(ctx context.Context, group, backendServer string) error {
	r := h.director.Runtime()
	if r == nil || r.Groups[group] == nil {
		return errors.NotFoundf("database group %q", group)
	}
	c, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return r.Groups[group].Driver.HandOver(c, backendServer)
}

// outcomeTimeout bounds a question for an outcome.
const outcomeTimeout = 10 * time.Second

// Outcome tells what became of the request with an idempotency key. Where no
// attempt has run so far one may still be under way, so that is Unknown, unless
// settle keeps the attempt from ever running.
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
