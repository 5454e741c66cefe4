package connpooler

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// owner is the host that links lead to. It gives the answers in turn, and counts the statements sent.
type owner struct {
	answers []declarer.Answer
	sent    int
}

func (o *owner) Dial(context.Context, declarer.Server, string) (Connection, marker.Mark, error) {
	return &ownerLink{owner: o}, marker.Mark{}, nil
}

func (*owner) Connected(declarer.Server, marker.Mark) {}
func (*owner) Unreachable(declarer.Server, error)     {}

type ownerLink struct{ owner *owner }

func (l *ownerLink) Send([]declarer.Request, time.Time) error {
	l.owner.sent++
	return nil
}

func (l *ownerLink) Receive(a *declarer.Answer, _ time.Time) error {
	*a = l.owner.answers[0]
	l.owner.answers = l.owner.answers[1:]
	return nil
}

func (*ownerLink) Borrow(AcquireRequest) {}
func (*ownerLink) Return() error         { return nil }
func (*ownerLink) PendingAnswers() int   { return 0 }
func (*ownerLink) Ended() bool           { return false }
func (*ownerLink) Close()                {}

// admissions records the calls of a pool.
type admissions struct {
	refused []admitter.Importance
	began   []forecaster.Forecast
	ended   []int
}

func (a *admissions) NotAdmitted(_ declarer.Server, i admitter.Importance) {
	a.refused = append(a.refused, i)
}
func (a *admissions) RefusalsBegan(_ declarer.Server, f forecaster.Forecast) {
	a.began = append(a.began, f)
}
func (a *admissions) RefusalsEnded(_ declarer.Server, n int) { a.ended = append(a.ended, n) }

func newLinks(o *owner, a AdmissionObserver) *Pool {
	return &Pool{Server: declarer.Server{ID: "i"}, Dialer: o, Observer: o, Limit: 8, MinOpen: 1, OnDemand: true, Admissions: a}
}

// ask sends a statement over a pool of links and returns the refusal if it isn't sent.
func ask(t *testing.T, p *Pool, i admitter.Importance) *Refusal {
	t.Helper()
	l, err := p.Acquire(AcquireRequest{Deadline: time.Now().Add(time.Second), Class: admitter.ClassRead, Importance: i})
	if r, ok := errors.AsType[*Refusal](err); ok {
		return r
	}
	if err != nil {
		t.Fatal(err)
	}
	var a declarer.Answer
	if err := l.Send(nil, time.Time{}); err != nil {
		t.Fatal(err)
	}
	if err := l.Receive(&a, time.Time{}); err != nil {
		t.Fatal(err)
	}
	l.Release(false)
	return nil
}

var (
	granted = declarer.Answer{}
	refused = declarer.Answer{Code: declarer.CodeNoLease, Forecast: forecaster.Forecast{Admits: 15, For: 50 * time.Millisecond}}
)

// Guards against statements that cost a round trip to be refused, against refused ones that could run, and
// against a log line or none for each of them.
func TestForecastRefusesWithoutRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{answers: []declarer.Answer{refused, granted, granted, granted, granted}}
		var a admissions
		p := newLinks(o, &a)
		p.SetRanked(true)
		ask(t, p, 17)
		for range 3 {
			r := ask(t, p, 17)
			if r == nil || r.Reason != admitter.ReasonNotAdmitted || r.RetryAfter < 50*time.Millisecond || r.RetryAfter > 100*time.Millisecond {
				t.Errorf("refusal %+v", r)
			}
		}
		if r := ask(t, p, 15); r != nil || o.sent != 2 {
			t.Errorf("%d statements sent, the last one refused: %+v", o.sent, r)
		}
		time.Sleep(50 * time.Millisecond)
		l, err := p.Acquire(AcquireRequest{Deadline: time.Now().Add(time.Second), Importance: 17})
		if err != nil {
			t.Fatalf("the probe is refused: %v", err)
		}
		if r := ask(t, p, 17); r == nil {
			t.Error("sent beside the probe")
		}
		if err := l.Receive(&declarer.Answer{}, time.Time{}); err != nil {
			t.Fatal(err)
		}
		l.Release(false)
		for range 2 {
			if r := ask(t, p, 17); r != nil {
				t.Errorf("refused after the probe was granted: %+v", r)
			}
		}
		p.Trim(time.Now())
		if len(a.ended) > 0 || len(a.began) != 1 || a.began[0] != refused.Forecast || !slices.Equal(a.refused, []admitter.Importance{17, 17, 17, 17}) {
			t.Errorf("observed %+v", a)
		}
		time.Sleep(time.Second)
		p.Trim(time.Now())
		p.Close()
		if !slices.Equal(a.ended, []int{4}) {
			t.Errorf("ends of refusals: %v, want one after 4", a.ended)
		}
	})
}

// Guards against requests that are refused for the answer to a probe that wasn't sent, as it got no link.
func TestProbeWithoutLinkIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{answers: []declarer.Answer{refused, granted}}
		p := newLinks(o, nil)
		p.SetRanked(true)
		ask(t, p, 17)
		time.Sleep(50 * time.Millisecond)
		if _, err := p.Acquire(AcquireRequest{Deadline: time.Now(), Class: admitter.ClassRead, Importance: 17}); err == nil {
			t.Fatal("a link after the deadline")
		}
		if r := ask(t, p, 17); r != nil {
			t.Errorf("refused beside a probe that wasn't sent: %+v", r)
		}
		p.Close()
	})
}

// Guards against forecasts that are applied where nothing is ranked, or after the configuration that
// ranked requests has been replaced.
func TestForecastNeedsRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{answers: []declarer.Answer{refused, refused, refused, refused}}
		var a admissions
		p := newLinks(o, &a)
		for range 2 {
			if r := ask(t, p, 17); r != nil {
				t.Errorf("refused by a pool that isn't ranked: %+v", r)
			}
		}
		p.SetRanked(true)
		ask(t, p, 17)
		if r := ask(t, p, 17); r == nil {
			t.Error("admitted by a ranked pool")
		}
		p.SetRanked(false)
		if r := ask(t, p, 17); r != nil || !slices.Equal(a.ended, []int{1}) {
			t.Errorf("refused after the ranks have gone: %+v; ends %v", r, a.ended)
		}
		p.Close()
	})
}

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

// BenchmarkAcquire measures the path of a statement that is served.
func BenchmarkAcquire(b *testing.B) {
	for name, ranked := range map[string]bool{"unranked": false, "ranked": true} {
		b.Run(name, func(b *testing.B) {
			o := &owner{}
			p := newLinks(o, nil)
			p.SetRanked(ranked)
			benchmarkAcquire(b, p, o)
		})
	}
}

func benchmarkAcquire(b *testing.B, p *Pool, o *owner) {
	a := AcquireRequest{Deadline: time.Now().Add(time.Hour), Class: admitter.ClassRead, Importance: 9}
	b.ReportAllocs()
	var x declarer.Answer
	one := []declarer.Answer{{}}
	for b.Loop() {
		l, err := p.Acquire(a)
		if err != nil {
			b.Fatal(err)
		}
		o.answers = one
		if err := l.Receive(&x, a.Deadline); err != nil {
			b.Fatal(err)
		}
		l.Release(false)
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
