package forecaster

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

const ms = time.Millisecond

// of returns the importance of a request of a route and a customer with these priorities.
func of(route, customer uint8) admitter.Importance { return admitter.RankedImportance(route, customer) }

// loadOf returns the load of a queue with 4 busy slots of 10 ms and so many waiting requests by level.
func loadOf(waiting ...int) admitter.Load {
	l := admitter.Load{Slots: 4, Running: 4, ServiceTime: 10 * ms}
	copy(l.WaitingByLevel[:], waiting)
	return l
}

// Guards against forecasts that refuse requests that the queue admits, or that hold for longer than it
// takes the queue to admit them.
func TestForecastOfRefusal(t *testing.T) {
	flood := loadOf(0, 0, 40)
	flood.Teams, flood.LongestTeam = 5, 36
	many := loadOf(0, 0, 40)
	many.Teams, many.LongestTeam = 20, 4
	noSlots := loadOf(0, 0, 40)
	noSlots.Slots = 0
	free := loadOf()
	free.Running = 3
	for _, c := range []struct {
		name      string
		r         Refusal
		tolerance time.Duration
		l         admitter.Load
		want      Forecast
	}{
		{"wait of 102 ms instead of 60", Refusal{Importance: of(2, 1)}, 60 * ms, loadOf(0, 0, 40), Forecast{Admits: 16, For: 45 * ms}},
		{"more important ones wait too", Refusal{Importance: of(2, 1)}, 60 * ms, loadOf(0, 20, 20), Forecast{Admits: 16, For: 45 * ms}},
		{"half of the time until the queue is empty", Refusal{Importance: of(1, 1)}, 0, loadOf(0, 40), Forecast{Admits: 8, For: 51250 * time.Microsecond}},
		{"at most 250 ms", Refusal{Importance: of(1, 1)}, 0, loadOf(0, 400), Forecast{Admits: 8, For: MaximumFor}},
		{"at least 10 ms", Refusal{Importance: of(1, 1)}, 100 * ms, loadOf(0, 40), Forecast{Admits: 8, For: minimumFor}},
		{"most important request of all", Refusal{Importance: 0}, 0, loadOf(40), Forecast{Admits: 0, For: 51250 * time.Microsecond}},
		{"queue full", Refusal{Importance: of(2, 1), QueueFull: true}, 200 * ms, loadOf(0, 4, 60), Forecast{Admits: 16, For: minimumFor}},
		{"less important ones wait in the queue", Refusal{Importance: of(1, 1)}, 60 * ms, loadOf(0, 40, 1), Forecast{}},
		{"wait is tolerable, the refusal had another cause", Refusal{Importance: of(2, 1)}, 103 * ms, loadOf(0, 0, 40), Forecast{}},
		{"queue of one team", Refusal{Importance: of(2, 1)}, 60 * ms, flood, Forecast{}},
		{"queue of many teams", Refusal{Importance: of(2, 1)}, 60 * ms, many, Forecast{Admits: 16, For: 45 * ms}},
		{"a slot is free, and requests have less time left than one takes", Refusal{Importance: of(1, 1)}, -50 * ms, free, Forecast{}},
		{"no slots", Refusal{Importance: of(2, 1)}, 60 * ms, noSlots, Forecast{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f Forecaster
			f.Offered(c.r.Importance, c.tolerance)
			if g := f.Refused(c.r, c.l, time.Second); g != c.want {
				t.Errorf("forecast %+v, want %+v", g, c.want)
			}
		})
	}
}

// Guards against a forecast that contradicts what the queue has just decided about other levels, and
// against one by what it decided long ago.
func TestForecastConsidersOtherRefusals(t *testing.T) {
	var f Forecaster
	f.Offered(of(2, 1), 200*ms)
	f.Offered(of(1, 1), 60*ms)
	f.Refused(Refusal{Importance: of(2, 1)}, loadOf(0, 10, 80), 0)
	// The wait of level 2 is tolerable, though that of level 1 isn't.
	if g := f.Refused(Refusal{Importance: of(1, 1)}, loadOf(0, 40), 500*ms); g != (Forecast{}) {
		t.Errorf("forecast %+v refuses requests that are admitted", g)
	}
	if g := f.Refused(Refusal{Importance: of(1, 1)}, loadOf(0, 40), 1001*ms); g.Admits != 8 {
		t.Errorf("forecast %+v, want one by the later refusals", g)
	}
}

