package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// storeClient makes calls to a store through a gate.
type storeClient struct {
	gate        *gate
	unavailable *atomic.Bool
	calls       *atomic.Int64
	done        time.Duration
}

func (a *storeClient) run(ctx context.Context, began time.Time) {
	for a.gate.await(ctx) == nil {
		a.calls.Add(1)
		if !a.unavailable.Load() {
			a.gate.recordAnswer()
			a.done = time.Since(began)
			return
		}
		a.gate.recordFailure()
	}
}

// Guards against excess calls, which the platform counts: the store is unavailable for ten seconds
// while four parts of a host call it. Each part on its own would make 25 calls or more. Together
// they may make one call every 0.2 to 0.6 s, and all continue as soon as one is answered.
func TestGateMakesOneCallAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var unavailable atomic.Bool
		var calls atomic.Int64
		unavailable.Store(true)
		g := &gate{}
		var l []*storeClient
		for range 4 {
			a := &storeClient{gate: g, unavailable: &unavailable, calls: &calls}
			l = append(l, a)
			go a.run(t.Context(), began)
		}
		time.Sleep(10 * time.Second)
		if n := calls.Load(); n < 10 || n > 4+50 {
			t.Errorf("%d calls in 10 s", n)
		}
		unavailable.Store(false)
		time.Sleep(maximumBackoff * 3 / 2)
		synctest.Wait()
		for i, a := range l {
			if a.done == 0 || a.done != l[0].done {
				t.Errorf("part %d continues after %v, the first after %v", i, a.done, l[0].done)
			}
		}
	})
}

// Guards against a host that waits out its pause though it was told that the store is back.
func TestHastenedCallIsMadeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{}
		g.hasten() // without effect while the store answers
		for range 5 {
			g.recordFailure()
		}
		began := time.Now()
		time.AfterFunc(time.Millisecond, g.hasten)
		if err := g.await(t.Context()); err != nil || time.Since(began) != time.Millisecond {
			t.Errorf("call after %v, %v", time.Since(began), err)
		}
		if d, _ := g.delay(); d < maximumBackoff/2 {
			t.Errorf("the one after it in %v", d)
		}
	})
}

// Guards against one kind of object that isn't asked for as long as calls for others fail: which caller is admitted must
// not depend on whose timer fires first.
func TestGateAdmitsCallersInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, calls = 3, 60
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := &gate{}
		g.recordFailure()
		var counts [callers]atomic.Int64
		var running sync.WaitGroup
		for i := range callers {
			running.Go(func() {
				for g.await(ctx) == nil {
					counts[i].Add(1)
					time.Sleep(time.Duration(i) * 150 * time.Millisecond)
					g.recordFailure()
				}
			})
		}
		for total := int64(0); total < calls; {
			time.Sleep(time.Second)
			total = 0
			for i := range counts {
				total += counts[i].Load()
			}
		}
		for i := range counts {
			if n := counts[i].Load(); n < calls/callers-1 {
				t.Errorf("caller %d was admitted %d times of %d", i, n, calls)
			}
		}
		cancel()
		running.Wait()
	})
}
