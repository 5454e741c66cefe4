package deployer_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// distant has datagrams between entry hosts take the time that they take between
// zones and regions; the paths to backend servers stay short.
func distant(t testing.TB) func(d *deployer.Deployment) {
	n := &disturber.Network{Latency: func(p disturber.Path) time.Duration {
		switch {
		case p.From.AvailabilityZone == p.To.AvailabilityZone:
			return 0
		case p.From.Region == p.To.Region:
			return time.Millisecond
		default:
			return 8 * time.Millisecond
		}
	}}
	n.Open(t.Context())
	return func(d *deployer.Deployment) {
		d.Server.ServiceTime = 10 * time.Millisecond
		d.ListenPacket = func(at deployer.Place) func(a *net.UDPAddr) (net.PacketConn, error) {
			return n.Listener(disturber.Place{AvailabilityZone: at.AvailabilityZone, Region: at.Region})
		}
	}
}

// BenchmarkDistantWrites has 8 callers of each entry host that forwards insert
// lines, 10 ms each, at a primary with two slots: 5 ms a line at best.
func BenchmarkDistantWrites(b *testing.B) {
	d := startShared(b, 1, distant(b))
	own, _ := owner(b, d)
	var l []*pgx.Conn
	for i := range d.Hosts {
		for range 8 {
			if i != own {
				l = append(l, connect(b, d, i, ""))
			}
		}
	}
	exec(b, l[0], "CREATE TABLE t (id bigint PRIMARY KEY)")
	for kind, q := range map[string][]string{
		"alone":          {"INSERT INTO t (id) VALUES ($1)"},
		"in transaction": {"BEGIN", "INSERT INTO t (id) VALUES ($1)", "COMMIT"},
	} {
		b.Run(kind, func(b *testing.B) {
			before := opened(d)
			insert(b, l, q)
			b.ReportMetric(float64(opened(d)-before), "opened")
		})
	}
}

// inserted numbers the lines of all runs.
var inserted atomic.Int64

// insert makes b.N requests over the callers' connections.
func insert(b *testing.B, l []*pgx.Conn, texts []string) {
	var made atomic.Int64
	var w sync.WaitGroup
	b.ResetTimer()
	for _, c := range l {
		w.Go(func() {
			for made.Add(1) <= int64(b.N) {
				for _, q := range texts {
					var a []any
					if q != "BEGIN" && q != "COMMIT" {
						a = append(a, inserted.Add(1))
					}
					if _, err := c.Exec(b.Context(), q, a...); err != nil {
						b.Error(err)
					}
				}
			}
		})
	}
	w.Wait()
	b.StopTimer()
}
