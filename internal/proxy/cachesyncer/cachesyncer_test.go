package cachesyncer

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// checkTimeout is how long a call to the store may take after a failure.
const checkTimeout = 1500 * time.Millisecond

const errLost = errors.ConstError("store doesn't answer")

// store answers from a list of names.
type store struct {
	revision uint64
	names    []string
	pending  []Entry
	err      error
	calls    int
	lists    int
}

func (s *store) List(context.Context) (Page, error) {
	s.calls++
	s.lists++
	p := Page{Revision: s.revision}
	for _, n := range s.names {
		p.Entries = append(p.Entries, Entry{Name: n, Revision: 1})
	}
	return p, s.err
}

func (s *store) Watch(ctx context.Context, _ uint64, wait time.Duration) (Page, error) {
	s.calls++
	if len(s.pending) == 0 && s.err == nil {
		time.Sleep(wait)
	}
	p := Page{Entries: s.pending, Revision: s.revision}
	s.pending = nil
	return p, s.err
}

// put adds a change that the next call to Watch returns.
func (s *store) put(e Entry) {
	s.revision++
	e.Revision = s.revision
	if e.Removed {
		e.Revision = 1 // the store may report the revision of the last modification
	}
	s.pending = append(s.pending, e)
}

func newMirror(s *store) *Mirror {
	began := time.Now()
	return &Mirror{Store: s, TTL: func() time.Duration { return 2 * time.Second }, CheckTimeout: func() time.Duration { return checkTimeout }, Now: func() time.Duration { return time.Since(began) }}
}

func names(p Page) []string {
	var l []string
	for _, e := range p.Entries {
		n := e.Name
		if e.Removed {
			n = "-" + n
		}
		l = append(l, n)
	}
	return l
}

func expect(t *testing.T, what string, p Page, err error, want ...string) {
	t.Helper()
	if err != nil || !slices.Equal(names(p), want) {
		t.Errorf("%s: got %q %v, want %q", what, names(p), err, want)
	}
}

func TestMirrorServesReadObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"b", "a"}}
		m := newMirror(s)
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) {
			t.Errorf("before the first list: %v", err)
		}
		_, _ = m.List(t.Context())
		p, err := m.ServeList(t.Context())
		expect(t, "list", p, err, "a", "b")
		s.put(Entry{Name: "c"})
		s.put(Entry{Name: "a", Removed: true})
		_, _ = m.Watch(t.Context(), 5, time.Second)
		p, err = m.ServeWatch(t.Context(), 5, time.Second)
		expect(t, "changes", p, err, "c", "-a")
		if p.Revision != 7 {
			t.Errorf("revision %d, want 7", p.Revision)
		}
		p, err = m.ServeList(t.Context())
		expect(t, "list after the changes", p, err, "b", "c")
		if _, err := m.ServeWatch(t.Context(), 4, time.Second); !errors.Is(err, ErrCompacted) {
			t.Errorf("changes from before the list: %v", err)
		}
	})
}

// A request for changes that arrives before there is one must be answered as soon as there is a
// change, and with an empty page when its time is over.
func TestServeWatchReturnsOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, func() {
			s.put(Entry{Name: "c"})
			_, _ = m.Watch(t.Context(), 5, time.Second)
		})
		p, err := m.ServeWatch(t.Context(), 5, time.Second)
		expect(t, "change", p, err, "c")
		if d := time.Since(start); d != 300*time.Millisecond {
			t.Errorf("answered after %v", d)
		}
		p, err = m.ServeWatch(t.Context(), 6, time.Second)
		expect(t, "no change", p, err)
	})
}

// Guards against serving stale data: the host that reads the store loses its connection to it,
// or is suspended and resumes without detecting it. Hosts that continued to read from it would
// use a configuration that is out of date.
func TestMirrorDoesNotServeStaleData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		s.err = errLost
		time.AfterFunc(100*time.Millisecond, func() { _, _ = m.Watch(t.Context(), 5, time.Second) })
		if _, err := m.ServeWatch(t.Context(), 5, time.Second); !errors.Is(err, ErrStale) {
			t.Errorf("after the store became unreachable: %v", err)
		}
		s.err = nil
		_, _ = m.List(t.Context())
		time.Sleep(m.TTL() + 1)
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) {
			t.Errorf("after a suspension: %v", err)
		}
		m.ApplyRemoteList(Page{Revision: 9, Entries: []Entry{{Name: "b"}}})
		p, err := m.ServeList(t.Context())
		expect(t, "after reading from another host", p, err, "b")
		time.Sleep(remoteTTL + 1)
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) {
			t.Errorf("after the other host stopped answering: %v", err)
		}
	})
}

