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

// controlTimeout bounds one control call, so that a silent connection is replaced before its server
// is considered lost.
const controlTimeout = 300 * time.Millisecond

// anyLoopbackPort lets the operating system choose a port.
const anyLoopbackPort = "127.0.0.1:0"

// Place is an availability zone with its region.
type Place struct {
	AvailabilityZone string
	Region           string
	// EntryHost is the name of the entry host in this place, empty for a backend server's place.
	EntryHost string
}

// Dial opens a TCP connection from one place to a backend server.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Deployment runs entry hosts in front of one or more database groups. The exported fields are set
// before Start, except those that Start sets.
type Deployment struct {
	// Places are the availability zones in which entry hosts and backend servers run.
	Places []Place
	// HostsPerPlace is the number of entry hosts in each place.
	HostsPerPlace int
	// MaximumHosts bounds the number of entry hosts; zero means no bound.
	MaximumHosts int
	// Groups are the names of the database groups, each with a backend server in every place.
	Groups []string
	// Service is the service of all database groups.
	Service string
	// Server holds the properties of every backend server.
	Server ServerTemplate
	// RoutingRules and Limits are copied into the configuration file.
	RoutingRules []file.RoutingRule
	Limits       file.Limits
	// Platform is the platform of all hosts unless PlatformAt is set.
	Platform accessor.Platform
	// PlatformAt, if set, returns the platform that entry hosts in a place use, for instance one with
	// latency.
	PlatformAt func(at Place) accessor.Platform
	// Source, if set, makes the configuration source of a host. If nil, Start applies the file
	// through the platform and hosts follow the platform.
	Source func(host string, f *file.File) runner.Source
	// Marks signs and verifies the session marks of all hosts.
	Marks server.Marks
	// LogEncoder writes the decision log of all hosts, nil for none.
	LogEncoder *encoder.Encoder
	// Log is the logger of all hosts.
	Log log.Interface
	// Dial, if set, makes the dialer from a place to backend servers, for instance one that adds
	// latency.
	Dial func(from Place) Dial
	// ControlDial, if set, makes the dialer of control connections. If nil, they use Dial.
	ControlDial func(from Place) Dial
	// PrimaryReads sends all reads to primaries, as a baseline for measurements.
	PrimaryReads bool
	// ListenPacket, if set, makes the function that opens the UDP sockets for peers in a place.
	ListenPacket func(at Place) func(a *net.UDPAddr) (net.PacketConn, error)
	// PeerDial, if set, makes the dialer by which a backend server in a place replicates from
	// another.
	PeerDial func(from Place) streamer.Dial

	// CallerLimits, if set, changes the limits that entry hosts apply to callers.
	CallerLimits func(l *declarer.Limits)
	// Driver holds the thresholds of failover, driver.Defaults if zero.
	Driver driver.Settings
	// MinimumPeerTimeout is the least time that an entry host allows another one to accept a
	// connection and a request, see runner.Host.
	MinimumPeerTimeout time.Duration
	// ServingHosts is the setting Peers.ServingHosts, the default if zero.
	ServingHosts int
	// Standalone runs each entry host without connections to the others.
	Standalone bool
	// Gossip makes entry hosts discover each other by heartbeats instead of Roster, each with all
	// hosts started before it as seeds.
	Gossip bool
	// Members, if set, makes a host's view of Roster, for instance one in which some host cannot be
	// reached.
	Members func(host string, r *runner.Roster) runner.Members

	// Hosts are the entry hosts, set by Start.
	Hosts []*runner.Host
	// Standins are the stand-ins of the backend servers by database group, set by Start.
	Standins map[string]*grouper.Group
	// File is the configuration file with all database groups, set by Start.
	File *file.File
	// Roster is the list of members that all hosts share, set by Start.
	Roster *runner.Roster

	authority *certifier.Authority
	// runs holds the current run of each of Hosts.
	runs  []*hostRun
	tasks *errgroup.Group
	stop  context.CancelFunc
	// incarnations counts the hosts that were created, so that a restarted host has another
	// incarnation than its predecessor.
	incarnations atomic.Int64
	// context is the context of tasks, for hosts that Restart starts.
	context context.Context
}

// ServerTemplate holds the properties that all backend servers share.
type ServerTemplate struct {
	// Slots is the number of statements that a server runs at a time.
	Slots int
	// Connections is the number of connections that a server accepts.
	Connections int
	// ConnectTime is the time that a new connection takes.
	ConnectTime time.Duration
	// ServiceTime is the time that a statement takes in its slot.
	ServiceTime time.Duration
}

// Start starts backend servers and entry hosts and returns when callers can connect. If it returns
// an error, everything has been stopped.
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
	d.tasks, x = errgroup.WithContext(x)
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
	return d.awaitHosts(x)
}

// Stop stops all entry hosts and backend servers without draining and waits until they have stopped.
func (d *Deployment) Stop() error {
	d.stop()
	err := d.tasks.Wait()
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
			Address:            anyLoopbackPort,
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
	d.tasks.Go(func() error { return g.Run(ctx) })
	select {
	case <-g.Ready():
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "start database group %s", name)
	}
	d.declareGroup(name, g)
	return nil
}

// declareGroup adds a database group and its backend servers to File.
func (d *Deployment) declareGroup(name string, g *grouper.Group) {
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

// startHost starts an entry host and adds it to Hosts.
func (d *Deployment) startHost(ctx context.Context, p Place) error {
	h := d.newHost("entry-"+string(rune('a'+len(d.Hosts))), p)
	r, err := d.launch(ctx, h)
	if err != nil {
		return err
	}
	d.Hosts = append(d.Hosts, h)
	d.runs = append(d.runs, r)
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

// awaitHosts returns when each host has a confirmed primary in each group.
func (d *Deployment) awaitHosts(ctx context.Context) error {
	for _, h := range d.Hosts {
		if err := awaitHost(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// awaitHost returns when h has a confirmed primary in each group. A host that starts on a busy
// machine first makes certificates and connections, and may have no majority for longer than callers
// wait for one. So driver.ErrNoMajority does not end the wait.
func awaitHost(ctx context.Context, h *runner.Host) error {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	for h.Director().Runtime() == nil {
		if err := scheduler.Pause(ctx, startPollInterval); err != nil {
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

// awaitPrimary returns when h has a confirmed primary in the group. It looks up the group's driver on
// each attempt, as a change of the group's servers stops the driver and starts another.
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
		if err := scheduler.Pause(ctx, startPollInterval); err != nil {
			return err
		}
	}
}

// startTimeout bounds the wait for a host that never becomes ready.
const startTimeout = time.Minute

// startPollInterval is the time between two checks of a host that is starting.
const startPollInterval = 5 * time.Millisecond

func settings(name string, p Place) declarer.Settings {
	s := declarer.Settings{
		HostName:         name,
		Region:           p.Region,
		AvailabilityZone: p.AvailabilityZone,
		DeploymentID:     "loopback",
	}
	s.Callers.Address = anyLoopbackPort
	s.Administration.Address = anyLoopbackPort
	s.Peers.Address = anyLoopbackPort
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
