package executor_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/customer/identifier"
	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
	"github.com/cuminwick/cuminwick/internal/proxy/quotakeeper"
)

// declareCustomers puts a next version of the host's configuration into force, in which the keys
// identify customers. anonymous holds the databases that need no key.
func declareCustomers(d *entryHost, keys map[string]string, anonymous ...string) {
	c := *d.board.Configuration()
	c.Version++
	c.Customers = make(map[string]declarer.Customer)
	c.Keys = make(identifier.Keys)
	for k, n := range keys {
		c.Customers[n] = declarer.Customer{Name: n}
		c.Keys.Add(identifier.DigestOf(k), n)
	}
	routes := make(map[string]declarer.Route)
	for n, r := range c.Routes {
		routes[n] = r
	}
	for _, n := range anonymous {
		r := routes[n]
		r.Anonymous = true
		routes[n] = r
	}
	c.Routes = routes
	d.board.Configure(&c)
}

// Guards against statements of callers whose key no customer holds, at the start of a session.
func TestStartNeedsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"key-a": "a"}, "bounded")
		for name, x := range map[string]struct {
			database, key string
			want          declarer.Code
		}{
			"known":              {"primary", "key-a", declarer.CodeNone},
			"unknown":            {"primary", "key-b", declarer.CodeUnauthorized},
			"none":               {"primary", "", declarer.CodeUnauthorized},
			"unknown, anonymous": {"bounded", "key-b", declarer.CodeNone},
			"unknown database":   {"x", "key-b", declarer.CodeNoDatabase},
		} {
			c := newClient(d, name, x.database, 1)
			c.caller.key = x.key
			go c.session.Run()
			if r := <-c.caller.out; r.code != x.want {
				t.Errorf("%s: code %d, want %d", name, r.code, x.want)
			}
			close(c.caller.in)
		}
		d.close()
		synctest.Wait()
	})
}

// Guards against a key that was taken away and still serves: an open session loses it with its next
// transaction, the open transaction goes on, and a key that comes back serves again.
func TestOpenSessionLosesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a", "v": "b"})
		c := startSession(d, "primary")
		var refused reports
		c.session.Reporter = &refused
		c.expect(t, "WRITE x 1", declarer.CodeNone)
		c.expect(t, "BEGIN", declarer.CodeNone)
		c.expect(t, "READ x", declarer.CodeNone)
		declareCustomers(d, map[string]string{"v": "b"})
		c.expect(t, "WRITE x 2", declarer.CodeNone)
		c.expect(t, "COMMIT", declarer.CodeNone)
		c.expect(t, "WRITE x 3", declarer.CodeUnauthorized)
		c.expect(t, "BEGIN", declarer.CodeUnauthorized)
		if n := len(refused); n != 2 || refused[0].Statement == "" || !strings.Contains(refused[0].Reason, "key") {
			t.Errorf("refusals reported: %+v", refused)
		}
		declareCustomers(d, map[string]string{"u": "a", "v": "b"})
		c.expect(t, "READ x", declarer.CodeNone)
		endSession(d, c)
	})
}

// reports holds the statements that were refused for their key.
type reports []*executor.Report

func (r *reports) Statement(x *executor.Report) {
	if x.Code == declarer.CodeUnauthorized {
		*r = append(*r, x)
	}
}

// expect sends a statement and reports an answer with another code.
func (c *client) expect(t *testing.T, text string, want declarer.Code) {
	t.Helper()
	if _, r := c.ask(text); r.code != want {
		t.Errorf("%s: code %d, want %d", text, r.code, want)
	}
}

// limits grants the first operations of each customer and refuses those after.
type limits struct {
	most     int
	admitted map[string]int
	// levels holds the levels of the operations in the order in which they were counted.
	levels []uint8
}

func (l *limits) Admit(_ context.Context, o quotakeeper.Operation) *quotakeeper.Refusal {
	l.levels = append(l.levels, o.Level)
	if l.admitted[o.Customer] == l.most {
		return &quotakeeper.Refusal{Limit: limiter.Limit{Rate: 2, Burst: 1}, RetryAfter: 400 * time.Millisecond}
	}
	l.admitted[o.Customer]++
	return nil
}

func (l *limits) Return(customer string) { l.admitted[customer]-- }

// Guards against a limit that is used up by operations which have not run, as no server took them.
func TestOperationNotRunIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		d.pools["i-0"] = &connpooler.Pool{Server: w.listServers()[0], Dialer: ownerDialer{d}, Observer: d, Limit: 6}
		declareCustomers(d, map[string]string{"u": "a"})
		c := newClient(d, "s1", "primary", 1)
		l := &limits{most: 1, admitted: make(map[string]int)}
		c.session.Limiter = l
		go c.session.Run()
		<-c.caller.out
		for range 3 {
			c.expect(t, "WRITE x 1", declarer.CodeBusy)
		}
		if l.admitted["a"] != 0 {
			t.Errorf("%d operations counted, none ran", l.admitted["a"])
		}
		endSession(d, c)
	})
}