// Guards against a late retry, refused as it has no time left, that stands for requests of its level which
// have all of it: the queue admits those. Many such requests do stand for the level.
func TestLateRetryRestrictsNothing(t *testing.T) {
	var f Forecaster
	f.Offered(of(1, 1), 100*ms)
	f.Offered(of(1, 1), 5*ms)
	if g := f.Refused(Refusal{Importance: of(1, 1)}, loadOf(0, 20), 0); g != (Forecast{}) {
		t.Errorf("forecast %+v, though a wait of 100 ms was accepted", g)
	}
	for range 30 {
		f.Offered(of(1, 1), 5*ms)
	}
	if g := f.Refused(Refusal{Importance: of(1, 1)}, loadOf(0, 20), 0); g.Admits != 8 {
		t.Errorf("forecast %+v, though most requests don't accept the wait", g)
	}
}

// Guards against requests beyond a customer's entitlement, displaced from a full queue, that stand for those
// which displace them, and against their refusals ending a restriction that is in force for all.
func TestRefusalBeyondEntitlementRestrictsNothing(t *testing.T) {
	var f Forecaster
	f.Offered(of(1, 1), 60*ms)
	beyond := Refusal{Importance: of(1, 1), BeyondEntitlement: true, QueueFull: true}
	if g := f.Refused(beyond, loadOf(0, 12), 0); g != (Forecast{}) {
		t.Errorf("forecast %+v by a displaced request", g)
	}
	if g := f.Refused(Refusal{Importance: of(1, 1)}, loadOf(0, 40), 0); g.Admits != 8 {
		t.Errorf("forecast %+v by a request within the entitlement", g)
	}
	if g := f.Refused(beyond, loadOf(0, 40), 0); g.Admits != 8 {
		t.Errorf("forecast %+v while the level is restricted", g)
	}
}

// Guards against a queue that was full and counts as such when it has become too slow for all, or the
// other way round.
func TestFullQueueIsNotForGood(t *testing.T) {
	var f Forecaster
	f.Offered(of(1, 1), 60*ms)
	if g := f.Refused(Refusal{Importance: of(1, 1), QueueFull: true}, loadOf(0, 12), 0); g.Admits != 8 {
		t.Errorf("full queue: forecast %+v", g)
	}
	if g := f.Refused(Refusal{Importance: of(1, 1)}, loadOf(0, 20), 0); g != (Forecast{}) {
		t.Errorf("tolerable wait: forecast %+v", g)
	}
}

// Guards against a restriction that doesn't end with time, or that lets all requests through at once.
func TestBoardProbes(t *testing.T) {
	var b Board
	ask := func(now time.Duration, i admitter.Importance, want bool) Pass {
		t.Helper()
		p, d, ok := b.Ask(i, now)
		if ok != want || ok != (d == 0) || d != 0 && now+d < b.until {
			t.Errorf("at %s: admitted %t, want %t; retry after %s", now, ok, want, d)
		}
		return p
	}
	low := of(2, 1)
	ask(0, low, true)
	b.Update(Forecast{Admits: of(1, 7), For: 50 * ms}, 0)
	ask(49*ms, low, false)
	ask(49*ms, of(1, 7), true)
	probe := ask(50*ms, low, true)
	ask(51*ms, low, false)
	ask(51*ms, of(2, 0), true) // more important than the probe
	ask(51*ms, of(2, 0), false)
	ask(51*ms, of(1, 7), true)
	b.Answered(probe, true, 60*ms)
	ask(60*ms, low, true)
	last := ask(60*ms, low, false)
	if last.Counted() {
		t.Error("the answer to a refused request is counted")
	}
	for range 2 {
		b.Answered(probe, true, 61*ms)
	}
	for range 8 {
		ask(62*ms, low, true)
	}
	ask(62*ms, low, false)
	b.Answered(probe, true, 63*ms)
	for range 50 {
		ask(63*ms, low, true)
	}
}

