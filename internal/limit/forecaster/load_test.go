package forecaster_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	burstStart = time.Second
	burstEnd   = 5 * time.Second
	// settled is the time after the start of a burst from which its windows are measured.
	settled = 500 * time.Millisecond
	// meanService is the service time that loads are relative to.
	meanService = 10 * time.Millisecond
)

// shares are those of the levels in the load: a seventh is most important.
var shares = [levels]float64{1. / 7, 3. / 7, 3. / 7}

// steps is a service time that changes every 700 ms around meanService.
func steps(now time.Duration) time.Duration {
	l := [...]time.Duration{10 * time.Millisecond, 18 * time.Millisecond, 5 * time.Millisecond, 7 * time.Millisecond}
	return l[int(now/(700*time.Millisecond))%len(l)]
}

// offerBurst offers 0.6 of the capacity until end, and load times the capacity during the burst.
func (w *world) offerBurst(load float64, end time.Duration) {
	for i, s := range shares {
		w.offer(i, func(now time.Duration) float64 {
			f := 0.6
			if now >= burstStart && now < burstEnd {
				f = load
			}
			return s * f * slots * float64(time.Second/meanService)
		}, end)
	}
}

// eachBurst calls f for bursts of several sizes, with two numbers of hosts and two courses of the service
// time.
func eachBurst(t *testing.T, f func(t *testing.T, w *world, load float64)) {
	for _, load := range []float64{1.2, 1.5, 2, 3} {
		for _, hosts := range []int{8, 60} {
			t.Run(fmt.Sprintf("%gx over %d hosts", load, hosts), func(t *testing.T) {
				f(t, newWorld(1, hosts, constant(meanService)), load)
			})
			t.Run(fmt.Sprintf("%gx over %d hosts, service time changes", load, hosts), func(t *testing.T) {
				f(t, newWorld(2, hosts, steps), load)
			})
		}
	}
}

// Guards against hosts that close and open together, so that slots are idle and then flooded. The measure
// of oscillation is the worst of all windows of 250 ms of a burst: in each in which the load exceeds the
// capacity, the slots are in use for at least 0.95 of the time, and in each at most twice as many requests
// arrive at the owner as are new and as can be served. Of the refusals by forecast, at most one in 20 is
// made while a slot is idle. A host begins at most one period of refusals a second, which bounds its log
// lines.
func TestBurstDoesNotOscillate(t *testing.T) {
	eachBurst(t, func(t *testing.T, w *world, load float64) {
		w.offerBurst(load, burstEnd)
		w.run(burstEnd)
		from := burstStart + settled
		for x := from; x < burstEnd; x += window {
			c := w.at(x)
			shortest := min(w.service(x), w.service(x+window-1))
			if b := c.inUse(); b < 0.95 && load*float64(shortest)/float64(meanService) > 1.1 {
				t.Errorf("from %s on: slots are in use for %.2f of the time", x, b)
			}
			capacity := int(slots * window / shortest)
			if n := c.offered[0] + c.offered[1] + c.offered[2]; c.arrived > 2*(n+capacity) {
				t.Errorf("from %s on: %d requests arrive, %d are new and %d can be served", x, c.arrived, n, capacity)
			}
		}
		s := w.sum(from, burstEnd)
		if 20*s.wasted > s.unasked[0]+s.unasked[1]+s.unasked[2] {
			t.Errorf("of %v requests that a forecast refused, %d found an idle slot", s.unasked, s.wasted)
		}
		for i := range w.hosts {
			if n := w.hosts[i].periods; n > int((burstEnd-burstStart)/time.Second) {
				t.Errorf("host %d: %d periods of refusals", i, n)
			}
		}
	})
}

// Guards against forecasts that refuse the most important requests for the sake of others, while the
// server could run them: they are a seventh of the load, and fit alone at three times the capacity.
func TestMostImportantPassDuringBurst(t *testing.T) {
	eachBurst(t, func(t *testing.T, w *world, load float64) {
		w.offerBurst(load, burstEnd)
		w.run(burstEnd + time.Second)
		s := w.sum(0, burstEnd+time.Second)
		if s.unasked[0] > 0 || s.served[0] < s.offered[0]*99/100 {
			t.Errorf("%d of %d served, %d refused by a forecast", s.served[0], s.offered[0], s.unasked[0])
		}
		if s.unasked[2] == 0 {
			t.Error("no request was refused by a forecast")
		}
	})
}

// Guards against a burst that outlasts its cause: restrictions, or callers that come back together. From
// 2 s after its end on, each request is served at its first try.
func TestServiceIsNormalSoonAfterBurst(t *testing.T) {
	eachBurst(t, func(t *testing.T, w *world, load float64) {
		end := burstEnd + 4*time.Second
		w.service = constant(meanService)
		w.offerBurst(load, end)
		w.run(end + time.Second)
		s := w.sum(burstEnd+2*time.Second, end)
		if s.unasked != [levels]int{} || s.refused != [levels]int{} {
			t.Errorf("refused by forecasts %v, by the owner %v", s.unasked, s.refused)
		}
		if s.offered[0] == 0 || s.served[0] < s.offered[0]*9/10 {
			t.Errorf("%v served of %v", s.served, s.offered)
		}
	})
}

