package runner

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// distant is the platform as seen from one place: calls take the network's
// latency and don't get through a partition, neither there nor back.
type distant struct {
	deployed *DeployedSystem
	store    accessor.Platform
	network  *disturber.Network
	path     disturber.Path
}

var _ accessor.Platform = (*distant)(nil)

// platformAt makes the platform as seen from a place. The store stands in the
// first availability zone of its region.
func (d *DeployedSystem) platformAt(at deployer.Place) accessor.Platform {
	for _, p := range d.Deployment.Places {
		if p.Region == d.Deployment.StoreRegion {
			return &distant{deployed: d, store: d.store, network: d.network, path: disturber.Path{From: disturber.Place(at), To: p}}
		}
	}
	return d.store
}

// call carries a call there and its answer back.
func call[T any](ctx context.Context, d *distant, f func() (T, error)) (T, error) {
	var none T
	if d.deployed.isKilled(d.path.From.EntryHost) {
		return none, errors.Annotatef(errKilled, "call platform from %s", d.path.From.EntryHost)
	}
	if err := d.network.Traverse(ctx, d.path); err != nil {
		return none, errors.Annotate(err, "reach platform")
	}
	v, err := f()
	back := disturber.Path{From: d.path.To, To: d.path.From}
	if e := d.network.Traverse(ctx, back); e != nil {
		return none, errors.Annotate(e, "await platform's answer")
	}
	return v, err
}

// errKilled answers the calls that a killed entry host still makes. Its process ends
// within this one and so would free its object in the platform, which no killed process
// does: operators then wait until its lease has run out.
const errKilled = errors.ConstError("entry host killed")

func (d *DeployedSystem) setKilled(name string, on bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.killed[name] = on
}

func (d *DeployedSystem) isKilled(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.killed[name]
}

// Get implements accessor.Platform.
func (d *distant) Get(ctx context.Context, kind, name string) (accessor.Object, error) {
	return call(ctx, d, func() (accessor.Object, error) { return d.store.Get(ctx, kind, name) })
}

// Put implements accessor.Platform.
func (d *distant) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	return call(ctx, d, func() (accessor.Object, error) { return d.store.Put(ctx, o) })
}

// List implements accessor.Platform.
func (d *distant) List(ctx context.Context, kind string) ([]accessor.Object, error) {
	return call(ctx, d, func() ([]accessor.Object, error) { return d.store.List(ctx, kind) })
}

// Watch implements accessor.Platform.
func (d *distant) Watch(ctx context.Context, kind, name string, after accessor.Version) (accessor.Object, error) {
	return call(ctx, d, func() (accessor.Object, error) { return d.store.Watch(ctx, kind, name, after) })
}

// Hosts implements accessor.Platform.
func (d *distant) Hosts(ctx context.Context) ([]accessor.Host, error) {
	return call(ctx, d, func() ([]accessor.Host, error) { return d.store.Hosts(ctx) })
}