// Guards against a host that others take for one without the store until its first long poll after an
// outage ends, though the store has been back for seconds.
func TestMirrorIsCurrentSoonAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		m.RecordLost()
		began := time.Now()
		_, err := m.Watch(t.Context(), 5, 10*time.Second)
		if d := time.Since(began); err != nil || d > storeCheckWait {
			t.Errorf("first long poll after an outage answered after %v: %v", d, err)
		}
		if _, err := m.ServeWatch(t.Context(), 5, 0); err != nil {
			t.Errorf("another host is answered: %v", err)
		}
	})
}

// Guards against a stampede: the store compacts its history, and the host that reads it has to
// list again. If it reported itself stale meanwhile, every host of its zone would list at the
// store as well.
func TestCompactedHistoryDoesNotMakeMirrorStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		time.AfterFunc(300*time.Millisecond, func() {
			s.err = ErrCompacted
			_, _ = m.Watch(t.Context(), 5, time.Second)
			time.Sleep(10 * time.Millisecond) // the store takes this long to answer
			s.err, s.revision, s.names = nil, 9, []string{"a", "b"}
			_, _ = m.List(t.Context())
		})
		if _, err := m.ServeWatch(t.Context(), 5, time.Second); !errors.Is(err, ErrCompacted) {
			t.Errorf("while the history is compacted: %v", err)
		}
		p, err := m.ServeList(t.Context())
		expect(t, "list after the compaction", p, err, "a", "b")
	})
}

// More objects are removed than are retained. A reader that missed the first removals has to
// read the whole list.
func TestMirrorBoundsRetainedRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		for i := range maximumRemoved + 2 {
			s.put(Entry{Name: strconv.Itoa(i), Removed: true})
			_, _ = m.Watch(t.Context(), m.revision, time.Second)
		}
		if _, err := m.ServeWatch(t.Context(), 6, time.Second); !errors.Is(err, ErrCompacted) {
			t.Errorf("from a change that is not retained: %v", err)
		}
		p, err := m.ServeWatch(t.Context(), 7, time.Second)
		if err != nil || len(p.Entries) != maximumRemoved {
			t.Errorf("%d changes, %v", len(p.Entries), err)
		}
		if len(m.objects) != maximumRemoved {
			t.Errorf("%d objects are retained", len(m.objects))
		}
	})
}

// network is the Remote that a selector reads from: the mirrors of hosts by name.
type network map[string]*Mirror

func (n network) List(ctx context.Context, h declarer.Host, _ string) (Page, error) {
	if n[h.Name] == nil {
		return Page{}, errLost
	}
	return n[h.Name].ServeList(ctx)
}

func (n network) Watch(ctx context.Context, h declarer.Host, _ string, after uint64, wait time.Duration) (Page, error) {
	if n[h.Name] == nil {
		return Page{}, errLost
	}
	return n[h.Name].ServeWatch(ctx, after, wait)
}

// selection is a selector with the hosts that it may read from, in order.
type selection struct {
	Selector
	hosts  []string
	failed []string
}

func newSelection(s *store, n network, hosts ...string) *selection {
	x := &selection{hosts: hosts}
	m := newMirror(s)
	x.Selector = Selector{
		Kind: "k", Mirror: m, Remote: n, Holder: newHolder(manyHosts, m.Now),
		Host: func(string) (declarer.Host, bool) {
			for _, h := range x.hosts {
				if !slices.Contains(x.failed, h) {
					return declarer.Host{Name: h}, true
				}
			}
			return declarer.Host{}, false
		},
		Failed: func(h declarer.Host, _ string, _ error) { x.failed = append(x.failed, h.Name) },
	}
	return x
}

