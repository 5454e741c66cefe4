// Package cachesyncer lets one entry host of an availability zone read the platform's store
// for the others.
//
// The store counts each call, a waiting one as well, and its rates grow more slowly than
// the number of entry hosts. A host that reads the store keeps what it has read in a
// Mirror; a Selector has the other hosts of its zone read from there, and from the store
// where that host doesn't answer or has itself lost the store.
package cachesyncer

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
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
	// ErrForgotten is a revision from which there are no changes any more.
	ErrForgotten = errors.ConstError("changes aren't kept so long")
	// ErrAway is a host that can't vouch for what it has read from the store.
	ErrAway = errors.ConstError("host has lost the store")
)

// maximumRecent bounds the changes that are kept for other hosts. One that asks for
// older ones gets the whole list.
const maximumRecent = 512

// Mirror reads one kind of object from the store, and keeps what it has read for other
// hosts. Its exported fields are set before use.
type Mirror struct {
	Store Reader
	// Now reads a clock that counts time in which the host stood still: what was read
	// before a pause of the process must not pass for fresh after it.
	Now func() time.Duration
	// Trust is how long after an answer of the store what was read counts as current: as
	// long as the next waiting call may last.
	Trust func() time.Duration
	// FirstRest is the pause after a change before more are asked for, so that the first
	// change of a row is known at once. It doubles up to LongestRest while changes go on:
	// where many hosts or servers start at once, there would be a call for each.
	FirstRest   time.Duration
	LongestRest time.Duration

	mu      sync.Mutex
	entries map[string]Entry
	// revision is that of entries, zero before the first list.
	revision uint64
	// recent are the last changes in order, all since the revision floor.
	recent []change
	floor  uint64
	// answered is when the store answered last, current that it did so to the last call.
	answered time.Duration
	current  bool
	// arriving is when the answer that is being read began, zero if there is none.
	arriving time.Duration
	changed  chan struct{}
	// asked says that it was decided whether this host reads the store: it has answered or
	// failed to, or another host is read from.
	asked bool
	// rest is the present pause, and restUntil when it ends.
	rest      time.Duration
	restUntil time.Duration
}

// change is an entry with the revision of the page that brought it. That of the entry
// doesn't order changes: an object that is gone may have the one of its last change.
type change struct {
	Entry
	page uint64
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
	m.entries = make(map[string]Entry, len(p.Entries))
	for _, e := range p.Entries {
		m.entries[e.Name] = e
	}
	m.revision, m.floor, m.recent = p.Revision, p.Revision, nil
	m.gain()
	return p, nil
}

// Watch reads the store. A rest after changes is part of the wait.
func (m *Mirror) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
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
	if errors.Is(err, ErrForgotten) {
		// The whole list is read next. Until then what is here is as old as it may be on any
		// waiting call; sent away, every host of the zone would read the list itself.
		return p, err
	}
	if err != nil || after != m.revision {
		// Without the state that the changes are based on there is nothing to vouch for.
		m.lose()
		return p, err
	}
	m.revision = max(m.revision, p.Revision)
	for _, e := range p.Entries {
		m.take(e)
	}
	m.gain()
	return p, nil
}

// progress notes that more of an answer has come: the store has answered, and nobody who
// asked it now would have the answer sooner. For how long that holds is bounded, as the way
// to the store may be slow from this host only.
func (m *Mirror) progress() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	if m.arriving == 0 {
		m.arriving = now
	}
	if m.current && now-m.arriving <= m.Trust() {
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
	if now-m.restUntil > m.LongestRest {
		m.rest = 0 // the row of changes had ended
	}
	m.rest = min(max(m.FirstRest, 2*m.rest), m.LongestRest)
	m.restUntil = now + m.rest
}

// take folds one change in. The mutex is held.
func (m *Mirror) take(e Entry) {
	if e.Removed {
		delete(m.entries, e.Name)
	} else {
		m.entries[e.Name] = e
	}
	m.recent = append(m.recent, change{Entry: e, page: m.revision})
	if n := len(m.recent) - maximumRecent; n > 0 {
		m.floor = m.recent[n-1].page
		m.recent = slices.Delete(m.recent, 0, n)
	}
}

// gain notes an answer of the store. The mutex is held.
func (m *Mirror) gain() {
	m.answered, m.current, m.asked = m.Now(), true, true
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

// Leave notes that this host doesn't read the store any more.
func (m *Mirror) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current || !m.asked {
		m.lose()
	}
}

// fresh reports whether the host may vouch for what it has read. The mutex is held.
func (m *Mirror) fresh() bool {
	return m.current && m.Now()-m.answered <= m.Trust()
}

// firstWait is how long another host's question waits for this one's first answer of the
// store: where a zone starts, all of its hosts would else read the store themselves.
const firstWait = 80 * time.Millisecond

// ServeList is List for another host.
func (m *Mirror) ServeList(ctx context.Context) (Page, error) {
	m.awaitFirst(ctx, firstWait)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fresh() {
		return Page{}, ErrAway
	}
	p := Page{Revision: m.revision, Entries: make([]Entry, 0, len(m.entries))}
	for _, e := range m.entries {
		p.Entries = append(p.Entries, e)
	}
	slices.SortFunc(p.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return p, nil
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
		return Page{}, nil, ErrAway
	case after < m.floor:
		return Page{}, nil, ErrForgotten
	}
	p := Page{Revision: m.revision}
	for _, c := range m.recent {
		if c.page > after {
			p.Entries = append(p.Entries, c.Entry)
		}
	}
	return p, m.next(), nil
}
