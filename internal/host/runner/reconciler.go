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

// reconciler keeps what serves the database groups in step with the
// configuration in force.
type reconciler struct {
	host   *Host
	dialer *dialer.Dialer

	groups map[string]*running
	wait   sync.WaitGroup
}

// running is one database group that is being served.
type running struct {
	group *director.Group
	// switcher is the group's Driver.
	switcher *switcher.Switcher
	lenders  []*lender.Lender
	// direct lend the connections of a host that reaches no pool owner.
	direct []*lender.Lender
	shares []share
	stop   context.CancelFunc
}

// Run follows the configuration until ctx ends.
func (r *reconciler) Run(ctx context.Context) error {
	r.groups = make(map[string]*running)
	defer r.close()
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.host.Source.Changed():
		}
	}
}

// step makes the newest configuration the one in force here.
func (r *reconciler) step(ctx context.Context) {
	n, f := r.host.Source.Current()
	if f == nil {
		return
	}
	c := r.host.runtime()
	if c != nil && c.Revision >= n {
		return
	}
	t := &director.Runtime{Revision: n, File: f, Groups: make(map[string]*director.Group)}
	keep := make(map[string]*running)
	for _, g := range f.DatabaseGroups {
		keep[g.Name] = r.ensure(ctx, g)
		r.limit(keep[g.Name], f)
		t.Groups[g.Name] = keep[g.Name].group
		t.Names = append(t.Names, g.Name)
	}
	t.Compile(c)
	r.host.update(ctx, configured{runtime: t}.write)
	if r.host.peers != nil {
		// Hosts may have come or gone between the start of a group and now.
		r.host.peers.reconsider()
	}
	if d, ok := r.host.Source.(RevisionTracker); ok {
		d.Decided(n)
	}
	r.host.collector.Revision.Set(float64(n))
	r.retire(keep)
	r.host.Log.WithField("revision", n).WithField("database-groups", len(f.DatabaseGroups)).Info("configuration in force")
}

// ensure returns the running group for g, a new one where its servers changed.
func (r *reconciler) ensure(ctx context.Context, g file.DatabaseGroup) *running {
	if o := r.groups[g.Name]; o != nil && reflect.DeepEqual(o.group.Declared, g) {
		return o
	}
	x, stop := context.WithCancel(ctx)
	n := &running{stop: stop, group: &director.Group{Declared: g, Lessors: make(map[string]lessor.Lessor)}}
	c := make(map[string]controller.Control)
	for _, b := range g.BackendServers {
		c[b.Name] = r.host.Control(g.Name, b)
		n.group.Lessors[b.Name] = r.lessor(n, g.Name, b)
	}
	n.switcher = r.switcher(g, c)
	n.group.Driver = n.switcher
	r.wait.Add(1)
	n.group.Prepare()
	p := &part{reconciler: r, group: n}
	r.wait.Add(2)
	go p.loopWatch(x)
	go p.loopExpire(x)
	go p.run(x)
	return n
}

// lessor makes what lends connections to a backend server.
func (r *reconciler) lessor(n *running, group string, b file.BackendServer) lessor.Lessor {
	k := &keeper.Keeper{Server: b, Database: group, Opener: r.dialer, Clock: r.host.Clock, Log: r.host.Log}
	l := &lender.Lender{Keeper: k, Gate: r.gate(b), Canceller: r.dialer, Prober: r.prober(group, b), SlotWaitSeconds: r.host.collector.QueueSeconds}
	n.lenders = append(n.lenders, l)
	return r.share(n, group, b, l)
}

func (r *reconciler) gate(b file.BackendServer) *gate.Gate {
	return &gate.Gate{BackendServer: b.Name, Queue: admitter.Queue{Slots: max(1, b.Slots)}, Clock: r.host.Clock}
}

func (r *reconciler) prober(group string, b file.BackendServer) *prober.Prober {
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

// probeTimeout bounds one question about a connection gone silent.
const probeTimeout = time.Second

// limit puts the queues' limits of f in force.
func (r *reconciler) limit(g *running, f *file.File) {
	n := f.Limits.QueueLength
	if n == 0 {
		n = r.host.Settings.Limits.QueueLength
	}
	t := make(map[string]admitter.TeamLimit, len(f.Teams))
	for _, m := range f.Teams {
		t[m.Name] = admitter.TeamLimit{Share: m.Share, Requests: m.RequestLimit}
	}
	for _, l := range slices.Concat(g.lenders, g.direct) {
		l.Gate.Adjust(func(q *admitter.Queue) {
			q.Length = n
			q.Teams = t
		})
	}
}

// part looks after one group.
type part struct {
	reconciler *reconciler
	group      *running
}

func (p *part) run(ctx context.Context) {
	defer p.reconciler.wait.Done()
	if err := p.group.switcher.Run(ctx); err != nil && ctx.Err() == nil {
		p.reconciler.host.Log.WithError(err).WithField("step", "drive group").WithField("peer", p.group.group.Declared.Name).Error("database group not driven")
	}
}

// retire stops groups that aren't configured. Requests that still run
// keep their connections, which close when they come back.
func (r *reconciler) retire(keep map[string]*running) {
	for n, g := range r.groups {
		if keep[n] != g {
			g.close()
		}
	}
	r.groups = keep
}

func (g *running) close() {
	g.stop()
	for _, l := range slices.Concat(g.lenders, g.direct) {
		l.Keeper.Close()
	}
	for i := range g.shares {
		g.shares[i].close()
	}
}

func (r *reconciler) close() {
	for _, g := range r.groups {
		g.close()
	}
	r.wait.Wait()
}
