package watcher_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/platform/watcher"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

func start(t *testing.T, s *storekeeper.Store) *watcher.Watcher {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 1))
	w := &watcher.Watcher{Platform: s, Random: r.Float64}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
	return w
}

func TestOneWatchForManySubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		w := start(t, s)
		var l []*watcher.Subscription
		for range 50 {
			l = append(l, w.Subscribe("k", "n"))
		}
		synctest.Wait()
		if n := s.Calls().Watch; n != 1 {
			t.Errorf("%d watches, want 1", n)
		}
		o := accessor.Object{Kind: "k", Name: "n", Value: []byte("1")}
		if _, err := s.Put(t.Context(), o); err != nil {
			t.Fatal(err)
		}
		for _, u := range l {
			if v := <-u.Observations(); v.Object.Version != 1 {
				t.Errorf("got %+v", v)
			}
		}
		late := w.Subscribe("k", "n")
		if v := <-late.Observations(); v.Object.Version != 1 {
			t.Errorf("late subscriber got %+v", v)
		}
		for _, u := range append(l, late) {
			u.Close()
		}
		synctest.Wait()
		n := s.Calls().Watch
		time.Sleep(time.Minute)
		if m := s.Calls().Watch; m != n {
			t.Errorf("%d watches without a subscriber", m-n)
		}
	})
}

// The platform is down for ten minutes and every host repeats its calls. Guards against too many calls,
// which would overload the service when it recovers and raise its call counts. The pauses between
// calls keep them few.
func TestOutageKeepsCallsFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		s.SetOutage(true)
		w := start(t, s)
		u := w.Subscribe("k", "n")
		defer u.Close()
		time.Sleep(10 * time.Minute)
		n := s.Calls().Watch
		if n < 120 || n > 600 {
			t.Errorf("%d calls in ten minutes of outage", n)
		}
		if w.FailingSince().IsZero() {
			t.Error("outage isn't reported")
		}
		s.SetOutage(false)
		v := <-u.Observations()
		if v.Object.Version != 0 {
			t.Errorf("got %+v", v)
		}
		if !w.FailingSince().IsZero() {
			t.Error("end of the outage isn't reported")
		}
	})
}

func TestBackoff(t *testing.T) {
	b := watcher.Backoff{Minimum: time.Second, Maximum: 10 * time.Second}
	for _, c := range []struct {
		name     string
		failures int
		random   float64
		want     time.Duration
	}{
		{"first", 1, 0.5, 500 * time.Millisecond},
		{"third", 3, 0.5, 2 * time.Second},
		{"bounded", 60, 0.5, 5 * time.Second},
		{"least", 60, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if d := b.Next(c.failures, c.random); d != c.want {
				t.Errorf("got %s, want %s", d, c.want)
			}
		})
	}
}