// Guards against operations beyond a customer's limit that are run, or refused late or without the time
// to come back. A transaction counts once, with its first statement.
func TestOperationBeyondLimitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a"})
		c := newClient(d, "s1", "primary", 1)
		l := &limits{most: 2, admitted: make(map[string]int)}
		c.session.Limiter = l
		go c.session.Run()
		<-c.caller.out
		c.expect(t, "WRITE x 1", declarer.CodeNone)
		c.expect(t, "BEGIN", declarer.CodeNone)
		c.expect(t, "READ x", declarer.CodeNone)
		c.expect(t, "READ x", declarer.CodeNone)
		c.expect(t, "COMMIT", declarer.CodeNone)
		began := time.Now()
		_, r := c.ask("WRITE x 3")
		if r.code != declarer.CodeBusy || !strings.Contains(r.text, "retry after 400 ms") || !strings.Contains(r.text, "customer a") || time.Since(began) > 0 {
			t.Errorf("code %d, %q after %v", r.code, r.text, time.Since(began))
		}
		c.expect(t, "BEGIN", declarer.CodeNone)
		c.expect(t, "WRITE x 4", declarer.CodeBusy)
		c.expect(t, "COMMIT", declarer.CodeAborted)
		l.most++
		if _, r := c.ask("READ x"); strings.Contains(r.text, " 4") || l.admitted["a"] != 3 {
			t.Errorf("%q read, %d operations admitted", r.text, l.admitted["a"])
		}
		endSession(d, c)
	})
}

// Guards against a limit that doesn't know which operations are more important, so that the least important
// ones use it up, and against levels in a configuration that ranks nothing.
func TestLimitIsToldTheLevel(t *testing.T) {
	for ranked, want := range map[bool][]uint8{false: {0, 0}, true: {3, 3}} {
		t.Run(fmt.Sprint("ranked ", ranked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
				d := newEntryHost(w, "z-0")
				declareCustomers(d, map[string]string{"u": "a"})
				x := *d.board.Configuration()
				x.Ranked = ranked
				x.Routes = maps.Clone(x.Routes)
				for n, r := range x.Routes {
					r.Priority = 3
					x.Routes[n] = r
				}
				x.Version++
				d.board.Configure(&x)
				c := newClient(d, "s1", "primary", 1)
				l := &limits{most: 9, admitted: make(map[string]int)}
				c.session.Limiter = l
				go c.session.Run()
				<-c.caller.out
				c.expect(t, "WRITE x 1", declarer.CodeNone)
				c.expect(t, "BEGIN", declarer.CodeNone)
				c.expect(t, "READ x", declarer.CodeNone)
				c.expect(t, "COMMIT", declarer.CodeNone)
				if !slices.Equal(l.levels, want) {
					t.Errorf("levels %v, want %v", l.levels, want)
				}
				endSession(d, c)
			})
		})
	}
}

// Guards against a host that serves keys which it can't confirm where the deployment forbids that.
func TestUnconfirmedKeysAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a"})
		c := newClient(d, "s1", "primary", 1)
		confirmed := true
		c.session.KeysConfirmed = func() bool { return confirmed }
		go c.session.Run()
		<-c.caller.out
		c.expect(t, "WRITE x 1", declarer.CodeNone)
		confirmed = false
		c.expect(t, "WRITE x 2", declarer.CodeBusy)
		confirmed = true
		c.expect(t, "WRITE x 3", declarer.CodeNone)
		endSession(d, c)
	})
}

// Guards against a key that is refused since this host heard of it a moment later than the host where
// its caller was before.
func TestNewKeyIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a"})
		c := newClient(d, "s1", "primary", 1)
		c.caller.key = "new"
		go c.session.Run()
		time.Sleep(100 * time.Millisecond)
		declareCustomers(d, map[string]string{"u": "a", "new": "a"})
		if r := <-c.caller.out; r.code != declarer.CodeNone {
			t.Errorf("code %d", r.code)
		}
		endSession(d, c)
	})
}

// Guards against clients with wild keys that occupy a host: all but a few are refused at once.
func TestWildKeysAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		declareCustomers(d, map[string]string{"u": "a"})
		began := time.Now()
		late := 0
		for range 500 {
			c := newClient(d, "s", "primary", 1)
			c.caller.key = "wild"
			go c.session.Run()
			synctest.Wait()
			select {
			case <-c.caller.out:
			default:
				late++
			}
		}
		if late > 32 || time.Since(began) > 0 {
			t.Errorf("%d of 500 callers wait, after %v", late, time.Since(began))
		}
		time.Sleep(time.Second)
		d.close()
	})
}
