package admitter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// caller is a source of requests of one team and class in simulated time. The intervals between
// requests are random, interval on average; the first request comes at start.
type caller struct {
	name     string
	class    Class
	interval time.Duration
	timeout  time.Duration
	start    time.Duration
}

// totals counts the outcomes of one team's requests; longestWait is the longest wait for a slot.
type totals struct {
	useful, late, refused int
	longestWait           time.Duration
}

// simulate runs callers against q for duration in steps of 100 microseconds. Each request holds
// its slot for serviceTime on average.
func simulate(q *Queue, serviceTime, duration time.Duration, callers []caller) map[string]*totals {
	r := rand.New(rand.NewPCG(1, 2))
	sum := map[string]*totals{}
	var running []*Entry
	ends := map[*Entry]time.Duration{}
	due := make([]time.Duration, len(callers))
	for now := time.Duration(0); now < duration; now += 100 * time.Microsecond {
		recordDecisions := func() {
			for _, e := range q.Granted {
				running = append(running, e)
				ends[e] = now + time.Duration(float64(serviceTime)*(0.5+r.Float64()))
				sum[e.Team].longestWait = max(sum[e.Team].longestWait, now-e.arrivedAt)
			}
			for _, e := range q.Refused {
				sum[e.Team].refused++
			}
		}
		for i := 0; i < len(running); i++ {
			e := running[i]
			if ends[e] > now {
				continue
			}
			running = append(running[:i], running[i+1:]...)
			i--
			if e.Deadline == 0 || ends[e] <= e.Deadline {
				sum[e.Team].useful++
			} else {
				sum[e.Team].late++
			}
			q.Release(e, now)
			recordDecisions()
		}
		for i, c := range callers {
			if sum[c.name] == nil {
				sum[c.name] = &totals{}
			}
			if now < max(due[i], c.start) {
				continue
			}
			due[i] = max(due[i], c.start)
			due[i] += time.Duration(float64(c.interval) * 2 * r.Float64())
			e := &Entry{Team: c.name, Class: c.class}
			if c.timeout > 0 {
				e.Deadline = now + c.timeout
			}
			q.Offer(e, now)
			recordDecisions()
		}
	}
	return sum
}

// Guards against the collapse of useful throughput when requests arrive at several times the capacity:
// a queue that accepts all of them finishes nearly each one after its deadline.
func TestOverloadKeepsUsefulThroughput(t *testing.T) {
	useful := func(percent int) int {
		q := &Queue{Slots: 2}
		interval := 4 * ms / 2 * 100 / time.Duration(percent)
		s := simulate(q, 4*ms, 20*time.Second, []caller{{name: "a", class: ClassRead, interval: interval, timeout: 50 * ms}})
		t.Logf("at %d%%: %+v", percent, *s["a"])
		return s["a"].useful
	}
	peak := 0
	for _, p := range []int{50, 90, 100, 110} {
		peak = max(peak, useful(p))
	}
	for _, p := range []int{130, 200, 500} {
		if u := useful(p); u*100 < peak*95 {
			t.Errorf("useful requests at %d%% of capacity: %d, below 95%% of the peak %d", p, u, peak)
		}
	}
}

// Guards against one team that sends ten times the capacity and makes the requests of other teams,
// which send few, wait for seconds.
func TestShares(t *testing.T) {
	q := &Queue{Slots: 2, Length: 60, Teams: map[string]TeamLimit{"double": {Share: 2}}}
	s := simulate(q, 4*ms, 20*time.Second, []caller{
		{name: "flood", class: ClassRead, interval: ms / 5},
		{name: "double", class: ClassWrite, interval: ms / 2},
		{name: "light", class: ClassRead, interval: 40 * ms},
	})
	if d := float64(s["double"].useful) / float64(s["flood"].useful); d < 1.9 || d > 2.1 {
		t.Errorf("share 2 got %.2f times the work of share 1, want 2 within 5%%", d)
	}
	if s["light"].refused > 0 || s["light"].longestWait > 40*ms {
		t.Errorf("light team: %d refused, waited up to %v", s["light"].refused, s["light"].longestWait)
	}
}

// Guards against credit for idle time: a team that was idle for long starts to send more than the
// capacity, and its accumulated share would keep all other teams waiting.
func TestIdleTeamsAccumulateNoCredit(t *testing.T) {
	s := simulate(&Queue{Slots: 2, Length: 60}, 4*ms, 20*time.Second, []caller{
		{name: "steady", class: ClassRead, interval: ms},
		{name: "late", class: ClassRead, interval: ms, start: 18 * time.Second},
	})
	if n := s["late"].useful; n < 450 || n > 550 {
		t.Errorf("late team: %d of about 1000 requests in the last two seconds, want half", n)
	}
}

// Guards against starvation by transactions: one of their statements is always waiting, and without
// maximumTransactionsInRow other reads would never run.
func TestTransactionsDoNotStarveOthers(t *testing.T) {
	s := simulate(&Queue{Slots: 2}, 4*ms, 5*time.Second, []caller{
		{name: "transactions", class: ClassTransaction, interval: ms},
		{name: "reads", class: ClassRead, interval: 100 * ms},
	})
	if s["reads"].refused > 0 || s["reads"].useful < 40 || s["reads"].longestWait > 100*ms {
		t.Errorf("reads: %+v", *s["reads"])
	}
}