// run watches until ctx ends.
func (x *selection) run(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		p, _ := x.Watch(ctx, revision, time.Minute)
		revision = max(revision, p.Revision)
	}
}

func TestSelectorReadsThroughAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		x := newSelection(s, network{"h": m}, "h")
		p, err := x.List(t.Context())
		expect(t, "list", p, err, "a")
		s.put(Entry{Name: "c"})
		_, _ = m.Watch(t.Context(), 5, time.Second)
		p, err = x.Watch(t.Context(), p.Revision, 3*time.Second)
		expect(t, "changes", p, err, "c")
		if s.calls != 2 {
			t.Errorf("%d calls to the store, want the 2 of the other host", s.calls)
		}
	})
}

// Guards against a change that stays unknown: the host that is read from crashes, or loses its
// connection to the store. The selector has to continue with the next host, and with the store
// if there is none.
func TestSelectorFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		away := newMirror(s)
		x := newSelection(s, network{"away": away, "too": newMirror(s)}, "gone", "away", "too", "silent", "never")
		p, err := x.List(t.Context())
		expect(t, "list", p, err, "a")
		// Three hosts have failed to answer. When none is left, only the changes are requested
		// from the store.
		s.put(Entry{Name: "b"})
		p, err = x.Watch(t.Context(), 5, time.Second)
		expect(t, "changes from the store after the hosts failed", p, err, "b")
		if s.lists != 1 {
			t.Errorf("%d lists read from the store, want 1", s.lists)
		}
		if !slices.Equal(x.failed, []string{"gone", "away", "too", "silent", "never"}) {
			t.Errorf("failed hosts %q", x.failed)
		}
		x.hosts = nil
		s.put(Entry{Name: "c"})
		p, err = x.Watch(t.Context(), 6, time.Second)
		expect(t, "changes from the store", p, err, "c")
		// From now on other hosts may read from this one.
		p, err = x.Mirror.ServeList(t.Context())
		expect(t, "list served to other hosts", p, err, "a", "b", "c")
	})
}

// Guards against a slow start: the host to read from has no power and does not even refuse the
// connection. While a starting host waits for it, its own callers wait too.
func TestSelectorBoundsWaitForUnresponsiveHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		x := newSelection(s, network{}, "dark")
		x.Remote = darkness{}
		start := time.Now()
		p, err := x.List(t.Context())
		expect(t, "list from the store", p, err, "a")
		if d := time.Since(start); d > 100*time.Millisecond {
			t.Errorf("took %v", d)
		}
	})
}

// Guards against a host that has lost the store and asks it a second later than it could, since it waits for changes at
// one that doesn't answer either.
func TestLostHostWaitsForNoChangesAtOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		x := newSelection(s, network{}, "dark", "dark too", "dark as well")
		x.Remote = darkness{}
		time.Sleep(time.Second)
		x.Mirror.RecordLost()
		start := time.Now()
		_, err := x.Watch(t.Context(), 5, 3*time.Second)
		if d := time.Since(start); err != nil || d > maximumRemotes*remoteConnectTimeout+storeCheckWait {
			t.Errorf("store read after %v: %v", d, err)
		}
	})
}

// darkness is a network on which no host answers.
type darkness struct{}

func (darkness) List(ctx context.Context, _ declarer.Host, _ string) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func (darkness) Watch(ctx context.Context, _ declarer.Host, _ string, _ uint64, _ time.Duration) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

// Guards against reverting to older data: a host has read from the store that a server leaves,
// and turns to another host whose list is older. With that list it would send statements to the
// server again.
func TestSelectorRejectsOlderList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		s.revision, s.names = 9, []string{"a", "b"}
		x := newSelection(s, network{"h": m})
		p, err := x.List(t.Context())
		expect(t, "list from the store", p, err, "a", "b")
		x.hosts = []string{"h"}
		p, err = x.List(t.Context())
		expect(t, "list while the other host has an older one", p, err, "a", "b")
		if len(x.failed) > 0 {
			t.Errorf("host %q was marked as failed", x.failed)
		}
	})
}

