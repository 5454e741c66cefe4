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

// Times of the faults.
const (
	// replicaLag is how far behind a replica stays.
	replicaLag = 30 * time.Second
	// leavingGrace is how long a leaving server may still get work.
	leavingGrace = 2 * time.Second
	// drainLimit bounds a planned stop.
	drainLimit = 20 * time.Second
	// raceAfterFault is the part of a run for which operators race on after another fault.
	raceAfterFault = 8
	// slowPlatform is what a call takes at a slow platform: several calls in a row
	// outlast the time between two sights of a relay, and none its timeout.
	slowPlatform = 700 * time.Millisecond
	// flapPause is how long the platform is down, and up, in turn. Down, it is
	// shorter than a lease.
	flapPause = 1500 * time.Millisecond
)

// injection brings about the faults of one run and takes them back.
type injection struct {
	run    *Run
	system System
	// mended undoes what was done, in order.
	mended  []func()
	moments []reporter.Event
	stops   []checker.Stop
	// leaving counts the work that leaving servers got, each against its count
	// at the end of the grace time.
	leaving []*leavingServer
	mutex   sync.Mutex
	// applies are what racing operators were told.
	applies []checker.Apply
}

type leavingServer struct {
	server *responder.Server
	before int64
	since  time.Duration
}

func (i *injection) note(name string) {
	i.moments = append(i.moments, reporter.Event{At: i.run.since(), Name: name})
}

// loop sets the scenario's faults at a third of the run and takes them back at two thirds.
func (i *injection) loop(ctx context.Context) error {
	third := i.run.Duration / 3
	if scheduler.Pause(ctx, third) != nil {
		return nil
	}
	for _, f := range i.run.Scenario.Faults {
		p, _ := i.primary()
		i.note(string(f) + " while " + p.Name + " leads")
		if err := i.set(ctx, f); err != nil {
			return errors.Annotatef(err, "set fault %s", f)
		}
	}
	if scheduler.Pause(ctx, 2*third-i.run.since()) != nil {
		return nil
	}
	i.mend()
	return nil
}

// mend takes back what was done, once.
func (i *injection) mend() {
	if len(i.mended) > 0 {
		i.note("mended")
	}
	for _, f := range i.mended {
		f()
	}
	i.mended = nil
}

func (i *injection) later(f func()) {
	i.mended = append(i.mended, f)
}

// set brings about one fault.
func (i *injection) set(ctx context.Context, f definer.Fault) error {
	switch f {
	case definer.NoFault:
	case definer.ReplicaLag:
		i.lag()
	case definer.PrimaryCrash:
		p, _ := i.primary()
		p.Crash()
		i.later(p.Restart)
	case definer.PrimaryPaused:
		p, _ := i.primary()
		p.Pause(true)
		i.later(func() { p.Pause(false) })
	case definer.PrimaryIsolated:
		p, n := i.primary()
		p.Isolate(true)
		i.later(func() { p.Isolate(false) })
		i.cutZone(n)
	case definer.PlatformDown:
		i.system.SetPlatformDown(true)
		i.later(func() { i.system.SetPlatformDown(false) })
	case definer.ZoneCut:
		n := len(i.run.Deployment.Places) - 1
		i.isolateServers(n)
		i.cutZone(n)
	case definer.RegionCut:
		i.cutRegion()
	case definer.SilentConnections:
		i.silence()
	case definer.EntryHostKilled:
		return i.kill(ctx)
	case definer.RollingRestart:
		return i.restartAll(ctx)
	case definer.Leaving:
		p, _ := i.primary()
		p.ReportLeaving(true)
		i.watch(&leavingServer{server: p, since: i.run.since(), before: -1})
	case definer.OperatorsRace:
		return i.race(ctx)
	case definer.EntryHostCutOff:
		i.isolate(disturber.IsolatedExceptCallers)
	case definer.EntryHostSilent:
		i.isolate(disturber.FullyIsolated)
	case definer.PlatformSlow:
		i.system.SetPlatformLatency(slowPlatform)
		i.later(func() { i.system.SetPlatformLatency(0) })
	case definer.PlatformFlapping:
		i.flap(ctx)
	default:
		return errors.Errorf("fault %q isn't built", f)
	}
	return nil
}

