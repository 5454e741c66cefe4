package cachesyncer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
)

// silentStore doesn't answer long polls, or only the beginning of an answer if partial is set.
type silentStore struct {
	store
	partial bool
	polls   int
}

func (s *silentStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (Page, error) {
	s.polls++
	if s.partial {
		watchdog.Progress(ctx)
	}
	<-ctx.Done()
	return Page{}, ctx.Err()
}

// newSilentMirror returns the mirror of a store that has answered a list of objects a and b and answers
// no long poll. Object a was removed and c created since.
func newSilentMirror(t *testing.T) (*silentStore, *Mirror) {
	s := &silentStore{store: store{revision: 5, names: []string{"a", "b"}}}
	m := newMirror(&s.store)
	m.Store = s
	time.Sleep(time.Second)
	_, _ = m.List(t.Context())
	s.revision, s.names = 7, []string{"b", "c"}
	return s, m
}

// watchAll makes a watch call with the time limit of a follower.
func watchAll(t *testing.T, watch func(ctx context.Context, after uint64, wait time.Duration) (Page, error)) (Page, error) {
	const wait = 1600 * time.Millisecond
	ctx, cancel := watchdog.WithStallTimeout(t.Context(), wait+WatchSlack, StallTimeout)
	defer cancel()
	return watch(ctx, 5, wait)
}

// Guards against a change that stays unknown, to this host and to those that read through it, while the
// store leaves long polls without an answer.
func TestSilentLongPollIsReplacedByList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, m := newSilentMirror(t)
		reported := 0
		m.OnSilent = func() { reported++ }
		began := time.Now()
		go func() {
			for range 12 {
				time.Sleep(100 * time.Millisecond)
				if _, err := m.ServeWatch(t.Context(), 5, 0); err != nil {
					t.Errorf("another host got %v after %v", err, time.Since(began))
				}
			}
		}()
		p, err := watchAll(t, m.Watch)
		expect(t, "changes", p, err, "-a", "c")
		if d := time.Since(began); d >= m.TTL() {
			t.Errorf("changes after %v", d)
		}
		if p.Revision != 7 || reported != 1 {
			t.Errorf("revision %d, reported %d times", p.Revision, reported)
		}
		p, err = m.ServeWatch(t.Context(), 5, time.Second)
		expect(t, "changes for another host", p, err, "-a", "c")
		synctest.Wait()
	})
}

func TestListIsNotReadWithoutNeed(t *testing.T) {
	for name, c := range map[string]struct {
		prepare     func(*silentStore, *Mirror)
		behindStale bool
	}{
		"the answer has begun":          {prepare: func(s *silentStore, _ *Mirror) { s.partial = true }},
		"the last call wasn't answered": {prepare: func(_ *silentStore, m *Mirror) { m.RecordLost() }},
		"an upstream host has lost the store": {
			prepare:     func(_ *silentStore, m *Mirror) { m.ApplyRemoteChanges(Page{Revision: 5}) },
			behindStale: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, m := newSilentMirror(t)
				c.prepare(s, m)
				_, err := watchAll(t, func(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
					return m.watch(ctx, after, wait, c.behindStale)
				})
				if err == nil || s.lists != 1 || s.polls != 1 {
					t.Errorf("%d lists, %d long polls, %v", s.lists, s.polls, err)
				}
				if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) {
					t.Errorf("list for another host: %v", err)
				}
			})
		})
	}
}

// Guards against a host that takes a store for lost later than before, since it waits for two calls.
func TestSilentStoreIsLostInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newSilentMirror(t)
		s.err = errLost
		began := time.Now()
		if _, err := watchAll(t, m.Watch); !errors.Is(err, errLost) {
			t.Errorf("got %v", err)
		}
		if d := time.Since(began); d > m.TTL() {
			t.Errorf("lost after %v", d)
		}
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) {
			t.Errorf("list for another host: %v", err)
		}
	})
}

// deafStore doesn't answer at all.
type deafStore struct{ silentStore }

func (s *deafStore) List(ctx context.Context) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

