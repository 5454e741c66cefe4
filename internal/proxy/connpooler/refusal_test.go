package connpooler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// decision is what a refused caller is told.
type decision struct {
	Reason     string
	RetryAfter time.Duration
	Forecast   forecaster.Forecast
}

// decisions returns those of n refusals.
func decisions(t *testing.T, n int, acquire func() error) []decision {
	t.Helper()
	var l []decision
	for range n {
		err := acquire()
		r, ok := errors.AsType[*Refusal](err)
		if !ok {
			t.Fatalf("error %v, want a refusal", err)
		}
		l = append(l, decision{r.Reason.String(), r.RetryAfter, r.Forecast})
	}
	return l
}

// Guards against other decisions where nothing is ranked: each caller is told when the queue has room, and
// no forecast is sent. Under ranks, the callers are told different times, none of them earlier.
func TestRefusalsOfFullPool(t *testing.T) {
	const service = 200 * time.Millisecond
	for _, ranked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(&fakeServer{limit: 16})
			p.Limit = 1
			p.SetRanked(ranked)
			l := acquire(t, p)
			time.Sleep(service)
			l.Release(false)
			l = acquire(t, p)
			got := decisions(t, 4, func() error {
				a := requestWithin(100 * time.Millisecond)
				a.Importance = 17
				_, err := p.Acquire(a)
				return err
			})
			checkDecisions(t, got, ranked, service)
			l.Release(false)
			p.Close()
		})
	}
}

// Guards against the same at the queue for permits, where statements wait if each customer has its own
// connections.
func TestRefusalsOfPermits(t *testing.T) {
	const service = 200 * time.Millisecond
	for _, ranked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(&fakeServer{limit: 16})
			p.SetRanked(ranked)
			l, permits := exhaust(t, p)
			time.Sleep(service)
			for _, x := range permits {
				x.End(declarer.CodeNone)
			}
			for i := range permits {
				x, err := l.AcquirePermit(requestWithin(time.Second))
				if err != nil {
					t.Fatal(err)
				}
				permits[i] = x
			}
			got := decisions(t, 4, func() error {
				a := requestWithin(100 * time.Millisecond)
				a.Importance = 17
				_, err := l.AcquirePermit(a)
				return err
			})
			checkDecisions(t, got, ranked, service/maximumInFlightPerSlot)
			for _, x := range permits {
				x.End(declarer.CodeNone)
			}
			l.Release(false)
			p.Close()
		})
	}
}

func checkDecisions(t *testing.T, got []decision, ranked bool, room time.Duration) {
	t.Helper()
	if !ranked {
		for _, d := range got {
			if d != (decision{Reason: "expected-wait", RetryAfter: room}) {
				t.Errorf("decision %+v, want a retry after %s", d, room)
			}
		}
		return
	}
	seen := make(map[time.Duration]bool)
	for _, d := range got {
		if d.Reason != "expected-wait" || d.RetryAfter < room || seen[d.RetryAfter] || d.Forecast.Admits != 16 || d.Forecast.For != room/2 {
			t.Errorf("decision %+v, room after %s", d, room)
		}
		seen[d.RetryAfter] = true
	}
}

// Guards against forecasts that never restrict anything where a team is a database, whose requests make up
// the whole queue, and against those that count one customer's requests against all others: 5 of one team
// wait, which accept about 1 s; a further one waits for 1.2 s, one of another customer for 400 ms.
func TestTeamsOfForecastAreCustomers(t *testing.T) {
	const service = 200 * time.Millisecond
	for byCustomer, want := range map[bool]time.Duration{false: forecaster.MaximumFor, true: 0} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(&fakeServer{limit: 16})
			p.Limit, p.ByCustomer = 1, byCustomer
			p.SetRanked(true)
			l := acquire(t, p)
			time.Sleep(service - openDelay)
			l.Release(false)
			l = acquire(t, p)
			p.queue.ResetServiceTime()
			time.Sleep(service)
			l.Release(false)
			l = acquire(t, p)
			for range 5 {
				go func() {
					if x, err := p.Acquire(requestWithin(1400 * time.Millisecond)); err == nil {
						x.Release(false)
					}
				}()
			}
			synctest.Wait()
			got := decisions(t, 1, func() error {
				_, err := p.Acquire(requestWithin(100 * time.Millisecond))
				return err
			})
			if got[0].Forecast.For != want {
				t.Errorf("by customer %t: %+v, want a forecast for %s", byCustomer, got[0], want)
			}
			l.Release(false)
			synctest.Wait()
			p.Close()
		})
	}
}

// Guards against a request with little time left that is refused and stands for all others of its level.
func TestLateRetryAtPoolRestrictsNothing(t *testing.T) {
	const service = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 16})
		p.Limit = 1
		p.SetRanked(true)
		l := acquire(t, p)
		time.Sleep(service)
		l.Release(false)
		l = acquire(t, p)
		a := requestWithin(time.Second)
		a.Objective = time.Now().Add(2 * service)
		done := make(chan error, 1)
		go func() {
			x, err := p.Acquire(a)
			if err == nil {
				x.Release(false)
			}
			done <- err
		}()
		synctest.Wait()
		late := decisions(t, 1, func() error {
			_, err := p.Acquire(requestWithin(service))
			return err
		})
		if late[0].Forecast != (forecaster.Forecast{}) {
			t.Errorf("%+v, though a wait of %s was accepted", late[0], 2*service)
		}
		l.Release(false)
		if err := <-done; err != nil {
			t.Error(err)
		}
		p.Close()
	})
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 16})
		p.SetRanked(true)
		l, permits := exhaust(t, p)
		done := make(chan error, 1)
		go func() {
			x, err := l.AcquirePermit(requestWithin(time.Second))
			if err == nil {
				x.End(declarer.CodeNone)
			}
			done <- err
		}()
		synctest.Wait()
		late := decisions(t, 1, func() error {
			_, err := l.AcquirePermit(requestWithin(time.Millisecond))
			return err
		})
		if late[0].Reason != "expected-wait" || late[0].Forecast != (forecaster.Forecast{}) {
			t.Errorf("%+v, though a longer wait was accepted", late[0])
		}
		for _, x := range permits {
			x.End(declarer.CodeNone)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		l.Release(false)
		p.Close()
	})
}
