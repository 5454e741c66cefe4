package runner

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/bench/reporter"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// Parameters of the faults.
const (
	// replicaLag is the replication lag of a lagging replica.
	replicaLag = 30 * time.Second
	// leavingGrace is how long a leaving server may still receive statements.
	leavingGrace = 2 * time.Second
	// drainLimit limits the duration of a planned stop.
	drainLimit = 20 * time.Second
	// raceAfterFaultDivisor divides the duration of a run: the result is how long operators continue
	// their changes after the end of another fault.
	raceAfterFaultDivisor = 8
	// slowPlatformLatency is the delay of each call at a slow platform: several calls in a row take longer
	// than the time between two observations of a relay, and no call reaches its timeout.
	slowPlatformLatency = 700 * time.Millisecond
	// flapPause is how long the platform is alternately down and up. It is shorter than a lease, so
	// that no lease expires during one outage.
	flapPause = 1500 * time.Millisecond
)

// faultInjector injects the faults of one run and reverts them.
type faultInjector struct {
	run    *Run
	system System
	// reverts are the functions that revert the injected faults, in the order of injection.
	reverts []func()
	events  []reporter.Event
	// stops are the planned stops of entry hosts.
	stops []checker.Stop
	// leaving are the servers that were marked as leaving, to count the statements that they receive
	// after the grace time.
	leaving []*leavingServer
	mutex   sync.Mutex
	// applies are those of racing operators, set when the race has ended.
	applies []checker.Apply
}

// leavingServer is a server that was marked as leaving at the time since. statementsAtGraceEnd is its
// count of statements at the end of the grace time, negative before that.
type leavingServer struct {
	server               *responder.Server
	statementsAtGraceEnd int64
	since                time.Duration
}

func (i *faultInjector) recordEvent(name string) {
	i.events = append(i.events, reporter.Event{At: i.run.elapsed(), Name: name})
}

// injectAndRevert injects the scenario's faults after a third of the run and reverts them after two thirds.
func (i *faultInjector) injectAndRevert(ctx context.Context) error {
	third := i.run.Duration / 3
	if scheduler.Pause(ctx, third) != nil {
		return nil
	}
	for _, f := range i.run.Scenario.Faults {
		p, _ := i.primary()
		i.recordEvent(string(f) + " while " + p.Name + " leads")
		if err := i.inject(ctx, f); err != nil {
			return errors.Annotatef(err, "inject fault %s", f)
		}
	}
	if scheduler.Pause(ctx, 2*third-i.run.elapsed()) != nil {
		return nil
	}
	i.revertAll()
	return nil
}

// revertAll reverts the injected faults. A further call has no effect.
func (i *faultInjector) revertAll() {
	if len(i.reverts) > 0 {
		i.recordEvent("mended")
	}
	for _, f := range i.reverts {
		f()
	}
	i.reverts = nil
}

func (i *faultInjector) addRevert(f func()) {
	i.reverts = append(i.reverts, f)
}

// inject injects one fault. Faults that last add a function to reverts.
func (i *faultInjector) inject(ctx context.Context, f definer.Fault) error {
	switch f {
	case definer.NoFault:
	case definer.ReplicaLag:
		i.delayReplicas()
	case definer.PrimaryCrash:
		p, _ := i.primary()
		p.Crash()
		i.addRevert(p.Restart)
	case definer.PrimaryPaused:
		p, _ := i.primary()
		p.Pause(true)
		i.addRevert(func() { p.Pause(false) })
	case definer.PrimaryIsolated:
		p, n := i.primary()
		p.Isolate(true)
		i.addRevert(func() { p.Isolate(false) })
		i.cutZone(n)
	case definer.PlatformDown:
		i.system.SetPlatformDown(true)
		i.addRevert(func() { i.system.SetPlatformDown(false) })
	case definer.ZoneCut:
		n := len(i.run.Deployment.Places) - 1
		i.isolateServers(n)
		i.cutZone(n)
	case definer.RegionCut:
		i.cutRegion()
	case definer.SilentConnections:
		i.silenceConnections()
	case definer.EntryHostKilled:
		return i.killHost(ctx)
	case definer.RollingRestart:
		return i.restartHosts(ctx)
	case definer.Leaving:
		p, _ := i.primary()
		p.ReportLeaving(true)
		i.addLeaving(&leavingServer{server: p, since: i.run.elapsed(), statementsAtGraceEnd: -1})
	case definer.OperatorsRace:
		return i.raceOperators(ctx)
	case definer.EntryHostCutOff:
		i.isolateHost(disturber.IsolatedExceptCallers)
	case definer.EntryHostSilent:
		i.isolateHost(disturber.FullyIsolated)
	case definer.PlatformSlow:
		i.system.SetPlatformLatency(slowPlatformLatency)
		i.addRevert(func() { i.system.SetPlatformLatency(0) })
	case definer.PlatformFlapping:
		i.flapPlatform(ctx)
	default:
		return errors.Errorf("fault %q isn't built", f)
	}
	return nil
}