// Guards against one call per change: a hundred hosts start and register one after the other.
// The changes must be combined, but the first one of the series must be delivered at once.
func TestFrequentChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5}
		m := newMirror(s)
		m.MinimumPause, m.MaximumPause = 50*time.Millisecond, 400*time.Millisecond
		_, _ = m.List(t.Context())
		start := time.Now()
		at := uint64(5)
		for time.Since(start) < 10*time.Second {
			s.put(Entry{Name: "a"})
			p, err := m.Watch(t.Context(), at, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if at == 5 && time.Since(start) > 0 {
				t.Errorf("the first change was delivered after %v", time.Since(start))
			}
			at = p.Revision
		}
		// One list, three calls while the pause grows, and then one every 400 ms.
		if s.calls > 1+4+10_000/400 {
			t.Errorf("%d calls in 10 s", s.calls)
		}
	})
}

// Guards against a stampede at the start of a zone: its hosts request data from the one that
// reads the store before it has done so. If they were refused, each would read from the store.
func TestMirrorIsAwaitedAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirror(&store{revision: 5, names: []string{"a"}})
		time.AfterFunc(peerResultWait-1, func() { _, _ = m.List(t.Context()) })
		p, err := m.ServeList(t.Context())
		expect(t, "list", p, err, "a")
		m = newMirror(&store{revision: 5, names: []string{"a"}})
		time.AfterFunc(500*time.Millisecond, func() { _, _ = m.List(t.Context()) })
		p, err = m.ServeWatch(t.Context(), 5, time.Second)
		expect(t, "changes", p, err)
		m = newMirror(&store{err: errLost})
		time.AfterFunc(peerResultWait/2, func() { _, _ = m.List(t.Context()) })
		start := time.Now()
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) || time.Since(start) != peerResultWait/2 {
			t.Errorf("mirror of a host that does not reach the store: %v after %v", err, time.Since(start))
		}
	})
}

// slowStore answers a watch in pieces.
type slowStore struct {
	store
	pieces int
}

func (s *slowStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	for range s.pieces {
		time.Sleep(500 * time.Millisecond)
		watchdog.Progress(ctx)
	}
	return s.store.Watch(ctx, after, wait)
}

// Guards against a stampede during a large answer, which takes longer to arrive than earlier
// data counts as current. If the mirror were stale meanwhile, every host of the zone would
// request the same answer from the store over the same link.
func TestMirrorStaysFreshDuringLargeAnswer(t *testing.T) {
	for name, x := range map[string]struct {
		pieces int
		want   error
	}{
		"answer that arrives within the extended TTL": {pieces: 8},
		"answer that takes longer":                    {pieces: 20, want: ErrStale},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowStore{pieces: x.pieces, store: store{revision: 5, names: []string{"a"}}}
				m := newMirror(&s.store)
				m.Store = s
				_, _ = m.List(t.Context())
				s.put(Entry{Name: "b"})
				done := time.AfterFunc(0, func() { _, _ = m.Watch(t.Context(), 5, 0) })
				defer done.Stop()
				var err error
				for range x.pieces - 1 {
					time.Sleep(500 * time.Millisecond)
					if _, e := m.ServeWatch(t.Context(), 5, 0); e != nil {
						err = e
					}
				}
				if !errors.Is(err, x.want) {
					t.Errorf("while the answer arrives: %v, want %v", err, x.want)
				}
				time.Sleep(time.Second) // until the answer has arrived
				p, err := m.ServeWatch(t.Context(), 5, time.Second)
				expect(t, "change", p, err, "b")
			})
		})
	}
}

// Guards against memory exhaustion: a configuration of a megabyte changes often. Only its last
// change may be retained for other hosts.
func TestMirrorRetainsOneChangePerObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		for range 600 {
			s.put(Entry{Name: "main"})
			_, _ = m.Watch(t.Context(), m.revision, time.Second)
		}
		p, err := m.ServeWatch(t.Context(), 5, time.Second)
		expect(t, "changes", p, err, "main")
		if p.Entries[0].Revision != 605 || len(m.objects) != 1 {
			t.Errorf("revision %d, %d objects", p.Entries[0].Revision, len(m.objects))
		}
	})
}

