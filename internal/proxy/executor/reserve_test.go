package executor_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against the most important statements that are refused without a retry at a busy server, as
// less important ones have used up the budget. Nothing is reserved if the configuration ranks nothing.
func TestRetriesAreReserved(t *testing.T) {
	for name, x := range map[string]struct {
		priorities map[string]uint8
		reserved   bool
	}{
		"ranked":     {map[string]uint8{"primary": 1, "own": 0}, true},
		"not ranked": {map[string]uint8{"primary": 2, "own": 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
				w.busy = 1000
				d := newEntryHost(w, "z-0")
				declarePriorities(d, 0, x.priorities)
				// A retry whose answer doesn't come before the deadline is answered as unknown, not as busy.
				declareTimeout(d, time.Minute)
				var r allReports
				write := func(database string, n int) {
					c := newClient(d, "s-"+database, database, 1)
					c.session.Reporter = &r
					go c.session.Run()
					<-c.caller.out
					for range n {
						c.expect(t, "WRITE x 1", declarer.CodeBusy)
					}
					close(c.caller.in)
				}
				write("primary", 30)
				write("own", 1)
				// An exhausted budget earns half a retry with each statement, so that one sent twice may
				// follow one sent once.
				if n := r.attempts[len(r.attempts)-1]; (n > 2) != x.reserved {
					t.Errorf("sent %d times after the others used up the budget: %v", n, r.attempts)
				}
				d.close()
				synctest.Wait()
			})
		})
	}
}

// declareTimeout replaces the timeout of all routes.
func declareTimeout(d *entryHost, timeout time.Duration) {
	c := *d.board.Configuration()
	c.Version++
	c.Routes = maps.Clone(c.Routes)
	for n, r := range c.Routes {
		r.Timeout = timeout
		c.Routes[n] = r
	}
	d.board.Configure(&c)
}
