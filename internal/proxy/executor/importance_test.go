package executor_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/customer/identifier"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// declarePriorities puts a next version of the host's configuration into force, with these priorities of
// routes and of the only customer.
func declarePriorities(d *entryHost, customer uint8, routes map[string]uint8) {
	c := *d.board.Configuration()
	c.Version++
	c.Customers = map[string]declarer.Customer{"a": {Name: "a", Priority: customer}}
	c.Keys = make(identifier.Keys)
	c.Keys.Add(identifier.DigestOf("u"), "a")
	c.Ranked = false
	old := c.Routes
	c.Routes = make(map[string]declarer.Route)
	for n, r := range old {
		r.Priority = admitter.DefaultPriority
		if p, ok := routes[n]; ok {
			r.Priority = p
		}
		c.Ranked = c.Ranked || r.Priority == 0
		c.Routes[n] = r
	}
	d.board.Configure(&c)
}

// rankedRequest is what a request tells of its importance.
type rankedRequest struct {
	importance admitter.Importance
	ranked     bool
}

// allReports records the importance and the attempts of all reported statements.
type allReports struct {
	requests []rankedRequest
	attempts []int
}

func (r *allReports) Statement(x *executor.Report) {
	r.requests = append(r.requests, rankedRequest{x.Importance, x.Ranked})
	r.attempts = append(r.attempts, x.Attempts)
}

// lendingDialer dials connections that another host lends, and records the requests for them.
type lendingDialer struct {
	group *databaseGroup
	// callers are the requests for statements of callers, own those of the proxy itself.
	callers, own []rankedRequest
}

func (l *lendingDialer) Dial(ctx context.Context, s declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	c, m, err := l.group.Dial(ctx, s, customer)
	if err != nil {
		return nil, m, err
	}
	return &lentConnection{c.(*connection), l}, m, nil
}

type lentConnection struct {
	*connection
	dialer *lendingDialer
}

func (c *lentConnection) Borrow(a connpooler.AcquireRequest) {
	r := rankedRequest{a.Importance, a.Ranked}
	if a.AnyCustomer {
		c.dialer.own = append(c.dialer.own, r)
		return
	}
	c.dialer.callers = append(c.dialer.callers, r)
}

// Return rolls back an open transaction, as the owner does.
func (c *lentConnection) Return() error {
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	c.abort()
	return nil
}

// lendAll makes another host lend the connections to all servers.
func lendAll(d *entryHost, w *databaseGroup) *lendingDialer {
	l := &lendingDialer{group: w}
	for _, s := range w.listServers() {
		d.pools[s.ID] = &connpooler.Pool{Server: s, Dialer: l, Observer: d, Limit: 6}
	}
	return l
}

// Guards against a transaction that becomes less important than it began while it holds a connection and
// locks, or whose owner is told another importance than its log line. Its first statement, with which it
// requests the connection, may come after the change.
func TestTransactionKeepsImportance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		l := lendAll(d, w)
		declarePriorities(d, 3, map[string]uint8{"primary": 2, "own": 0})
		c := newClient(d, "s1", "primary", 1)
		var r allReports
		c.session.Reporter = &r
		go c.session.Run()
		<-c.caller.out
		c.expect(t, "BEGIN", declarer.CodeNone)
		declarePriorities(d, 0, map[string]uint8{"primary": 7, "own": 0})
		c.expect(t, "READ x", declarer.CodeNone)
		declarePriorities(d, 0, nil)
		c.expect(t, "WRITE x 1", declarer.CodeNone)
		c.expect(t, "COMMIT", declarer.CodeNone)
		c.expect(t, "WRITE x 2", declarer.CodeNone)
		declarePriorities(d, 1, map[string]uint8{"primary": 0})
		c.expect(t, "WRITE x 3", declarer.CodeNone)
		began, after := rankedRequest{19, true}, rankedRequest{1, true}
		if x := cmp.Diff([]rankedRequest{began, began, began, {}, after}, r.requests, cmp.AllowUnexported(rankedRequest{})); x != "" {
			t.Error("reported", x)
		}
		if x := cmp.Diff([]rankedRequest{began, {}, after}, l.callers, cmp.AllowUnexported(rankedRequest{})); x != "" {
			t.Error("borrowed", x)
		}
		endSession(d, c)
	})
}

// Guards against requests of the proxy itself that wait behind those of callers at the owner, as it takes
// a request without importance for one of default priorities, and against an importance that is sent
// where nothing is ranked.
func TestOwnRequestsAreRanked(t *testing.T) {
	for name, ranked := range map[string]bool{"ranked": true, "not ranked": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
				d := newEntryHost(w, "z-0")
				l := lendAll(d, w)
				if ranked {
					declarePriorities(d, 1, map[string]uint8{"own": 0})
				}
				d.observer.Observe("db", time.Second, true, time.Now().Add(time.Second))
				if len(l.own) == 0 {
					t.Fatal("the proxy requested no connection")
				}
				for _, x := range l.own {
					if x != (rankedRequest{0, ranked}) {
						t.Errorf("request %+v, want ranked %t", x, ranked)
					}
				}
				d.close()
				synctest.Wait()
			})
		})
	}
}
