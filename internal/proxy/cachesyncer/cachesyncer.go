// Package cachesyncer lets one entry host of a region read the platform's store for the
// others.
//
// The store counts each call, a waiting one as well, and its rates grow more slowly than
// the number of entry hosts; so does the link between the store's region and another one.
// Each host keeps what it has read in a Mirror, from which others may read. A Selector
// reads from another host's mirror, and from the store where there is none to read from.
package cachesyncer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
)

// Entry is one object of the store, not decoded.
type Entry struct {
	Name string `json:"name"`
	// Revision is that of the object's last change.
	Revision uint64 `json:"revision"`
	// Value is the object as its writer encoded it, nil if it is gone.
	Value json.RawMessage `json:"value,omitempty"`
	// Removed says that the object is gone.
	Removed bool `json:"removed,omitempty"`
	// Base is the value that whoever asked probably has of a large object, nil if that isn't
	// known. The new value can be told as the difference to it.
	Base json.RawMessage `json:"-"`
}

// Page is a list of objects, or of changes, as of a revision of the store.
type Page struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"as-of"`
}

// Reader reads one kind of object.
type Reader interface {
	// List returns all objects, and the revision from where to watch.
	List(ctx context.Context) (Page, error)
	// Watch waits for changes after the revision, and returns none with the revision
	// that it has seen if there are none in time. It returns ErrForgotten if the changes
	// since then aren't kept.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
}

// Errors of reading.
const (
	// ErrCompacted is a revision from which there are no changes any more.
	ErrCompacted = errors.ConstError("changes aren't kept so long")
	// ErrStale is a host that can't vouch for what it has read from the store.
	ErrStale = errors.ConstError("host has lost the store")
)

// Mirror keeps what was read of one kind of object for other hosts, and reads it from the
// store. Its exported fields are set before use.
type Mirror struct {
	Store Reader
	// Now reads a clock that counts time in which the host stood still: what was read
	// before a pause of the process must not pass for fresh after it.
	Now func() time.Duration
	// TTL is how long after an answer of the store what was read counts as current: as
	// long as the next waiting call may last.
	TTL func() time.Duration
	// MinimumPause is the pause after a change before more are asked for, so that the first
	// change of a row is known at once. It doubles up to MaximumPause while changes go on:
	// where many hosts or servers start at once, there would be a call for each.
	MinimumPause time.Duration
	MaximumPause time.Duration

	mu sync.Mutex
	history
	// answered is when the store or another host answered last, current that it did so to
	// the last call, and trust for how long what was read then counts as current.
	answered, trust time.Duration
	current         bool
	// direct says that the store answered last, not another host.
	direct bool
	// arriving is when the answer that is being read began, zero if there is none.
	arriving time.Duration
	changed  chan struct{}
	// asked says that a first call was answered or failed.
	asked bool
	// rest is the present pause, and restUntil when it ends.
	rest      time.Duration
	restUntil time.Duration
}

// List reads the store.
func (m *Mirror) List(ctx context.Context) (Page, error) {
	p, err := m.Store.List(watchdog.Observe(ctx, m.progress))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arriving = 0
	if err != nil {
		m.lose()
		return p, err
	}
	m.replace(p)
	m.gain(m.TTL(), true)
	return p, nil
}

// ApplyRemoteList takes a list that was read from another host, which vouches for it.
func (m *Mirror) ApplyRemoteList(p Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replace(p)
	m.gain(remoteTrust, false)
}

// ApplyRemoteChanges takes changes that were read from another host.
func (m *Mirror) ApplyRemoteChanges(p Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(p)
	m.gain(remoteTrust, false)
}

// Watch reads the store. A rest after changes is part of the wait. The first call after
// another host was read from doesn't wait: what that host said isn't trusted for as long.
func (m *Mirror) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	if !m.isDirect() {
		wait = min(wait, storeCheck)
	}
	rest := min(m.restLeft(), wait)
	if err := scheduler.Pause(ctx, rest); err != nil {
		return Page{}, err
	}
	p, err := m.Store.Watch(watchdog.Observe(ctx, m.progress), after, wait-rest)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arriving = 0
	if err == nil && len(p.Entries) > 0 {
		m.restNow()
	}
	if errors.Is(err, ErrCompacted) {
		// The whole list is read next. Until then what is here is as old as it may be on any
		// waiting call; sent away, every host of the zone would read the list itself.
		return p, err
	}
	if err != nil || after != m.revision {
		// Without the state that the changes are based on there is nothing to vouch for.
		m.lose()
		return p, err
	}
	m.add(p)
	m.gain(m.TTL(), true)
	return p, nil
}

func (m *Mirror) isDirect() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.direct
}

// progress notes that more of the store's answer has come: nobody who asked the store now
// would have it sooner. For how long that holds is bounded, as the way to the store may be
// slow from this host only.
func (m *Mirror) progress() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	if m.arriving == 0 {
		m.arriving = now
	}
	if m.current && now-m.arriving <= m.TTL() {
		m.answered = now
	}
}

// restLeft returns what is left of the pause after the last change.
func (m *Mirror) restLeft() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.restUntil-m.Now())
}

// restNow begins a pause. The mutex is held.
func (m *Mirror) restNow() {
	now := m.Now()
	if now-m.restUntil > m.MaximumPause {
		m.rest = 0 // the row of changes had ended
	}
	m.rest = min(max(m.MinimumPause, 2*m.rest), m.MaximumPause)
	m.restUntil = now + m.rest
}

// gain notes an answer, for how long it counts as current, and whether it is the store's.
// The mutex is held.
func (m *Mirror) gain(trust time.Duration, direct bool) {
	m.answered, m.trust, m.direct, m.current, m.asked = m.Now(), trust, direct, true, true
	m.announce()
}

// lose notes that the store didn't answer. The mutex is held.
func (m *Mirror) lose() {
	m.current, m.asked = false, true
	m.announce()
}

// announce wakes those who wait for a change. The mutex is held.
func (m *Mirror) announce() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// fresh reports whether the host may vouch for what it has read. The mutex is held.
func (m *Mirror) fresh() bool {
	return m.current && m.Now()-m.answered <= m.trust
}

// firstWait is how long another host's question waits for this one's first answer of the
// store: where a zone starts, all of its hosts would else read the store themselves.
const firstWait = 250 * time.Millisecond

// ServeList is List for another host.
func (m *Mirror) ServeList(ctx context.Context) (Page, error) {
	m.awaitFirst(ctx, firstWait)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fresh() {
		return Page{}, ErrStale
	}
	return Page{Revision: m.revision, Entries: m.all()}, nil
}

// awaitFirst waits until this host has read the store, or won't.
func (m *Mirror) awaitFirst(ctx context.Context, wait time.Duration) {
	m.mu.Lock()
	asked, changed := m.asked, m.next()
	m.mu.Unlock()
	if asked {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// next returns what is closed at the next announcement. The mutex is held.
func (m *Mirror) next() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// ServeWatch is Watch for another host.
func (m *Mirror) ServeWatch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	m.awaitFirst(ctx, wait)
	t := time.NewTimer(wait)
	defer t.Stop()
	for over := false; ; {
		p, changed, err := m.since(after)
		if err != nil || len(p.Entries) > 0 || over {
			return p, err
		}
		select {
		case <-changed:
		case <-t.C:
			over = true
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// since returns the changes after the revision, and what is closed at the next one.
func (m *Mirror) since(after uint64) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.fresh():
		return Page{}, nil, ErrStale
	case after < m.floor:
		return Page{}, nil, ErrCompacted
	}
	return Page{Revision: m.revision, Entries: m.later(after)}, m.next(), nil
}

// Value returns an object as it was last read, nil if it isn't there.
func (m *Mirror) Value(name string) json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[name].Value
}
