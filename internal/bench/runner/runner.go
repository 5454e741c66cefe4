// Package runner runs a bench scenario on a deployment and measures it.
package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/loader"
	"github.com/cuminwick/cuminwick/internal/bench/reporter"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// Times of a run.
const (
	// samplePause is how often counters and revisions are looked at.
	samplePause = 50 * time.Millisecond
	// settleLimit is how long the groups get to agree after the load.
	settleLimit = 20 * time.Second
	// settlePause is the time between two looks at whether they do.
	settlePause = 10 * time.Millisecond
)

// Run is one run of a scenario. The exported fields are set before Measure.
type Run struct {
	Scenario   definer.Scenario
	Deployment definer.Deployment
	Load       definer.Load
	// Policy is how the system under test is set up.
	Policy   definer.Policy
	Seed     uint64
	Duration time.Duration
	System   System
	// User and Password are the callers' role.
	User, Password string
	// Progress is told the time that has passed, every so often, if set.
	Progress func(passed time.Duration, requests int)

	begun     time.Time
	loader    *loader.Loader
	injection *injection
	samples   []reporter.Sample
	revisions []checker.ObservedRevision

	mutex  sync.Mutex
	failed error
}

func (r *Run) since() time.Duration {
	return time.Since(r.begun)
}

// fail keeps the first error of a part that can't return it.
func (r *Run) fail(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failed == nil {
		r.failed = err
	}
}

// Measure starts the system, runs the scenario and returns what it brought. If
// ctx ends, the load ends early and what was measured so far is returned.
func (r *Run) Measure(ctx context.Context) (*reporter.Result, error) {
	x := context.WithoutCancel(ctx)
	if err := r.System.Start(x); err != nil {
		return nil, errors.Annotate(err, "start deployment")
	}
	o, err := r.measure(ctx)
	if e := r.System.Stop(); e != nil && err == nil {
		err = errors.Annotate(e, "stop deployment")
	}
	if err == nil {
		err = r.failed
	}
	return o, err
}

func (r *Run) measure(ctx context.Context) (*reporter.Result, error) {
	r.loader = r.newLoader()
	if err := r.loader.Prepare(ctx); err != nil {
		return nil, err
	}
	r.begun = time.Now()
	r.loader.StartTime = r.begun
	r.injection = &injection{run: r, system: r.System}
	before := r.count()
	err := r.runLoad(ctx)
	length := r.since()
	after := r.count()
	r.injection.mend()
	if err != nil {
		return nil, err
	}
	o := r.newResult(before, after, length)
	o.UnsettledGroups = r.settle(ctx)
	r.sampleRevisions(r.since())
	return o, r.judge(o, length)
}

func (r *Run) newLoader() *loader.Loader {
	l := &loader.Loader{
		Load:      r.Load,
		Groups:    r.Deployment.Groups,
		Hosts:     r.System.Hosts,
		Dial:      r.System.Network().Dialer(callersPlace),
		User:      r.User,
		Password:  r.Password,
		Seed:      r.Seed,
		StartTime: time.Now(),
	}
	if r.Policy.StickySessions {
		l.Token = stickyToken
	}
	return l
}

// counts are the system's counters at one moment.
type counts struct {
	storeCalls, controlBytes, linkBytes int64
	work                                responder.StatementCounts
}

func (r *Run) count() counts {
	return counts{
		storeCalls:   r.System.StoreCalls(),
		controlBytes: r.System.ControlBytes(),
		linkBytes:    r.System.Network().LinkBytes(),
		work:         r.work(),
	}
}

// newResult makes what follows from the counters before and after a load of some length.
func (r *Run) newResult(before, after counts, length time.Duration) *reporter.Result {
	o := &reporter.Result{
		Scenario:          r.Scenario.Name,
		Deployment:        r.Deployment.Name,
		Policy:            r.Policy.Name,
		LoadPercent:       r.Scenario.LoadPercent(),
		Seed:              r.Seed,
		DurationSeconds:   length.Seconds(),
		RegionLinkBytes:   after.linkBytes - before.linkBytes,
		StoreCalls:        after.storeCalls - before.storeCalls,
		ConnectionsOpened: r.opened(),
		FailedConnects:    r.loader.FailedConnects(),
		Faults:            r.injection.moments,
	}
	o.ControlBytesPerSecond = float64(after.controlBytes-before.controlBytes) / length.Seconds() / float64(max(1, len(r.System.Hosts())))
	replica := after.work.ReplicaReads - before.work.ReplicaReads
	o.Reads = after.work.PrimaryReads - before.work.PrimaryReads + replica
	o.ReplicaReadShare = float64(replica) / float64(max(1, o.Reads))
	return o
}

