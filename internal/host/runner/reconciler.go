package runner

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/pool/lender"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/prober"
	"github.com/cuminwick/cuminwick/internal/route/director"
)

// reconciler starts and stops the serving of database groups as the configuration in force
// requires.
type reconciler struct {
	host   *Host
	dialer *dialer.Dialer

	// groups holds the served groups by name.
	groups map[string]*servedGroup
	// wait counts the goroutines of all groups.
	wait sync.WaitGroup
}

// servedGroup holds what serves one database group. It is replaced when the declaration of the
// group changes.
type servedGroup struct {
	group *director.Group
	// switcher is the group's Driver.
	switcher *switcher.Switcher
	// lenders lend the connections of this host's own pools, one lender for each backend server.
	lenders []*lender.Lender
	// directLenders lend the connections that are used while no pool owner can be reached.
	directLenders []*lender.Lender
	registrations []poolRegistration
	// stop ends the goroutines of the group.
	stop context.CancelFunc
}

// Run applies each new configuration until ctx ends, and then stops all groups.
func (r *reconciler) Run(ctx context.Context) error {
	r.groups = make(map[string]*servedGroup)
	defer r.close()
	for {
		r.reconcile(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.host.Source.Changed():
		}
	}
}

// reconcile puts the newest configuration in force at this host.
func (r *reconciler) reconcile(ctx context.Context) {
	n, f := r.host.Source.Current()
	if f == nil {
		return
	}
	c := r.host.runtime()
	if c != nil && c.Revision >= n {
		return
	}
	t := &director.Runtime{Revision: n, File: f, Groups: make(map[string]*director.Group)}
	served := make(map[string]*servedGroup)
	for _, g := range f.DatabaseGroups {
		served[g.Name] = r.ensure(ctx, g)
		r.applyLimits(served[g.Name], f)
		t.Groups[g.Name] = served[g.Name].group
		t.Names = append(t.Names, g.Name)
	}
	t.Compile(c)
	r.host.update(ctx, configurationWrite{runtime: t}.write)
	if r.host.peers != nil {
		// The set of live hosts may have changed since the groups were started.
		r.host.peers.reconsider()
	}
	if d, ok := r.host.Source.(RevisionTracker); ok {
		d.MarkActivated(n)
	}
	r.host.collector.Revision.Set(float64(n))
	r.retire(served)
	r.host.Log.WithField("revision", n).WithField("database-groups", len(f.DatabaseGroups)).Info("configuration in force")
}

// ensure returns the present servedGroup for g, or starts a new one if there is none with the same
// declaration.
func (r *reconciler) ensure(ctx context.Context, g file.DatabaseGroup) *servedGroup {
	if o := r.groups[g.Name]; o != nil && reflect.DeepEqual(o.group.Declared, g) {
		return o
	}
	x, stop := context.WithCancel(ctx)
	n := &servedGroup{stop: stop, group: &director.Group{Declared: g, Lessors: make(map[string]lessor.Lessor)}}
	c := make(map[string]controller.Control)
	for _, b := range g.BackendServers {
		c[b.Name] = r.host.Control(g.Name, b)
		n.group.Lessors[b.Name] = r.newLessor(n, g.Name, b)
	}
	n.switcher = r.newSwitcher(g, c)
	n.group.Driver = n.switcher
	r.wait.Add(1)
	n.group.Prepare()
	p := &groupRunner{reconciler: r, group: n}
	r.wait.Add(2)
	go p.loopMonitor(x)
	go p.loopExpire(x)
	go p.run(x)
	return n
}

// newLessor creates the lessor of connections to a backend server.
func (r *reconciler) newLessor(n *servedGroup, group string, b file.BackendServer) lessor.Lessor {
	k := &keeper.Keeper{Server: b, Database: group, Opener: r.dialer, Clock: r.host.Clock, Log: r.host.Log}
	l := &lender.Lender{Keeper: k, Gate: r.newGate(b), Canceller: r.dialer, Prober: r.newProber(group, b), SlotWaitSeconds: r.host.collector.QueueSeconds}
	n.lenders = append(n.lenders, l)
	return r.newSharedLessor(n, group, b, l)
}

func (r *reconciler) newGate(b file.BackendServer) *gate.Gate {
	return &gate.Gate{BackendServer: b.Name, Queue: admitter.Queue{Slots: max(1, b.Slots)}, Clock: r.host.Clock}
}

func (r *reconciler) newProber(group string, b file.BackendServer) *prober.Prober {
	return &prober.Prober{
		Address:         b.Address,
		User:            r.dialer.User,
		Password:        r.dialer.Password,
		Database:        group,
		ApplicationName: commander.ApplicationName,
		Timeout:         probeTimeout,
		Dial:            r.dialer.Dial,
	}
}

// probeTimeout bounds one probe of a connection that stopped responding.
const probeTimeout = time.Second

// applyLimits sets the queue length and the limits of the teams of f at all gates of g.
func (r *reconciler) applyLimits(g *servedGroup, f *file.File) {
	n := f.Limits.QueueLength
	if n == 0 {
		n = r.host.Settings.Limits.QueueLength
	}
	t := make(map[string]admitter.TeamLimit, len(f.Teams))
	for _, m := range f.Teams {
		t[m.Name] = admitter.TeamLimit{Share: m.Share, Requests: m.RequestLimit}
	}
	for _, l := range slices.Concat(g.lenders, g.directLenders) {
		l.Gate.Adjust(func(q *admitter.Queue) {
			q.Length = n
			q.Teams = t
		})
	}
}

// groupRunner runs the loops of one group.
type groupRunner struct {
	reconciler *reconciler
	group      *servedGroup
}

// run runs the group's switcher until ctx ends.
func (p *groupRunner) run(ctx context.Context) {
	defer p.reconciler.wait.Done()
	if err := p.group.switcher.Run(ctx); err != nil && ctx.Err() == nil {
		p.reconciler.host.Log.WithError(err).WithField("step", "drive group").WithField("peer", p.group.group.Declared.Name).Error("switcher of database group failed")
	}
}

// retire stops all groups but the given ones, which become the served ones. Requests that still run
// keep their connections, which are closed when they are released.
func (r *reconciler) retire(served map[string]*servedGroup) {
	for n, g := range r.groups {
		if served[n] != g {
			g.close()
		}
	}
	r.groups = served
}

func (g *servedGroup) close() {
	g.stop()
	for _, l := range slices.Concat(g.lenders, g.directLenders) {
		l.Keeper.Close()
	}
	for i := range g.registrations {
		g.registrations[i].close()
	}
}

func (r *reconciler) close() {
	for _, g := range r.groups {
		g.close()
	}
	r.wait.Wait()
}
