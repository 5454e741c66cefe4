package cachesyncer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
)

const (
	// WatchSlack is how long after the end of its wait the store's answer to a long poll may begin.
	WatchSlack = 400 * time.Millisecond
	// StallTimeout ends a call whose answer has begun and makes no more progress.
	StallTimeout = 700 * time.Millisecond
	// listReserve is the part of a long poll's time that is kept for reading the list if the long poll
	// isn't answered.
	listReserve = 700 * time.Millisecond
)

// Mirror reads one kind of object from the store and keeps what it has read to serve it to
// other hosts. Its exported fields are set before use.
type Mirror struct {
	Store Reader
	// Now reads a monotonic clock that also advances while the host is suspended, so that data
	// read before a suspension does not count as current after it.
	Now func() time.Duration
	// TTL returns how long data counts as current after an answer of the store, which is as long
	// as the next long poll may last.
	TTL func() time.Duration
	// MinimumPause is the pause between a change and the next request for changes, so that the
	// first change of a series is delivered at once. The pause doubles up to MaximumPause while
	// changes continue: when many hosts or servers start at the same time, each of their changes
	// would otherwise cost one call.
	MinimumPause time.Duration
	MaximumPause time.Duration
	// CheckTimeout returns how long the first call after a failure may take until its answer begins. The next one may
	// be made after that.
	CheckTimeout func() time.Duration
	// OnSilent, if not nil, is called when the list is read since a long poll wasn't answered.
	OnSilent func()

	mu sync.Mutex
	history
	// lastAnswer is when the store or another host last answered, current whether the last call
	// was answered, and ttl how long the data of that answer counts as current.
	lastAnswer, ttl time.Duration
	current         bool
	// confirmed is when the store last confirmed what the mirror holds, to this host or to the one that was read from.
	confirmed time.Duration
	// fromStore reports that the last answer came from the store, not from another host.
	fromStore bool
	// unconfirmed reports that the host that was read through has lost the store, and that neither another one nor the
	// store has confirmed since what the mirror holds.
	unconfirmed bool
	// receivingSince is when the answer now being received began, zero if there is none.
	receivingSince time.Duration
	// asked is when the last request to the store was sent.
	asked   time.Duration
	changed chan struct{}
	// attempted reports that a first call was answered or has failed.
	attempted bool
	// pause is the current pause after a change, and pauseUntil when it ends.
	pause      time.Duration
	pauseUntil time.Duration
}

// List reads all objects from the store.
func (m *Mirror) List(ctx context.Context) (Page, error) {
	m.recordAsked()
	p, err := m.Store.List(watchdog.WithObserver(ctx, m.recordProgress))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receivingSince = 0
	if err != nil {
		m.recordFailure()
		return p, err
	}
	m.replaceAll(p)
	m.recordAnswer(m.TTL(), true, 0)
	return p, nil
}

// ApplyRemoteList replaces the mirror's objects by a list that another host served as current.
func (m *Mirror) ApplyRemoteList(p Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replaceAll(p)
	m.recordAnswer(remoteTTL, false, p.age())
}

// ApplyRemoteChanges applies changes that were read from another host.
func (m *Mirror) ApplyRemoteChanges(p Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addChanges(p)
	m.recordAnswer(remoteTTL, false, p.age())
}

// Watch reads changes from the store. The pause after a change is part of wait. The first call
// after another host was read from waits for storeCheckWait at most, because data from another
// host counts as current for a shorter time. So does the first one after a failure, as the hosts
// that read from this one take the store for lost until it is answered.
//
// The store may leave long polls without an answer while it answers all other calls. If it answered the
// call before this one, the changes are then taken from its list.
func (m *Mirror) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	return m.watch(ctx, after, wait, false)
}

