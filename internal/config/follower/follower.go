// Package follower keeps an entry host at the configuration in force.
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

// DefaultReportInterval is how often a host reports even if nothing has changed.
const DefaultReportInterval = 30 * time.Second

// ErrStopped is returned to those who wait for a revision at a host that stops.
const ErrStopped = errors.ConstError("configuration follower stopped")

// Fetcher gets a revision's file from a peer while the platform doesn't answer.
type Fetcher interface {
	Fetch(ctx context.Context, r declarer.Revision) (encoder.Body, error)
}

// Host follows the configuration for one entry host. It reads the platform
// through one shared watch, tells the platform what it is ready for, and moves
// up when a revision is accepted or a peer is found to be ahead.
type Host struct {
	// Name is unique among the entry hosts; Incarnation tells its restarts apart.
	Name             string
	Incarnation      string
	AvailabilityZone string
	Platform         accessor.Platform
	// Watcher holds the one waiting watch and must run beside the host; if it is
	// nil the host runs one of its own.
	Watcher *watcher.Watcher
	// Peers is asked where the platform doesn't answer, unless it is nil.
	Peers Fetcher
	// Relays leads to the relays of the zone; if it is nil the host watches and
	// reports to the platform itself.
	Relays Relays
	// Lease is how long a confirmation lasts, adopter.DefaultLease if unset.
	Lease time.Duration
	// Deferred says that Decided is called when a revision from Current is decided by;
	// without it a revision counts as in force as soon as Current returns it.
	Deferred bool
	// ReportInterval is how often to report without a change.
	ReportInterval time.Duration
	// Backoff spaces calls after failures, jittered by Random in [0, 1).
	Backoff watcher.Backoff
	Random  func() float64
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
	Log   log.Interface

	current    atomic.Pointer[snapshot]
	once       sync.Once
	changed    chan struct{}
	wake       chan struct{}
	ownWatcher bool

	mu    sync.Mutex
	clock clock
	state adopter.State
	files map[declarer.Revision]*held
	// moved is closed and replaced at each move to a higher revision.
	moved   chan struct{}
	stopped bool
	object  accessor.Object
	// reportedAt is when the host reported last.
	reportedAt time.Time
	digests    map[declarer.Revision]string
	// change came with the latest head, nil if none did.
	change *encoder.Change
	// wanted is the revision being fetched, and cancel gives it up.
	wanted declarer.Revision
	cancel context.CancelFunc
	// relay is the host that this one follows and reports through, empty for none;
	// former are those that it may still be held by.
	relay    string
	former   map[string]bool
	avoided  map[string]time.Time
	sequence uint64
	departed bool
	relaying
}

// snapshot is what requests are decided by.
type snapshot struct {
	revision declarer.Revision
	file     *declarer.File
}

func (h *Host) init() {
	h.changed = make(chan struct{}, 1)
	h.wake = make(chan struct{}, 1)
	h.moved = make(chan struct{})
	h.files = map[declarer.Revision]*held{}
	h.digests = map[declarer.Revision]string{}
	h.former = map[string]bool{}
	h.avoided = map[string]time.Time{}
	h.news = make(chan struct{})
	h.summary.Self = encoder.HostReport{Host: h.Name, Incarnation: h.Incarnation}
	h.state.Lease = h.Lease
	h.state.DeferredActivation = h.Deferred
	if h.Watcher == nil {
		h.ownWatcher = true
		h.Watcher = &watcher.Watcher{Platform: h.Platform, Backoff: h.Backoff, Random: h.Random, Clock: h.Clock, Log: h.Log}
	}
}

// Current returns the revision that requests are decided by and its file, zero
// and nil before the first. It is one atomic load.
func (h *Host) Current() (uint64, *declarer.File) {
	s := h.current.Load()
	if s == nil {
		return 0, nil
	}
	return uint64(s.revision), s.file
}

