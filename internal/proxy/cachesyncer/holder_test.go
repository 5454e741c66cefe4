package cachesyncer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// manyAhead is the number of hosts ahead of one that leaves it to others to check the store.
func manyAhead() int { return promptCheckers + 1 }

// report records the result of a call that begins and ends now.
func report(h *Holder, answered bool) {
	now := h.Now()
	h.end(&call{kind: "k", began: now}, answered, now)
}

// Guards against a change that stays unknown for longer than it may after an outage of the store, as the host that
// this one reads through is cut off when the store is back.
func TestFirstHostsCheckStoreSoon(t *testing.T) {
	const within = 3 * time.Second
	for ahead, soon := range map[int]bool{1: true, 2: true, promptCheckers: true, promptCheckers + 1: false} {
		for range 100 {
			now := time.Minute
			h := &Holder{Now: func() time.Duration { return now }, HostsAhead: func() int { return ahead }}
			h.recordStale("a")
			report(h, false)
			for range within / time.Second {
				now += time.Second
				h.recordStale("a")
			}
			if held := h.holds(); held == soon {
				t.Fatalf("%d hosts ahead: held back %t after %s", ahead, held, within)
			}
		}
	}
}

// Guards against a host that waits after the store's return since its last call, made long before, has ended only
// now.
func TestHoldCountsFromRequest(t *testing.T) {
	now := time.Minute
	h := &Holder{Now: func() time.Duration { return now }, HostsAhead: func() int { return 1 }}
	h.recordStale("a")
	c := h.begin(t.Context(), "k")
	for range 4 {
		now += time.Second
		h.recordStale("a")
	}
	h.end(c, false, c.began)
	if h.holds() {
		t.Error("held back 4 s after the last request")
	}
}

// A host reads the store itself, as the one that it would read from is cut off. Guards against a change
// that stays unknown for seconds, after a single call of this host was not answered: what the host that is
// cut off says tells nothing about the store.
func TestCutOffHostDoesNotHoldCalls(t *testing.T) {
	var now time.Duration
	h := &Holder{Now: func() time.Duration { return now }, HostsAhead: manyAhead}
	now = time.Second
	report(h, true)
	now = 2 * time.Second
	h.recordStale("cut off")
	for now = 3 * time.Second; now < 8*time.Second; now += time.Second {
		h.recordStale("cut off")
		report(h, true)
	}
	h.recordStale("cut off")
	report(h, false)
	if h.holds() {
		t.Error("calls are held back")
	}
}

