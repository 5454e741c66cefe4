package cachesyncer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// isFresh reports whether the mirror's data counts as current. The mutex is held.
func (m *Mirror) isFresh() bool {
	return m.current && !m.unconfirmed && m.Now()-m.lastAnswer <= m.ttl
}

// peerResultWait is how long a request of another host waits for this host's first answer from
// the store, or for the one that confirms what it has. When a zone starts or loses the host that it reads through, all of
// its hosts would otherwise read from the store.
const peerResultWait = 250 * time.Millisecond

// ServeList returns all objects to another host, or ErrStale.
func (m *Mirror) ServeList(ctx context.Context) (Page, error) {
	m.awaitResult(ctx, peerResultWait)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isFresh() {
		return Page{}, ErrStale
	}
	return Page{Revision: m.revision, Entries: m.listObjects()}, nil
}

// awaitResult waits until a call to the store was answered or has failed, if it is the first one or the one that
// confirms what was read before.
func (m *Mirror) awaitResult(ctx context.Context, wait time.Duration) {
	m.mu.Lock()
	known, changed := m.attempted && !m.unconfirmed, m.nextChange()
	m.mu.Unlock()
	if known {
		return
	}
	_ = scheduler.Await(ctx, changed, wait) // the caller looks at what there is
}

// nextChange returns a channel that is closed by the next notify. The mutex is held.
func (m *Mirror) nextChange() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// ServeWatch waits for changes on behalf of another host. It returns ErrStale or ErrCompacted
// if it can't serve them.
func (m *Mirror) ServeWatch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	m.awaitResult(ctx, max(wait, peerResultWait))
	t := time.NewTimer(wait)
	defer t.Stop()
	for over := false; ; {
		p, changed, err := m.changesSince(after)
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

// changesSince returns the changes after the revision, and a channel that is closed at the next
// change.
func (m *Mirror) changesSince(after uint64) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.isFresh():
		return Page{}, nil, ErrStale
	case after < m.compactedPage:
		return Page{}, nil, ErrCompacted
	}
	p := Page{Revision: m.revision, Entries: m.changesAfter(after)}
	if len(p.Entries) == 0 {
		p.AgeMilliseconds = m.ageMilliseconds()
	}
	return p, m.nextChange(), nil
}

// ageMilliseconds returns how long ago the store confirmed what the mirror holds, or began an answer that is still
// arriving: nobody who asked now would have that sooner. The mutex is held.
func (m *Mirror) ageMilliseconds() int64 {
	if m.receivingSince > 0 {
		return 1
	}
	return max(1, (m.Now() - m.confirmed).Milliseconds())
}

// Value returns an object's value as last read, nil if the object does not exist.
func (m *Mirror) Value(name string) json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[name].Value
}
