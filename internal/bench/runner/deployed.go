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

// DeployedSystem implements System: it runs the entry hosts and stand-in servers of one deployment in
// this process, connected by real sockets through the disturber. The exported fields are set before
// Start.
type DeployedSystem struct {
	Deployment definer.Deployment
	Load       definer.Load
	Policy     definer.Policy
	// LogEncoder receives the decision log of all entry hosts. It may be nil.
	LogEncoder *encoder.Encoder
	Log        log.Interface
	// WithoutDisturber connects the parts of the deployment directly, without simulated latency or faults.
	WithoutDisturber bool
	// FollowConfiguration has entry hosts follow the configuration in the platform; otherwise it is fixed.
	FollowConfiguration bool

	deployment *deployer.Deployment
	network    *disturber.Network
	store      *storekeeper.Store
	// source, if set by a test, returns the configuration source of an entry host.
	source func(host string, f *declarer.File) host.Source
	stop   context.CancelFunc

	controlBytes atomic.Int64
	leasers      leaserGroup

	mutex sync.Mutex
	// absent are the hosts that are stopped or stopping and receive no new callers.
	absent map[string]bool
	// killed are the hosts that were killed and not yet replaced.
	killed map[string]bool
	// unbalanced are the running hosts that the load balancer sends no callers to.
	unbalanced map[string]bool
}

// markKey signs the marks of a run. It isn't secret.
const markKey = "cuminwick-bench-0123456789abcdef"

// serverKeepalive is the time after which a backend server detects a silent connection. Until then the
// connection counts towards the server's limit.
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
	d.setUpDeployment()
	d.applyPolicy()
	if !d.WithoutDisturber {
		d.useDisturber()
	}
	if err := d.deployment.Start(ctx); err != nil {
		d.stop()
		return err
	}
	for _, h := range d.deployment.Hosts {
		d.setHostPlace(h)
	}
	if d.Policy.StoreLease {
		d.startLeasers(ctx)
	}
	return nil
}

// setUpDeployment sets d.deployment, without the disturber between its parts.
func (d *DeployedSystem) setUpDeployment() {
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
		Marks:      &signer.Signer{Deployment: d.Deployment.Name, Keys: []signer.Key{{ID: 1, Secret: []byte(markKey)}}},
		LogEncoder: d.LogEncoder,
		Log:        d.Log,
	}
	if !d.FollowConfiguration && d.source == nil {
		d.deployment.Source = fixedSource
	}
	for _, p := range d.Deployment.Places {
		d.deployment.Places = append(d.deployment.Places, deployer.Place(p))
	}
}

// useDisturber routes the traffic between the parts through the disturber.
func (d *DeployedSystem) useDisturber() {
	d.deployment.Dial = d.dialer
	d.deployment.PeerDial = d.peerDialer
	d.deployment.ControlDial = d.controlDialer
	d.deployment.ListenPacket = d.listener
	d.deployment.PlatformAt = d.platformAt
}

// fixedSource returns a source with the same fixed configuration for every entry host.
func fixedSource(_ string, f *declarer.File) host.Source {
	return host.FixedSource{Revision: 1, File: f}
}

func (d *DeployedSystem) setHostPlace(h *host.Host) {
	d.network.SetPlace(h.Address(), disturber.Place{
		AvailabilityZone: h.Settings.AvailabilityZone,
		Region:           h.Settings.Region,
		EntryHost:        h.Settings.HostName,
	})
}

// Stop implements System.
func (d *DeployedSystem) Stop() error {
	e := d.leasers.stopAndWait()
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

func (d *DeployedSystem) hostIndex(name string) (int, error) {
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

// Kill implements System. The load balancer detects the failure at once.
func (d *DeployedSystem) Kill(name string) error {
	i, err := d.hostIndex(name)
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
	i, err := d.hostIndex(name)
	if err != nil {
		return err
	}
	d.setAbsent(name, true)
	d.deployment.Drain(i)
	// The checker counts the requests that the stop cut off.
	if err := d.deployment.AwaitStopped(ctx, i); err != nil {
		d.Log.WithError(err).WithField("step", "drain").WithField("peer", name).Warn("entry host drained")
	}
	return nil
}

// Replace implements System.
func (d *DeployedSystem) Replace(ctx context.Context, name string) error {
	i, err := d.hostIndex(name)
	if err != nil {
		return err
	}
	// The result of the stop was handled when the host was drained or killed; only its end is awaited here.
	_ = d.deployment.AwaitStopped(ctx, i)
	d.setKilled(name, false)
	h, err := d.deployment.Restart(ctx, i)
	if err != nil {
		return err
	}
	d.setHostPlace(h)
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
			l = append(l, checker.ObservedRevision{EntryHost: h.Settings.HostName, Revision: r.Revision, Digest: racer.Digest(runningConfiguration(r))})
		}
	}
	return l
}

// runningConfiguration returns the configuration that a host has in force: its file, with the groups
// replaced by those that run. Otherwise a host that adopted a file but kept its earlier groups would be
// taken for one that has the file in force.
func runningConfiguration(r *director.Runtime) declarer.File {
	f := *r.File
	f.DatabaseGroups = nil
	for _, n := range r.Names {
		f.DatabaseGroups = append(f.DatabaseGroups, r.Groups[n].Declared)
	}
	return f
}

// Operators implements System. The operators are spread over all availability zones.
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

// ControlBytes implements System. It counts the bytes of control connections to backend servers; entry
// hosts exchange no other control traffic in this deployment.
func (d *DeployedSystem) ControlBytes() int64 {
	return d.controlBytes.Load()
}
