package runner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// sharesConfiguration declares two customers, of which "large" has three times the rate of "small".
func sharesConfiguration(version uint64, ranked bool) *declarer.Configuration {
	return &declarer.Configuration{
		Version: version, Ranked: ranked,
		Customers: map[string]declarer.Customer{
			"large": {Name: "large", Limit: limiter.Limit{Rate: 30}},
			"small": {Name: "small", Limit: limiter.Limit{Rate: 10}},
		},
		Groups: map[string]declarer.Group{"g": {Name: "g", MaximumConnections: 3}},
	}
}

// openDialer opens connections that are never used.
type openDialer struct{}

func (openDialer) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	return &openConnection{}, marker.Mark{}, nil
}

func (openDialer) Connected(declarer.Server, marker.Mark) {}
func (openDialer) Unreachable(_ declarer.Server, _ error) {}

// contend has 24 requests of each customer wait for the two connections of the pool, each for 5 ms, and
// returns how many of "large" are among the first 24 that got one.
func contend(t *testing.T, o *connpooler.Pool) int {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var order []string
	for range 24 {
		for _, n := range []string{"small", "large"} {
			wait.Go(func() {
				l, err := o.Acquire(connpooler.AcquireRequest{Deadline: time.Now().Add(10 * time.Second), Customer: n, Team: n})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, n)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				l.Release(false)
			})
		}
	}
	wait.Wait()
	n := 0
	for _, c := range order[:24] {
		if c == "large" {
			n++
		}
	}
	return n
}

// Guards against queues of the owner of a server's connections that keep the shares of a former
// configuration, or that have shares where no configuration asks for them.
func TestPoolsHaveSharesOfConfigurationInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := openDialer{}
		p := &pools{self: "h", board: &blackboard.Board{}, dialer: d, observer: d, roster: &roster{}}
		p.setServers([]declarer.Server{{ID: "i", Group: "g"}, {ID: "k", Group: "g"}})
		for v, x := range []struct {
			server string
			ranked bool
			want   int
		}{
			{"i", false, 12},
			{"i", true, 18},
			{"k", true, 18},
			{"i", false, 12},
			{"k", false, 12},
		} {
			p.board.Configure(sharesConfiguration(uint64(v+1), x.ranked))
			if n := contend(t, p.ownPool(x.server, false)); n < x.want-2 || n > x.want+2 {
				t.Errorf("step %d, ranked %t: %d of the first 24 connections for the large customer, want %d", v, x.ranked, n, x.want)
			}
		}
		for _, o := range p.pools {
			o.Close()
		}
	})
}

// BenchmarkOwnPool measures the part of a request that finds the pool, without and with shares.
func BenchmarkOwnPool(b *testing.B) {
	for name, ranked := range map[string]bool{"unranked": false, "ranked": true} {
		b.Run(name, func(b *testing.B) {
			d := openDialer{}
			p := &pools{self: "h", board: &blackboard.Board{}, dialer: d, observer: d, roster: &roster{}}
			p.setServers([]declarer.Server{{ID: "i", Group: "g"}})
			p.board.Configure(sharesConfiguration(1, ranked))
			b.ReportAllocs()
			for b.Loop() {
				p.ownPool("i", false)
			}
		})
	}
}