// Guards against a loss that a chain of hosts learns of one after the other: each would take what the one before it had
// read for current until that one's own call to the store has failed.
func TestUnconfirmedDataIsNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		answer time.Duration
		want   error
	}{
		"the store answers":          {answer: peerResultWait / 2},
		"the store is silent":        {answer: time.Hour, want: ErrStale},
		"the store answers too late": {answer: 2 * peerResultWait, want: ErrStale},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &lateStore{store: store{revision: 5, names: []string{"a"}}, answer: c.answer}
				away := newMirror(&s.store)
				x := newSelection(&s.store, network{"away": away}, "away")
				x.Mirror.Store = s
				time.Sleep(time.Second)
				_, _ = away.List(t.Context())
				_, _ = x.List(t.Context())
				away.RecordLost()
				s.put(Entry{Name: "b"})
				time.AfterFunc(0, func() { _, _ = x.Watch(t.Context(), 5, time.Second) })
				time.Sleep(time.Millisecond)
				began := time.Now()
				p, err := x.Mirror.ServeWatch(t.Context(), 5, 0)
				if !errors.Is(err, c.want) || time.Since(began) > peerResultWait {
					t.Errorf("%v after %v, want %v", err, time.Since(began), c.want)
				}
				if c.want == nil {
					expect(t, "changes", p, err, "b")
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a host that believes others which have read through the same lost host as it has, and learn of the loss
// later, one after the other.
func TestHostBelievesOnlyNewerConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		confirm   func(ctx context.Context, x *Mirror)
		fromStore bool
	}{
		"of the lost host": {func(context.Context, *Mirror) {}, true},
		"of the store":     {func(ctx context.Context, x *Mirror) { _, _ = x.Watch(ctx, 5, 0) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{revision: 5, names: []string{"a"}}
				lost := newMirror(s)
				n := network{"lost": lost}
				other, x := newSelection(s, n, "lost"), newSelection(s, n, "lost", "other")
				n["other"] = other.Mirror
				time.Sleep(time.Second)
				_, _ = lost.List(t.Context())
				for _, y := range []*selection{other, x} {
					_, _ = y.List(t.Context())
					_, _ = y.Watch(t.Context(), 5, 0)
				}
				time.Sleep(500 * time.Millisecond)
				c.confirm(t.Context(), other.Mirror)
				lost.RecordLost()
				before := s.calls
				if _, err := x.Watch(t.Context(), 5, time.Second); err != nil {
					t.Error(err)
				}
				if asked := s.calls > before; asked != c.fromStore {
					t.Errorf("store asked %t, want %t", asked, c.fromStore)
				}
			})
		})
	}
}

// lateStore answers watch calls after a time.
type lateStore struct {
	store
	answer time.Duration
}

func (s *lateStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	if err := scheduler.Pause(ctx, s.answer); err != nil {
		return Page{}, err
	}
	return s.store.Watch(ctx, after, wait)
}

// Hosts read from each other in a chain. The last one must get each change as soon as the first
// has it, without calling the store, and must get an error when the first loses the store.
func TestChangesPropagateThroughChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		first := newMirror(s)
		_, _ = first.List(t.Context())
		second := newSelection(&store{err: errLost}, network{"first": first}, "first")
		third := newSelection(&store{err: errLost}, network{"second": second.Mirror}, "second")
		_, _ = second.List(t.Context())
		p, err := third.List(t.Context())
		expect(t, "list", p, err, "a")
		time.AfterFunc(300*time.Millisecond, func() {
			s.put(Entry{Name: "c"})
			_, _ = first.Watch(t.Context(), 5, time.Second)
		})
		time.AfterFunc(0, func() { _, _ = second.Watch(t.Context(), 5, time.Second) })
		start := time.Now()
		p, err = third.Watch(t.Context(), 5, time.Second)
		expect(t, "change", p, err, "c")
		if d := time.Since(start); d != 300*time.Millisecond {
			t.Errorf("change delivered after %v", d)
		}
		s.err = errLost
		_, _ = first.Watch(t.Context(), 6, time.Second)
		if _, err := second.Watch(t.Context(), 6, time.Second); !errors.Is(err, errLost) {
			t.Errorf("with neither host nor store: %v", err)
		}
		if _, err := third.Watch(t.Context(), 6, time.Second); !errors.Is(err, errLost) {
			t.Errorf("behind a host that lost the store: %v", err)
		}
	})
}
