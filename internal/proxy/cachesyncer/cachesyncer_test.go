package cachesyncer

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const errLost = errors.ConstError("store doesn't answer")

// store is one that answers from a list of names.
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

// put makes a change that the next waiting call returns.
func (s *store) put(e Entry) {
	s.revision++
	e.Revision = s.revision
	if e.Removed {
		e.Revision = 1 // the store may name that of the object's last change
	}
	s.pending = append(s.pending, e)
}

func newMirror(s *store) *Mirror {
	began := time.Now()
	return &Mirror{Store: s, TTL: func() time.Duration { return 2 * time.Second }, Now: func() time.Duration { return time.Since(began) }}
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

func TestMirrorServesWhatWasRead(t *testing.T) {
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

// A host asks before anything has changed. It is answered with the change as soon as there
// is one, and with nothing when its time is over.
func TestMirrorWakesWhoWaits(t *testing.T) {
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

// The host that reads the store loses it, or is paused and resumes unaware. Others that
// went on reading from it would serve by a configuration that isn't in force any more.
func TestMirrorDoesNotVouchForOldState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		s.err = errLost
		time.AfterFunc(100*time.Millisecond, func() { _, _ = m.Watch(t.Context(), 5, time.Second) })
		if _, err := m.ServeWatch(t.Context(), 5, time.Second); !errors.Is(err, ErrStale) {
			t.Errorf("after the store was lost: %v", err)
		}
		s.err = nil
		_, _ = m.List(t.Context())
		time.Sleep(m.TTL() + 1)
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) {
			t.Errorf("after a pause: %v", err)
		}
		m.ApplyRemoteList(Page{Revision: 9, Entries: []Entry{{Name: "b"}}})
		p, err := m.ServeList(t.Context())
		expect(t, "once the host reads elsewhere", p, err, "b")
		time.Sleep(remoteTrust + 1)
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) {
			t.Errorf("once the other host is silent: %v", err)
		}
	})
}

// The store drops its history. The host that reads it lists anew; if it sent the others of
// its zone away meanwhile, each of them would list at the store as well.
func TestForgottenHistorySendsNobodyAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		time.AfterFunc(300*time.Millisecond, func() {
			s.err = ErrCompacted
			_, _ = m.Watch(t.Context(), 5, time.Second)
			time.Sleep(10 * time.Millisecond) // until the store has answered
			s.err, s.revision, s.names = nil, 9, []string{"a", "b"}
			_, _ = m.List(t.Context())
		})
		if _, err := m.ServeWatch(t.Context(), 5, time.Second); !errors.Is(err, ErrCompacted) {
			t.Errorf("while the history is dropped: %v", err)
		}
		p, err := m.ServeList(t.Context())
		expect(t, "list after it", p, err, "a", "b")
	})
}

// More removals come than are kept. Whoever missed the first ones has to read the whole list.
func TestMirrorForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		for i := range maximumRemoved + 2 {
			s.put(Entry{Name: strconv.Itoa(i), Removed: true})
			_, _ = m.Watch(t.Context(), m.revision, time.Second)
		}
		if _, err := m.ServeWatch(t.Context(), 6, time.Second); !errors.Is(err, ErrCompacted) {
			t.Errorf("from a change that isn't kept: %v", err)
		}
		p, err := m.ServeWatch(t.Context(), 7, time.Second)
		if err != nil || len(p.Entries) != maximumRemoved {
			t.Errorf("%d changes, %v", len(p.Entries), err)
		}
		if len(m.objects) != maximumRemoved {
			t.Errorf("%d objects are kept", len(m.objects))
		}
	})
}

// network is what a selector reads from: hosts by name.
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
	x.Selector = Selector{
		Kind: "k", Mirror: newMirror(s), Remote: n,
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

func TestSelectorReadsByWayOfAnotherHost(t *testing.T) {
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
			t.Errorf("%d calls to the store, want the other host's 2", s.calls)
		}
	})
}

// The host that is read from ends without a word, or loses the store. The next one is read
// from, and the store itself where there is none: a change would stay unknown otherwise.
func TestSelectorGoesOnWithoutTheOtherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		away := newMirror(s)
		x := newSelection(s, network{"away": away, "too": newMirror(s)}, "gone", "away", "too", "silent", "never")
		p, err := x.List(t.Context())
		expect(t, "list", p, err, "a")
		// Three hosts haven't answered. Once no more are left either, the store is asked for
		// what has changed only.
		s.put(Entry{Name: "b"})
		p, err = x.Watch(t.Context(), 5, time.Second)
		expect(t, "changes in place of the hosts", p, err, "b")
		if s.lists != 1 {
			t.Errorf("%d lists of the store, want the first one", s.lists)
		}
		if !slices.Equal(x.failed, []string{"gone", "away", "too", "silent", "never"}) {
			t.Errorf("passed over %q", x.failed)
		}
		x.hosts = nil
		s.put(Entry{Name: "c"})
		p, err = x.Watch(t.Context(), 6, time.Second)
		expect(t, "changes of the store", p, err, "c")
		// From now on others may read from here.
		p, err = x.Mirror.ServeList(t.Context())
		expect(t, "list for others", p, err, "a", "b", "c")
	})
}

