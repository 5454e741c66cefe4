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
	// watchWait is how long a relay holds a question back while nothing has changed,
	// and reportWait how long until its object holds what was reported.
	watchWait  = 3 * time.Second
	reportWait = 2 * time.Second
	// consultTimeout is the time on top after which a relay counts as silent.
	consultTimeout = time.Second
	// avoidance is how long a relay that failed isn't asked.
	avoidance = 10 * time.Second
	// lookInterval is how often a host that watches the platform looks for a relay.
	lookInterval = time.Second
)

// choose returns the relay to follow, empty if the host has to watch the platform.
func (h *Host) choose() string {
	if h.Relays == nil {
		return ""
	}
	l := h.Relays.Relays()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range l {
		if t, ok := h.avoided[r]; !ok || since(t) >= avoidance {
			return r
		}
	}
	return ""
}

func (h *Host) avoid(relay string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoided[relay] = time.Now()
	h.Log.WithError(err).WithField("relay", relay).Warn("configuration relay doesn't serve")
}

// following returns the relay that this host follows, empty if it watches the platform.
func (h *Host) following() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relay
}

// use makes relay the one that this host follows and reports through. The
// registration elsewhere isn't relied on any more, as it may end.
func (h *Host) use(relay string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if relay == h.relay {
		return
	}
	if h.relay != "" {
		h.former[h.relay] = true
	}
	delete(h.former, relay)
	h.relay = relay
	h.state.MarkUnregistered()
	h.announce()
	signal(h.wake)
}

// loopSights takes in what the platform shows of the head, through a relay where
// there is one.
func (h *Host) loopSights(ctx context.Context) error {
	for ctx.Err() == nil {
		if r := h.choose(); r != "" {
			h.followRelay(ctx, r)
			continue
		}
		h.followPlatform(ctx)
	}
	return ctx.Err()
}

// followRelay asks a relay again and again, until it fails or another one is to
// be asked.
func (h *Host) followRelay(ctx context.Context, relay string) {
	// The first question doesn't wait: the lease may be near its end.
	err := h.consult(ctx, relay, 0)
	for err == nil && ctx.Err() == nil && h.choose() == relay {
		h.use(relay)
		err = h.consult(ctx, relay, watchWait)
	}
	if err != nil && ctx.Err() == nil {
		h.avoid(relay, err)
	}
}

// consult asks a relay for the head. One whose sight is old doesn't reach the
// platform either.
func (h *Host) consult(ctx context.Context, relay string, wait time.Duration) error {
	c, cancel := context.WithTimeout(ctx, wait+consultTimeout)
	defer cancel()
	asked, known := h.question()
	a, err := h.Relays.Consult(c, relay, h.consultation(known, wait, nil))
	switch {
	case err != nil:
		return errors.Annotatef(err, "ask relay %s", relay)
	case a.Sight == nil || a.Sight.Age > adopter.MaximumSightAge:
		return errors.Errorf("relay %s doesn't reach the platform", relay)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeSight(*a.Sight, asked)
	return nil
}

func (h *Host) consultation(known accessor.Version, wait time.Duration, r *MemberReport) Consultation {
	return Consultation{Known: known, Wait: wait, Host: h.Name, Incarnation: h.Incarnation, Report: r}
}

func (h *Host) question() (asked time.Duration, known accessor.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.now(), h.state.Version
}

// takeSight takes in a relay's sight; the caller holds the lock.
func (h *Host) takeSight(x adopter.Sight, asked time.Duration) {
	if x.Head != nil {
		h.note(*x.Head)
	}
	v := h.state.Version
	h.state.ObserveSight(x, asked, h.clock.now())
	if v != h.state.Version {
		h.announce()
	}
	h.settle()
}

// followPlatform watches the platform until a relay answers.
func (h *Host) followPlatform(ctx context.Context) {
	h.use("")
	s := h.Watcher.Subscribe(encoder.HeadKind, encoder.HeadName)
	defer s.Close()
	t, x := h.Clock.Ticks(lookInterval)
	defer x.Cancel()
	for {
		select {
		case v := <-s.Observations():
			h.see(v.Object, v.Sent)
		case <-t:
			r := h.choose()
			if r == "" {
				continue
			}
			err := h.consult(ctx, r, 0)
			if err == nil {
				return
			}
			h.avoid(r, err)
		case <-ctx.Done():
			return
		}
	}
}

// relayed reports whether this host follows a relay; the caller holds the lock.
func (h *Host) relayed() bool {
	return h.relay != ""
}

// due reports whether there is a report to make by now, and otherwise how long the
// changes of the hosts that report through this one may wait at most.
func (h *Host) due(r adopter.Report, own bool) (bool, time.Duration) {
	if h.departed {
		return false, 0
	}
	if h.relayed() {
		return own, 0
	}
	return h.summary.Due(r.Ready, r.InForce, own, h.clock.now())
}
