package sharer_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/config/sharer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// directPeers connects the sharers of hosts by direct calls.
type directPeers struct {
	ctx     context.Context
	mu      sync.Mutex
	sharers map[string]*sharer.Sharer
	wait    sync.WaitGroup
}

func (f *directPeers) find(name string) (*sharer.Sharer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.sharers[name]
	return s, ok
}

func (f *directPeers) add(name string, p accessor.Platform, peers ...string) *follower.Host {
	l := &log.Logger{Handler: json.New(io.Discard)}
	r := rand.New(rand.NewPCG(1, uint64(len(f.sharers))))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
	h := &follower.Host{Name: name, Incarnation: "1", AvailabilityZone: "z", Platform: p, Random: random, Log: l}
	s := &sharer.Sharer{
		Host: h, Random: random, Log: l,
		Peers: func() []string { return append([]string{}, peers...) },
		Ask: func(ctx context.Context, to string, q sharer.Question) (sharer.Share, error) {
			o, ok := f.find(to)
			if !ok {
				return sharer.Share{}, errors.New("no such host")
			}
			a := o.Answer(ctx, q)
			// Each answer carries the peer's revision, as on the wire.
			return a, h.AwaitRevision(ctx, uint64(a.InForce))
		},
	}
	h.Peers = s
	f.mu.Lock()
	f.sharers[name] = s
	f.mu.Unlock()
	f.wait.Go(func() { _ = h.Run(f.ctx) })
	f.wait.Go(func() { _ = s.Run(f.ctx) })
	return h
}

func queueLength(h *follower.Host) int {
	_, f := h.Current()
	if f == nil {
		return 0
	}
	return f.Limits.QueueLength
}

// A host can't reach the platform, but it can reach its peers. It follows each change through them, and
// its revision stays confirmed. Then the platform fails for all hosts, and a replaced host starts
// without a configuration: it gets the configuration from a peer.
func TestPeersReplacePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &directPeers{ctx: ctx, sharers: map[string]*sharer.Sharer{}}
		defer f.wait.Wait()
		defer cancel()
		s, down := &storekeeper.Store{}, &storekeeper.Store{}
		down.SetOutage(true)
		a := f.add("a", s)
		b := f.add("b", down, "a", "gone")
		time.Sleep(10 * time.Second)
		o := &publisher.Operator{Platform: s, Name: "anna"}
		for n := 1; n <= 2; n++ {
			c := declarer.File{Limits: declarer.Limits{QueueLength: n}}
			if r, err := o.Apply(ctx, c, publisher.Options{}); err != nil || r.Outcome != applier.InForce {
				t.Fatalf("got %+v, error %v", r, err)
			}
			time.Sleep(20 * time.Second)
			if queueLength(a) != n || queueLength(b) != n {
				t.Errorf("hosts have queue lengths %d and %d, want %d", queueLength(a), queueLength(b), n)
			}
		}
		s.SetOutage(true)
		c := f.add("c", down, "b")
		time.Sleep(20 * time.Second)
		if queueLength(c) != 2 {
			t.Errorf("replaced host has queue length %d", queueLength(c))
		}
		if g := c.Status().Standing; g != adopter.Unconfirmed {
			t.Errorf("replaced host's revision is %s", g)
		}
	})
}

// A message of a peer with a later revision arrives at a host that can't get that revision's file. The
// message must be refused in time, not handled under the earlier revision.
func TestObserveEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &directPeers{ctx: ctx, sharers: map[string]*sharer.Sharer{}}
		defer f.wait.Wait()
		defer cancel()
		h := f.add("a", &storekeeper.Store{})
		c, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if err := h.AwaitRevision(c, 7); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
	})
}
