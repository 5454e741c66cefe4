package forecaster_test

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
)

// Guards against a forecast with an estimate of the wait of its own, by which requests are refused that the
// queue admits at the same moment: short ones, as its service time is that of all requests, and those that
// get reserved grants beside many more important ones.
func TestForecastWaitIsThatOfQueue(t *testing.T) {
	for _, c := range []struct {
		name string
		// waiting are the numbers of waiting requests by level, and work the service times of all levels.
		waiting, work [levels]int
		level         int
		objective     time.Duration
	}{
		{"short requests", [levels]int{30, 0, 0}, [levels]int{2, 20, 20}, 0, 40 * time.Millisecond},
		{"reserved grants", [levels]int{50, 0, 0}, [levels]int{10, 10, 10}, 1, 60 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f forecaster.Forecaster
			q := admitter.Queue{Slots: slots}
			now, teams := time.Duration(0), 0
			offer := func(level int, objective time.Duration) *admitter.Entry {
				teams++ // each has one request
				e := &admitter.Entry{Team: team(teams), Class: admitter.ClassRead, Importance: importance(level), Deadline: now + 10*time.Second}
				if objective > 0 {
					e.Objective = now + objective
				}
				q.Offer(e, now)
				w, _ := e.Tolerance(q.ServiceTime())
				f.Offered(e.Importance, w)
				return e
			}
			for range 100 {
				for l, w := range c.work {
					e := offer(l, c.objective)
					now += time.Duration(w) * time.Millisecond
					q.Release(e, now)
				}
			}
			now += 10 * time.Second // what was used of late doesn't count
			for range slots {
				offer(0, 0)
			}
			for l, n := range c.waiting {
				for range n {
					offer(l, 0)
				}
			}
			for range 100 {
				f.Offered(importance(c.level), c.objective)
			}
			late := offer(c.level, time.Millisecond)
			if late.Reason != admitter.ReasonExpectedWait {
				t.Fatalf("reason of the late request: %s", late.Reason)
			}
			g := f.Refused(forecaster.Refusal{Importance: late.Importance}, q.Load(), now)
			e := offer(c.level, c.objective)
			if e.State != admitter.StateWaiting {
				t.Fatalf("the queue refuses the request: %s", e.Reason)
			}
			if g.For > 0 && g.Admits < e.Importance {
				t.Errorf("forecast %+v, but importance %d is admitted", g, e.Importance)
			}
		})
	}
}
