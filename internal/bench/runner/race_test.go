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

// poller is the source of an entry host that looks for an accepted
// configuration now and then, and tells nobody what it decides by.
type poller struct {
	store   *storekeeper.Store
	current atomic.Pointer[host.FixedSource]
	changed chan struct{}
}

// pollPause is several times the pause between two samples of a run.
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
		p.tell()
	}
	return ctx.Err()
}

// tell wakes the host, unless it hasn't taken up the one before yet.
func (p *poller) tell() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Current implements host.Source.
func (p *poller) Current() (uint64, *declarer.File) { return p.current.Load().Current() }

// Changed implements host.Source.
func (p *poller) Changed() <-chan struct{} { return p.changed }

// Entry hosts take up an accepted configuration some time later, each at its own
// moment, and nobody waits for them. Operators are told that theirs is in force
// while callers are still served by the one before. A run must find this,
// otherwise it would find nothing in operators who wait.
func TestConfigurationNotInForceIsFound(t *testing.T) {
	for _, s := range []string{"apply-race", "apply-race-faults"} {
		t.Run(s, func(t *testing.T) { findNotInForce(t, s) })
	}
}

func findNotInForce(t *testing.T, scenario string) {
	r, d := prepare(t, scenario, definer.DefaultPolicy)
	d.source = func(_ string, f *declarer.File) host.Source {
		s := &poller{store: d.store, changed: make(chan struct{}, 1)}
		// With the defaults that operators' files have, so that no group changes.
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
		t.Errorf("other promises were broken: %+v\n%v", v, o.Examples)
	}
}

// An entry host takes up a new file and goes on with the pools, queues and control
// connections of the servers that the file before declared. Its revision is right,
// and callers are still served by what was withdrawn. A run must find this.
func TestGroupsFromBeforeAreFound(t *testing.T) {
	f := declarer.File{DatabaseGroups: []declarer.DatabaseGroup{{
		Name:           "kalkul-1",
		BackendServers: []declarer.BackendServer{{Name: "kalkul-1-a", Slots: 2, Connections: 16}},
	}}}
	n := f
	n.DatabaseGroups = []declarer.DatabaseGroup{f.DatabaseGroups[0]}
	n.DatabaseGroups[0].BackendServers = []declarer.BackendServer{{Name: "kalkul-1-a", Slots: 2, Connections: 12}}
	r := &director.Runtime{File: &n, Names: []string{"kalkul-1"}, Groups: map[string]*director.Group{"kalkul-1": {Declared: f.DatabaseGroups[0]}}}
	if d := racer.Digest(decided(r)); d == racer.Digest(n) {
		t.Error("a host without the file's groups passes for one that has them")
	}
	r.Groups["kalkul-1"].Declared = n.DatabaseGroups[0]
	if d := racer.Digest(decided(r)); d != racer.Digest(n) {
		t.Error("a host with the file's groups passes for one that lacks them")
	}
}
