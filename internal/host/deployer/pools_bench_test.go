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

// BenchmarkRead makes one read at a time, over a lease of its own, which a release
// or the answer ends, or over one that goes on, at the entry host that owns the pool and at one that forwards.
func BenchmarkRead(b *testing.B) {
	d := startShared(b, 3, nil)
	own, away := owner(b, d)
	for n, i := range map[string]int{"local": own, "forwarded": away} {
		l := d.Hosts[i].Director().Runtime().Groups["db"].Lessors[primary(b, d)]
		b.Run("lease/"+n, func(b *testing.B) {
			measure(b, d.Hosts[i], func() {
				e := lend(b, l)
				read(b, e, false)
				e.Release(lessor.Return{Clean: true})
			})
		})
		b.Run("returned/"+n, func(b *testing.B) {
			measure(b, d.Hosts[i], func() {
				e := lend(b, l)
				read(b, e, true)
				e.Release(lessor.Return{Clean: true})
			})
		})
		b.Run("exchange/"+n, func(b *testing.B) {
			e := lend(b, l)
			measure(b, d.Hosts[i], func() { read(b, e, false) })
			e.Release(lessor.Return{Clean: true})
		})
	}
}

// measure counts the peer traffic of each call too.
func measure(b *testing.B, h *runner.Host, f func()) {
	f()
	t := h.PeerTraffic()
	for b.Loop() {
		f()
	}
	u := h.PeerTraffic()
	b.ReportMetric(float64(u.Sent-t.Sent)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(u.Received-t.Received)/float64(b.N), "received-B/op")
}

func lend(b *testing.B, l lessor.Lessor) lessor.Lease {
	e, err := l.Lease(b.Context(), lessor.Demand{})
	if err != nil {
		b.Fatal(err)
	}
	return e
}

func read(b *testing.B, e lessor.Lease, giveBack bool) {
	var q batcher.Batch
	q.AddQuery(batcher.Pass, "SELECT 1")
	r, err := e.Exchange(b.Context(), lessor.Exchange{Batch: &q, Output: drop{}, ReturnIfIdle: giveBack})
	if err != nil || r.Status != 'I' {
		b.Fatal(r, err)
	}
}

type drop struct{}

func (drop) Frame(byte, []byte, bool, bool) error { return nil }

// BenchmarkConnections has 36 callers read and write through 9 entry hosts and
// counts the connections that each backend server accepted since its start,
// control included, and the requests that were refused.
func BenchmarkConnections(b *testing.B) {
	for n, alone := range map[string]bool{"shared": false, "alone": true} {
		b.Run(n, func(b *testing.B) {
			d := startShared(b, 3, func(d *deployer.Deployment) {
				d.Standalone = alone
				d.Server.ServiceTime = 2 * time.Millisecond
			})
			c := dial(b, d)
			if _, err := c[0].Exec(b.Context(), "CREATE TABLE t (id bigint PRIMARY KEY)"); err != nil {
				b.Fatal(err)
			}
			before := opened(d)
			b.ResetTimer()
			failed := load(b, c, int64(b.N))
			b.ReportMetric(float64(before), "opened-at-start/server")
			b.ReportMetric(float64(opened(d)), "opened/server")
			b.ReportMetric(float64(held(d)), "held/server")
			b.ReportMetric(float64(len(failed))/float64(b.N), "errors/op")
		})
	}
}

// opened returns how many connections the server with the most has accepted.
func opened(d *deployer.Deployment) int64 {
	var most int64
	for _, s := range d.Standins["db"].Servers {
		most = max(most, s.OpenedConnections())
	}
	return most
}

// held returns how many connections for requests all hosts together hold to
// the server with the most, as far as hosts that share pools tell.
func held(d *deployer.Deployment) int {
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

// load makes n requests over the callers' connections and returns the errors.
func load(b testing.TB, c []*pgx.Conn, n int64) []error {
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

func dial(b testing.TB, d *deployer.Deployment) []*pgx.Conn {
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

// request writes once in five times and reads otherwise.
func request(b testing.TB, c *pgx.Conn, n int64) error {
	if n%5 == 0 {
		_, err := c.Exec(b.Context(), "INSERT INTO t (id) VALUES ($1)", n)
		return err
	}
	var v int64
	return c.QueryRow(b.Context(), "SELECT count(*) FROM t WHERE id = $1", n).Scan(&v)
}
