package apportioner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

func customers(rates map[string]float64) map[string]declarer.Customer {
	m := make(map[string]declarer.Customer)
	for n, r := range rates {
		m[n] = declarer.Customer{Name: n, Limit: limiter.Limit{Rate: r}}
	}
	return m
}

func withShare(m map[string]declarer.Customer, name string, share float64) map[string]declarer.Customer {
	x := m[name]
	x.Name, x.Share = name, share
	m[name] = x
	return m
}

func TestShares(t *testing.T) {
	database := map[string]declarer.Route{"db": {Database: "db", Anonymous: true}}
	keyed := map[string]declarer.Route{"db": {Database: "db"}}
	for name, x := range map[string]struct {
		configuration declarer.Configuration
		want          map[string]int
	}{
		"rates": {
			declarer.Configuration{Ranked: true, Customers: customers(map[string]float64{"a": 200, "b": 50, "c": 0.01})},
			map[string]int{"a": 1000, "b": 250, "c": 1},
		},
		"no rate has the median": {
			declarer.Configuration{Ranked: true, Routes: database, Customers: customers(map[string]float64{"a": 100, "b": 40, "c": 20, "d": 0})},
			map[string]int{"a": 1000, "b": 400, "c": 200, "d": 400, "db": 400},
		},
		"median of an even number": {
			declarer.Configuration{Ranked: true, Customers: customers(map[string]float64{"a": 100, "b": 50, "c": 0})},
			map[string]int{"a": 1000, "b": 500, "c": 750},
		},
		"routes without anonymous callers reduce no entitlement": {
			declarer.Configuration{Ranked: true, Routes: keyed, Customers: customers(map[string]float64{"a": 100, "b": 40})},
			map[string]int{"a": 1000, "b": 400},
		},
		"no customers": {
			declarer.Configuration{Ranked: true, Routes: keyed},
			map[string]int{},
		},
		"no rates at all": {
			declarer.Configuration{Ranked: true, Customers: customers(map[string]float64{"a": 0, "b": 0})},
			map[string]int{"a": 1000, "b": 1000},
		},
		"a share takes the place of the rate": {
			declarer.Configuration{Ranked: true, Customers: withShare(customers(map[string]float64{"a": 100, "b": 50}), "b", 200)},
			map[string]int{"a": 500, "b": 1000},
		},
		"factors before rounding": {
			declarer.Configuration{Ranked: true, Customers: customers(map[string]float64{"a": 3, "b": 1}), Operations: declarer.Operations{ShareFactors: map[string]float64{"a": 100, "b": 0.01, "of no customer": 5}}},
			map[string]int{"a": 100000, "b": 3},
		},
		"factor in an unranked configuration": {
			declarer.Configuration{Routes: database, Customers: customers(map[string]float64{"a": 100, "b": 1}), Operations: declarer.Operations{ShareFactors: map[string]float64{"b": 0.5}}},
			map[string]int{"a": 1000, "b": 500, "db": 1000},
		},
		"customer named like a database": {
			declarer.Configuration{Ranked: true, Routes: database, Customers: customers(map[string]float64{"db": 1, "a": 10})},
			map[string]int{"a": 1000, "db": 100},
		},
		"rates that the store accepted in spite of errors": {
			declarer.Configuration{Ranked: true, Customers: customers(map[string]float64{"a": 10, "b": -1, "c": math.Inf(1), "d": math.NaN()})},
			map[string]int{"a": 1000, "b": 1000, "c": 1000, "d": 1000},
		},
		"highest rate of all numbers": {
			declarer.Configuration{Ranked: true, Customers: customers(map[string]float64{"a": math.MaxFloat64, "b": math.MaxFloat64, "c": 0})},
			map[string]int{"a": 1000, "b": 1000, "c": 1000},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(map[string]int)
			for n, l := range Shares(&x.configuration) {
				got[n] = l.Share
			}
			if d := cmp.Diff(x.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against queues that divide slot time in another way where no configuration asks for it.
func TestNoSharesWithoutRankOrFactors(t *testing.T) {
	for _, c := range []*declarer.Configuration{nil, {}, {Customers: withShare(customers(map[string]float64{"a": 5, "b": 1}), "a", 7)}} {
		if m := Shares(c); m != nil {
			t.Errorf("shares %v of %+v", m, c)
		}
	}
}

// flood offers requests to a queue with two slots of 5 ms for 20 s of virtual time. Customers send at their
// rates, which fit together, except that the first one sends factor times its rate. It returns the number
// of requests that ran, by customer.
func flood(c *declarer.Configuration, factor int) map[string]int {
	const service = 5 * time.Millisecond
	q := &admitter.Queue{Slots: 2, Length: 64, Teams: Shares(c)}
	running, ran := make(map[time.Duration][]*admitter.Entry), make(map[string]int)
	sent := make(map[string]float64)
	for now := time.Millisecond; now < 20*time.Second; now += time.Millisecond {
		for _, e := range running[now] {
			ran[e.Team]++
			q.Release(e, now)
			start(q, running, now+service)
		}
		delete(running, now)
		for i := range len(c.Customers) {
			n := fmt.Sprintf("c-%02d", i)
			r := c.Customers[n].Limit.Rate / 1000
			if i == 0 {
				r *= float64(factor)
			}
			for sent[n] += r; sent[n] >= 1; sent[n]-- {
				q.Offer(&admitter.Entry{Team: n, Class: admitter.ClassRead, Deadline: now + 800*time.Millisecond}, now)
				start(q, running, now+service)
			}
		}
	}
	return ran
}

// start has the entries that the queue's last call granted run until end.
func start(q *admitter.Queue, running map[time.Duration][]*admitter.Entry, end time.Duration) {
	running[end] = append(running[end], q.Granted...)
	q.Granted = q.Granted[:0]
}

// Guards against a customer that sends 10 times its usual load at the cost of the others' slot time. With
// equal shares, the largest other customer would lose as much as the flooding one gains.
func TestFloodOfOneCustomerCostsOthersLittle(t *testing.T) {
	c := &declarer.Configuration{Ranked: true, Customers: make(map[string]declarer.Customer)}
	for i := range 40 {
		n := fmt.Sprintf("c-%02d", i)
		c.Customers[n] = declarer.Customer{Name: n, Limit: limiter.Limit{Rate: float64(2 + i%4)}}
	}
	c.Customers["c-00"] = declarer.Customer{Name: "c-00", Limit: limiter.Limit{Rate: 50}}
	c.Customers["c-01"] = declarer.Customer{Name: "c-01", Limit: limiter.Limit{Rate: 150}}
	before, after := flood(c, 1), flood(c, 10)
	sum := func(m map[string]int) (n int) {
		for k, v := range m {
			if k != "c-00" {
				n += v
			}
		}
		return n
	}
	usual, flooded := sum(before), sum(after)
	t.Logf("others ran %d requests, %d during the flood; the flooding customer %d and %d", usual, flooded, before["c-00"], after["c-00"])
	if 100*flooded < 99*usual {
		t.Errorf("others ran %d requests, %d during the flood", usual, flooded)
	}
}

func BenchmarkShares(b *testing.B) {
	c := &declarer.Configuration{Ranked: true, Customers: make(map[string]declarer.Customer), Routes: make(map[string]declarer.Route)}
	for i := range 81 {
		n := fmt.Sprintf("c-%02d", i)
		c.Customers[n] = declarer.Customer{Name: n, Limit: limiter.Limit{Rate: float64(1 + i)}}
	}
	for i := range 24 {
		n := fmt.Sprintf("d-%02d", i)
		c.Routes[n] = declarer.Route{Database: n}
	}
	b.ReportAllocs()
	for b.Loop() {
		Shares(c)
	}
}

// Guards against databases that count as customers where callers have no keys: a server runs the requests of
// a few of them, each of which would be entitled to the part of one among all, and those of less important
// routes beyond that would have no reserved grants.
func TestDatabasesWithoutCustomersHaveNoEntitlement(t *testing.T) {
	c := &declarer.Configuration{Ranked: true, Routes: make(map[string]declarer.Route)}
	for i := range 24 {
		n := fmt.Sprintf("db-%02d", i)
		c.Routes[n] = declarer.Route{Database: n, Priority: uint8(i % 3)}
	}
	q := &admitter.Queue{Slots: 1}
	q.SetTeams(Shares(c), 0)
	now, passed := time.Duration(0), 0
	offer := func(level uint8) {
		q.Offer(&admitter.Entry{Team: fmt.Sprintf("db-%02d", level), Class: admitter.ClassRead, Importance: admitter.RankedImportance(level, 1)}, now)
	}
	running := &admitter.Entry{Team: "db-00", Class: admitter.ClassRead}
	q.Offer(running, now)
	for range 200 {
		now += 5 * time.Millisecond
		offer(1)
		offer(2)
		q.Release(running, now)
		running = q.Granted[0]
		passed++
		if running.Importance.Level() == 2 {
			passed = 0
		}
		if passed >= 16 {
			t.Fatalf("at %s: %d grants in a row while requests of the least important route wait", now, passed)
		}
	}
}