// watch is Watch for a host behind others that have lost the store if behindStale is set. One of those
// reads the list as soon as it can. If all hosts behind them did so as well, their lists would fill the
// link to the store.
func (m *Mirror) watch(ctx context.Context, after uint64, wait time.Duration, behindStale bool) (Page, error) {
	t := m.pollTimes(wait)
	pause := min(m.remainingPause(), t.answer)
	if err := scheduler.Pause(ctx, pause); err != nil {
		return Page{}, err
	}
	t.store, t.answer = max(0, t.store-pause), t.answer-pause
	p, silent, err := m.poll(ctx, after, t)
	if silent && m.mayList(after, behindStale) {
		p, err = m.listChanges(ctx, after)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receivingSince = 0
	if err == nil && len(p.Entries) > 0 {
		m.startPause()
	}
	if errors.Is(err, ErrCompacted) {
		// The caller reads the whole list next. Until then the mirror is no older than it may be
		// during any long poll. If the mirror were marked stale, every host of the zone would
		// read the list from the store itself.
		return p, err
	}
	if err != nil && errors.Is(context.Cause(ctx), errSuperseded) {
		return p, err // the next call follows at once
	}
	if err != nil || after != m.revision {
		// Without the state that the changes are based on, the mirror is not current.
		m.recordFailure()
		return p, err
	}
	m.addChanges(p)
	m.recordAnswer(m.TTL(), true, 0)
	return p, nil
}

// pollTimes says how long a long poll takes.
type pollTimes struct {
	// store is how long the store waits for changes.
	store time.Duration
	// answer is after what time, in addition to WatchSlack, the answer must have begun.
	answer time.Duration
}

// pollTimes returns the times of a long poll if it and the list after it may take wait. After a failure, or when that is
// all of wait, the store waits for storeCheckWait only, but a slow store gets as much time for its answer as the next call
// can wait.
func (m *Mirror) pollTimes(wait time.Duration) pollTimes {
	m.mu.Lock()
	defer m.mu.Unlock()
	short := min(wait, storeCheckWait)
	switch {
	case !m.current, m.fromStore && wait <= storeCheckWait:
		return pollTimes{store: short, answer: max(short, m.CheckTimeout()-WatchSlack)}
	case !m.fromStore:
		return pollTimes{store: short, answer: short}
	}
	long := max(wait-listReserve, short, wait/2)
	return pollTimes{store: long, answer: long}
}

// poll makes one long poll to the store. It reports whether no part of an answer was received in time.
func (m *Mirror) poll(ctx context.Context, after uint64, t pollTimes) (p Page, silent bool, err error) {
	c, cancel := watchdog.WithStallTimeout(ctx, t.answer+WatchSlack, StallTimeout)
	defer cancel()
	m.recordAsked()
	p, err = m.Store.Watch(watchdog.WithObserver(c, m.recordProgress), after, t.store)
	stalled := err != nil && ctx.Err() == nil && errors.Is(context.Cause(c), watchdog.ErrStalled)
	m.mu.Lock()
	defer m.mu.Unlock()
	return p, stalled && m.receivingSince == 0, err
}

// mayList reports whether the list may be read in place of a long poll after the revision.
func (m *Mirror) mayList(after uint64, behindStale bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current && m.revision == after && (m.fromStore || !behindStale)
}

// listChanges reads all objects from the store and returns what has changed after the revision, which
// is that of the mirror. The answer must begin within listReserve, however long the long poll might have lasted.
func (m *Mirror) listChanges(ctx context.Context, after uint64) (Page, error) {
	if m.OnSilent != nil {
		m.OnSilent()
	}
	m.recordAsked()
	c, cancel := watchdog.WithStallTimeout(ctx, listReserve, StallTimeout)
	defer cancel()
	p, err := m.Store.List(watchdog.WithObserver(c, m.recordProgress))
	if err != nil {
		return Page{}, err
	}
	if p.Revision < after {
		return Page{}, errOlderList
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changesTo(p), nil
}

// recordAsked records that a request to the store is sent now.
func (m *Mirror) recordAsked() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked = m.Now()
}

// lastAsked returns when the last request to the store was sent.
func (m *Mirror) lastAsked() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asked
}

// recordProgress records that more of the store's answer has arrived: another host that asked
// the store now would not have it sooner. This extends the mirror's validity only for a limited
// time, because the path to the store may be slow from this host alone.
func (m *Mirror) recordProgress() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	if m.receivingSince == 0 {
		m.receivingSince = now
	}
	if m.unconfirmed {
		m.unconfirmed = false
		m.notify()
	}
	if m.current && now-m.receivingSince <= m.TTL() {
		m.lastAnswer = now
	}
}

// remainingPause returns how much of the pause after the last change is left.
func (m *Mirror) remainingPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.pauseUntil-m.Now())
}

// startPause starts a pause after a change. The mutex is held.
func (m *Mirror) startPause() {
	now := m.Now()
	if now-m.pauseUntil > m.MaximumPause {
		m.pause = 0 // the series of changes had ended
	}
	m.pause = min(max(m.MinimumPause, 2*m.pause), m.MaximumPause)
	m.pauseUntil = now + m.pause
}

// recordAnswer records an answer, how long it counts as current, whether it came from the store, and how long ago the
// store confirmed it. The mutex is held.
func (m *Mirror) recordAnswer(ttl time.Duration, fromStore bool, age time.Duration) {
	m.lastAnswer, m.ttl, m.fromStore, m.current, m.attempted = m.Now(), ttl, fromStore, true, true
	m.confirmed, m.unconfirmed = max(m.confirmed, m.lastAnswer-age), false
	m.notify()
}

// RecordLost records that neither the store nor another host can be read.
func (m *Mirror) RecordLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordFailure()
}

// recordFailure records that the store did not answer. The mutex is held.
func (m *Mirror) recordFailure() {
	m.current, m.attempted, m.unconfirmed = false, true, false
	m.notify()
}

// notify wakes the goroutines that wait for a change. The mutex is held.
func (m *Mirror) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// isLost reports whether the last call was not answered.
func (m *Mirror) isLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.current
}

// setUnconfirmed records whether the host that was read through has lost the store, so that others and the store are
// asked. Other hosts wait for an answer for a moment: if they took what was read before for current, the loss would be known
// to a chain of hosts as late as the sum of what each of them waits.
func (m *Mirror) setUnconfirmed(unconfirmed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unconfirmed = unconfirmed
	m.notify()
}

// lastConfirmed returns when the store last confirmed what the mirror holds.
func (m *Mirror) lastConfirmed() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}
