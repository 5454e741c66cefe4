package publisher_test

import (
	"context"
	"fmt"
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
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/platform/watcher"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// cuttablePlatform is one host's connection to the platform, which can be cut.
type cuttablePlatform struct {
	accessor.Platform
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

func (c *cuttablePlatform) setCut(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !on {
		c.ctx = nil
		return
	}
	if c.cancel != nil {
		c.cancel()
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.cancel()
}

func (c *cuttablePlatform) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx != nil {
		return errors.New("network unreachable")
	}
	return nil
}

func (c *cuttablePlatform) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	if err := c.check(); err != nil {
		return o, err
	}
	return c.Platform.Put(ctx, o)
}

func (c *cuttablePlatform) Watch(ctx context.Context, kind, name string, after accessor.Version) (accessor.Object, error) {
	if err := c.check(); err != nil {
		return accessor.Object{}, err
	}
	o, err := c.Platform.Watch(ctx, kind, name, after)
	if e := c.check(); e != nil {
		return accessor.Object{}, e
	}
	return o, err
}

// deployment holds the followers of hosts in three zones.
type deployment struct {
	hosts     []*follower.Host
	platforms []*cuttablePlatform
	stops     []func()
	wait      sync.WaitGroup
}

// end stops all hosts; a test with a virtual clock must call it before it returns.
func (d *deployment) end() {
	for _, f := range d.stops {
		f()
	}
	d.wait.Wait()
}

func deploy(p accessor.Platform, hosts int) *deployment {
	return deployWith(p, hosts, func(*follower.Host) {})
}

// deployWith starts the hosts and calls prepare for each one before it runs.
func deployWith(p accessor.Platform, hosts int, prepare func(h *follower.Host)) *deployment {
	d := &deployment{}
	l := &log.Logger{Handler: json.New(io.Discard), Level: log.ErrorLevel}
	for i := range hosts {
		w := &cuttablePlatform{Platform: p}
		r := rand.New(rand.NewPCG(1, uint64(i)))
		q := rand.New(rand.NewPCG(2, uint64(i)))
		t := &watcher.Watcher{Platform: w, Random: r.Float64}
		h := &follower.Host{
			Name:             fmt.Sprintf("h%d", i),
			Incarnation:      "1",
			AvailabilityZone: fmt.Sprintf("z%d", i%3),
			Platform:         w,
			Watcher:          t,
			Random:           q.Float64,
			Log:              l,
		}
		prepare(h)
		ctx, cancel := context.WithCancel(context.Background())
		d.wait.Go(func() { _ = t.Run(ctx) })
		d.wait.Go(func() { _ = h.Run(ctx) })
		d.hosts = append(d.hosts, h)
		d.platforms = append(d.platforms, w)
		d.stops = append(d.stops, cancel)
	}
	return d
}

func file(queue int) declarer.File {
	return declarer.File{
		DatabaseGroups: []declarer.DatabaseGroup{{Name: "a", Service: "s"}},
		Limits:         declarer.Limits{QueueLength: queue},
	}
}

func apply(t *testing.T, p accessor.Platform, queue int, want applier.Outcome) applier.Result {
	t.Helper()
	o := &publisher.Operator{Platform: p, Name: "anna"}
	r, err := o.Apply(t.Context(), file(queue), publisher.Options{})
	if err != nil || r.Outcome != want {
		t.Fatalf("got %+v, error %v, want %s", r, err, want)
	}
	return r
}

func (d *deployment) expect(t *testing.T, queue int, g adopter.Standing, hosts ...int) {
	t.Helper()
	for _, i := range hosts {
		_, f := d.hosts[i].Current()
		if f == nil || f.Limits.QueueLength != queue || d.hosts[i].Status().Standing != g {
			t.Errorf("host %d has %+v, %+v; want queue length %d, %s", i, f, d.hosts[i].Status(), queue, g)
		}
	}
}

var allHosts = []int{0, 1, 2, 3, 4, 5, 6, 7, 8}

func TestApplyInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deploy(s, 9)
		defer d.end()
		time.Sleep(time.Minute)
		s.ResetCalls()
		time.Sleep(time.Minute)
		t.Logf("calls in an idle minute: %+v", s.Calls())
		s.ResetCalls()
		apply(t, s, 1, applier.InForce)
		t.Logf("calls of the first apply: %+v", s.Calls())
		s.ResetCalls()
		r := apply(t, s, 2, applier.InForce)
		c := s.Calls()
		t.Logf("calls of one apply: %+v", c)
		if c.Total() > 80 {
			t.Errorf("one apply takes %d calls at nine hosts", c.Total())
		}
		d.expect(t, 2, adopter.Confirmed, allHosts...)
		if r.Entry.Revision != 2 || len(r.Zones) != 3 || r.Zones[0].InForce != 3 {
			t.Errorf("got %+v", r)
		}
		s.ResetCalls()
		if r := apply(t, s, 2, applier.InForce); r.Entry.Revision != 2 {
			t.Errorf("applying the same file again gave revision %d", r.Entry.Revision)
		}
		if c := s.Calls(); c.Put > 0 {
			t.Errorf("applying the same file again took %+v", c)
		}
	})
}

