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
