package deployer_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/host/runner"
)

// groupsServed is the number of idle groups in BenchmarkServing.
const groupsServed = 10

// BenchmarkServing measures deployments in which some hosts serve each group and the others follow:
// without callers, with mostly idle callers, and with busy ones. If as many hosts serve as each
// zone has, every host polls every server. An operation is one second; results are per second and
// host.
func BenchmarkServing(b *testing.B) {
	for _, c := range []struct{ each, serving int }{{3, 3}, {3, 2}, {3, 1}, {6, 2}, {8, 4}, {8, 2}} {
		for _, pause := range []time.Duration{0, 200 * time.Millisecond, 20 * time.Millisecond} {
			b.Run(fmt.Sprintf("hosts=%d/serving=%d/pause=%v", 3*c.each, 3*c.serving, pause), func(b *testing.B) {
				d := startDeployment(b, c.each, func(d *deployer.Deployment) {
					d.ServingHosts = c.serving
					d.Groups = append(groupNames(groupsServed), "db")
				})
				if c.serving < c.each {
					awaitParts(b, d, 3*c.serving)
				}
				measureServing(b, d, pause)
			})
		}
	}
}

// measureServing reports the cost of each host per second. Each host has a caller of one group that
// pauses between requests, or no caller if pause is zero.
func measureServing(b *testing.B, d *deployer.Deployment, pause time.Duration) {
	end := make(chan struct{})
	var w sync.WaitGroup
	if pause > 0 {
		for i := range d.Hosts {
			l := &pacedCaller{c: connect(b, d, i, ""), pause: pause, stop: end, firstID: int64(i) << 32}
			if i == 0 {
				exec(b, l.c, "CREATE TABLE t (id bigint PRIMARY KEY)")
			}
			w.Go(func() { l.run(b) })
		}
	}
	time.Sleep(idleInterval) // excludes the first polls and connections
	before, bytes, asked := currentUsage(), peerBytes(d), totalPolls(d)
	start := time.Now()
	for b.Loop() {
		time.Sleep(idleInterval)
	}
	n := time.Since(start).Seconds() * float64(len(d.Hosts))
	b.ReportMetric(float64((currentUsage().processor-before.processor).Microseconds())/n, "processor-us/s/host")
	b.ReportMetric(float64(peerBytes(d)-bytes)/n, "both-ways-B/s/host")
	b.ReportMetric(float64(totalPolls(d)-asked)/n, "polls/s/host")
	close(end)
	w.Wait()
}

// peerBytes returns the number of bytes that all hosts have sent to and received from other hosts.
func peerBytes(d *deployer.Deployment) uint64 {
	var n uint64
	for _, h := range d.Hosts {
		t := h.PeerTraffic()
		n += t.Sent + t.Received
	}
	return n
}

func totalPolls(d *deployer.Deployment) uint64 {
	var n uint64
	for _, h := range d.Hosts {
		n += polls(h)
	}
	return n
}

// pacedCaller makes requests with a pause after each; each tenth is a write, the others are reads.
type pacedCaller struct {
	c       *pgx.Conn
	pause   time.Duration
	firstID int64
	stop    chan struct{}
}

func (p *pacedCaller) run(b *testing.B) {
	for n := int64(0); !closed(p.stop); n++ {
		var err error
		if n%10 == 0 {
			_, err = p.c.Exec(b.Context(), "INSERT INTO t (id) VALUES ($1)", p.firstID+n)
		} else {
			_, err = p.c.Exec(b.Context(), "SELECT count(*) FROM t WHERE id = $1", p.firstID)
		}
		if err != nil {
			b.Error(err)
			return
		}
		_ = scheduler.Pause(b.Context(), p.pause)
	}
}

// BenchmarkWriteGapAtFollower crashes the primary's server while a caller of a following host
// writes, and reports for how long no write succeeded. If as many hosts serve as there are, the
// caller is at a serving host.
func BenchmarkWriteGapAtFollower(b *testing.B) {
	for _, serving := range []int{3, 2, 1} {
		b.Run(fmt.Sprintf("hosts=9/serving=%d", 3*serving), func(b *testing.B) {
			d := startDeployment(b, 3, func(d *deployer.Deployment) {
				defaultFailover(d)
				d.ServingHosts = serving
			})
			if serving < 3 {
				awaitParts(b, d, 3*serving)
			}
			following, all := hostsInReplicaZone(b, d)
			i := append(following, all...)[0]
			c := connect(b, d, i, "")
			exec(b, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
			var gaps []time.Duration
			id := 0
			for b.Loop() {
				gaps = append(gaps, measureWriteGap(b, d, c, &id))
			}
			slices.Sort(gaps)
			b.ReportMetric(gaps[len(gaps)/2].Seconds(), "median-s")
			b.ReportMetric(gaps[len(gaps)-1].Seconds(), "worst-s")
		})
	}
}

// measureWriteGap crashes the primary, returns the longest time between two successful writes, and
// restarts the server.
func measureWriteGap(b *testing.B, d *deployer.Deployment, c *pgx.Conn, id *int) time.Duration {
	write := func() {
		*id++
		for {
			_, err := c.Exec(b.Context(), fmt.Sprintf("/* key=gap-%d */ INSERT INTO t (id) VALUES (%d)", *id, *id))
			if err == nil || b.Context().Err() != nil {
				return
			}
		}
	}
	write()
	p := primary(b, d)
	var worst time.Duration
	last := time.Now()
	for _, s := range d.Standins["db"].Servers {
		if s.Name == p {
			s.Crash()
			defer s.Restart()
		}
	}
	for primary(b, d) == p || time.Since(last) > worst {
		write()
		worst = max(worst, time.Since(last))
		last = time.Now()
	}
	for range 20 {
		write()
		worst = max(worst, time.Since(last))
		last = time.Now()
	}
	return worst
}

// BenchmarkIdleFollowers measures groups without callers that one host in each zone serves. The
// difference between nine hosts and three is the cost of six following hosts, including membership.
func BenchmarkIdleFollowers(b *testing.B) {
	for _, each := range []int{1, 3} {
		for _, n := range []int{1, 40} {
			b.Run(fmt.Sprintf("hosts=%d/groups=%d", 3*each, n), func(b *testing.B) {
				d := startDeployment(b, each, func(d *deployer.Deployment) {
					d.ServingHosts = 1
					d.Groups = append(groupNames(n-1), "db")
				})
				waitFor(b, "the hosts' parts in all groups", func() bool {
					return !slices.ContainsFunc(d.Hosts, func(h *runner.Host) bool {
						return slices.ContainsFunc(d.Groups, func(g string) bool {
							return h.Part(g) == switcher.PartStandingIn || h.Part(g) == switcher.PartFollowing
						})
					})
				})
				measureIdleGroups(b, d)
			})
		}
	}
}
