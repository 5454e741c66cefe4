package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

const (
	// watchWait is how long a relay holds an answer back while the head is unchanged, and
	// reportWait how long it does so until its object holds what was reported.
	watchWait  = 3 * time.Second
	reportWait = 2 * time.Second
	// consultTimeout is how much longer than the requested wait an answer may take
	// before the call to the relay fails.
	consultTimeout = time.Second
	// avoidanceTime is how long a relay isn't asked after it has failed.
	avoidanceTime = 10 * time.Second
	// relaySearchInterval is the time between two attempts of a host that watches the
	// platform to find a relay.
	relaySearchInterval = time.Second
)

// chooseRelay returns the first relay that has not failed within avoidanceTime, empty if
// there is none and the host has to watch the platform itself.
func (h *Host) chooseRelay() string {
	if h.Relays == nil {
		return ""
	}
	l := h.Relays.Relays()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range l {
		if t, ok := h.avoidedAt[r]; !ok || since(t) >= avoidanceTime {
			return r
		}
	}
	return ""
}

// avoidRelay excludes relay from chooseRelay for avoidanceTime; err is logged.
func (h *Host) avoidRelay(relay string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidedAt[relay] = time.Now()
	h.Log.WithError(err).WithField("relay", relay).Warn("configuration relay failed")
}

// currentRelay returns the relay that this host follows, empty if it watches the platform.
func (h *Host) currentRelay() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relay
}

// switchRelay makes relay, empty for none, the one that this host follows and reports
// through. The registration made elsewhere may end, so it counts as lost at once.
func (h *Host) switchRelay(relay string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if relay == h.relay {
		return
	}
	if h.relay != "" {
		h.previousRelays[h.relay] = true
	}
	delete(h.previousRelays, relay)
	h.relay = relay
	h.state.MarkUnregistered()
	h.notifyWaiters()
	signal(h.wake)
}

// loopHead follows the head of the configuration until ctx ends, through a relay if
// there is one, otherwise on the platform itself.
func (h *Host) loopHead(ctx context.Context) error {
	for ctx.Err() == nil {
		if r := h.chooseRelay(); r != "" {
			h.followRelay(ctx, r)
			continue
		}
		h.followPlatform(ctx)
	}
	return ctx.Err()
}

// followRelay polls a relay for the head until it fails or chooseRelay returns another one.
func (h *Host) followRelay(ctx context.Context, relay string) {
	// The first call doesn't wait for a change: the lease may be near its end.
	err := h.consult(ctx, relay, 0)
	for err == nil && ctx.Err() == nil && h.chooseRelay() == relay {
		h.switchRelay(relay)
		err = h.consult(ctx, relay, watchWait)
	}
	if err != nil && ctx.Err() == nil {
		h.avoidRelay(relay, err)
	}
}

// consult asks a relay for the head, waiting up to wait for a newer one. It fails if the
// relay's view of the head is missing or older than adopter.MaximumSightAge, since the
// relay then doesn't reach the platform.
func (h *Host) consult(ctx context.Context, relay string, wait time.Duration) error {
	c, cancel := context.WithTimeout(ctx, wait+consultTimeout)
	defer cancel()
	asked, known := h.consultationStart()
	a, err := h.Relays.Consult(c, relay, h.newConsultation(known, wait, nil))
	switch {
	case err != nil:
		return errors.Annotatef(err, "ask relay %s", relay)
	case a.Sight == nil || a.Sight.Age > adopter.MaximumSightAge:
		return errors.Errorf("relay %s doesn't reach the platform", relay)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordSight(*a.Sight, asked)
	return nil
}

func (h *Host) newConsultation(known accessor.Version, wait time.Duration, r *MemberReport) Consultation {
	return Consultation{Known: known, Wait: wait, Host: h.Name, Incarnation: h.Incarnation, Report: r}
}

// consultationStart returns the present time by the host's clock and the version of the
// latest head known here.
func (h *Host) consultationStart() (asked time.Duration, known accessor.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.now(), h.state.Version
}

// recordSight records a relay's view of the head, for which it was asked at asked; the
// caller holds h.mu.
func (h *Host) recordSight(x adopter.Sight, asked time.Duration) {
	if x.Head != nil {
		h.recordDigests(*x.Head)
	}
	v := h.state.Version
	h.state.ObserveSight(x, asked, h.clock.now())
	if v != h.state.Version {
		h.notifyWaiters()
	}
	h.publish()
}

// followPlatform watches the head on the platform until a relay answers.
func (h *Host) followPlatform(ctx context.Context) {
	h.switchRelay("")
	s := h.Watcher.Subscribe(encoder.HeadKind, encoder.HeadName)
	defer s.Close()
	t, x := h.Clock.Ticks(relaySearchInterval)
	defer x.Cancel()
	for {
		select {
		case v := <-s.Observations():
			h.recordHead(v.Object, v.Sent)
		case <-t:
			r := h.chooseRelay()
			if r == "" {
				continue
			}
			err := h.consult(ctx, r, 0)
			if err == nil {
				return
			}
			h.avoidRelay(r, err)
		case <-ctx.Done():
			return
		}
	}
}

// followsRelay reports whether this host follows a relay; the caller holds h.mu.
func (h *Host) followsRelay() bool {
	return h.relay != ""
}

// reportDue reports whether a report has to be made now; own says that the host's own
// report r has changed. If not it returns for how long at most the changes of the hosts
// that report through this one may still be gathered, zero if there are none. The caller
// holds h.mu.
func (h *Host) reportDue(r adopter.Report, own bool) (bool, time.Duration) {
	if h.deregistered {
		return false, 0
	}
	if h.followsRelay() {
		return own, 0
	}
	return h.summary.Due(r.Ready, r.InForce, own, h.clock.now())
}
