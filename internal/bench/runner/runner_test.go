package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/bench/loader"
	"github.com/cuminwick/cuminwick/internal/bench/racer"
	"github.com/cuminwick/cuminwick/internal/bench/reporter"
	"github.com/cuminwick/cuminwick/internal/standin/grouper"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// direct is a System without cuminwick: callers connect directly to one server of the only group, which
// the function server selects.
type direct struct {
	group   *grouper.Group
	network *disturber.Network
	server  func(g *grouper.Group) *responder.Server
	stop    context.CancelFunc
	done    chan error
}

func (d *direct) Start(ctx context.Context) error {
	ctx, d.stop = context.WithCancel(ctx)
	d.group = &grouper.Group{}
	for _, n := range []string{"a", "b", "c"} {
		d.group.Servers = append(d.group.Servers, &responder.Server{Name: n, Address: "127.0.0.1:0", ServiceTime: time.Millisecond})
	}
	d.network = &disturber.Network{Latency: func(disturber.Path) time.Duration { return 0 }}
	d.network.Open(ctx)
	d.done = make(chan error, 1)
	go func() { d.done <- d.group.Run(ctx) }()
	<-d.group.Ready()
	return nil
}

func (d *direct) Stop() error {
	d.stop()
	return <-d.done
}

func (d *direct) Hosts() []loader.Host {
	s := d.server(d.group)
	return []loader.Host{{Name: s.Name, Address: s.Addr()}}
}

func (d *direct) Groups() map[string]*grouper.Group {
	return map[string]*grouper.Group{"g": d.group}
}
func (d *direct) Network() *disturber.Network           { return d.network }
func (d *direct) Kill(string) error                     { return errors.NotSupportedf("kill") }
func (d *direct) SetBalanced(string, bool)              {}
func (d *direct) Drain(context.Context, string) error   { return errors.NotSupportedf("drain") }
func (d *direct) Replace(context.Context, string) error { return errors.NotSupportedf("replace") }
func (d *direct) SetPlatformDown(bool)                  {}
func (d *direct) SetPlatformLatency(time.Duration)      {}
func (d *direct) Revisions() []checker.ObservedRevision { return nil }
func (d *direct) Operators() *racer.Racer               { return nil }
func (d *direct) Outcome(context.Context, string, string) (checker.Outcome, error) {
	return "", errors.NotSupportedf("outcome")
}
func (d *direct) StoreCalls() int64   { return 0 }
func (d *direct) ControlBytes() int64 { return 0 }

// nextServer alternates between servers.
var nextServer atomic.Int64

func primaryServer(s *responder.Server) replicator.PrimaryServer {
	return replicator.PrimaryServer{Name: s.Name, Address: s.Addr()}
}

func firstServer(g *grouper.Group) *responder.Server { return g.Servers[0] }

// measure runs a load that ends after a fixed number of statements. during, if set, is called
// periodically with that number.
func measure(t *testing.T, d *direct, s definer.Scenario, during func(n int)) *reporter.Result {
	t.Helper()
	l := definer.StandardLoad()
	l.Callers, l.RequestsPerSecond = 16, 0
	l.MaximumCancelDelay = 4 * time.Millisecond
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	r := &Run{
		Scenario:   s,
		Deployment: definer.Deployment{Name: "direct", Places: make([]disturber.Place, 3), Groups: []string{"g"}},
		Load:       l,
		System:     d,
		User:       "anna",
		Duration:   time.Minute,
	}
	const maximumStatements = 4000
	r.Progress = func(_ time.Duration, n int) {
		if during != nil {
			during(n)
		}
		if n > maximumStatements {
			stop()
		}
	}
	o, err := r.Measure(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if o.Requests == 0 || o.Outcomes.Cancelled == 0 || o.Outcomes.Ran == 0 {
		t.Errorf("too little load: %+v", o.Outcomes)
	}
	if v := o.Violations; (v != checker.Violations{}) {
		t.Logf("violations %+v\n%v", v, o.Examples)
	}
	return o
}

// Guards against a load or a checker that reports violations where there are none. Callers connect
// directly to the primary and no fault is injected; a single database server violates no guarantee.
func TestNoViolationsWithoutProxy(t *testing.T) {
	r := measure(t, &direct{server: firstServer}, definer.Scenario{Name: "steady"}, nil)
	if r.Failed() {
		t.Errorf("%+v", r)
	}
}

// Guards against a run that misses lost writes; it would then find none behind a proxy either. Callers
// connect directly to the primary, which is superseded while isolated from its peers: it acknowledged
// writes that no other server held, and they are lost.
func TestSupersededPrimaryIsFound(t *testing.T) {
	d := &direct{server: firstServer}
	isolated, promoted := false, false
	r := measure(t, d, definer.Scenario{Name: "superseded"}, func(n int) {
		s := d.group.Servers
		switch {
		case n > 1000 && !isolated:
			isolated = true
			s[0].Isolate(true)
		case n > 2500 && !promoted:
			promoted = true
			supersedePrimary(t, s)
		}
	})
	v := r.Violations
	if v.LostWrites == 0 || v.SupersededAcknowledgements == 0 {
		t.Errorf("%+v", v)
	}
}

// supersedePrimary promotes the second server in term 2 and makes the others follow it.
func supersedePrimary(t *testing.T, s []*responder.Server) {
	t.Helper()
	now := time.Now()
	if _, err := s[1].Store().RaiseTerm(2, now); err != nil {
		t.Error(err)
	}
	if _, err := s[1].Store().Promote(2, now); err != nil {
		t.Error(err)
	}
	for _, i := range []int{0, 2} {
		if _, err := s[i].Store().Follow(2, primaryServer(s[1]), now); err != nil {
			t.Error(err)
		}
	}
	s[0].Isolate(false)
}

// Guards against a run that misses stale reads. Callers read from a replica whose replication is
// stopped: sessions don't see their own writes, and reviews exceed their maximum age.
func TestLaggingReplicaIsFound(t *testing.T) {
	d := &direct{}
	d.server = func(g *grouper.Group) *responder.Server {
		if g.Servers[1].Store().Last().Position < 3 {
			return g.Servers[0]
		}
		return g.Servers[nextServer.Add(1)%2]
	}
	r := measure(t, d, definer.Scenario{Name: "lagging"}, func(n int) {
		if n > 500 {
			d.group.Servers[1].StopReplication(true)
		}
		if n > 3500 {
			d.group.Servers[1].StopReplication(false)
		}
	})
	if r.Violations.ReadYourWrites == 0 {
		t.Errorf("%+v", r.Violations)
	}
}
