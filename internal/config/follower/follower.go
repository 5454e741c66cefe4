// Package follower keeps an entry host on the configuration revision in force.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/platform/watcher"
)

// DefaultReportInterval is the time between two reports while nothing changes.
const DefaultReportInterval = 30 * time.Second

// ErrStopped is returned by AwaitRevision once the host has stopped.
const ErrStopped = errors.ConstError("configuration follower stopped")

// Fetcher gets the file of a revision from a peer while the platform doesn't answer.
type Fetcher interface {
	Fetch(ctx context.Context, r declarer.Revision) (encoder.Body, error)
}

// Host follows the configuration for one entry host. It reads the head of the
// configuration (encoder.Head) from the platform or a relay, reports which revision it is
// ready for and which one is in force here, and puts a revision in force once it is
// accepted or a peer uses it already.
type Host struct {
	// Name is unique among the entry hosts; Incarnation differs at each start.
	Name             string
	Incarnation      string
	AvailabilityZone string
	Platform         accessor.Platform
	// Watcher holds the watch on the platform that is shared with others, and its Run
	// must run beside the host's; if it is nil the host runs its own.
	Watcher *watcher.Watcher
	// Peers supplies files while the platform doesn't answer; nil disables this.
	Peers Fetcher
	// Relays gives access to the relays of the zone; if it is nil the host watches the
	// platform and reports to it directly.
	Relays Relays
	// Lease is how long a confirmation of the head lasts, adopter.DefaultLease if unset.
	Lease time.Duration
	// DeferredActivation says that the caller invokes MarkActivated once requests are handled under a
	// revision that Current returned, and that the revision is reported as in force only
	// then. Without it a revision is reported as soon as Current returns it.
	DeferredActivation bool
	// ReportInterval is the time between two reports while nothing changes,
	// DefaultReportInterval if unset.
	ReportInterval time.Duration
	// Backoff sets the wait after failed calls, with the jitter that Random returns in [0, 1).
	Backoff watcher.Backoff
	Random  func() float64
	// Clock provides timers; nil uses those of the standard library.
	Clock *scheduler.Scheduler
	Log   log.Interface

	current atomic.Pointer[snapshot]
	once    sync.Once
	changed chan struct{}
	// wake receives when loopWork may have something to do.
	wake chan struct{}
	// ownWatcher says that Run also runs Watcher.
	ownWatcher bool

	mu    sync.Mutex
	clock clock
	state adopter.State
	// files holds the files from the revision in force on.
	files map[declarer.Revision]*revisionFile
	// moved is closed and replaced each time a higher revision is put in force.
	moved   chan struct{}
	stopped bool
	// object is the host's own holder object; it has no name if the host has none.
	object accessor.Object
	// reportedAt is when the host last reported.
	reportedAt time.Time
	// digests holds the digests that the heads stated, by revision.
	digests map[declarer.Revision]string
	// headChange is the change in the latest head, nil if it had none.
	headChange *encoder.Change
	// wanted is the revision being fetched; cancelFetch aborts its fetch.
	wanted      declarer.Revision
	cancelFetch context.CancelFunc
	// relay is the relay that this host follows and reports through, empty for none.
	relay string
	// previousRelays are the relays whose objects may still hold this host.
	previousRelays map[string]bool
	// avoidedAt is when a relay last failed, by its name.
	avoidedAt map[string]time.Time
	// sequence numbers the reports to relays.
	sequence uint64
	// deregistered is set once Deregister has ended the registration through a relay.
	deregistered bool
	relayState
}

// snapshot is the revision, with its file, that requests are handled under.
type snapshot struct {
	revision declarer.Revision
	file     *declarer.File
}

func (h *Host) init() {
	h.changed = make(chan struct{}, 1)
	h.wake = make(chan struct{}, 1)
	h.moved = make(chan struct{})
	h.files = map[declarer.Revision]*revisionFile{}
	h.digests = map[declarer.Revision]string{}
	h.previousRelays = map[string]bool{}
	h.avoidedAt = map[string]time.Time{}
	h.updated = make(chan struct{})
	h.summary.Self = encoder.HostReport{Host: h.Name, Incarnation: h.Incarnation}
	h.state.Lease = h.Lease
	h.state.DeferredActivation = h.DeferredActivation
	if h.Watcher == nil {
		h.ownWatcher = true
		h.Watcher = &watcher.Watcher{Platform: h.Platform, Backoff: h.Backoff, Random: h.Random, Clock: h.Clock, Log: h.Log}
	}
}

// Current returns the revision that requests are handled under, which means that they are
// routed and limited according to its file, and that file; zero and nil before the first
// revision. It costs one atomic load.
func (h *Host) Current() (uint64, *declarer.File) {
	s := h.current.Load()
	if s == nil {
		return 0, nil
	}
	return uint64(s.revision), s.file
}

// Changed returns a channel that receives after a higher revision was put in force.
// Several changes may be combined into one value.
func (h *Host) Changed() <-chan struct{} {
	h.once.Do(h.init)
	return h.changed
}

