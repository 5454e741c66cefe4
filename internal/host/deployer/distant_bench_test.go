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

// withPeerLatency delays datagrams between entry hosts by the latency between their zones and
// regions. Connections to backend servers are not delayed.
func withPeerLatency(t testing.TB) func(d *deployer.Deployment) {
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

// BenchmarkDistantWrites inserts rows through 8 callers of each forwarding host. The primary has
// two slots and takes 10 ms a row, so 5 ms a row is the best possible result.
func BenchmarkDistantWrites(b *testing.B) {
	d := startDeployment(b, 1, withPeerLatency(b))
	owner, _ := poolOwner(b, d)
	var l []*pgx.Conn
	for i := range d.Hosts {
		for range 8 {
			if i != owner {
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
			before := maximumOpened(d)
			runInserts(b, l, q)
			b.ReportMetric(float64(maximumOpened(d)-before), "opened")
		})
	}
}

// lastInsertedID is the ID of the row inserted last, over all runs.
var lastInsertedID atomic.Int64

// runInserts makes b.N requests, each of all texts, over the callers' connections.
func runInserts(b *testing.B, l []*pgx.Conn, texts []string) {
	var made atomic.Int64
	var w sync.WaitGroup
	b.ResetTimer()
	for _, c := range l {
		w.Go(func() {
			for made.Add(1) <= int64(b.N) {
				for _, q := range texts {
					var a []any
					if q != "BEGIN" && q != "COMMIT" {
						a = append(a, lastInsertedID.Add(1))
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
