package runner

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

const (
	// rotation is how long the balancer may send new connections after the host has
	// said that it isn't ready: it asks once a second and twice before it believes.
	rotation = 2200 * time.Millisecond
	// exitSpare is what is left of the grace for the process to end.
	exitSpare = 500 * time.Millisecond
	// drainStep is how often a draining host looks whether all sessions have ended.
	drainStep = 50 * time.Millisecond
)

// drain says that the host isn't ready, waits until the balancer knows, has sessions
// end where nothing is cut off, and cuts open transactions off at half the grace.
func (h *Host) drain(ctx context.Context) {
	began, grace := time.Now(), h.bounds().Grace
	h.draining.Store(true)
	h.Log.WithField("sessions", h.SessionCount()).Info("draining")
	// Others borrow from the next owner then; what they have borrowed here may end.
	h.leave()
	_ = scheduler.Pause(ctx, min(rotation, grace/2))
	h.each((*executor.Session).Stop)
	for time.Since(began) < grace-exitSpare && h.SessionCount()+int(h.lent.Load()) > 0 {
		if time.Since(began) > grace*5/8 {
			h.each((*executor.Session).Terminate)
		} else {
			h.each((*executor.Session).Stop)
		}
		if scheduler.Pause(ctx, drainStep) != nil {
			return
		}
	}
	h.Log.WithField("sessions", h.SessionCount()).WithField("lent", h.lent.Load()).Info("drained")
}