// Guards against a probe whose answer is lost with its link and keeps all others out.
func TestLostProbeEndsRestriction(t *testing.T) {
	var b Board
	b.Update(Forecast{Admits: 8, For: 50 * ms}, 0)
	b.Ask(17, 50*ms)
	if _, _, ok := b.Ask(17, 149*ms); ok {
		t.Error("admitted while the probe may still be answered")
	}
	for range 20 {
		if _, _, ok := b.Ask(17, 150*ms); !ok {
			t.Error("refused after the probe was lost")
		}
	}
}

// Guards against an answer to an earlier probe that counts for the present one, against an owner that no
// longer forecasts, and against a forecast of another version that holds for hours.
func TestBoardIgnoresWhatDoesNotCount(t *testing.T) {
	var b Board
	b.Update(Forecast{Admits: 8, For: time.Hour}, 0)
	earlier, _, ok := b.Ask(17, MaximumFor)
	if !ok {
		t.Error("refused after the longest time of a forecast")
	}
	b.Update(Forecast{Admits: 8, For: 50 * ms}, 300*ms)
	b.Update(Forecast{}, 300*ms)
	p, _, _ := b.Ask(17, 350*ms)
	b.Answered(earlier, true, 351*ms)
	if _, _, ok := b.Ask(17, 352*ms); ok {
		t.Error("an answer to an earlier probe counts")
	}
	b.Answered(p, false, 353*ms)
	for range 3 {
		if _, _, ok := b.Ask(17, 354*ms); !ok {
			t.Error("refused after a refusal without a forecast")
		}
	}
	b.Update(Forecast{Admits: 8, For: 50 * ms}, 400*ms)
	for range 3 {
		if _, _, ok := b.Ask(17, 450*ms+MaximumFor); !ok {
			t.Error("refused though no request came for long after the forecast")
		}
	}
	b.Update(Forecast{Admits: 8, For: 50 * ms}, 800*ms)
	p, _, _ = b.Ask(17, 850*ms)
	b.Answered(p, true, 860*ms)
	for range 3 {
		if _, _, ok := b.Ask(17, 860*ms+MaximumFor); !ok {
			t.Error("refused though no request came for long after the answer to the probe")
		}
	}
}

// Guards against callers of one host that come back at the same time, or before the forecast has expired.
// Each refused probe doubles the interval.
func TestRetryTimesAreSpread(t *testing.T) {
	var b Board
	now := time.Duration(0)
	for _, interval := range []time.Duration{20 * ms, 40 * ms, 80 * ms, 160 * ms, MaximumFor, MaximumFor} {
		b.Update(Forecast{Admits: 8, For: 20 * ms}, now)
		var tenths [10]int
		for range 100 {
			_, d, ok := b.Ask(17, now)
			if ok || d < 20*ms || d >= 20*ms+interval {
				t.Fatalf("admitted %t, retry after %s, want 20 ms and up to %s", ok, d, interval)
			}
			tenths[(d-20*ms)*10/interval]++
		}
		for _, n := range tenths {
			if n < 8 || n > 12 {
				t.Errorf("retries over tenths of %s: %v", interval, tenths)
				break
			}
		}
		now += 20 * ms
		b.Ask(17, now)
	}
}

// Guards against log lines for each request, and against none.
func TestPeriodsOfRefusals(t *testing.T) {
	var b Board
	b.Ask(17, 0)
	if b.Begun() {
		t.Error("begun without a refusal")
	}
	b.Update(Forecast{Admits: 8, For: 50 * ms}, 0)
	for i := range 3 {
		b.Ask(17, ms)
		if b.Begun() != (i == 0) {
			t.Errorf("refusal %d: begun %t", i, i != 0)
		}
	}
	if n, ok := b.Ended(quietTime); ok {
		t.Errorf("ended after %d refusals before the quiet time", n)
	}
	if n, ok := b.Ended(quietTime + ms); !ok || n != 3 {
		t.Errorf("ended %t after %d refusals, want 3", ok, n)
	}
	if _, ok := b.Ended(time.Hour); ok {
		t.Error("ended twice")
	}
}
