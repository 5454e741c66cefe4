package connpooler

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// newCustomerPool returns a pool whose connections serve one customer each.
func newCustomerPool(f *fakeServer, limit int) *Pool {
	return &Pool{Server: declarer.Server{ID: "i", Slots: 2}, Dialer: f, Observer: f, Limit: limit, MinOpen: limit, ByCustomer: true}
}

// requestFor returns a request of a customer with the deadline after wait.
func requestFor(customer string, wait time.Duration) AcquireRequest {
	return AcquireRequest{Deadline: time.Now().Add(wait), Class: admitter.ClassRead, Customer: customer, Team: customer}
}

// customerOf returns the customer that the server was told for the lease's connection.
func customerOf(l *Lease) string { return l.Connection.(*fakeConnection).customer }

// Guards against statements of one customer on a connection that was opened for another, and against
// more connections than the limit, whatever customers do at the same time.
func TestConnectionServesOneCustomer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(r, "limit")
		customers := rapid.IntRange(1, 8).Draw(r, "customers")
		sessions := rapid.IntRange(1, 20).Draw(r, "sessions")
		serverLimit := rapid.IntRange(1, 8).Draw(r, "server limit")
		x := &customerLoad{server: &fakeServer{limit: serverLimit}, rounds: 5}
		x.pool = newCustomerPool(x.server, limit)
		synctest.Test(t, func(t *testing.T) {
			var w sync.WaitGroup
			for i := range sessions {
				w.Go(func() { x.run(i, fmt.Sprint("c", i%customers)) })
			}
			w.Wait()
			x.pool.Close()
			time.Sleep(recoverTimeout) // until connections that open or recover have ended
		})
		if x.mixed > 0 {
			r.Errorf("%d leases on a connection of another customer", x.mixed)
		}
		if x.mostOpen > min(limit, serverLimit) {
			r.Errorf("%d connections open, limit %d", x.mostOpen, min(limit, serverLimit))
		}
		if x.server.open != 0 {
			r.Errorf("%d connections left open", x.server.open)
		}
		if n := x.pool.queue.Running(); n != 0 {
			r.Errorf("%d slots never released", n)
		}
	})
}

// customerLoad runs sessions of several customers on a pool.
type customerLoad struct {
	pool   *Pool
	server *fakeServer
	rounds int

	mu       sync.Mutex
	mixed    int
	mostOpen int
}

// run runs one session, some of whose uses break their connection or leave a transaction open.
func (x *customerLoad) run(i int, customer string) {
	for n := range x.rounds {
		time.Sleep(time.Duration(i*7+n*13) * time.Millisecond)
		a := requestFor(customer, time.Duration(50+20*i)*time.Millisecond)
		a.AnyCustomer = i == 3
		l, err := x.pool.Acquire(a)
		if err != nil {
			continue
		}
		x.check(l, a)
		time.Sleep(time.Duration(5+i) * time.Millisecond)
		if (i+n)%5 == 0 {
			l.State = declarer.StateTransaction
		}
		l.Release((i+n)%7 == 0)
	}
}

func (x *customerLoad) check(l *Lease, a AcquireRequest) {
	x.server.mu.Lock()
	open := x.server.open
	x.server.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mostOpen = max(x.mostOpen, open)
	if !a.AnyCustomer && customerOf(l) != a.Customer {
		x.mixed++
	}
}

// Guards against a customer that gets no connection as those of others are idle: the one that was used
// longest ago makes room.
func TestIdleConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 9}
		p := newCustomerPool(f, 2)
		for _, c := range []string{"a", "b", "a", "c", "a"} {
			l, err := p.Acquire(requestFor(c, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			if customerOf(l) != c {
				t.Errorf("connection of %s for %s", customerOf(l), c)
			}
			l.Release(false)
		}
		if f.attempts != 3 || f.open != 2 {
			t.Errorf("%d connections opened, %d open; want 3, 2", f.attempts, f.open)
		}
		p.Close()
	})
}

// Guards against a connection that is opened for the proxy's own statements while one is idle.
func TestProxyUsesAnyConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 9}
		p := newCustomerPool(f, 2)
		l, err := p.Acquire(requestFor("a", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false)
		l, err = p.Acquire(AcquireRequest{Deadline: time.Now().Add(time.Second), Class: admitter.ClassTransaction, AnyCustomer: true})
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false)
		if f.attempts != 1 {
			t.Errorf("%d connections opened", f.attempts)
		}
		p.Close()
	})
}

// Guards against a server at its limit of connections, which other hosts hold: the host replaces an
// idle one of its own, and has none to replace it refuses at once with the time to come back.
func TestServerAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 1}
		p := newCustomerPool(f, 3)
		l, err := p.Acquire(requestFor("a", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err = p.Acquire(requestFor("b", time.Second))
		r, ok := errors.AsType[*Refusal](err)
		if !ok || r.Reason != admitter.ReasonNoConnections || r.RetryAfter <= 0 || time.Since(began) > 2*openDelay {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		l.Release(false)
		if l, err = p.Acquire(requestFor("b", time.Second)); err != nil || customerOf(l) != "b" {
			t.Fatalf("idle connection of another customer isn't replaced: %v", err)
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against a statement that outlasts its deadline since a connection takes long to open. The
// connection is kept for the next one.
func TestDeadlineWhileOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 9}
		p := newCustomerPool(f, 2)
		began := time.Now()
		if _, err := p.Acquire(requestFor("a", openDelay/2)); !errors.Is(err, ErrRefused) || time.Since(began) != openDelay/2 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		time.Sleep(openDelay)
		p.mu.Lock()
		defer p.mu.Unlock()
		if l := p.idle; len(l) != 1 || l[0].customer != "a" {
			t.Errorf("%d idle connections", len(l))
		}
	})
}

// Guards against a customer with a burst that keeps the others from the server: each one's statements
// get their share, though the burst was there first.
func TestBurstOfOneCustomerLeavesOthersTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 40}
		p := newCustomerPool(f, 34)
		var w sync.WaitGroup
		for range 100 {
			w.Go(func() { statement(p, "hot") })
		}
		time.Sleep(time.Millisecond)
		began := time.Now()
		for i := range 4 {
			w.Go(func() {
				statement(p, fmt.Sprint("c", i))
				if d := time.Since(began); d > 500*time.Millisecond {
					t.Errorf("statement of another customer took %v", d)
				}
			})
		}
		w.Wait()
		p.Close()
		synctest.Wait()
	})
}

// statement runs one statement of a customer on the pool.
func statement(p *Pool, customer string) {
	a := requestFor(customer, 5*time.Second)
	l, err := p.Acquire(a)
	if err != nil {
		return
	}
	defer l.Release(false)
	permit, err := l.AcquirePermit(a)
	if err != nil {
		return
	}
	var x declarer.Answer
	_ = l.Send([]declarer.Request{{ID: "1", Text: "READ a"}}, a.Deadline)
	_ = l.Receive(&x, a.Deadline)
	permit.End(declarer.CodeNone)
}

// Guards against a server that is refused after it is back, since attempts to open connections to it took
// long while it was away.
func TestFailedOpeningsAreNoServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 9, err: ErrNoRoute}
		p := newCustomerPool(f, 4)
		for range 20 {
			if _, err := p.Acquire(requestFor("a", time.Second)); !errors.Is(err, ErrUnreachable) {
				t.Fatal(err)
			}
		}
		if d := p.permits.gate.Load().ServiceTime; d >= openDelay {
			t.Errorf("service time %v after failed attempts of %v", d, openDelay)
		}
		p.Close()
	})
}
