package executor_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// request puts a next version of the host's configuration into force, with the operators' requests. The
// name of a route is that of its database with the prefix "r-".
func request(d *entryHost, o declarer.Operations) {
	c := *d.board.Configuration()
	c.Version++
	c.Operations = o
	routes := make(map[string]declarer.Route)
	for n, r := range c.Routes {
		r.Name = "r-" + n
		routes[n] = r
	}
	c.Routes = routes
	d.board.Configure(&c)
}

func only(name string) map[string]bool { return map[string]bool{name: true} }

// holds records the statements that were refused as held.
type holds []*executor.Report

func (h *holds) Statement(x *executor.Report) {
	if x.Held.Kind != executor.HoldNone {
		*h = append(*h, x)
	}
}

// A customer is held while it has a transaction open. Guards against a hold that breaks the transaction,
// that lets new statements or transactions through, that counts refused ones against the customer's limit,
// or that lasts beyond its end.
func TestHeldCustomerFinishesItsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a", "v": "b"})
		c := newClient(d, "s1", "primary", 1)
		l := &limits{most: 100, admitted: make(map[string]int)}
		var refused holds
		c.session.Limiter, c.session.Reporter = l, &refused
		go c.session.Run()
		<-c.caller.out
		c.expect(t, "BEGIN", declarer.CodeNone)
		c.expect(t, "WRITE x 1", declarer.CodeNone)
		request(d, declarer.Operations{HeldCustomers: only("a")})
		c.expect(t, "WRITE x 2", declarer.CodeNone)
		c.expect(t, "COMMIT", declarer.CodeNone)
		counted := l.admitted["a"]
		for _, x := range []string{"WRITE x 3", "READ x", "BEGIN"} {
			if _, r := c.ask(x); r.code != declarer.CodeBusy || r.text != "not run: customer a is held by the operator, retry after 1000 ms" || r.state != declarer.StateIdle {
				t.Errorf("%s: %+v", x, r)
			}
		}
		if l.admitted["a"] != counted {
			t.Errorf("%d refused operations counted against the limit", l.admitted["a"]-counted)
		}
		if len(refused) != 3 || refused[0].Attempts != 0 || refused[0].Customer != "a" || refused[0].Group != "db" || refused[0].Held.Name != "a" {
			t.Errorf("refusals reported: %+v", refused)
		}
		request(d, declarer.Operations{HeldCustomers: only("b")})
		c.expect(t, "READ x", declarer.CodeNone)
		endSession(d, c)
	})
}

// A customer is held between the begin of a transaction and its first statement. Guards against a
// transaction that was confirmed to the caller and is refused later.
func TestHoldAfterBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a"})
		c := startSession(d, "primary")
		c.expect(t, "BEGIN", declarer.CodeNone)
		request(d, declarer.Operations{HeldCustomers: only("a"), HeldRoutes: only("r-primary")})
		c.expect(t, "WRITE x 1", declarer.CodeNone)
		c.expect(t, "COMMIT", declarer.CodeNone)
		c.expect(t, "BEGIN", declarer.CodeBusy)
		endSession(d, c)
	})
}

// Guards against a held route that holds other routes, or that doesn't hold callers without a customer.
func TestHeldRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		held := newClient(d, "s1", "primary", 1)
		go held.session.Run()
		<-held.caller.out
		c := startSession(d, "own")
		request(d, declarer.Operations{HeldRoutes: only("r-primary"), HeldCustomers: only("")})
		if _, r := held.ask("WRITE x 1"); r.code != declarer.CodeBusy || r.text != "not run: route r-primary is held by the operator, retry after 1000 ms" {
			t.Errorf("held route: %+v", r)
		}
		c.expect(t, "WRITE x 1", declarer.CodeNone)
		close(held.caller.in)
		endSession(d, c)
	})
}

// An operator releases a customer while callers retry. Guards against callers that stay refused after the
// release, and against ones that were served before it.
func TestReleaseServesRefusedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a"})
		request(d, declarer.Operations{HeldCustomers: only("a")})
		var l []*client
		for range 8 {
			c := newClient(d, "s", "primary", 1)
			go c.session.Run()
			if r := <-c.caller.out; r.code != declarer.CodeNone {
				t.Fatalf("session of a held customer: %+v", r)
			}
			l = append(l, c)
		}
		for range 3 {
			for _, c := range l {
				c.expect(t, "READ x", declarer.CodeBusy)
			}
			time.Sleep(time.Second)
		}
		request(d, declarer.Operations{})
		for _, c := range l {
			c.expect(t, "READ x", declarer.CodeNone)
			close(c.caller.in)
		}
		d.close()
		synctest.Wait()
	})
}

// Guards against held statements that the lines, metrics and losses by priority lack under a ranked
// configuration, and against an importance in those of one that ranks nothing.
func TestHeldStatementsAreReportedWithImportance(t *testing.T) {
	for _, priority := range []uint8{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
			d := newEntryHost(w, "z-0")
			declarePriorities(d, 3, map[string]uint8{"primary": priority})
			request(d, declarer.Operations{HeldCustomers: only("a")})
			c := newClient(d, "s1", "primary", 1)
			var refused holds
			c.session.Reporter = &refused
			go c.session.Run()
			<-c.caller.out
			c.expect(t, "READ x", declarer.CodeBusy)
			c.expect(t, "BEGIN", declarer.CodeBusy)
			want := rankedRequest{importance: 3, ranked: true}
			if priority != 0 {
				want = rankedRequest{}
			}
			if len(refused) != 2 {
				t.Fatalf("%d refusals reported, want 2", len(refused))
			}
			for _, r := range refused {
				if got := (rankedRequest{r.Importance, r.Ranked}); got != want {
					t.Errorf("route of priority %d: %+v, want %+v", priority, got, want)
				}
			}
			endSession(d, c)
		})
	}
}
