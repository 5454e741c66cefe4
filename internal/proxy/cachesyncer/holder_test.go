package cachesyncer

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// checkInterval is the shortest time between two calls of a host in tests.
const checkInterval = 1500 * time.Millisecond

// newHolder returns a holder of a host in a region of the given number of hosts, which takes the last one of the first
// turns.
func newHolder(hosts int, now func() time.Duration) *Holder {
	return &Holder{
		Now: now, RegionSize: func() int { return hosts }, CheckInterval: func() time.Duration { return checkInterval },
		Draw: func(n time.Duration) time.Duration { return n - 1 },
	}
}

// manyHosts is a number of hosts that take turns.
const manyHosts = 100

// report records the result of a call that begins and ends now.
func report(h *Holder, answered bool) {
	now := h.Now()
	c, cancel := context.WithCancelCause(context.Background())
	h.end(&call{kind: "k", began: now, ctx: c, cancel: cancel}, answered, now)
}

// Guards against a change that stays unknown for longer than it may after an outage of the store, as the hosts that
// this one reads through are cut off when the store is back: whichever they are, this one asks soon. In a larger region
// some host asks soon, whichever are cut off.
func TestHostsCheckStoreInTurns(t *testing.T) {
	for hosts, turn := range map[int]time.Duration{3: checkInterval, 6: checkInterval, 18: checkInterval, 30: 2500 * time.Millisecond, 149: 12417 * time.Millisecond} {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			const seconds, step = 60, 50 * time.Millisecond
			rounds := 100/hosts + 1
			calls := 0
			r := rand.New(rand.NewPCG(1, uint64(hosts)))
			for range rounds * hosts {
				now := time.Minute
				h := newHolder(hosts, func() time.Duration { return now })
				h.Draw = func(n time.Duration) time.Duration { return time.Duration(r.Int64N(int64(n))) }
				h.recordStale("a")
				report(h, false)
				last := now
				for now < time.Minute+seconds*time.Second {
					now += step
					h.recordStale("a")
					if h.holds() {
						continue
					}
					if d := now - last; d > turn+step || d < checkInterval*8/10 {
						t.Fatalf("next call %v after the last one, want one within %v", d, turn)
					}
					report(h, false)
					last = now
					calls++
				}
			}
			rate := float64(calls) / float64(rounds) / seconds
			if most := max(float64(hosts)/checkInterval.Seconds(), checksPerSecond) * 1.15; rate > most {
				t.Errorf("%.1f calls a second in a region, want %.1f at most", rate, most)
			}
		})
	}
}

// Guards against a region without a call for as long as a turn after all of its hosts have lost the store in the same
// moment.
func TestTurnsBeginSpread(t *testing.T) {
	const hosts = 149
	now := time.Minute
	var first []time.Duration
	r := rand.New(rand.NewPCG(1, hosts))
	for range hosts {
		h := newHolder(hosts, func() time.Duration { return now })
		h.Draw = func(n time.Duration) time.Duration { return time.Duration(r.Int64N(int64(n))) }
		h.recordStale("a")
		report(h, false)
		first = append(first, h.nextCheck)
	}
	slices.Sort(first)
	last := now + checkInterval
	for _, x := range first[:hosts/2] {
		if x-last > 2*time.Second {
			t.Errorf("no call from %v to %v after the loss", last-now, x-now)
		}
		last = x
	}
}

// Guards against a host that waits after the store's return since its last call, made long before, has ended only
// now.
func TestHoldCountsFromRequest(t *testing.T) {
	now := time.Minute
	h := newHolder(2, func() time.Duration { return now })
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
	h := newHolder(manyHosts, func() time.Duration { return now })
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
			h := newHolder(manyHosts, func() time.Duration { return now })
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
	h := newHolder(manyHosts, func() time.Duration { return time.Minute })
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
				h := newHolder(manyHosts, func() time.Duration { return time.Minute + time.Since(began) })
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
	h := newHolder(manyHosts, func() time.Duration { return now })
	h.OnHold = func(x Hold) { holds = append(holds, x) }
	h.OnRelease = func(x Release) { releases = append(releases, x) }
	h.recordStale("b")
	h.recordStale("a")
	c := h.begin(t.Context(), "first")
	now += time.Second
	h.end(c, false, now)
	for range 3 {
		now += time.Second
		h.recordStale("a")
		h.recordStale("b")
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
		h := newHolder(2, func() time.Duration { return time.Minute + time.Since(began) })
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

// Guards against hosts that go on waiting for their turn while the store answers another one, and against one whose
// word makes all others ask a store that turns them away again and again.
func TestNoticeAdmitsOneCall(t *testing.T) {
	now := time.Minute
	h := newHolder(manyHosts, func() time.Duration { return now })
	if h.RecordNotice() {
		t.Error("a host that hasn't lost the store asks it")
	}
	for range 3 {
		h.recordStale("a")
		report(h, false)
		if h.nextCheck < now+2*checkInterval {
			t.Errorf("turn after %v, as those of all other hosts", h.nextCheck-now)
		}
		if h.begin(t.Context(), "k") != nil {
			t.Error("call isn't held back")
		}
		if !h.RecordNotice() || h.RecordNotice() {
			t.Error("not asked once for the first notice")
		}
		c := h.begin(t.Context(), "k")
		if c == nil {
			t.Fatal("call is held back after a notice")
		}
		h.end(c, false, now)
		if h.RecordNotice() || h.begin(t.Context(), "k") != nil {
			t.Error("store is asked again at once")
		}
		now += checkInterval
	}
}

// Guards against a host that the store has just answered, and that is held back since it then asks hosts that are cut off
// for the first time.
func TestOwnAnswerOutweighsLossOfOthers(t *testing.T) {
	now := time.Minute
	h := newHolder(manyHosts, func() time.Duration { return now })
	report(h, true)
	h.recordStale("cut off")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if h.begin(ended, "k") == nil || h.begin(ended, "other") == nil {
		t.Error("call is held back")
	}
	report(h, false)
	if h.begin(ended, "k") != nil {
		t.Error("call isn't held back after a failure")
	}
}

// Guards against a host that reads some kinds of object late, as a long poll for another kind counts as a question that the
// store doesn't answer.
func TestLongPollIsNoQuestionThatOthersWaitFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &outageStore{store: store{revision: 5, names: []string{"a"}}, lost: make(chan struct{})}
		time.Sleep(time.Second)
		x := newSelection(&s.store, network{"cut off": newMirror(&s.store)}, "cut off")
		y := newSelection(&s.store, network{"cut off": newMirror(&s.store)}, "cut off")
		x.Mirror.Store, y.Mirror.Store, y.Holder = s, s, x.Holder
		_, _ = x.Mirror.List(t.Context())
		time.Sleep(2 * checkInterval)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go x.run(ctx, 5)
		time.Sleep(time.Second)
		p, err := y.List(t.Context())
		expect(t, "list", p, err, "a")
		cancel()
		time.Sleep(2 * time.Minute) // until the last long poll has ended
	})
}