// Changed returns a channel that receives after a move to a higher revision.
func (h *Host) Changed() <-chan struct{} {
	h.once.Do(h.init)
	return h.changed
}

// Decided takes in that requests are decided by revision r from now on.
func (h *Host) Decided(r uint64) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.MarkActivated(declarer.Revision(r))
	signal(h.wake)
}

// Status is what a host says of its own configuration.
type Status struct {
	Revision declarer.Revision `json:"revision"`
	Standing adopter.Standing  `json:"standing"`
	// Staged is the revision that may come into force next, zero if none.
	Staged declarer.Revision `json:"staged,omitempty"`
	// Target is the highest revision known to be accepted.
	Target declarer.Revision `json:"target"`
	// FailingSince is when the platform stopped answering, zero if it answers.
	FailingSince time.Time `json:"failing-since,omitzero"`
	// Relay is the host through which this one follows the platform, empty if it
	// does so itself.
	Relay string `json:"relay,omitempty"`
	// Members counts the hosts that report through this one.
	Members int `json:"members,omitempty"`
}

// Status returns what the host says of its own configuration.
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

// failingSince returns when the platform stopped answering, as far as this host
// needs it; the caller holds the lock.
func (h *Host) failingSince() time.Time {
	if h.relayed() {
		return time.Time{}
	}
	return h.Watcher.FailingSince()
}

// Observe takes in that a peer's message bears revision r, and returns once
// this host decides by r or a later one. A message whose revision can't be
// reached must be refused as not run: handling it under another revision would
// decide one request by two configurations.
func (h *Host) Observe(ctx context.Context, r uint64) error {
	if s := h.current.Load(); s != nil && uint64(s.revision) >= r {
		return nil
	}
	if r == 0 {
		return nil
	}
	for {
		m, done := h.learn(declarer.Revision(r))
		if done || ctx.Value(waitingKey{}) != nil {
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

// waitingKey marks the context of a call that must not wait for a revision.
type waitingKey struct{}

// WithoutWaiting returns a context with which Observe takes in a revision
// without waiting for it. A call that fetches the revision needs it: waiting for
// the revision before its file is taken would never end.
func WithoutWaiting(ctx context.Context) context.Context {
	return context.WithValue(ctx, waitingKey{}, true)
}

// Learn takes in that a peer decides by r, without waiting.
func (h *Host) Learn(r declarer.Revision) {
	h.learn(r)
}

// learn reports whether the host decides by r now, or else returns a channel
// that closes at the next move; nil once the host has stopped.
func (h *Host) learn(r declarer.Revision) (<-chan struct{}, bool) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	done := h.state.ObserveAccepted(r)
	h.settle()
	if done {
		return nil, true
	}
	if h.stopped {
		return nil, false
	}
	return h.moved, false
}

// Claim returns what this host may confirm to a peer that can't reach the platform.
func (h *Host) Claim() (adopter.Claim, bool) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Claim(h.clock.now())
}

// Now returns the host's clock, to be taken before a peer is asked for its claim.
func (h *Host) Now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.now()
}

// Renew takes in a peer's claim; sent is what Now returned before it was asked.
func (h *Host) Renew(c adopter.Claim, sent time.Duration) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Renew(c, sent, h.clock.now())
	h.settle()
}

// settle publishes what the state has come to; the caller holds the lock.
func (h *Host) settle() {
	r := h.state.InForce
	if s := h.current.Load(); r != 0 && (s == nil || s.revision < r) {
		h.current.Store(&snapshot{revision: r, file: h.files[r].file})
		h.forget(r)
		close(h.moved)
		h.moved = make(chan struct{})
		signal(h.changed)
		h.Log.WithField("revision", uint64(r)).Info("moved up to revision")
	}
	if h.cancel != nil && h.state.Wanted() != h.wanted {
		h.cancel()
	}
	signal(h.wake)
}

// forget drops the files below r.
func (h *Host) forget(r declarer.Revision) {
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
