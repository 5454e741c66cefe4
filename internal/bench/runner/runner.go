// Package runner runs a bench scenario on a deployment under load and measures the result.
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
	// samplePause is the pause between two samples of counters and revisions.
	samplePause = 50 * time.Millisecond
	// settleLimit is how long a run waits after the load for servers and entry hosts to converge.
	settleLimit = 20 * time.Second
	// settlePause is the pause between two checks of whether they have.
	settlePause = 10 * time.Millisecond
)

// Run is one run of a scenario. The exported fields are set before Measure.
type Run struct {
	Scenario   definer.Scenario
	Deployment definer.Deployment
	Load       definer.Load
	// Policy is the configuration of the system under test.
	Policy   definer.Policy
	Seed     uint64
	Duration time.Duration
	System   System
	// User and Password are the credentials of the callers' database role.
	User, Password string
	// Progress, if set, is called periodically with the elapsed time and the number of statements.
	Progress func(elapsed time.Duration, statements int)

	startTime time.Time
	loader    *loader.Loader
	injector  *faultInjector
	samples   []reporter.Sample
	revisions []checker.ObservedRevision

	mutex      sync.Mutex
	firstError error
}

func (r *Run) elapsed() time.Duration {
	return time.Since(r.startTime)
}

// recordError stores an error that can't be returned, unless one is already stored. Measure returns it.
func (r *Run) recordError(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.firstError == nil {
		r.firstError = err
	}
}

// Measure starts the system, runs the scenario, stops the system and returns the result. If ctx ends,
// the load ends early and the result covers the shortened run.
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
		err = r.firstError
	}
	return o, err
}

func (r *Run) measure(ctx context.Context) (*reporter.Result, error) {
	r.loader = r.newLoader()
	if err := r.loader.Prepare(ctx); err != nil {
		return nil, err
	}
	r.startTime = time.Now()
	r.loader.StartTime = r.startTime
	r.injector = &faultInjector{run: r, system: r.System}
	before := r.readCounters()
	err := r.runLoad(ctx)
	length := r.elapsed()
	after := r.readCounters()
	r.injector.revertAll()
	if err != nil {
		return nil, err
	}
	o := r.newResult(before, after, length)
	o.UnsettledGroups = r.settle(ctx)
	r.sampleRevisions(r.elapsed())
	return o, r.checkResult(o, length)
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

// counters are the system's counters at one time.
type counters struct {
	storeCalls, controlBytes, linkBytes int64
	statements                          responder.StatementCounts
}

func (r *Run) readCounters() counters {
	return counters{
		storeCalls:   r.System.StoreCalls(),
		controlBytes: r.System.ControlBytes(),
		linkBytes:    r.System.Network().LinkBytes(),
		statements:   r.statementCounts(),
	}
}

// newResult returns a result with what follows from the counters before and after a load of the given
// length.
func (r *Run) newResult(before, after counters, length time.Duration) *reporter.Result {
	o := &reporter.Result{
		Scenario:          r.Scenario.Name,
		Deployment:        r.Deployment.Name,
		Policy:            r.Policy.Name,
		LoadPercent:       r.Scenario.LoadPercent(),
		Seed:              r.Seed,
		DurationSeconds:   length.Seconds(),
		RegionLinkBytes:   after.linkBytes - before.linkBytes,
		StoreCalls:        after.storeCalls - before.storeCalls,
		ConnectionsOpened: r.openedConnections(),
		FailedConnects:    r.loader.FailedConnects(),
		Faults:            r.injector.events,
	}
	o.ControlBytesPerSecond = float64(after.controlBytes-before.controlBytes) / length.Seconds() / float64(max(1, len(r.System.Hosts())))
	replica := after.statements.ReplicaReads - before.statements.ReplicaReads
	o.Reads = after.statements.PrimaryReads - before.statements.PrimaryReads + replica
	o.ReplicaReadShare = float64(replica) / float64(max(1, o.Reads))
	return o
}

// callersPlace is the callers' place in the network.
var callersPlace = definer.CallersPlace()

// runLoad runs the load, injects the faults and samples counters meanwhile.
func (r *Run) runLoad(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error { r.loader.Run(x); return nil })
	g.Go(func() error { return r.injector.injectAndRevert(x) })
	g.Go(func() error { return r.sampleUntilDone(x) })
	return g.Wait()
}

func (r *Run) sampleUntilDone(ctx context.Context) error {
	for scheduler.Pause(ctx, samplePause) == nil {
		r.sample()
	}
	r.sample()
	return nil
}

func (r *Run) sample() {
	w := r.statementCounts()
	t := r.elapsed()
	r.samples = append(r.samples, reporter.Sample{At: t, PrimaryReads: w.PrimaryReads, ReplicaReads: w.ReplicaReads})
	r.sampleRevisions(t)
	r.injector.sampleLeaving(t)
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

// statementCounts returns the sums of the statement counts of all backend servers.
func (r *Run) statementCounts() responder.StatementCounts {
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

// openedConnections returns the number of connections that all backend servers accepted.
func (r *Run) openedConnections() int64 {
	var n int64
	for _, g := range r.System.Groups() {
		for _, s := range g.Servers {
			n += s.OpenedConnections()
		}
	}
	return n
}

// settle waits until the servers of each group have converged and all entry hosts have the same
// configuration in force, for settleLimit at most. It returns the number of groups that haven't
// converged; the checker detects hosts that differ.
func (r *Run) settle(ctx context.Context) int {
	x, stop := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer stop()
	for {
		n := 0
		for _, g := range r.System.Groups() {
			if !groupSettled(g) {
				n++
			}
		}
		if n == 0 && r.hostsAgree() || scheduler.Pause(x, settlePause) != nil {
			return n
		}
	}
}

// hostsAgree reports whether all entry hosts have the same revision in force.
func (r *Run) hostsAgree() bool {
	l := r.System.Revisions()
	return !slices.ContainsFunc(l, func(v checker.ObservedRevision) bool { return v.Revision != l[0].Revision })
}

// checkResult has the checker compare the requests' outcomes with the groups' data, and completes the
// result from the requests and samples.
func (r *Run) checkResult(o *reporter.Result, length time.Duration) error {
	l := r.loader.Requests()
	r.queryOutcomes(l)
	h := &checker.History{
		Requests:          l,
		Groups:            map[string]checker.State{},
		Stops:             r.injector.stops,
		ObservedRevisions: r.revisions,
		Applies:           r.injector.applies,
		WorkOnLeaving:     r.injector.workOnLeaving(),
	}
	for n, g := range r.System.Groups() {
		h.Groups[n] = finalState(g)
	}
	v := checker.Check(h)
	o.Violations, o.Examples, o.Sessions = v.Violations, v.Examples, v.Sessions
	if len(r.Scenario.Faults) > 0 && len(r.injector.events) > 0 {
		o.FailoverGapSeconds = longestGap(l, r.Deployment.Groups[0], r.injector.events[0].At, r.Duration).Seconds()
	}
	o.CountApplies(h.Applies)
	if err := o.Summarise(l); err != nil {
		return err
	}
	var err error
	o.Series, err = reporter.NewSeries(l, r.samples, length)
	return err
}
