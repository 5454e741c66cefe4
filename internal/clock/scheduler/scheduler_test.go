package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

// withScheduler calls f with a running scheduler, in virtual time.
func withScheduler(t *testing.T, f func(s *Scheduler)) {
	synctest.Test(t, func(t *testing.T) {
		s := &Scheduler{}
		c, stop := context.WithCancel(t.Context())
		defer stop()
		go s.Run(c)
		f(s)
	})
}

func TestOrderAndTimes(t *testing.T) {
	withScheduler(t, func(s *Scheduler) {
		b := time.Now()
		var got []time.Duration
		note := func(now time.Time) { got = append(got, now.Sub(b)) }
		s.After(30*time.Millisecond, note)
		s.After(10*time.Millisecond, note)
		p := s.Every(20*time.Millisecond, note)
		time.Sleep(70 * time.Millisecond)
		synctest.Wait()
		if !p.Cancel() {
			t.Error("the periodic subscription wasn't pending at Cancel")
		}
		time.Sleep(time.Second)
		w := []time.Duration{10e6, 20e6, 30e6, 40e6, 60e6}
		if d := cmp.Diff(w, got); d != "" {
			t.Errorf("notification times differ (-want +got):\n%s", d)
		}
	})
}

func TestCancelFromNotify(t *testing.T) {
	withScheduler(t, func(s *Scheduler) {
		n := 0
		c := make(chan *Subscription, 1)
		c <- s.Every(time.Second, func(time.Time) {
			n++
			(<-c).Cancel()
		})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if n != 1 {
			t.Errorf("notified %d times, want once", n)
		}
	})
}

// Guards against a burst of notifications after the process was paused, one for each period that
// passed meanwhile. A notify function that blocks the loop simulates the pause.
func TestPauseMakesNoBurst(t *testing.T) {
	withScheduler(t, func(s *Scheduler) {
		n := 0
		s.Every(time.Second, func(time.Time) { n++ })
		s.After(1500*time.Millisecond, func(time.Time) { time.Sleep(time.Minute) })
		time.Sleep(62 * time.Second)
		synctest.Wait()
		if n != 2 {
			t.Errorf("notified %d times, want one before and one after the pause", n)
		}
	})
}

func TestTicksCoalesce(t *testing.T) {
	withScheduler(t, func(s *Scheduler) {
		c, x := s.Ticks(time.Second)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		x.Cancel()
		<-c
		if len(c) != 0 {
			t.Error("a slow receiver got more than one tick")
		}
	})
}

// Guards against a nil Scheduler that notifies at other times than a real one, or whose timers keep
// running after Cancel.
func TestWithoutScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s *Scheduler
		b := time.Now()
		c, x := s.Ticks(time.Second)
		if d := (<-c).Sub(b); d != time.Second {
			t.Errorf("first tick after %v, want 1s", d)
		}
		x.Cancel()
		n := make(chan time.Time, 1)
		s.After(time.Second, func(now time.Time) { n <- now })
		if d := (<-n).Sub(b); d != 2*time.Second {
			t.Errorf("notified after %v, want 2s", d)
		}
		if !s.After(time.Second, func(time.Time) { t.Error("notified after Cancel") }).Cancel() {
			t.Error("the subscription wasn't pending at Cancel")
		}
		time.Sleep(time.Minute)
		if len(c) != 0 {
			t.Error("ticked after Cancel")
		}
	})
}

func TestSleepEnds(t *testing.T) {
	for _, s := range []*Scheduler{nil, {}} {
		synctest.Test(t, func(t *testing.T) {
			r, stop := context.WithCancel(t.Context())
			defer stop()
			if s != nil {
				go s.Run(r)
			}
			c, cancel := context.WithTimeout(r, 1500*time.Millisecond)
			defer cancel()
			if !s.Sleep(c, time.Second) || s.Sleep(c, time.Second) {
				t.Error("want one complete sleep and one cut off by the context")
			}
			if s != nil && s.queue.Len() != 0 {
				t.Error("the subscription of a sleep that was cut off is still queued")
			}
		})
	}
}

func TestAwait(t *testing.T) {
	const wait = time.Second
	closed := make(chan struct{})
	close(closed)
	for name, c := range map[string]struct {
		done   <-chan struct{}
		cancel bool
		after  time.Duration
		want   error
	}{
		"done":      {done: closed},
		"not done":  {after: wait},
		"cancelled": {cancel: true, want: context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cancel {
					cancel()
				}
				began := time.Now()
				if err := Await(ctx, c.done, wait); !errors.Is(err, c.want) || time.Since(began) != c.after {
					t.Errorf("%v after %v, want %v after %v", err, time.Since(began), c.want, c.after)
				}
			})
		})
	}
}
