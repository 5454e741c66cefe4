package sharer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
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
	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/platform/watcher"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// cuttablePlatform is one host's connection to the platform, which can be cut.
type cuttablePlatform struct {
	accessor.Platform
	mu  sync.Mutex
	cut bool
}

func (w *cuttablePlatform) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *cuttablePlatform) check() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return errors.New("network unreachable")
	}
	return nil
}

func (w *cuttablePlatform) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	if err := w.check(); err != nil {
		return o, err
	}
	return w.Platform.Put(ctx, o)
}

func (w *cuttablePlatform) Watch(ctx context.Context, kind, name string, after accessor.Version) (accessor.Object, error) {
	if err := w.check(); err != nil {
		return accessor.Object{}, err
	}
	o, err := w.Platform.Watch(ctx, kind, name, after)
	if e := w.check(); e != nil {
		return accessor.Object{}, e
	}
	return o, err
}

// regionHost is one host of a zone.
type regionHost struct {
	host        *follower.Host
	sharer      *sharer.Sharer
	platform    *cuttablePlatform
	stop        context.CancelFunc
	unreachable bool
	// leaving says that the host is leaving its zone, so that the others don't use it as a relay.
	leaving bool
}

// region holds hosts in zones that call each other directly and know which hosts are live.
type region struct {
	store *storekeeper.Store
	mu    sync.Mutex
	hosts map[string]*regionHost
	wait  sync.WaitGroup
	// meter counts how files are transferred, unless it is nil.
	meter *transferMeter
}

var errUnreachable = errors.New("peer is unreachable")

func newRegion() *region {
	return &region{store: &storekeeper.Store{}, hosts: map[string]*regionHost{}}
}

// zone returns the live hosts of a zone by name.
func (r *region) zone(zone string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []string
	for n, x := range r.hosts {
		if x.host.AvailabilityZone == zone && !x.leaving {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

func (r *region) find(name string) (*regionHost, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.hosts[name]
	return x, ok && !x.unreachable
}

func (r *region) setUnreachable(name string, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[name].unreachable = unreachable
}

// ask returns h's function for Sharer.Ask. As on the wire, h observes the revision that an answer
// carries.
func (r *region) ask(h *follower.Host) func(context.Context, string, sharer.Question) (sharer.Share, error) {
	return func(ctx context.Context, to string, q sharer.Question) (sharer.Share, error) {
		if _, ok := r.find(h.Name); !ok {
			return sharer.Share{}, errUnreachable
		}
		x, ok := r.find(to)
		if !ok {
			return sharer.Share{}, errUnreachable
		}
		a := x.sharer.Answer(ctx, q)
		if _, ok := r.find(to); !ok || ctx.Err() != nil {
			return sharer.Share{}, errUnreachable
		}
		return a, h.AwaitRevision(ctx, uint64(a.InForce))
	}
}

// basePlatform returns the platform that the hosts' connections lead to, metered if there is a meter.
func (r *region) basePlatform() accessor.Platform {
	if r.meter != nil {
		return &meteredPlatform{Platform: r.store, meter: r.meter}
	}
	return r.store
}

func (r *region) start(name, incarnation, zone string) *regionHost {
	ctx, cancel := context.WithCancel(context.Background())
	x := &regionHost{stop: cancel, platform: &cuttablePlatform{Platform: r.basePlatform()}}
	l := &log.Logger{Handler: json.New(io.Discard)}
	n := rand.New(rand.NewPCG(1, uint64(len(name))))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return n.Float64()
	}
	w := &watcher.Watcher{Platform: x.platform, Random: random}
	x.host = &follower.Host{Name: name, Incarnation: incarnation, AvailabilityZone: zone, Platform: x.platform, Watcher: w, Random: random, Log: l}
	x.sharer = &sharer.Sharer{
		Host: x.host, Random: random, Log: l, Ask: r.ask(x.host),
		Peers: func() []string { return r.zone(zone) },
		ZoneHosts: func() []string {
			l := r.zone(zone)
			if !slices.Contains(l, name) {
				l = append(l, name)
			}
			return l
		},
	}
	if r.meter != nil {
		x.sharer.Ask = r.meter.count(x.sharer.Ask)
	}
	x.host.Peers, x.host.Relays = x.sharer, x.sharer
	r.mu.Lock()
	r.hosts[name] = x
	r.mu.Unlock()
	r.wait.Go(func() { _ = w.Run(ctx) })
	r.wait.Go(func() { _ = x.host.Run(ctx) })
	r.wait.Go(func() { _ = x.sharer.Run(ctx) })
	return x
}

// settle starts three zones of n hosts and waits a minute, until nothing changes.
func (r *region) settle(n int) {
	for i := range 3 * n {
		r.start(fmt.Sprintf("h%d", i), "1", fmt.Sprintf("z%d", i%3))
	}
	time.Sleep(time.Minute)
}

func (r *region) end() {
	for _, x := range r.hosts {
		x.stop()
	}
	r.wait.Wait()
}

// remove removes a host, so that the others can't reach it and don't use it.
func (r *region) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hosts, name)
}

func (r *region) markLeaving(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[name].leaving = true
}

func (r *region) applyQueueLength(t *testing.T, queue int, want applier.Outcome) (applier.Result, time.Duration) {
	t.Helper()
	s := time.Now()
	o := &publisher.Operator{Platform: r.store, Name: "anna"}
	x, err := o.Apply(t.Context(), declarer.File{Limits: declarer.Limits{QueueLength: queue}}, publisher.Options{})
	if err != nil || x.Outcome != want {
		t.Fatalf("got %+v, error %v, want %s", x, err, want)
	}
	return x, time.Since(s)
}

func (r *region) expect(t *testing.T, queue int, g adopter.Standing, except ...string) {
	t.Helper()
	for n, x := range r.hosts {
		if s := x.host.Status(); !slices.Contains(except, n) && (hostQueueLength(x) != queue || s.Standing != g) {
			t.Errorf("host %s has queue length %d, %+v; want %d, %s", n, hostQueueLength(x), s, queue, g)
		}
	}
}

func hostQueueLength(x *regionHost) int { return queueLength(x.host) }

// lastHost returns the host of a zone that ranks last, which isn't a relay.
func (r *region) lastHost(zone string) string {
	l := arranger.Rank(zone, r.zone(zone))
	return l[len(l)-1]
}

// firstRelay returns the relay of a zone that ranks first.
func (r *region) firstRelay(zone string) string {
	return arranger.Rank(zone, r.zone(zone))[0]
}
