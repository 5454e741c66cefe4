package runner

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// remotePlatform is the platform as reached from one place: calls and their responses are delayed by the
// network's latency and fail during a partition.
type remotePlatform struct {
	deployed *DeployedSystem
	store    accessor.Platform
	network  *disturber.Network
	path     disturber.Path
}

var _ accessor.Platform = (*remotePlatform)(nil)

// platformAt returns the platform as reached from a place. The store is located in the first
// availability zone of its region.
func (d *DeployedSystem) platformAt(at deployer.Place) accessor.Platform {
	for _, p := range d.Deployment.Places {
		if p.Region == d.Deployment.StoreRegion {
			return &remotePlatform{deployed: d, store: d.store, network: d.network, path: disturber.Path{From: disturber.Place(at), To: p}}
		}
	}
	return d.store
}

// callOverNetwork makes a call to the platform, with the network's delays and faults in both directions.
func callOverNetwork[T any](ctx context.Context, d *remotePlatform, f func() (T, error)) (T, error) {
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

// errKilled is returned for the calls that a killed entry host still makes. The host runs within this
// process and would release its object in the platform when it ends. A process that is really killed
// doesn't: operators then wait until its lease has expired.
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
func (d *remotePlatform) Get(ctx context.Context, kind, name string) (accessor.Object, error) {
	return callOverNetwork(ctx, d, func() (accessor.Object, error) { return d.store.Get(ctx, kind, name) })
}

// Put implements accessor.Platform.
func (d *remotePlatform) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	return callOverNetwork(ctx, d, func() (accessor.Object, error) { return d.store.Put(ctx, o) })
}

// List implements accessor.Platform.
func (d *remotePlatform) List(ctx context.Context, kind string) ([]accessor.Object, error) {
	return callOverNetwork(ctx, d, func() ([]accessor.Object, error) { return d.store.List(ctx, kind) })
}

// Watch implements accessor.Platform.
func (d *remotePlatform) Watch(ctx context.Context, kind, name string, after accessor.Version) (accessor.Object, error) {
	return callOverNetwork(ctx, d, func() (accessor.Object, error) { return d.store.Watch(ctx, kind, name, after) })
}

// Hosts implements accessor.Platform.
func (d *remotePlatform) Hosts(ctx context.Context) ([]accessor.Host, error) {
	return callOverNetwork(ctx, d, func() ([]accessor.Host, error) { return d.store.Hosts(ctx) })
}
