package runner

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// scriptedSource gives answers in order. A call after the last answer waits until its context ends.
type scriptedSource struct {
	answers []answer
	calls   []string
	// called is when each call was made.
	called []time.Time
}

type answer struct {
	list []string
	at   uint64
	err  error
}

func (a answer) changes() []Change[string] {
	var l []Change[string]
	for _, v := range a.list {
		l = append(l, Change[string]{Name: v, Value: v})
	}
	return l
}

func (s *scriptedSource) next(ctx context.Context, call string) answer {
	s.calls, s.called = append(s.calls, call), append(s.called, time.Now())
	if len(s.answers) == 0 {
		<-ctx.Done()
		return answer{err: ctx.Err()}
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a
}

func (s *scriptedSource) List(ctx context.Context) ([]Change[string], uint64, error) {
	a := s.next(ctx, "list")
	return a.changes(), a.at, a.err
}

func (s *scriptedSource) Watch(ctx context.Context, after uint64, _ time.Duration) ([]Change[string], uint64, error) {
	a := s.next(ctx, "watch "+time.Duration(after).String())
	return a.changes(), a.at, a.err
}

// Guards against a missed change: the store discards its history while a change is made, so that a
// follower which goes on from the old revision never receives that change. It must list again.
func TestFollowerListsAnewAfterForgetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{answers: []answer{
			{err: errors.New("away")},
			{list: []string{"a"}, at: 5},
			{list: []string{"b"}, at: 7},
			{err: errors.New("away")},
			{err: cachesyncer.ErrCompacted},
			{list: []string{"a", "c"}, at: 20},
		}}
		var seen []string
		f := &follower[string]{
			name: "test", source: s, gate: &gate{}, onAnswer: func() {}, wait: constant(1800 * time.Millisecond), log: discardLog, onLost: func(string) {},
			reset: func(l []string) { seen = append(append(seen, "all"), l...) },
			apply: func(l []Change[string]) { seen = append(seen, l[0].Value) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if want := []string{"all", "a", "b", "all", "a", "c"}; !slices.Equal(seen, want) {
			t.Errorf("seen %q, want %q", seen, want)
		}
		if want := []string{"list", "list", "watch 5ns", "watch 7ns", "watch 7ns", "list", "watch 20ns"}; !slices.Equal(s.calls, want) {
			t.Errorf("calls %q, want %q", s.calls, want)
		}
	})
}

// Guards against a change that is read late: the store answers again, but has discarded its history, and the list
// waits for the pause between calls to a store that doesn't answer.
func TestFollowerListsAtOnceAfterForgetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		away := answer{err: errors.New("away")}
		s := &scriptedSource{answers: []answer{{at: 5}, away, away, away, away, {err: cachesyncer.ErrCompacted}, {at: 20}}}
		f := &follower[string]{name: "test", source: s, gate: &gate{}, onAnswer: func() {}, wait: constant(time.Second), log: discardLog, onLost: func(string) {}, reset: func([]string) {}, apply: func([]Change[string]) {}}
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		if len(s.calls) < 7 || s.calls[6] != "list" {
			t.Fatalf("calls %q", s.calls)
		}
		if pause := s.called[6].Sub(s.called[5]); pause > 0 {
			t.Errorf("the list is read %v after the store has answered", pause)
		}
	})
}

// Guards against a watch that stalls: its connection stays open and no data arrives. A change made
// meanwhile must be in force within three seconds of its acknowledgement, so the watch must time
// out before that.
func TestSilentWatchIsGivenUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{answers: []answer{{at: 5}}}
		f := &follower[string]{name: "test", source: s, gate: &gate{}, onAnswer: func() {}, wait: constant(1800 * time.Millisecond), log: discardLog, onLost: func(string) {}, reset: func([]string) {}, apply: func([]Change[string]) {}}
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		time.Sleep(2900 * time.Millisecond)
		cancel()
		synctest.Wait()
		if len(s.calls) < 3 {
			t.Errorf("calls %q in 2.9 s, want a second watch", s.calls)
		}
	})
}

// Guards against a loss of the platform that is logged and counted because the host stops.
func TestStopIsNoLossOfPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost []string
		s := &scriptedSource{answers: []answer{{at: 5}}}
		f := &follower[string]{name: "test", source: s, gate: &gate{}, onAnswer: func() {}, wait: constant(time.Second), log: discardLog, onLost: func(n string) { lost = append(lost, n) }, reset: func([]string) {}, apply: func([]Change[string]) {}}
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		time.Sleep(100 * time.Millisecond)
		cancel()
		synctest.Wait()
		if len(lost) > 0 {
			t.Errorf("lost: %q", lost)
		}
	})
}

// Guards against the loss of healthy servers: while the store is unavailable, entries of servers
// lapse, and they are back soon after its return. If the servers were removed at once, callers
// would have none.
func TestLapsedServersAreRetainedTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var now []string
		c := &catalogue{publish: func(l []declarer.Server) {
			now = nil
			for _, s := range l {
				now = append(now, s.ID)
			}
			slices.Sort(now)
		}}
		a, b := declarer.Server{ID: "a"}, declarer.Server{ID: "b"}
		c.reset([]declarer.Server{a, b})
		c.reset([]declarer.Server{})
		if want := []string{"a", "b"}; !slices.Equal(now, want) {
			t.Errorf("servers %q at once, want %q", now, want)
		}
		b.Revision = 9
		c.apply([]Change[declarer.Server]{{Name: "b", Value: b}})
		time.Sleep(lapsedServerRetention + time.Millisecond)
		synctest.Wait()
		if want := []string{"b"}; !slices.Equal(now, want) {
			t.Errorf("servers %q after the retention, want %q", now, want)
		}
		c.apply([]Change[declarer.Server]{{Name: "b", Removed: true}})
		if len(now) != 0 {
			t.Errorf("servers %q after a removal", now)
		}
	})
}
