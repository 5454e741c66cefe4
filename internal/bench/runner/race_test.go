package runner

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/racer"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	host "github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/route/director"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// poller is the configuration source of an entry host that polls for the accepted configuration and
// doesn't report which one it has in force.
type poller struct {
	store   *storekeeper.Store
	current atomic.Pointer[host.FixedSource]
	changed chan struct{}
}

// pollPause is several times samplePause, so that samples show hosts with an earlier configuration.
const pollPause = 10 * samplePause

// Run implements host.Source.
func (p *poller) Run(ctx context.Context) error {
	o := &publisher.Operator{Platform: p.store}
	for scheduler.Pause(ctx, pollPause) == nil {
		h, err := o.Head(ctx)
		if err != nil || h.Accepted == 0 {
			continue
		}
		f, err := o.File(ctx, h.Accepted)
		if err != nil {
			continue
		}
		p.current.Store(&host.FixedSource{Revision: uint64(h.Accepted), File: &f})
		p.notify()
	}
	return ctx.Err()
}

// notify signals a change to the host, unless an earlier signal is still pending.
func (p *poller) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Current implements host.Source.
func (p *poller) Current() (uint64, *declarer.File) { return p.current.Load().Current() }

// Changed implements host.Source.
func (p *poller) Changed() <-chan struct{} { return p.changed }

// Guards against a run that misses a configuration reported as in force too early. Entry hosts adopt an
// accepted configuration with a delay, each at a different time, and the operators don't wait for them:
// they receive the outcome that theirs is in force while callers are still served by an earlier one.
func TestConfigurationNotInForceIsFound(t *testing.T) {
	for _, s := range []string{"apply-race", "apply-race-faults"} {
		t.Run(s, func(t *testing.T) { testNotInForce(t, s) })
	}
}

func testNotInForce(t *testing.T, scenario string) {
	r, d := prepare(t, scenario, definer.DefaultPolicy)
	d.source = func(_ string, f *declarer.File) host.Source {
		s := &poller{store: d.store, changed: make(chan struct{}, 1)}
		// With the same defaults as in the operators' files, so that no group changes.
		x := defaulter.Fill(*f)
		s.current.Store(&host.FixedSource{File: &x})
		return s
	}
	o, err := r.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	v := o.Violations
	if v.ConfigurationReversions == 0 {
		t.Errorf("%+v, applies %+v", v, o.Applies)
	}
	v.ConfigurationReversions = 0
	if v != (checker.Violations{}) {
		t.Errorf("other violations: %+v\n%v", v, o.Examples)
	}
}

// Guards against a run that misses stale groups. An entry host adopts a new file and keeps the pools,
// queues and control connections of the servers that the earlier file declared. Its revision is right,
// but callers are still served by the withdrawn configuration.
func TestStaleGroupsAreFound(t *testing.T) {
	f := declarer.File{DatabaseGroups: []declarer.DatabaseGroup{{
		Name:           "kalkul-1",
		BackendServers: []declarer.BackendServer{{Name: "kalkul-1-a", Slots: 2, Connections: 16}},
	}}}
	n := f
	n.DatabaseGroups = []declarer.DatabaseGroup{f.DatabaseGroups[0]}
	n.DatabaseGroups[0].BackendServers = []declarer.BackendServer{{Name: "kalkul-1-a", Slots: 2, Connections: 12}}
	r := &director.Runtime{File: &n, Names: []string{"kalkul-1"}, Groups: map[string]*director.Group{"kalkul-1": {Declared: f.DatabaseGroups[0]}}}
	if d := racer.Digest(runningConfiguration(r)); d == racer.Digest(n) {
		t.Error("a host without the file's groups has the file's digest")
	}
	r.Groups["kalkul-1"].Declared = n.DatabaseGroups[0]
	if d := racer.Digest(runningConfiguration(r)); d != racer.Digest(n) {
		t.Error("a host with the file's groups has another digest than the file")
	}
}