// Guards against a notice without effect, since a call from before it fails after it: the host would wait for its turn.
func TestNoticeOutlastsEarlierCall(t *testing.T) {
	for name, lost := range map[string]bool{"host that knows that it has lost the store": true, "host that doesn't know yet": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			h := newHolder(manyHosts, func() time.Duration { return now })
			if lost {
				h.recordStale("a")
				report(h, false)
			}
			for now < h.nextCheck {
				now += staleMemory / 2
				h.recordStale("a")
			}
			c := h.begin(t.Context(), "k")
			asked := now
			now += checkInterval / 2
			h.recordStale("a")
			if h.RecordNotice() != lost {
				t.Errorf("asked for the notice: %t, want %t", !lost, lost)
			}
			now += checkInterval / 2
			h.end(c, false, asked)
			c = h.begin(t.Context(), "k")
			if c == nil {
				t.Fatal("call is held back after a notice")
			}
			asked = now
			now += checkInterval / 10
			h.recordStale("a")
			h.end(c, false, asked)
			if h.begin(t.Context(), "k") != nil {
				t.Error("store is asked again at once")
			}
		})
	}
}

// Guards against as many announcements as hosts after each outage, and against none.
func TestReturnIsAnnouncedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		lost   time.Duration
		notice bool
		early  bool
		// current is set if another host has been read through since.
		current bool
		want    int
	}{
		"first host that is answered": {lost: 5 * time.Second, want: 1},
		"told by another":             {lost: 5 * time.Second, notice: true},
		"a single failed call":        {lost: announceAfter / 2},
		"a call of before the loss":   {lost: 5 * time.Second, early: true},
		"read through another host":   {lost: 5 * time.Second, current: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			n := 0
			h := newHolder(manyHosts, func() time.Duration { return now })
			h.OnRegained = func() { n++ }
			earlier := h.begin(t.Context(), "long poll")
			h.recordStale("a")
			report(h, false)
			for end := now + c.lost; now < end; {
				now += announceAfter / 2
				h.recordStale("a")
			}
			if h.begin(t.Context(), "k") != nil {
				t.Error("call isn't held back")
			}
			if c.notice {
				h.RecordNotice()
			}
			if c.early {
				h.end(earlier, true, now)
			}
			if c.current {
				h.recordCurrent("b")
			}
			report(h, true)
			report(h, true)
			if n != c.want {
				t.Errorf("announced %d times, want %d", n, c.want)
			}
		})
	}
}

// Guards against a kind of object that the store answers, but that isn't asked for since calls for another kind, which
// it doesn't answer, take every turn.
func TestKindsTakeTurns(t *testing.T) {
	now := time.Minute
	h := newHolder(2, func() time.Duration { return now })
	h.recordStale("a")
	h.end(h.begin(t.Context(), "silent"), false, now)
	for range 10 {
		now += checkInterval
		h.recordStale("a")
		if h.begin(t.Context(), "silent") != nil {
			t.Fatal("the same kind takes the next turn")
		}
		c := h.begin(t.Context(), "other")
		if c == nil {
			t.Fatal("another kind doesn't take the turn")
		}
		h.end(c, false, now)
		now += checkInterval
		h.recordStale("a")
		c = h.begin(t.Context(), "silent")
		if c == nil {
			t.Fatal("the kind doesn't take the turn after the next")
		}
		h.end(c, false, now)
	}
}
