package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/bench/loader"
	"github.com/cuminwick/cuminwick/internal/bench/racer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	host "github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/route/director"
	"github.com/cuminwick/cuminwick/internal/session/signer"
	"github.com/cuminwick/cuminwick/internal/standin/grouper"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// DeployedSystem is cuminwick itself: entry hosts and stand-ins of one deployment in
// this process, over real sockets through the disturber. The exported fields
// are set before Start.
type DeployedSystem struct {
	Deployment definer.Deployment
	Load       definer.Load
	Policy     definer.Policy
	// LogEncoder gets the decision lines of all entry hosts, nobody if nil.
	LogEncoder *encoder.Encoder
	Log        log.Interface
	// WithoutDisturber leaves the disturber out of connections to backend servers.
	WithoutDisturber bool
	// FollowConfiguration has entry hosts follow the configuration in the platform.
	FollowConfiguration bool

	deployment *deployer.Deployment
	network    *disturber.Network
	store      *storekeeper.Store
	// source, if set, is where a test's entry hosts get their configuration.
	source func(host string, f *declarer.File) host.Source
	stop   context.CancelFunc

	control atomic.Int64
	leases  leases

	mutex sync.Mutex
	// absent are the hosts that the balancer doesn't send callers to.
	absent map[string]bool
	// killed are the hosts that have ended without warning.
	killed map[string]bool
	// unbalanced are the hosts that run and get no callers from it.
	unbalanced map[string]bool
}

// benchKey signs marks within one run; it protects nothing.
const benchKey = "cuminwick-bench-0123456789abcdef"

// serverKeepalive is when a backend server notices that a connection has gone
// silent; until then the connection counts towards its limit.
const serverKeepalive = 3 * time.Second

// Start implements System.
func (d *DeployedSystem) Start(ctx context.Context) error {
	ctx, d.stop = context.WithCancel(ctx)
	d.absent = map[string]bool{}
	d.unbalanced = map[string]bool{}
	d.killed = map[string]bool{}
	d.store = new(storekeeper.Store)
	d.network = &disturber.Network{
		Latency:         d.Deployment.Latency,
		BytesPerSecond:  d.Deployment.LinkBytesPerSecond,
		ServerKeepalive: serverKeepalive,
	}
	d.network.Open(ctx)
	d.arrange()
	d.followPolicy()
	if !d.WithoutDisturber {
		d.disturb()
	}
	if err := d.deployment.Start(ctx); err != nil {
		d.stop()
		return err
	}
	for _, h := range d.deployment.Hosts {
		d.locateHost(h)
	}
	if d.Policy.StoreLease {
		d.lease(ctx)
	}
	return nil
}

// arrange makes the deployment, without the disturber between its parts.
func (d *DeployedSystem) arrange() {
	d.deployment = &deployer.Deployment{
		HostsPerPlace: d.Deployment.HostsPerPlace,
		MaximumHosts:  d.Deployment.MaximumHosts,
		Groups:        d.Deployment.Groups,
		Service:       d.Deployment.Service,
		Server: deployer.ServerTemplate{
			Slots:       d.Deployment.Slots,
			Connections: d.Deployment.Connections,
			ConnectTime: d.Deployment.ConnectTime,
			ServiceTime: d.Load.ServiceTime,
		},
		RoutingRules: []declarer.RoutingRule{{
			Name:       "reviews",
			Match:      declarer.Match{Tag: definer.ReviewTag},
			MaximumAge: d.Load.MaximumReviewAge,
		}},
		Platform:   d.store,
		Source:     d.source,
		Marks:      &signer.Signer{Deployment: d.Deployment.Name, Keys: []signer.Key{{ID: 1, Secret: []byte(benchKey)}}},
		LogEncoder: d.LogEncoder,
		Log:        d.Log,
	}
	if !d.FollowConfiguration && d.source == nil {
		d.deployment.Source = fixed
	}
	for _, p := range d.Deployment.Places {
		d.deployment.Places = append(d.deployment.Places, deployer.Place(p))
	}
}

// disturb puts the disturber between the parts.
func (d *DeployedSystem) disturb() {
	d.deployment.Dial = d.dialer
	d.deployment.PeerDial = d.peerDialer
	d.deployment.ControlDial = d.controlDialer
	d.deployment.ListenPacket = d.listener
	d.deployment.PlatformAt = d.platformAt
}

// fixed gives every entry host the same configuration.
func fixed(_ string, f *declarer.File) host.Source {
	return host.FixedSource{Revision: 1, File: f}
}