// callersPlace is where callers stand.
var callersPlace = definer.CallersPlace()

// runLoad runs the load with its faults, and samples counters meanwhile.
func (r *Run) runLoad(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error { r.loader.Run(x); return nil })
	g.Go(func() error { return r.injection.loop(x) })
	g.Go(func() error { return r.loopSample(x) })
	return g.Wait()
}

func (r *Run) loopSample(ctx context.Context) error {
	for scheduler.Pause(ctx, samplePause) == nil {
		r.sample()
	}
	r.sample()
	return nil
}

func (r *Run) sample() {
	w := r.work()
	t := r.since()
	r.samples = append(r.samples, reporter.Sample{At: t, PrimaryReads: w.PrimaryReads, ReplicaReads: w.ReplicaReads})
	r.sampleRevisions(t)
	r.injection.watchLeaving(t)
	if r.Progress != nil {
		r.Progress(t, int(w.Total()))
	}
}

func (r *Run) sampleRevisions(t time.Duration) {
	for _, v := range r.System.Revisions() {
		v.At = t
		r.revisions = append(r.revisions, v)
	}
}

// work sums the statements of all backend servers.
func (r *Run) work() responder.StatementCounts {
	var w responder.StatementCounts
	for _, g := range r.System.Groups() {
		for _, s := range g.Servers {
			c := s.StatementCounts()
			w.PrimaryReads += c.PrimaryReads
			w.ReplicaReads += c.ReplicaReads
			w.Others += c.Others
		}
	}
	return w
}

// opened sums the connections that backend servers accepted.
func (r *Run) opened() int64 {
	var n int64
	for _, g := range r.System.Groups() {
		for _, s := range g.Servers {
			n += s.OpenedConnections()
		}
	}
	return n
}

// settle waits until the servers of each group agree, and all entry hosts on the
// configuration. It returns how many groups don't; the checker finds the hosts.
func (r *Run) settle(ctx context.Context) int {
	x, stop := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer stop()
	for {
		n := 0
		for _, g := range r.System.Groups() {
			if !settled(g) {
				n++
			}
		}
		if n == 0 && r.agreed() || scheduler.Pause(x, settlePause) != nil {
			return n
		}
	}
}

// agreed reports whether all entry hosts have the same revision in force.
func (r *Run) agreed() bool {
	l := r.System.Revisions()
	return !slices.ContainsFunc(l, func(v checker.ObservedRevision) bool { return v.Revision != l[0].Revision })
}

// judge lets the checker compare what callers saw with what the groups hold.
func (r *Run) judge(o *reporter.Result, length time.Duration) error {
	l := r.loader.Requests()
	r.ask(l)
	h := &checker.History{
		Requests:          l,
		Groups:            map[string]checker.State{},
		Stops:             r.injection.stops,
		ObservedRevisions: r.revisions,
		Applies:           r.injection.applies,
		WorkOnLeaving:     r.injection.workOnLeaving(),
	}
	for n, g := range r.System.Groups() {
		h.Groups[n] = stateOf(g)
	}
	v := checker.Check(h)
	o.Violations, o.Examples, o.Sessions = v.Violations, v.Examples, v.Sessions
	if len(r.Scenario.Faults) > 0 && len(r.injection.moments) > 0 {
		o.FailoverGapSeconds = longestGap(l, r.Deployment.Groups[0], r.injection.moments[0].At, r.Duration).Seconds()
	}
	o.CountApplies(h.Applies)
	if err := o.Summarise(l); err != nil {
		return err
	}
	var err error
	o.Series, err = reporter.NewSeries(l, r.samples, length)
	return err
}