// The answers of puts are lost. An operator that treated a lost answer as a failure would stage a file
// twice, or report an accepted one as withdrawn.
func TestAnswerLostAtEachPut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deploy(s, 9)
		defer d.end()
		time.Sleep(10 * time.Second)
		for i := 1; i <= 3; i++ {
			s.LoseAnswers(7 * i)
			if r := apply(t, s, i, applier.InForce); int(r.Entry.Revision) != i {
				t.Errorf("apply %d gave revision %d", i, r.Entry.Revision)
			}
			time.Sleep(10 * time.Second)
			d.expect(t, i, adopter.Confirmed, allHosts...)
		}
	})
}

// A zone is cut off from the platform. Its hosts keep their revision in force but must report it as
// unconfirmed before another one is accepted, and move up once they are reconnected. The operator
// receives the missing hosts.
func TestZoneCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		for i := range 9 {
			s.SetHost(accessor.Host{Name: fmt.Sprintf("h%d", i), Kind: accessor.EntryHost, State: accessor.HostLive})
		}
		d := deploy(s, 9)
		defer d.end()
		time.Sleep(10 * time.Second)
		apply(t, s, 1, applier.InForce)
		zone, rest := []int{0, 3, 6}, []int{1, 2, 4, 5, 7, 8}
		for _, i := range zone {
			d.platforms[i].setCut(true)
		}
		start := time.Now()
		r := apply(t, s, 2, applier.Accepted)
		if len(r.Missing) != 3 || r.Missing[0].AvailabilityZone != "z0" {
			t.Errorf("missing %+v", r.Missing)
		}
		if e := time.Since(start); e < applier.DefaultAcknowledgementTimeout || e > 2*applier.DefaultAcknowledgementTimeout {
			t.Errorf("accepted after %s", e)
		}
		d.expect(t, 1, adopter.Unconfirmed, zone...)
		d.expect(t, 2, adopter.Confirmed, rest...)
		for _, i := range zone {
			d.platforms[i].setCut(false)
		}
		time.Sleep(20 * time.Second)
		d.expect(t, 2, adopter.Confirmed, allHosts...)
	})
}

// The platform fails while an operator applies a file, and recovers.
func TestOutageOnlyDelaysApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deploy(s, 9)
		defer d.end()
		time.Sleep(10 * time.Second)
		apply(t, s, 1, applier.InForce)
		s.ResetCalls()
		s.SetOutage(true)
		time.AfterFunc(10*time.Minute, func() { s.SetOutage(false) })
		apply(t, s, 2, applier.InForce)
		c := s.Calls()
		t.Logf("calls in ten minutes of outage: %+v", c)
		if perHost := c.Total() / 9 / 10; perHost > 40 {
			t.Errorf("%d calls a minute and host in an outage", perHost)
		}
		time.Sleep(20 * time.Second)
		d.expect(t, 2, adopter.Confirmed, allHosts...)
	})
}

// One host stops as planned and another one fails without freeing its object. No later apply may wait
// for the first, and only one may wait for the second.
func TestStoppedAndFailedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		s.SetHost(accessor.Host{Name: "h1", Kind: accessor.EntryHost})
		d := deploy(s, 9)
		defer d.end()
		time.Sleep(10 * time.Second)
		apply(t, s, 1, applier.InForce)
		d.stops[8]()
		time.Sleep(2 * time.Second)
		start := time.Now()
		apply(t, s, 2, applier.InForce)
		if e := time.Since(start); e > time.Second {
			t.Errorf("apply waited %s for a host that had stopped", e)
		}
		d.platforms[7].setCut(true)
		d.stops[7]()
		time.Sleep(2 * time.Second)
		apply(t, s, 3, applier.InForce)
		start = time.Now()
		apply(t, s, 4, applier.InForce)
		if e := time.Since(start); e > time.Second {
			t.Errorf("apply waited %s for a host that had been removed", e)
		}
		l, err := s.List(t.Context(), encoder.HolderKind)
		if err != nil || len(l) != 9 {
			t.Errorf("%d objects for 9 hosts, error %v", len(l), err)
		}
	})
}

// An operator interrupts its command while a host doesn't answer.
func TestInterruptedApplyIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deploy(s, 9)
		defer d.end()
		time.Sleep(10 * time.Second)
		apply(t, s, 1, applier.InForce)
		d.platforms[0].setCut(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		o := &publisher.Operator{Platform: s, Name: "anna"}
		r, err := o.Apply(ctx, file(2), publisher.Options{})
		if err != nil || r.Outcome != applier.Withdrawn {
			t.Errorf("got %+v, error %v", r, err)
		}
		d.platforms[0].setCut(false)
		time.Sleep(20 * time.Second)
		d.expect(t, 1, adopter.Confirmed, allHosts...)
	})
}

func TestEarlierFileGetsNewRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deploy(s, 9)
		defer d.end()
		time.Sleep(10 * time.Second)
		apply(t, s, 1, applier.InForce)
		apply(t, s, 2, applier.InForce)
		o := &publisher.Operator{Platform: s, Name: "anna"}
		f, err := o.File(t.Context(), 1)
		if err != nil {
			t.Fatal(err)
		}
		r, err := o.Apply(t.Context(), f, publisher.Options{From: 2, CheckFrom: true, Note: "revision 1 again"})
		if err != nil || r.Outcome != applier.InForce || r.Entry.Revision != 3 {
			t.Errorf("got %+v, error %v", r, err)
		}
		d.expect(t, 1, adopter.Confirmed, allHosts...)
		if _, err := o.File(t.Context(), 65); !errors.Is(err, publisher.ErrNotKept) {
			t.Errorf("file of revision 65: %v", err)
		}
	})
}