// MarkActivated records that requests are handled under revision r from now on; it is needed
// if DeferredActivation is set.
func (h *Host) MarkActivated(r uint64) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.MarkActivated(declarer.Revision(r))
	signal(h.wake)
}

// Status is the state of a host's own configuration.
type Status struct {
	// Revision is the revision in force at this host, zero if none.
	Revision declarer.Revision `json:"revision"`
	// Standing says whether Revision is confirmed to be the only one in force.
	Standing adopter.Standing `json:"standing"`
	// Staged is the revision that may be accepted next, zero if none.
	Staged declarer.Revision `json:"staged,omitempty"`
	// Target is the highest revision known to be accepted.
	Target declarer.Revision `json:"target"`
	// FailingSince is when the platform stopped answering, zero if it answers.
	FailingSince time.Time `json:"failing-since,omitzero"`
	// Relay is the host through which this one follows the platform, empty if it
	// follows the platform directly.
	Relay string `json:"relay,omitempty"`
	// Members is the number of hosts that report through this one.
	Members int `json:"members,omitempty"`
}

// Status returns the state of the host's own configuration.
func (h *Host) Status() Status {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	return Status{
		Revision:     h.state.InForce,
		Standing:     h.state.Standing(h.clock.now()),
		Staged:       h.state.Staged,
		Target:       h.state.Target,
		FailingSince: h.failingSince(),
		Relay:        h.relay,
		Members:      h.summary.Members(),
	}
}

// failingSince returns when the platform stopped answering, zero if it answers or if this
// host follows a relay; the caller holds h.mu.
func (h *Host) failingSince() time.Time {
	if h.followsRelay() {
		return time.Time{}
	}
	return h.Watcher.FailingSince()
}

// AwaitRevision records that a peer's message was sent under revision r, and returns nil once
// r or a later revision is in force here. It returns ErrStopped if the host stops and the
// context's error if ctx ends first. The caller must then refuse the message as not run:
// otherwise one request would be handled under two configurations.
func (h *Host) AwaitRevision(ctx context.Context, r uint64) error {
	if s := h.current.Load(); s != nil && uint64(s.revision) >= r {
		return nil
	}
	if r == 0 {
		return nil
	}
	for {
		m, done := h.observeAccepted(declarer.Revision(r))
		if done || ctx.Value(noWaitKey{}) != nil {
			return nil
		}
		if m == nil {
			return errors.Annotatef(ErrStopped, "move up to revision %d", r)
		}
		select {
		case <-m:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "move up to revision %d", r)
		}
	}
}

// noWaitKey marks the context of a call that must not wait for a revision.
type noWaitKey struct{}

// WithoutWaiting returns a context with which AwaitRevision records a revision without
// waiting for it. Calls that fetch the revision's file need it: waiting for the revision
// before its file has arrived would never end.
func WithoutWaiting(ctx context.Context) context.Context {
	return context.WithValue(ctx, noWaitKey{}, true)
}

// ObserveAccepted records that r is in force on a peer; it doesn't wait until it is in force here.
func (h *Host) ObserveAccepted(r declarer.Revision) {
	h.observeAccepted(r)
}

// observeAccepted records that r is in force on a peer and reports whether it is in force here,
// too. If not it returns a channel that closes when the next revision is put in force, nil once the
// host has stopped.
func (h *Host) observeAccepted(r declarer.Revision) (<-chan struct{}, bool) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	done := h.state.ObserveAccepted(r)
	h.publish()
	if done {
		return nil, true
	}
	if h.stopped {
		return nil, false
	}
	return h.moved, false
}

// Claim returns what this host can confirm to a peer that can't reach the platform, false
// if its own revision is not confirmed.
func (h *Host) Claim() (adopter.Claim, bool) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Claim(h.clock.now())
}

// Now returns the time by the host's clock. It is read before a peer is asked for its
// claim, and then passed to Renew.
func (h *Host) Now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.now()
}

// Renew extends the confirmation by a peer's claim; sent is what Now returned before the
// peer was asked.
func (h *Host) Renew(c adopter.Claim, sent time.Duration) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Renew(c, sent, h.clock.now())
	h.publish()
}

// publish makes h.state's revision in force the one that Current returns, aborts a fetch
// of a revision that is not wanted any more, and wakes loopWork; the caller holds h.mu.
func (h *Host) publish() {
	r := h.state.InForce
	if s := h.current.Load(); r != 0 && (s == nil || s.revision < r) {
		h.current.Store(&snapshot{revision: r, file: h.files[r].file})
		h.dropBelow(r)
		close(h.moved)
		h.moved = make(chan struct{})
		signal(h.changed)
		h.Log.WithField("revision", uint64(r)).Info("moved up to revision")
	}
	if h.cancelFetch != nil && h.state.Wanted() != h.wanted {
		h.cancelFetch()
	}
	signal(h.wake)
}

// dropBelow drops the files and digests below r.
func (h *Host) dropBelow(r declarer.Revision) {
	for k := range h.files {
		if k < r {
			delete(h.files, k)
		}
	}
	for k := range h.digests {
		if k < r {
			delete(h.digests, k)
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
