package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// asker makes calls to a store through a gate.
type asker struct {
	gate  *gate
	away  *atomic.Bool
	calls *atomic.Int64
	done  time.Duration
}

func (a *asker) run(ctx context.Context, began time.Time) {
	for a.gate.pass(ctx) == nil {
		a.calls.Add(1)
		if !a.away.Load() {
			a.gate.answered()
			a.done = time.Since(began)
			return
		}
		a.gate.failed()
	}
}

// The store is away for ten seconds while four parts of a host want to ask it. Each by
// itself would make 25 calls or more, which the platform counts; together they may make
// one in 0.2 to 0.6 s, and all of them go on as soon as one is answered.
func TestGateMakesOneCallAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var away atomic.Bool
		var calls atomic.Int64
		away.Store(true)
		g := &gate{}
		var l []*asker
		for range 4 {
			a := &asker{gate: g, away: &away, calls: &calls}
			l = append(l, a)
			go a.run(t.Context(), began)
		}
		time.Sleep(10 * time.Second)
		if n := calls.Load(); n < 10 || n > 4+50 {
			t.Errorf("%d calls in 10 s", n)
		}
		away.Store(false)
		time.Sleep(longestBackoff * 3 / 2)
		synctest.Wait()
		for i, a := range l {
			if a.done == 0 || a.done != l[0].done {
				t.Errorf("part %d goes on after %v, the first after %v", i, a.done, l[0].done)
			}
		}
	})
}