func TestHolds(t *testing.T) {
	for name, c := range map[string]struct {
		play func(h *Holder, now *time.Duration)
		want bool
	}{
		"both lost the store": {func(h *Holder, now *time.Duration) {
			report(h, true)
			*now += time.Second
			h.recordStale("a")
			report(h, false)
		}, true},
		"never answered": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			report(h, false)
		}, true},
		"only this host lost it": {func(h *Holder, now *time.Duration) {
			report(h, true)
			report(h, false)
		}, false},
		"the store has answered since": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			report(h, false)
			*now += time.Second
			report(h, true)
		}, false},
		"the other is back": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			report(h, false)
			*now += 3 * time.Second
		}, false},
		"lost again after it was back": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			*now += time.Second
			h.recordCurrent("a")
			report(h, true)
			*now += time.Second
			h.recordStale("a")
			report(h, false)
		}, true},
		"lost again long after": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			*now += time.Second
			report(h, true)
			*now += time.Minute
			h.recordStale("a")
			report(h, false)
		}, true},
		"a call failed in an earlier loss": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			report(h, false)
			*now += time.Second
			h.recordCurrent("a")
			*now += 3 * time.Second
			h.recordStale("a")
		}, false},
		"the loss goes on": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			report(h, false)
			for range 4 {
				*now += time.Second
				h.recordStale("a")
			}
		}, true},
		"one of two is cut off": {func(h *Holder, now *time.Duration) {
			h.recordStale("cut off")
			*now += time.Second
			report(h, true)
			*now += time.Second
			h.recordStale("cut off")
			h.recordStale("a")
			report(h, false)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			h := &Holder{Now: func() time.Duration { return now }, HostsAhead: manyAhead}
			c.play(h, &now)
			if got := h.holds(); got != c.want {
				t.Errorf("held back %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a change that stays unknown for as long as a long poll for another kind of object lasts,
// which began before the upstream host lost the store.
func TestEarlierLongPollIsNotAwaited(t *testing.T) {
	h := &Holder{Now: func() time.Duration { return time.Minute }, HostsAhead: manyAhead}
	if h.begin(t.Context(), "k") == nil {
		t.Fatal("long poll is held back")
	}
	h.recordStale("a")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if h.begin(ctx, "k") == nil {
		t.Error("a call waits for the long poll")
	}
}

// Guards against as many calls as kinds of object from each host that loses its upstream host: a second
// call waits for the result of the first one.
func TestCallWaitsForResultOfAnother(t *testing.T) {
	for name, c := range map[string]struct{ stale, answered, want, waits bool }{
		"not answered":        {stale: true, waits: true},
		"answered":            {stale: true, answered: true, waits: true, want: true},
		"upstream hosts read": {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				h := &Holder{Now: func() time.Duration { return time.Minute + time.Since(began) }, HostsAhead: manyAhead}
				if c.stale {
					h.recordStale("a")
				}
				first := h.begin(t.Context(), "k")
				if first == nil {
					t.Error("first call is held back")
				}
				time.AfterFunc(resultWait-1, func() { h.end(first, c.answered, h.Now()) })
				if got := h.begin(t.Context(), "k") != nil; got != c.want || time.Since(began) > 0 != c.waits {
					t.Errorf("second call admitted %t after %v", got, time.Since(began))
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against an outage after which the log doesn't tell what a host waited for.
func TestHoldsAreReportedOnce(t *testing.T) {
	now := time.Minute
	var holds []Hold
	var releases []Release
	h := &Holder{
		Now: func() time.Duration { return now }, HostsAhead: manyAhead,
		OnHold: func(x Hold) { holds = append(holds, x) }, OnRelease: func(x Release) { releases = append(releases, x) },
	}
	h.recordStale("b")
	h.recordStale("a")
	c := h.begin(t.Context(), "first")
	now += time.Second
	h.end(c, false, now)
	for range 3 {
		now += time.Second
		h.recordStale("a")
		h.begin(t.Context(), "second")
	}
	now += time.Second
	report(h, true)
	report(h, true)
	if len(holds) != 1 || len(releases) != 1 {
		t.Fatalf("%d holds, %d releases", len(holds), len(releases))
	}
	x := holds[0]
	if x.Kind != "second" || !slices.Equal(x.Hosts, []string{"a", "b"}) || x.LastKind != "first" || x.LastAgo != 2*time.Second || x.Awaited || x.For <= 0 {
		t.Errorf("hold %+v", x)
	}
	if want := (Release{Answered: true, After: 3 * time.Second, Calls: 3}); releases[0] != want {
		t.Errorf("release %+v, want %+v", releases[0], want)
	}
}

// Guards against a host that asks nothing for as long as a call for another kind of object hangs.
func TestHangingCallIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		h := &Holder{Now: func() time.Duration { return time.Minute + time.Since(began) }, HostsAhead: func() int { return 1 }}
		h.recordStale("a")
		if h.begin(t.Context(), "hanging") == nil {
			t.Fatal("first call is held back")
		}
		if h.begin(t.Context(), "k") != nil || time.Since(began) > resultWait {
			t.Errorf("second call has an answer after %v", time.Since(began))
		}
		for time.Since(began) < 3*time.Second {
			time.Sleep(100 * time.Millisecond)
			h.recordStale("a")
		}
		if h.begin(t.Context(), "k") == nil {
			t.Error("call is held back 3 s after the hanging one began")
		}
	})
}
