// Package deployer runs a small deployment of entry hosts and stand-ins in one process.
package deployer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/certifier"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/settings/declarer"
	"github.com/cuminwick/cuminwick/internal/standin/grouper"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
	"github.com/cuminwick/cuminwick/internal/standin/streamer"
)

// controlTimeout bounds one control call, so that a connection gone silent is
// replaced before its server is taken for lost.
const controlTimeout = 300 * time.Millisecond

// anyPort lets the system choose a loopback port.
const anyPort = "127.0.0.1:0"

// Place is an availability zone with its region.
type Place struct {
	AvailabilityZone string
	Region           string
	// EntryHost is whose place it is, empty for all others in the zone.
	EntryHost string
}

// Dial opens a TCP connection from one place to a backend server.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Deployment is entry hosts before one or more database groups. The exported
// fields are set before Start.
type Deployment struct {
	// Places are where entry hosts and backend servers stand.
	Places []Place
	// HostsPerPlace is the number of entry hosts in each place.
	HostsPerPlace int
	// MaximumHosts bounds the number of entry hosts, no bound if zero.
	MaximumHosts int
	// Groups are the names of the database groups, each with a backend server
	// in every place.
	Groups  []string
	Service string
	// Server is the pattern of every backend server.
	Server ServerTemplate
	// RoutingRules and Limits go into the configuration.
	RoutingRules []file.RoutingRule
	Limits       file.Limits
	Platform     accessor.Platform
	// PlatformAt, if set, makes the platform as seen from a place.
	PlatformAt func(at Place) accessor.Platform
	// Source makes the configuration source of a host; without it the file is
	// applied to the platform, and hosts follow that.
	Source     func(host string, f *file.File) runner.Source
	Marks      server.Marks
	LogEncoder *encoder.Encoder
	Log        log.Interface
	// Dial, if set, makes the dialer from a place, for instance one that adds
	// latency.
	Dial func(from Place) Dial
	// ControlDial, if set, makes the dialer of control connections, Dial's otherwise.
	ControlDial func(from Place) Dial
	// PrimaryReads sends all reads to primaries, as a baseline to measure against.
	PrimaryReads bool
	// ListenPacket, if set, makes what opens a place's UDP sockets for peers.
	ListenPacket func(at Place) func(a *net.UDPAddr) (net.PacketConn, error)
	// PeerDial, if set, makes the dialer by which a backend server in a place
	// replicates from another.
	PeerDial func(from Place) streamer.Dial

	// CallerLimits, if set, changes what entry hosts allow their callers.
	CallerLimits func(l *declarer.Limits)
	// Driver holds the thresholds of failover, driver.Defaults if zero.
	Driver driver.Settings
	// MinimumPeerTimeout is the least time that pool owners are given, see runner.Host.
	MinimumPeerTimeout time.Duration
	// ServingHosts is the setting of that name, the default if zero.
	ServingHosts int
	// Standalone keeps entry hosts from knowing of each other.
	Standalone bool
	// Gossip has entry hosts find each other by heartbeats, each with the one
	// before it as seed, in place of Roster.
	Gossip bool
	// Members, if set, makes what a host sees of the Roster, for instance
	// without a way to some host.
	Members func(host string, r *runner.Roster) runner.Members

	// Hosts and Standins are filled in by Start.
	Hosts    []*runner.Host
	Standins map[string]*grouper.Group
	File     *file.File
	// Roster is the list of members that all hosts have.
	Roster *runner.Roster

	authority *certifier.Authority
	ends      []*end
	work      *errgroup.Group
	stop      context.CancelFunc
	// starts counts the hosts that were made, so that a restarted one isn't taken
	// for the one before.
	starts atomic.Int64
	// context is that of Start, for hosts that are replaced later.
	context context.Context
}

// ServerTemplate is what all backend servers have in common.
type ServerTemplate struct {
	Slots       int
	Connections int
	ConnectTime time.Duration
	ServiceTime time.Duration
}

// Start starts everything and returns when callers can connect. After an error
// nothing runs any more.
func (d *Deployment) Start(ctx context.Context) error {
	err := d.start(ctx)
	if err != nil {
		_ = d.Stop()
	}
	return err
}

func (d *Deployment) start(ctx context.Context) error {
	x, stop := context.WithCancel(ctx)
	d.stop = stop
	d.work, x = errgroup.WithContext(x)
	d.context = x
	d.Standins = make(map[string]*grouper.Group)
	d.Roster = new(runner.Roster)
	a, err := certifier.New("loopback", time.Now(), certificateValidity)
	if err != nil {
		return errors.Annotate(err, "start deployment")
	}
	d.authority = a
	d.File = &file.File{RoutingRules: d.RoutingRules, Limits: d.Limits}
	for _, g := range d.Groups {
		if err := d.startGroup(x, g); err != nil {
			return err
		}
	}
	if d.Source == nil {
		if _, err := d.Apply(x, *d.File); err != nil {
			return err
		}
	}
	for _, p := range d.Places {
		for range d.HostsPerPlace {
			if d.MaximumHosts > 0 && len(d.Hosts) == d.MaximumHosts {
				break
			}
			if err := d.startHost(x, p); err != nil {
				return err
			}
		}
	}
	return d.await(x)
}

