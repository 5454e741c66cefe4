package publisher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/config/sharer"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

const pauseBetweenApplies = 250 * time.Millisecond

// BenchmarkApply measures, over real sockets and with a store that answers in 2 ms, the time until all
// hosts have reported a new revision in force, and the store calls that one apply takes.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { benchmarkApply(b, n, func(*follower.Host) {}) })
	}
}

// BenchmarkApplyThroughRelays is BenchmarkApply with relays in each of the three zones. The other hosts
// call them within the process.
func BenchmarkApplyThroughRelays(b *testing.B) {
	for _, n := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { benchmarkApply(b, n, (&relayNetwork{}).join) })
	}
}

// relayNetwork connects hosts, by direct calls, to the relays of their zones.
type relayNetwork struct {
	mu  sync.Mutex
	all map[string]*sharer.Sharer
}

func (z *relayNetwork) join(h *follower.Host) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.all == nil {
		z.all = map[string]*sharer.Sharer{}
	}
	s := &sharer.Sharer{Host: h, Random: h.Random, Log: h.Log, Ask: z.ask}
	s.ZoneHosts = func() []string { return z.live(h.AvailabilityZone) }
	z.all[h.Name] = s
	h.Relays = s
}

func (z *relayNetwork) live(zone string) []string {
	z.mu.Lock()
	defer z.mu.Unlock()
	var l []string
	for n, s := range z.all {
		if s.Host.AvailabilityZone == zone {
			l = append(l, n)
		}
	}
	return l
}

func (z *relayNetwork) ask(ctx context.Context, host string, q sharer.Question) (sharer.Share, error) {
	z.mu.Lock()
	s := z.all[host]
	z.mu.Unlock()
	return s.Answer(ctx, q), nil
}

// settle waits until each host is confirmed and, unless it is a relay itself, follows a relay if there
// are relays.
func (d *deployment) settle() {
	for _, h := range d.hosts {
		for r := h.Relays; h.Status().Standing != adopter.Confirmed || r != nil && (len(r.Relays()) > 0) != (h.Status().Relay != ""); {
			time.Sleep(time.Millisecond)
		}
	}
}

func benchmarkApply(b *testing.B, hosts int, prepare func(h *follower.Host)) {
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
	d := deployWith(c, hosts, prepare)
	defer d.end()
	o := &publisher.Operator{Platform: c, Name: "anna"}
	d.settle()
	h := hdrhistogram.New(1, 60_000_000, 3)
	n, calls := 0, 0
	for b.Loop() {
		n++
		// Without a pause the hosts' call budget would be the limit that is measured.
		time.Sleep(pauseBetweenApplies)
		s.Store.ResetCalls()
		t := time.Now()
		r, err := o.Apply(ctx, file(n), publisher.Options{})
		if err != nil || r.Outcome != applier.InForce {
			b.Fatalf("got %+v, error %v", r, err)
		}
		_ = h.RecordValue(time.Since(t).Microseconds())
		calls += s.Store.Calls().Total()
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(calls)/float64(n), "calls/op")
}