// Guards against a call that hangs for as long as a long poll may last, though it isn't one or the long poll has ended.
func TestCallsToSilentStoreEndInTime(t *testing.T) {
	const wait = 15 * time.Second
	for name, c := range map[string]struct {
		prepare func(m *Mirror)
		want    time.Duration
	}{
		"after a failure":              {func(m *Mirror) { m.RecordLost() }, checkTimeout},
		"after another host's answer":  {func(m *Mirror) { m.ApplyRemoteChanges(Page{Revision: 5}) }, storeCheckWait + WatchSlack + listReserve},
		"long poll and list":           {func(*Mirror) {}, wait + WatchSlack},
		"failure after another host's": {func(m *Mirror) { m.ApplyRemoteChanges(Page{Revision: 5}); m.RecordLost() }, checkTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, m := newSilentMirror(t)
				m.Store = &deafStore{silentStore: *s}
				c.prepare(m)
				ctx, cancel := watchdog.WithStallTimeout(t.Context(), wait+WatchSlack, StallTimeout)
				defer cancel()
				began := time.Now()
				if _, err := m.Watch(ctx, 5, wait); err == nil {
					t.Error("silent store has answered")
				}
				if d := time.Since(began); d > c.want {
					t.Errorf("ended after %v, want %v", d, c.want)
				}
			})
		})
	}
}

// outageStore leaves the calls that are made while it is away without an answer, and those in progress then.
type outageStore struct {
	store
	mu   sync.Mutex
	lost chan struct{}
}

// leave takes the store away.
func (s *outageStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.lost)
}

// comeBack brings the store back with object b.
func (s *outageStore) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = make(chan struct{})
	s.revision, s.names = 6, append(s.names, "b")
}

// outage returns a channel that is closed when the store is away.
func (s *outageStore) outage() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *outageStore) List(ctx context.Context) (Page, error) {
	select {
	case <-s.outage():
		<-ctx.Done()
		return Page{}, ctx.Err()
	default:
		return s.store.List(ctx)
	}
}

func (s *outageStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	lost := s.outage()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-lost:
		<-ctx.Done()
		return Page{}, ctx.Err()
	case <-t.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Revision: s.revision}
	if s.revision > after {
		p.Entries = []Entry{{Name: "b", Revision: s.revision}}
	}
	return p, nil
}

// Guards against a change that stays unknown until the end of a long poll that the store has lost in an outage, though
// other calls have been answered since, and against a host that calls itself lost meanwhile.
func TestLongPollFromBeforeOutageIsMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 15 * time.Second
		s := &outageStore{store: store{revision: 5, names: []string{"a"}}, lost: make(chan struct{})}
		long := newSelection(&s.store, network{})
		short := newSelection(&s.store, network{})
		long.Mirror.Store, short.Mirror.Store = s, s
		long.Mirror.TTL = func() time.Duration { return wait + WatchSlack }
		short.Holder = long.Holder
		time.Sleep(time.Second)
		_, _ = long.List(t.Context())
		_, _ = short.List(t.Context())
		began := time.Now()
		time.AfterFunc(500*time.Millisecond, s.leave)
		time.AfterFunc(2500*time.Millisecond, s.comeBack)
		time.AfterFunc(0, func() {
			for range 10 {
				_, _ = short.Watch(t.Context(), 5, time.Second)
			}
		})
		p, err := long.Watch(t.Context(), 5, wait)
		expect(t, "changes", p, err, "b")
		if d := time.Since(began); d > 2500*time.Millisecond+2*checkTimeout {
			t.Errorf("changes after %v", d)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a list that is older than what is known: its changes would bring removed objects back.
func TestOlderListInPlaceOfLongPollIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newSilentMirror(t)
		s.revision = 4
		if _, err := watchAll(t, m.Watch); !errors.Is(err, errOlderList) {
			t.Errorf("got %v", err)
		}
	})
}

// The changes to a list, applied to any state, give the list.
func TestChangesToListGiveList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := rapid.MapOf(rapid.StringMatching("[a-f]"), rapid.Uint64Range(1, 3))
		page := func(revision uint64, l map[string]uint64) Page {
			p := Page{Revision: revision}
			for _, n := range slices.Sorted(maps.Keys(l)) {
				p.Entries = append(p.Entries, Entry{Name: n, Revision: l[n]})
			}
			return p
		}
		var h history
		h.replaceAll(page(5, objects.Draw(t, "before")))
		for n := range objects.Draw(t, "removed") {
			h.addChanges(Page{Revision: 6, Entries: []Entry{{Name: n, Revision: 1, Removed: true}}})
		}
		want := page(9, objects.Draw(t, "list"))
		h.addChanges(h.changesTo(want))
		if got := h.listObjects(); !slices.EqualFunc(got, want.Entries, func(a, b Entry) bool { return a.Name == b.Name && a.Revision == b.Revision }) {
			t.Fatalf("got %v, want %v", got, want.Entries)
		}
		if again := h.changesTo(want); len(again.Entries) > 0 || h.revision != 9 {
			t.Fatalf("changes to the same list: %v at %d", again.Entries, h.revision)
		}
	})
}