// Guards against forecasts that save no round trips: hosts would ask the owner for each request, though
// it has just refused the same kind.
func TestForecastsSaveRoundTrips(t *testing.T) {
	var refused [2]int
	for i, forecasts := range []bool{false, true} {
		w := newWorld(1, 8, constant(meanService))
		w.forecasts = forecasts
		w.offerBurst(3, burstEnd)
		w.run(burstEnd)
		s := w.sum(burstStart, burstEnd)
		for _, n := range s.refused {
			refused[i] += n
		}
	}
	t.Logf("refused by the owner: %d, %d without forecasts", refused[1], refused[0])
	if 4*refused[1] > 3*refused[0] {
		t.Errorf("the owner refuses %d requests, %d without forecasts", refused[1], refused[0])
	}
}

// Guards against a restriction that outlasts the host that imposed it: the owner is lost in a burst, and
// each host has to admit all requests as soon as its forecast and the probe have run out.
func TestLostOwnerLeavesNoRestriction(t *testing.T) {
	w := newWorld(1, 8, constant(meanService))
	w.offerBurst(3, burstEnd)
	lost := burstStart + time.Second
	w.after(lost, func() { w.lost = true })
	w.run(burstEnd)
	for i := range w.hosts {
		// The longest forecast is 250 ms. It arrives up to 20 ms after the loss, and the probe's time is
		// 100 ms, to which the time until the next request comes.
		if d := w.hosts[i].refusedAt - lost; d < 0 || d > 400*time.Millisecond {
			t.Errorf("host %d refuses requests up to %s after the loss", i, d)
		}
	}
}

// Guards against a lost link that keeps one host's callers out, or that disturbs the other hosts. After
// the link's return, the host applies forecasts again.
func TestLostLinkLeavesNoRestriction(t *testing.T) {
	w := newWorld(1, 8, constant(meanService))
	w.offerBurst(3, burstEnd)
	cut, healed := burstStart+time.Second, burstStart+2*time.Second
	w.after(cut, func() { w.hosts[0].cut = true })
	var refusedAt time.Duration
	w.after(healed, func() { refusedAt, w.hosts[0].cut = w.hosts[0].refusedAt, false })
	w.run(burstEnd)
	if d := refusedAt - cut; d < 0 || d > 400*time.Millisecond {
		t.Errorf("the host refuses requests up to %s after the loss", d)
	}
	for i := range w.hosts {
		if h := &w.hosts[i]; h.refusedAt < burstEnd-settled {
			t.Errorf("host %d last refuses a request at %s", i, h.refusedAt)
		}
	}
	for x := burstStart + settled; x < burstEnd; x += window {
		if b := w.at(x).inUse(); b < 0.95 {
			t.Errorf("from %s on: slots are in use for %.2f of the time", x, b)
		}
	}
}

// Guards against refused callers that come back together or too late. 300 requests arrive at once, while
// new ones need a quarter of the capacity. Until the booked ones are served, the slots are in use; and
// callers are refused again much less than if all were told when the queue has room.
func TestBookedRetriesFillTheSlots(t *testing.T) {
	var again [2]int
	for i, books := range []bool{false, true} {
		w := newWorld(3, 8, constant(meanService))
		w.forecasts, w.books = false, books
		w.offerCrowd(300, 4*time.Second)
		w.run(4 * time.Second)
		for x := burstStart; x < burstStart+750*time.Millisecond; x += window {
			if b := w.at(x).inUse(); b < 0.9 {
				t.Errorf("books %t, from %s on: slots are in use for %.2f of the time", books, x, b)
			}
		}
		first, all := w.sum(0, burstStart+window), w.sum(0, 4*time.Second)
		for l := range levels {
			again[i] += all.refused[l] - first.refused[l]
		}
		t.Log(books, first.refused, all.refused)
	}
	if 4*again[1] > again[0] {
		t.Errorf("%d refused again, %d without a calendar", again[1], again[0])
	}
}

// offerCrowd offers a number of requests at the same time, and a quarter of the capacity until end.
func (w *world) offerCrowd(number int, end time.Duration) {
	for i := range number {
		w.after(burstStart, func() { w.send(&request{level: i % levels, host: i % len(w.hosts), began: w.now}) })
	}
	for i, s := range shares {
		w.offer(i, func(time.Duration) float64 { return s * slots * float64(time.Second/meanService) / 4 }, end)
	}
}

// inUse returns for which share of the window the slots were in use.
func (c *counts) inUse() float64 { return c.busy.Seconds() / (slots * window.Seconds()) }