// The host to read from has no power, and doesn't even refuse the connection. A host that
// starts must not wait for it for long: its callers wait as long.
func TestSelectorDoesNotWaitForDarkHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		x := newSelection(s, network{}, "dark")
		x.Remote = darkness{}
		start := time.Now()
		p, err := x.List(t.Context())
		expect(t, "list of the store", p, err, "a")
		if d := time.Since(start); d > 100*time.Millisecond {
			t.Errorf("took %v", d)
		}
	})
}

// darkness is a network on which nobody answers.
type darkness struct{}

func (darkness) List(ctx context.Context, _ declarer.Host, _ string) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func (darkness) Watch(ctx context.Context, _ declarer.Host, _ string, _ uint64, _ time.Duration) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

// A host knows a server's leaving from the store, and turns to another host that hasn't
// heard of it yet. Taking over the older list would send work to the server again.
func TestSelectorNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 5, names: []string{"a"}}
		m := newMirror(s)
		_, _ = m.List(t.Context())
		s.revision, s.names = 9, []string{"a", "b"}
		x := newSelection(s, network{"h": m})
		p, err := x.List(t.Context())
		expect(t, "list of the store", p, err, "a", "b")
		x.hosts = []string{"h"}
		p, err = x.List(t.Context())
		expect(t, "list where the other host's is older", p, err, "a", "b")
		if len(x.failed) > 0 {
			t.Errorf("passed over %q, which has done nothing wrong", x.failed)
		}
	})
}

// A hundred hosts start and enter the store one after the other. A host that made a call
// for each would make a hundred. The first change of a row is known at once.
func TestChangesInARowAreGathered(t *testing.T) {
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
				t.Errorf("the first change is known after %v", time.Since(start))
			}
			at = p.Revision
		}
		// One list, three calls while the rest grows, and then one each 400 ms.
		if s.calls > 1+4+10_000/400 {
			t.Errorf("%d calls in 10 s", s.calls)
		}
	})
}

// A zone starts at once. Its hosts ask the one that reads the store before that has read
// it; sent away, each would read the store itself.
func TestMirrorIsWaitedForAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirror(&store{revision: 5, names: []string{"a"}})
		time.AfterFunc(firstWait-1, func() { _, _ = m.List(t.Context()) })
		p, err := m.ServeList(t.Context())
		expect(t, "list", p, err, "a")
		m = newMirror(&store{revision: 5, names: []string{"a"}})
		time.AfterFunc(500*time.Millisecond, func() { _, _ = m.List(t.Context()) })
		p, err = m.ServeWatch(t.Context(), 5, time.Second)
		expect(t, "changes", p, err)
		m = newMirror(&store{err: errLost})
		time.AfterFunc(firstWait/2, func() { _, _ = m.List(t.Context()) })
		start := time.Now()
		if _, err := m.ServeList(t.Context()); !errors.Is(err, ErrStale) || time.Since(start) != firstWait/2 {
			t.Errorf("a host that doesn't reach the store: %v after %v", err, time.Since(start))
		}
	})
}

// slowStore answers a watch piece by piece.
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

// A large answer takes longer to arrive than what was read before counts as current. Sent
// away, every host of the zone would ask the store for the same answer, over the same link.
func TestArrivingAnswerKeepsOthersFromTheStore(t *testing.T) {
	for name, x := range map[string]struct {
		pieces int
		want   error
	}{
		"for as long as the store is trusted": {pieces: 8},
		"not without end":                     {pieces: 20, want: ErrStale},
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
				time.Sleep(time.Second) // until it has arrived
				p, err := m.ServeWatch(t.Context(), 5, time.Second)
				expect(t, "change", p, err, "b")
			})
		})
	}
}

// The change of a configuration of a megabyte is kept once for other hosts, however often it
// changes: a change for each of the last would take all of a host's memory.
func TestMirrorKeepsTheLastChangeOfAnObject(t *testing.T) {
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

// Hosts read from each other in a row. The last one gets each change as soon as the first has
// it, without a call to the store of its own, and is told when the first has lost the store.
func TestChangesPassFromHostToHost(t *testing.T) {
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
			t.Errorf("known after %v", d)
		}
		s.err = errLost
		_, _ = first.Watch(t.Context(), 6, time.Second)
		if _, err := second.Watch(t.Context(), 6, time.Second); !errors.Is(err, errLost) {
			t.Errorf("where no host and no store is left: %v", err)
		}
		if _, err := third.Watch(t.Context(), 6, time.Second); !errors.Is(err, errLost) {
			t.Errorf("behind a host that has lost the store: %v", err)
		}
	})
}