// primary returns the first group's primary and the number of its place.
func (i *injection) primary() (*responder.Server, int) {
	l := i.system.Groups()[i.run.Deployment.Groups[0]].Servers
	for n, s := range l {
		if p, _ := s.Store().IsPrimary(); p {
			return s, n
		}
	}
	return l[0], 0
}

// lag holds the last replica of each group behind.
func (i *injection) lag() {
	for _, g := range i.system.Groups() {
		for n := len(g.Servers) - 1; n >= 0; n-- {
			s := g.Servers[n]
			if p, _ := s.Store().IsPrimary(); p {
				continue
			}
			s.SetReplicationLag(replicaLag)
			i.later(func() { s.SetReplicationLag(0) })
			break
		}
	}
}

// cutZone parts the n-th place from all others.
func (i *injection) cutZone(n int) {
	a := i.run.Deployment.Places[n].AvailabilityZone
	for m, p := range i.run.Deployment.Places {
		if m != n {
			i.cut(a, p.AvailabilityZone)
		}
	}
}

func (i *injection) cut(a, b string) {
	w := i.system.Network()
	w.Cut(a, b, true)
	i.later(func() { w.Cut(a, b, false) })
}

// isolateServers cuts the backend servers of the n-th place off from their
// peers: replication doesn't go through the proxied network.
func (i *injection) isolateServers(n int) {
	for _, g := range i.system.Groups() {
		s := g.Servers[n]
		s.Isolate(true)
		i.later(func() { s.Isolate(false) })
	}
}

// cutRegion parts the places of the first region from the others.
func (i *injection) cutRegion() {
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

// silence makes all open connections to backend servers silent.
func (i *injection) silence() {
	l := i.run.Deployment.Places
	for n, a := range l {
		for _, b := range l[n:] {
			i.system.Network().Silence(a.AvailabilityZone, b.AvailabilityZone)
		}
	}
}

func (i *injection) kill(ctx context.Context) error {
	h := i.system.Hosts()[0].Name
	if err := i.system.Kill(h); err != nil {
		return err
	}
	i.later(func() { i.replace(ctx, h) })
	return nil
}

func (i *injection) replace(ctx context.Context, host string) {
	if err := i.system.Replace(context.WithoutCancel(ctx), host); err != nil {
		i.run.fail(errors.Annotatef(err, "replace entry host %s", host))
	}
}

// race has operators change the configuration until the fault is taken back. If
// another fault was set before, they go on for some time after its end, since that
// is when what is left of it meets the next change.
func (i *injection) race(ctx context.Context) error {
	o := i.system.Operators()
	if o == nil {
		return errors.NotSupportedf("a race over a fixed configuration")
	}
	o.Seed, o.StartTime = i.run.Seed, i.run.begun
	x, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return o.Run(x) })
	i.later(func() {
		if len(i.run.Scenario.Faults) > 1 {
			// A load that ends early ends the race, too.
			_ = scheduler.Pause(ctx, i.run.Duration/raceAfterFault)
		}
		stop()
		if err := g.Wait(); err != nil {
			i.run.fail(errors.Annotate(err, "race of operators"))
		}
		i.applies = o.Applies()
	})
	return nil
}

// restartAll stops all entry hosts as planned, one after the other, and starts them again.
func (i *injection) restartAll(ctx context.Context) error {
	for _, h := range i.system.Hosts() {
		s := checker.Stop{EntryHost: h.Name, From: i.run.since()}
		x, stop := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)
		err := i.system.Drain(x, h.Name)
		stop()
		s.To = i.run.since()
		i.stops = append(i.stops, s)
		i.note("restarted " + h.Name)
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

func (i *injection) watch(l *leavingServer) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.leaving = append(i.leaving, l)
}

// watchLeaving notes the count of work at the end of the grace time.
func (i *injection) watchLeaving(now time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, l := range i.leaving {
		if l.before < 0 && now > l.since+leavingGrace {
			l.before = l.server.StatementCounts().Total()
		}
	}
}

// workOnLeaving is how much work leaving servers got after the grace time.
func (i *injection) workOnLeaving() int64 {
	var n int64
	for _, l := range i.leaving {
		if l.before >= 0 {
			n += l.server.StatementCounts().Total() - l.before
		}
	}
	return n
}