// Stop ends everything at once and waits for it.
func (d *Deployment) Stop() error {
	d.stop()
	err := d.work.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (d *Deployment) startGroup(ctx context.Context, name string) error {
	g := &grouper.Group{}
	for i, p := range d.Places {
		s := &responder.Server{
			Name:               name + "-" + string(rune('a'+i)),
			Address:            anyPort,
			Slots:              d.Server.Slots,
			MaximumConnections: d.Server.Connections,
			ConnectTime:        d.Server.ConnectTime,
			ServiceTime:        d.Server.ServiceTime,
		}
		if d.PeerDial != nil {
			s.Dial = d.PeerDial(p)
		}
		g.Servers = append(g.Servers, s)
	}
	d.Standins[name] = g
	d.work.Go(func() error { return g.Run(ctx) })
	select {
	case <-g.Ready():
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "start database group %s", name)
	}
	d.declare(name, g)
	return nil
}

func (d *Deployment) declare(name string, g *grouper.Group) {
	c := file.DatabaseGroup{Name: name, Service: d.Service}
	for i, s := range g.Servers {
		c.BackendServers = append(c.BackendServers, file.BackendServer{
			Name:             s.Name,
			Address:          s.Addr(),
			AvailabilityZone: d.Places[i].AvailabilityZone,
			Region:           d.Places[i].Region,
			Slots:            d.Server.Slots,
			Connections:      d.Server.Connections,
		})
	}
	d.File.DatabaseGroups = append(d.File.DatabaseGroups, c)
}

// startHost starts one more entry host.
func (d *Deployment) startHost(ctx context.Context, p Place) error {
	h := d.newHost("entry-"+string(rune('a'+len(d.Hosts))), p)
	e, err := d.launch(ctx, h)
	if err != nil {
		return err
	}
	d.Hosts = append(d.Hosts, h)
	d.ends = append(d.ends, e)
	return nil
}

func (d *Deployment) newHost(name string, p Place) *runner.Host {
	p.EntryHost = name
	c := new(scheduler.Scheduler)
	h := &runner.Host{
		Settings:       settings(name, p),
		Platform:       d.platform(p),
		Source:         d.source(name, p, c),
		Clock:          c,
		Marks:          d.Marks,
		DriverSettings: d.Driver,

		MinimumPeerTimeout: d.MinimumPeerTimeout,
		LogEncoder:         d.LogEncoder,
		Log:                d.Log,

		PrimaryReads: d.PrimaryReads,
	}
	h.Settings.Peers.ServingHosts = d.ServingHosts
	if d.CallerLimits != nil {
		d.CallerLimits(&h.Settings.Limits)
	}
	var dial Dial
	if d.Dial != nil {
		dial = d.Dial(p)
	}
	h.Dial = dial
	if d.ListenPacket != nil {
		h.ListenPacket = d.ListenPacket(p)
	}
	if d.ControlDial != nil {
		dial = d.ControlDial(p)
	}
	h.Control = func(group string, b file.BackendServer) controller.Control {
		return &commander.Client{Name: b.Name, Address: b.Address, User: h.Settings.Backend.User, Database: group, Timeout: controlTimeout, Dial: dial}
	}
	return h
}

// await returns when each host sees a confirmed primary in each group.
func (d *Deployment) await(ctx context.Context) error {
	for _, h := range d.Hosts {
		if err := awaitHost(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// A host that is started on a busy machine, with its certificates and connections
// still to be made, may see no majority for longer than callers would be kept
// waiting for one, so that is no reason to give up.
func awaitHost(ctx context.Context, h *runner.Host) error {
	ctx, stop := context.WithTimeout(ctx, startPatience)
	defer stop()
	for h.Director().Runtime() == nil {
		if err := scheduler.Pause(ctx, startPause); err != nil {
			return errors.Annotate(err, "await entry host")
		}
	}
	for _, n := range h.Director().Runtime().Names {
		if err := awaitPrimary(ctx, h, n); err != nil {
			return errors.Annotatef(err, "await primary of %s", n)
		}
	}
	return nil
}

// awaitPrimary asks the group's present driver each time: a change of the group's
// servers while the host starts stops the driver from before.
func awaitPrimary(ctx context.Context, h *runner.Host, group string) error {
	for {
		g, ok := h.Director().Runtime().Groups[group]
		if !ok {
			return nil
		}
		_, err := g.Driver.WaitPrimary(ctx)
		if !errors.Is(err, driver.ErrNoMajority) && !errors.Is(err, driver.ErrStopped) {
			return err
		}
		if err := scheduler.Pause(ctx, startPause); err != nil {
			return err
		}
	}
}

// startPatience only ends the wait for a host that would never be ready.
const startPatience = time.Minute

// startPause is the time between two looks at a host that starts.
const startPause = 5 * time.Millisecond

func settings(name string, p Place) declarer.Settings {
	s := declarer.Settings{
		HostName:         name,
		Region:           p.Region,
		AvailabilityZone: p.AvailabilityZone,
		DeploymentID:     "loopback",
	}
	s.Callers.Address = anyPort
	s.Administration.Address = anyPort
	s.Peers.Address = anyPort
	s.Backend.User = "cuminwick"
	s.Limits = declarer.Limits{
		CallerConnections: 4000,
		HandshakeTimeout:  5 * time.Second,
		MessageBytes:      16 << 20,
		WriteTimeout:      30 * time.Second,
		RequestTimeout:    30 * time.Second,
		DrainTimeout:      30 * time.Second,
		QueueLength:       1000,
		ConnectTimeout:    5 * time.Second,
		FailedLogins:      30,
		PeerStreams:       1000,
	}
	return s
}
