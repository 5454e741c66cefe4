package publisher_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/config/sharer"
	peer "github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// largeFile returns a configuration of n groups with a team each.
func largeFile(n int) declarer.File {
	r := rand.NewChaCha8([32]byte{1})
	var f declarer.File
	for i := range n {
		var v [80]byte
		_, _ = r.Read(v[:])
		s := fmt.Sprint("group-", i)
		g := declarer.DatabaseGroup{Name: s, Service: fmt.Sprint("service-", i/3)}
		for j := range 3 {
			g.BackendServers = append(g.BackendServers, declarer.BackendServer{
				Name: fmt.Sprintf("%s-%d", s, j), Address: fmt.Sprintf("10.%d.%d.%d:5432", j, i/250, i%250),
				AvailabilityZone: fmt.Sprint("zone-", (i+j)%26), Region: fmt.Sprint("region-", (i+j)%7), Slots: 2, Connections: 16,
			})
		}
		f.DatabaseGroups = append(f.DatabaseGroups, g)
		f.Teams = append(f.Teams, declarer.Team{Name: "team-" + s, DatabaseGroups: []string{s}, Roles: []declarer.Role{
			{Name: "role-" + s, Verifier: base64.StdEncoding.EncodeToString(v[:])},
		}})
	}
	return f
}

// countingRelays adds up the encoded size of the relays' answers, in bytes.
type countingRelays struct {
	relayNetwork
	bytes atomic.Int64
}

func (c *countingRelays) join(h *follower.Host) {
	c.relayNetwork.join(h)
	s := c.all[h.Name]
	s.Ask = func(ctx context.Context, host string, q sharer.Question) (sharer.Share, error) {
		a, err := c.ask(ctx, host, q)
		b, _ := peer.Marshal(a)
		c.bytes.Add(int64(len(b)))
		return a, err
	}
}

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkApplyOneOfManyGroups changes one of 2,800 groups and measures the time until the change is
// in force, the bytes that relays send for it, and the processor time of the whole process. The
// difference between two sizes gives the processor time of one host.
func BenchmarkApplyOneOfManyGroups(b *testing.B) {
	for _, n := range []int{9, 27, 81} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { benchmarkLarge(b, n) })
	}
}

func benchmarkLarge(b *testing.B, hosts int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	s := &storekeeper.Server{Address: "127.0.0.1:0", Store: &storekeeper.Store{}}
	a, err := s.Listen()
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Run(ctx) }()
	s.Store.SetLatency(2 * time.Millisecond)
	c := &requester.Client{Address: a, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * hosts}}}
	z := &countingRelays{}
	d := deployWith(c, hosts, z.join)
	defer d.end()
	o := &publisher.Operator{Platform: c, Name: "anna"}
	d.settle()
	f := largeFile(2800)
	if _, err := o.Apply(ctx, f, publisher.Options{}); err != nil {
		b.Fatal(err)
	}
	var l []time.Duration
	calls, spent := 0, time.Duration(0)
	z.bytes.Store(0)
	for b.Loop() {
		time.Sleep(pauseBetweenApplies)
		s.Store.ResetCalls()
		f.DatabaseGroups[len(l)].Service += "-changed"
		t, p := time.Now(), processorTime()
		r, err := o.Apply(ctx, f, publisher.Options{})
		if err != nil || r.Outcome != applier.InForce {
			b.Fatalf("got %+v, error %v", r, err)
		}
		l = append(l, time.Since(t))
		spent += processorTime() - p
		calls += s.Store.Calls().Total()
	}
	n := float64(len(l))
	slices.Sort(l)
	b.ReportMetric(l[len(l)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(float64(calls)/n, "calls/op")
	b.ReportMetric(float64(z.bytes.Load())/n/float64(hosts), "sent-B/host/op")
	b.ReportMetric(spent.Seconds()*1000/n, "processor-ms/op")
}
