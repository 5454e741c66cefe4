package promoter

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
)

// crash makes the primary unreachable for all hosts, and has the promoters notice.
func (c *cluster) crash(l ...*Promoter) {
	c.setGone("a", true)
	for _, p := range l {
		p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
	}
}

func (c *cluster) setGone(id string, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[id].gone = gone
}

func (c *cluster) leads(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id].primary
}

func (c *cluster) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.late)
}

// runUntil runs the checks of the promoters in turn until done, for at most d.
func runUntil(d time.Duration, done func() bool, l ...*Promoter) {
	for end := time.Now().Add(d); time.Now().Before(end) && !done(); time.Sleep(activeCheckInterval) {
		for _, p := range l {
			p.check(context.Background())
		}
	}
}

// Guards against an order without an answer that replaces a primary which is back and serves, and drops
// what it has acknowledged meanwhile.
func TestLateOrderDoesNotReplaceReturnedPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.unanswered = 1
		p := promoterOf(c, "h1")
		c.crash(p)
		go func() {
			for c.pending() == 0 {
				time.Sleep(activeCheckInterval)
			}
			time.Sleep(400 * time.Millisecond)
			c.setGone("a", false)
		}()
		runFor(p, 5*time.Second)
		if c.pending() != 1 {
			t.Fatalf("%d orders without an answer", c.pending())
		}
		c.carryOut()
		if !c.leads("a") {
			t.Errorf("calls %q after the primary is back", c.calls)
		}
	})
}

// Guards against an order that outlives the host that has sent it: once the primary is back, another
// host that has seen the loss must close it.
func TestLateOrderOfLostHostIsClosed(t *testing.T) {
	for name, holder := range map[string]string{"host gone": "h7", "host hangs": "h9"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				c.unanswered = 1
				lost, other := promoterOf(c, holder), promoterOf(c, "h1")
				c.crash(lost, other)
				ctx, kill := context.WithCancel(context.Background())
				go func() {
					for ctx.Err() == nil {
						lost.check(ctx)
						time.Sleep(activeCheckInterval)
					}
				}()
				other.claimReadAt = time.Now().Add(time.Minute)
				runUntil(5*time.Second, func() bool { return c.pending() > 0 && other.needed }, other)
				kill()
				c.setGone("a", false)
				runFor(other, 3*time.Second)
				c.carryOut()
				if !c.leads("a") {
					t.Errorf("calls %q after the primary is back", c.calls)
				}
				if c.claim.Server != "" {
					t.Errorf("claim %+v still names a server", c.claim)
				}
			})
		})
	}
}

// Guards against an order that a host forgets when it is restarted.
func TestRestartedHostClosesItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.claim = &Claim{Holder: "h1", Server: "b", AboveTerm: 1, Token: 30}
		c.late = []lateOrder{{"b", "h1", 30}}
		p := promoterOf(c, "h1")
		p.claimIfUnclaimed(t.Context())
		runFor(p, time.Second)
		c.carryOut()
		if !c.leads("a") || c.claim.Server != "" {
			t.Errorf("calls %q, claim %+v", c.calls, c.claim)
		}
	})
}

// Guards against an order that a host forgets as the store is unavailable when it is restarted, and against calls
// without a pause until the store is back.
func TestHostRestartedWithoutStoreClosesItsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.claim = &Claim{Holder: "h1", Server: "b", AboveTerm: 1, Token: 30}
		c.late = []lateOrder{{"b", "h1", 30}}
		c.unavailable = true
		p := promoterOf(c, "h1")
		p.claimIfUnclaimed(t.Context())
		c.reads = 0
		runFor(p, 10*time.Second)
		if c.reads > 11 {
			t.Errorf("%d reads of the claim in 10s", c.reads)
		}
		c.unavailable = false
		runFor(p, 2*time.Second)
		c.carryOut()
		if !c.leads("a") || c.claim.Server != "" {
			t.Errorf("calls %q, claim %+v", c.calls, c.claim)
		}
	})
}

// Guards against a group that waits for an answer that never comes: the order is repeated.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.unanswered = 1
		p := promoterOf(c, "h1")
		c.crash(p)
		began := time.Now()
		runUntil(8*time.Second, func() bool { return c.leads("b") }, p)
		if d := time.Since(began); d > 6*time.Second || !slices.Equal(c.calls, []string{"promote b by h1 with 3 at length 9"}) {
			t.Errorf("calls %q after %s", c.calls, d)
		}
	})
}

// Guards against an order that is closed while the primary is lost again: the request that closes it would
// give the lead back to a server that may lack commits.
func TestOrderIsNotClosedWithoutPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.claim = &Claim{Holder: "h1", Server: "b", AboveTerm: 1, Token: 30}
		c.servers["a"].primary = false
		p := promoterOf(c, "h1")
		p.unsettled = true
		p.settle(t.Context())
		if c.token > 0 || !p.unsettled || c.claim.Token != 30 {
			t.Errorf("token %d received, claim %+v", c.token, c.claim)
		}
	})
}