// primary returns the first group's primary and the index of its place.
func (i *faultInjector) primary() (*responder.Server, int) {
	l := i.system.Groups()[i.run.Deployment.Groups[0]].Servers
	for n, s := range l {
		if p, _ := s.Store().IsPrimary(); p {
			return s, n
		}
	}
	return l[0], 0
}

// delayReplicas makes the last replica of each group lag.
func (i *faultInjector) delayReplicas() {
	for _, g := range i.system.Groups() {
		for n := len(g.Servers) - 1; n >= 0; n-- {
			s := g.Servers[n]
			if p, _ := s.Store().IsPrimary(); p {
				continue
			}
			s.SetReplicationLag(replicaLag)
			i.addRevert(func() { s.SetReplicationLag(0) })
			break
		}
	}
}

// cutZone disconnects the n-th place from all others.
func (i *faultInjector) cutZone(n int) {
	a := i.run.Deployment.Places[n].AvailabilityZone
	for m, p := range i.run.Deployment.Places {
		if m != n {
			i.cut(a, p.AvailabilityZone)
		}
	}
}

func (i *faultInjector) cut(a, b string) {
	w := i.system.Network()
	w.Cut(a, b, true)
	i.addRevert(func() { w.Cut(a, b, false) })
}

// isolateServers isolates the backend servers of the n-th place from their peers, because replication
// doesn't go through the disturber's network.
func (i *faultInjector) isolateServers(n int) {
	for _, g := range i.system.Groups() {
		s := g.Servers[n]
		s.Isolate(true)
		i.addRevert(func() { s.Isolate(false) })
	}
}

// cutRegion disconnects the places of the first region from the others.
func (i *faultInjector) cutRegion() {
	l := i.run.Deployment.Places
	for n, p := range l {
		if p.Region == l[0].Region {
			continue
		}
		i.isolateServers(n)
		for _, q := range l {
			if q.Region == l[0].Region {
				i.cut(p.AvailabilityZone, q.AvailabilityZone)
			}
		}
	}
}

// silenceConnections makes all open connections to backend servers silent: they stay open and pass no
// more data. New connections work.
func (i *faultInjector) silenceConnections() {
	l := i.run.Deployment.Places
	for n, a := range l {
		for _, b := range l[n:] {
			i.system.Network().Silence(a.AvailabilityZone, b.AvailabilityZone)
		}
	}
}

func (i *faultInjector) killHost(ctx context.Context) error {
	h := i.system.Hosts()[0].Name
	if err := i.system.Kill(h); err != nil {
		return err
	}
	i.addRevert(func() { i.replaceHost(ctx, h) })
	return nil
}

func (i *faultInjector) replaceHost(ctx context.Context, host string) {
	if err := i.system.Replace(context.WithoutCancel(ctx), host); err != nil {
		i.run.recordError(errors.Annotatef(err, "replace entry host %s", host))
	}
}

// raceOperators has operators change the configuration until the fault is reverted. If another fault was
// injected before, they continue for some time after its end, to test changes that meet its after-effects.
func (i *faultInjector) raceOperators(ctx context.Context) error {
	o := i.system.Operators()
	if o == nil {
		return errors.NotSupportedf("a race over a fixed configuration")
	}
	o.Seed, o.StartTime = i.run.Seed, i.run.startTime
	x, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return o.Run(x) })
	i.addRevert(func() {
		if len(i.run.Scenario.Faults) > 1 {
			// If the load ends early, the race ends, too.
			_ = scheduler.Pause(ctx, i.run.Duration/raceAfterFaultDivisor)
		}
		stop()
		if err := g.Wait(); err != nil {
			i.run.recordError(errors.Annotate(err, "run operators"))
		}
		i.applies = o.Applies()
	})
	return nil
}

// restartHosts drains and replaces all entry hosts, one after the other.
func (i *faultInjector) restartHosts(ctx context.Context) error {
	for _, h := range i.system.Hosts() {
		s := checker.Stop{EntryHost: h.Name, From: i.run.elapsed()}
		x, stop := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)
		err := i.system.Drain(x, h.Name)
		stop()
		s.To = i.run.elapsed()
		i.stops = append(i.stops, s)
		i.recordEvent("restarted " + h.Name)
		if err != nil {
			return err
		}
		if err := i.system.Replace(context.WithoutCancel(ctx), h.Name); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

func (i *faultInjector) addLeaving(l *leavingServer) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.leaving = append(i.leaving, l)
}

// sampleLeaving records the statement counts of leaving servers at the end of the grace time.
func (i *faultInjector) sampleLeaving(now time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, l := range i.leaving {
		if l.statementsAtGraceEnd < 0 && now > l.since+leavingGrace {
			l.statementsAtGraceEnd = l.server.StatementCounts().Total()
		}
	}
}

// workOnLeaving returns the number of statements that leaving servers received after the grace time.
func (i *faultInjector) workOnLeaving() int64 {
	var n int64
	for _, l := range i.leaving {
		if l.statementsAtGraceEnd >= 0 {
			n += l.server.StatementCounts().Total() - l.statementsAtGraceEnd
		}
	}
	return n
}