func (d *DeployedSystem) locateHost(h *host.Host) {
	d.network.SetPlace(h.Address(), disturber.Place{
		AvailabilityZone: h.Settings.AvailabilityZone,
		Region:           h.Settings.Region,
		EntryHost:        h.Settings.HostName,
	})
}

// Stop implements System.
func (d *DeployedSystem) Stop() error {
	e := d.leases.end()
	err := d.deployment.Stop()
	d.stop()
	if err == nil {
		err = e
	}
	return err
}

// Hosts implements System.
func (d *DeployedSystem) Hosts() []loader.Host {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var l []loader.Host
	for _, h := range d.deployment.Hosts {
		if n := h.Settings.HostName; !d.absent[n] && !d.unbalanced[n] {
			l = append(l, loader.Host{Name: h.Settings.HostName, Address: h.Address()})
		}
	}
	return l
}

// Groups implements System.
func (d *DeployedSystem) Groups() map[string]*grouper.Group {
	return d.deployment.Standins
}

// Network implements System.
func (d *DeployedSystem) Network() *disturber.Network {
	return d.network
}

func (d *DeployedSystem) find(name string) (int, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i := slices.IndexFunc(d.deployment.Hosts, func(h *host.Host) bool { return h.Settings.HostName == name })
	if i < 0 {
		return 0, errors.NotFoundf("entry host %s", name)
	}
	return i, nil
}

func (d *DeployedSystem) setAbsent(name string, on bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.absent[name] = on
}

// Kill implements System. The balancer notices at once.
func (d *DeployedSystem) Kill(name string) error {
	i, err := d.find(name)
	if err != nil {
		return err
	}
	d.setAbsent(name, true)
	d.setKilled(name, true)
	d.deployment.Kill(i)
	return nil
}

// Drain implements System.
func (d *DeployedSystem) Drain(ctx context.Context, name string) error {
	i, err := d.find(name)
	if err != nil {
		return err
	}
	d.setAbsent(name, true)
	d.deployment.Drain(i)
	// A stop that cut off callers shows in the checker's count.
	if err := d.deployment.AwaitStopped(ctx, i); err != nil {
		d.Log.WithError(err).WithField("step", "drain").WithField("peer", name).Warn("entry host drained")
	}
	return nil
}

// Replace implements System.
func (d *DeployedSystem) Replace(ctx context.Context, name string) error {
	i, err := d.find(name)
	if err != nil {
		return err
	}
	// How it ended is known already, only that it has ended isn't.
	_ = d.deployment.AwaitStopped(ctx, i)
	d.setKilled(name, false)
	h, err := d.deployment.Restart(ctx, i)
	if err != nil {
		return err
	}
	d.locateHost(h)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deployment.Hosts[i] = h
	d.absent[name] = false
	return nil
}

// SetPlatformDown implements System.
func (d *DeployedSystem) SetPlatformDown(down bool) {
	d.store.SetOutage(down)
}

// SetPlatformLatency implements System.
func (d *DeployedSystem) SetPlatformLatency(l time.Duration) {
	d.store.SetLatency(l)
}

// Revisions implements System.
func (d *DeployedSystem) Revisions() []checker.ObservedRevision {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var l []checker.ObservedRevision
	for _, h := range d.deployment.Hosts {
		if r := h.Director().Runtime(); r != nil && !d.absent[h.Settings.HostName] {
			l = append(l, checker.ObservedRevision{EntryHost: h.Settings.HostName, Revision: r.Revision, Digest: racer.Digest(decided(r))})
		}
	}
	return l
}

// decided is the configuration that a host decides by: that of its running groups,
// in place of what the file says of them. A host that took up a file and went on
// with the groups from before would otherwise pass for one that has it in force.
func decided(r *director.Runtime) declarer.File {
	f := *r.File
	f.DatabaseGroups = nil
	for _, n := range r.Names {
		f.DatabaseGroups = append(f.DatabaseGroups, r.Groups[n].Declared)
	}
	return f
}

// Operators implements System. The operators stand in all availability zones.
func (d *DeployedSystem) Operators() *racer.Racer {
	if !d.FollowConfiguration {
		return nil
	}
	l := d.deployment.Places
	return &racer.Racer{
		Platform:    func(n int) accessor.Platform { return d.platformAt(l[n%len(l)]) },
		LoseAnswers: d.store.LoseAnswers,
		File:        *d.deployment.File,
	}
}

// StoreCalls implements System.
func (d *DeployedSystem) StoreCalls() int64 {
	return int64(d.store.Calls().Total())
}

// ControlBytes implements System. It counts control connections to backend
// servers; entry hosts exchange nothing else in this deployment.
func (d *DeployedSystem) ControlBytes() int64 {
	return d.control.Load()
}
