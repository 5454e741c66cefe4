package deployer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// BenchmarkRead makes one read at a time, at the entry host that owns the pool and at a forwarding
// host: with a lease for each read that is ended by a release, with one that is ended by the
// response, and within one lease for all reads.
func BenchmarkRead(b *testing.B) {
	d := startDeployment(b, 3, nil)
	owner, forwarder := poolOwner(b, d)
	for n, i := range map[string]int{"local": owner, "forwarded": forwarder} {
		l := d.Hosts[i].Director().Runtime().Groups["db"].Lessors[primary(b, d)]
		b.Run("lease/"+n, func(b *testing.B) {
			measureTraffic(b, d.Hosts[i], func() {
				e := takeLease(b, l)
				exchangeRead(b, e, false)
				e.Release(lessor.Return{Clean: true})
			})
		})
		b.Run("returned/"+n, func(b *testing.B) {
			measureTraffic(b, d.Hosts[i], func() {
				e := takeLease(b, l)
				exchangeRead(b, e, true)
				e.Release(lessor.Return{Clean: true})
			})
		})
		b.Run("exchange/"+n, func(b *testing.B) {
			e := takeLease(b, l)
			measureTraffic(b, d.Hosts[i], func() { exchangeRead(b, e, false) })
			e.Release(lessor.Return{Clean: true})
		})
	}
}

// measureTraffic benchmarks f and reports the peer traffic of h per call.
func measureTraffic(b *testing.B, h *runner.Host, f func()) {
	f()
	t := h.PeerTraffic()
	for b.Loop() {
		f()
	}
	u := h.PeerTraffic()
	b.ReportMetric(float64(u.Sent-t.Sent)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(u.Received-t.Received)/float64(b.N), "received-B/op")
}

func takeLease(b *testing.B, l lessor.Lessor) lessor.Lease {
	e, err := l.Lease(b.Context(), lessor.Demand{})
	if err != nil {
		b.Fatal(err)
	}
	return e
}

func exchangeRead(b *testing.B, e lessor.Lease, returnIfIdle bool) {
	var q batcher.Batch
	q.AddQuery(batcher.Pass, "SELECT 1")
	r, err := e.Exchange(b.Context(), lessor.Exchange{Batch: &q, Output: discardOutput{}, ReturnIfIdle: returnIfIdle})
	if err != nil || r.Status != 'I' {
		b.Fatal(r, err)
	}
}

type discardOutput struct{}

func (discardOutput) Frame(byte, []byte, bool, bool) error { return nil }

// BenchmarkConnections reads and writes through 36 callers at 9 entry hosts. It reports the
// connections, control connections included, that the backend server with the most has accepted
// since its start, and the share of requests that were refused.
func BenchmarkConnections(b *testing.B) {
	for n, alone := range map[string]bool{"shared": false, "alone": true} {
		b.Run(n, func(b *testing.B) {
			d := startDeployment(b, 3, func(d *deployer.Deployment) {
				d.Standalone = alone
				d.Server.ServiceTime = 2 * time.Millisecond
			})
			c := connectAll(b, d)
			if _, err := c[0].Exec(b.Context(), "CREATE TABLE t (id bigint PRIMARY KEY)"); err != nil {
				b.Fatal(err)
			}
			before := maximumOpened(d)
			b.ResetTimer()
			failed := runRequests(b, c, int64(b.N))
			b.ReportMetric(float64(before), "opened-at-start/server")
			b.ReportMetric(float64(maximumOpened(d)), "opened/server")
			b.ReportMetric(float64(maximumHeld(d)), "held/server")
			b.ReportMetric(float64(len(failed))/float64(b.N), "errors/op")
		})
	}
}

// maximumOpened returns how many connections the backend server with the most has accepted.
func maximumOpened(d *deployer.Deployment) int64 {
	var most int64
	for _, s := range d.Standins["db"].Servers {
		most = max(most, s.OpenedConnections())
	}
	return most
}

// maximumHeld returns how many connections for requests all hosts together have to the backend
// server with the most, as far as the hosts that share pools report them.
func maximumHeld(d *deployer.Deployment) int {
	most := 0
	for _, s := range d.Standins["db"].Servers {
		n := 0
		for _, h := range d.Hosts {
			n += h.PoolConnections("db", s.Name)
		}
		most = max(most, n)
	}
	return most
}

const callersPerHost = 4

// runRequests makes n requests over the callers' connections and returns the errors.
func runRequests(b testing.TB, c []*pgx.Conn, n int64) []error {
	var next atomic.Int64
	var m sync.Mutex
	var failed []error
	var w sync.WaitGroup
	for i := range c {
		w.Go(func() {
			for j := next.Add(1); j <= n; j = next.Add(1) {
				if err := request(b, c[i], j); err != nil {
					m.Lock()
					failed = append(failed, err)
					m.Unlock()
				}
			}
		})
	}
	w.Wait()
	return failed
}

func connectAll(b testing.TB, d *deployer.Deployment) []*pgx.Conn {
	var l []*pgx.Conn
	for _, h := range d.Hosts {
		for range callersPerHost {
			c, err := pgx.Connect(b.Context(), "postgres://caller@"+h.Address()+"/db?sslmode=disable")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { c.Close(context.Background()) })
			l = append(l, c)
		}
	}
	return l
}

// request makes request n: each fifth is a write, the others are reads.
func request(b testing.TB, c *pgx.Conn, n int64) error {
	if n%5 == 0 {
		_, err := c.Exec(b.Context(), "INSERT INTO t (id) VALUES ($1)", n)
		return err
	}
	var v int64
	return c.QueryRow(b.Context(), "SELECT count(*) FROM t WHERE id = $1", n).Scan(&v)
}
