package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// customerDialer records the customers that connections were opened for.
type customerDialer struct{ customers []string }

func (d *customerDialer) Dial(_ context.Context, _ declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	d.customers = append(d.customers, customer)
	return &openConnection{}, marker.Mark{}, nil
}

func (*customerDialer) Connected(declarer.Server, marker.Mark) {}
func (*customerDialer) Unreachable(_ declarer.Server, _ error) {}

// openConnection is a connection that is never used.
type openConnection struct{ connpooler.Connection }

func (*openConnection) PendingAnswers() int { return 0 }
func (*openConnection) Ended() bool         { return false }
func (*openConnection) Close()              {}

// A restarted host owns the connections to a server and is asked for one before it has its
// configuration. Guards against statements of a customer on a connection that was opened for none.
func TestLoanBeforeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &customerDialer{}
		p := &pools{self: "h", board: &blackboard.Board{}, dialer: d, observer: d, roster: &roster{}}
		p.setServers([]declarer.Server{{ID: "i", Group: "g"}})
		for range 2 {
			o := p.ownPool("i", true)
			l, err := o.Acquire(connpooler.AcquireRequest{Deadline: time.Now().Add(time.Second), Customer: "a", Team: "a"})
			if err != nil {
				t.Fatal(err)
			}
			l.Release(false)
			p.board.Configure(&declarer.Configuration{Version: 1, Customers: map[string]declarer.Customer{"a": {Name: "a"}}})
			p.trim(time.Now())
		}
		if len(d.customers) != 1 || d.customers[0] != "a" {
			t.Errorf("connections opened for %q, want one for a", d.customers)
		}
		p.ownPool("i", true).Close()
	})
}

// Guards against connections that serve all customers and stay in use once callers are identified.
func TestConnectionsForAllEndWithCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &customerDialer{}
		p := &pools{self: "h", board: &blackboard.Board{}, dialer: d, observer: d, roster: &roster{}}
		p.board.Configure(&declarer.Configuration{Version: 1})
		p.setServers([]declarer.Server{{ID: "i", Group: "g"}})
		o := p.ownPool("i", false)
		if o.ByCustomer {
			t.Error("connections belong to customers, though there are none")
		}
		p.board.Configure(&declarer.Configuration{Version: 2, Customers: map[string]declarer.Customer{}})
		p.trim(time.Now())
		if n := p.ownPool("i", false); n == o || !n.ByCustomer || o.Limit != 0 {
			t.Errorf("by customer %t, limit of the former pool %d", n.ByCustomer, o.Limit)
		}
	})
}

// Guards against a pool that is made and dropped for each request, which takes longer than finding the one
// that there is.
func TestPoolIsFoundWithoutAllocation(t *testing.T) {
	d := &customerDialer{}
	p := &pools{self: "h", board: &blackboard.Board{}, dialer: d, observer: d, roster: &roster{}}
	s := declarer.Server{ID: "i", Group: "g"}
	p.setServers([]declarer.Server{s})
	o := declarer.Host{Name: "o"}
	for name, find := range map[string]func(){
		"own":      func() { p.ownPool("i", false) },
		"borrowed": func() { p.borrowedPool(s, o) },
	} {
		if n := testing.AllocsPerRun(100, find); n != 0 {
			t.Errorf("%s: %.0f allocations", name, n)
		}
	}
}
