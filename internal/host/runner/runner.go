// Package runner runs one entry host.
package runner

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/caller/listener"
	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/cancel/matcher"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
	metrics "github.com/cuminwick/cuminwick/internal/metric/server"
	peerlistener "github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/route/director"
	"github.com/cuminwick/cuminwick/internal/settings/declarer"
	"github.com/cuminwick/cuminwick/internal/state/blackboard"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
)

// ErrNotReady is what the readiness check answers before there is a configuration.
const ErrNotReady = errors.ConstError("no configuration in force")

// RevisionTracker is a Source that is told which revision this host decides by already.
type RevisionTracker interface {
	// Decided takes in that requests are decided by revision r from now on.
	Decided(r uint64)
}

// Source tells which configuration is in force.
type Source interface {
	// Run follows the configuration until ctx ends.
	Run(ctx context.Context) error
	// Current returns the revision in force and its file, nil before the first.
	Current() (uint64, *file.File)
	// Changed returns a channel that receives after each change.
	Changed() <-chan struct{}
}

// Component is something that runs beside the host.
type Component interface {
	Run(ctx context.Context) error
}

// Host is one entry host. The exported fields are set before Run.
type Host struct {
	Settings declarer.Settings
	Platform accessor.Platform
	Source   Source
	// Control makes the control side of a backend server.
	Control func(group string, b file.BackendServer) controller.Control
	// Dial opens TCP connections to backend servers, nil for the plain dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PrimaryReads sends all reads to the primary, as a baseline to measure against.
	PrimaryReads bool
	// ListenPacket opens UDP sockets for peers, net.ListenUDP if nil.
	ListenPacket func(a *net.UDPAddr) (net.PacketConn, error)
	Marks        server.Marks
	LogEncoder   *encoder.Encoder
	// DriverSettings holds the intervals and thresholds of failover, driver.Defaults if zero.
	DriverSettings driver.Settings
	// MinimumPeerTimeout is the least time that another entry host is given to be
	// connected to and to take a request on, a second at most if zero.
	MinimumPeerTimeout time.Duration
	// Clock is the timer service of all parts; Listen makes one if it is nil.
	// The host runs it.
	Clock *scheduler.Scheduler
	Log   log.Interface
	// Members tells which other entry hosts there are. Without it they are
	// found by heartbeats if Gossip is set, and else the host is alone.
	Members Members
	Gossip  bool
	// Securer secures the connections between entry hosts, nil to read the
	// files that the settings name.
	Securer *securer.Securer

	// Routes serve further kinds of request of other entry hosts.
	Routes []peerlistener.Route
	// Components run beside the host, once it listens and until it stops.
	Components []Component
	// Authenticator proves who callers are; without it all are trusted.
	Authenticator listener.Authenticator
	// CallerTLS offers TLS to callers, if it is set.
	CallerTLS func() *tls.Config
	// Administration answers on the administration address beside metrics and
	// health checks, over AdministrationTLS if that is set.
	Administration    http.Handler
	AdministrationTLS *tls.Config

	peers *peers

	director   *director.Director
	classifier *classifier.Classifier
	collector  *collector.Collector
	meter      *meter
	listener   *listener.Listener
	reconciler *reconciler
	admin      net.Listener
	sessions   atomic.Uint64
	// board holds what the host's controllers share.
	board blackboard.Board[State]
	// sighted wakes what brings a new view of the members to the board.
	sighted chan struct{}
	// drain is closed by StartDrain.
	drain     chan struct{}
	drainOnce sync.Once
}

// Listen opens the host's addresses; afterwards Address tells the actual ones.
func (h *Host) Listen() error {
	n, err := net.Listen("tcp", h.Settings.Callers.Address)
	if err != nil {
		return errors.Annotatef(err, "listen for callers at %s", h.Settings.Callers.Address)
	}
	a, err := net.Listen("tcp", h.Settings.Administration.Address)
	if err != nil {
		n.Close()
		return errors.Annotatef(err, "listen for administration at %s", h.Settings.Administration.Address)
	}
	h.admin = a
	h.assemble(n)
	if h.Members == nil && !h.Gossip {
		return nil
	}
	if err := h.listenPeers(); err != nil {
		n.Close()
		a.Close()
		return err
	}
	h.listener.Canceller = h.peers.cancels
	h.Control = sharedControl{peers: h.peers, local: h.Control}.make
	return nil
}

// Address returns the address that callers connect to.
func (h *Host) Address() string {
	return h.listener.NetListener.Addr().String()
}

// AdministrationAddress returns the address of metrics and health checks.
func (h *Host) AdministrationAddress() string {
	return h.admin.Addr().String()
}

// Director returns the host's director, for tests and the demo.
func (h *Host) Director() *director.Director {
	return h.director
}

func (h *Host) assemble(n net.Listener) {
	if h.DriverSettings == (driver.Settings{}) {
		h.DriverSettings = driver.Defaults()
	}
	if h.Clock == nil {
		h.Clock = new(scheduler.Scheduler)
	}
	h.drain = make(chan struct{})
	h.sighted = make(chan struct{}, 1)
	h.classifier = new(classifier.Classifier)
	h.collector = collector.New()
	h.meter = newMeter(h)
	h.director = &director.Director{
		AvailabilityZone: h.Settings.AvailabilityZone,
		Region:           h.Settings.Region,
		PrimaryReads:     h.PrimaryReads,
		Draw:             rand.Uint64,
		Configuration:    h.runtime,
		Metrics:          director.Resolve(h.collector),
	}
	if h.LogEncoder != nil {
		h.director.Decisions = h.LogEncoder
	}
	h.reconciler = &reconciler{host: h, dialer: h.dialer()}
	h.listener = &listener.Listener{
		NetListener:        n,
		SessionFactory:     h,
		Authenticator:      h.Authenticator,
		OnLogin:            h.meter.login,
		TLS:                h.CallerTLS,
		HandshakeTimeout:   h.Settings.Limits.HandshakeTimeout,
		MaximumConnections: h.Settings.Limits.CallerConnections,
		HostID:             matcher.IDOf(h.Settings.HostName),
		Log:                h.Log,
	}
}

func (h *Host) dialer() *dialer.Dialer {
	return &dialer.Dialer{
		User:            h.Settings.Backend.User,
		Password:        h.Settings.Backend.Password,
		ApplicationName: "cuminwick",
		Timeout:         h.Settings.Limits.ConnectTimeout,
		Dial:            h.Dial,
	}
}

// Run serves until ctx ends or, once drain is closed, until no request is in
// progress. It returns how many callers were cut off by an error.
func (h *Host) Run(ctx context.Context, drain <-chan struct{}) error {
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	g, y := errgroup.WithContext(x)
	s := &metrics.Server{
		Listener:       h.admin,
		TLS:            h.AdministrationTLS,
		Gatherer:       h.collector.Registry,
		Live:           alive,
		Ready:          h.ready,
		Administration: h.Administration,
	}
	g.Go(companion{ctx: y, step: h.Clock.Run}.run)
	g.Go(companion{ctx: y, step: h.board.Run}.run)
	g.Go(companion{ctx: y, step: s.Run}.run)
	g.Go(companion{ctx: y, step: h.Source.Run}.run)
	g.Go(companion{ctx: y, step: h.reconciler.Run}.run)
	g.Go(companion{ctx: y, step: h.listener.Run}.run)
	g.Go(companion{ctx: y, step: h.meter.loop}.run)
	if h.peers != nil {
		g.Go(companion{ctx: y, step: h.peers.run}.run)
	}
	for _, p := range h.Components {
		g.Go(companion{ctx: y, step: p.Run}.run)
	}
	w := &drainer{host: h, ctx: y, stop: cancel, drain: drain}
	g.Go(w.run)
	return g.Wait()
}

func alive() error { return nil }

func (h *Host) ready() error {
	s := h.board.Read()
	if s.Draining.Value {
		return server.ErrStopping
	}
	if s.Configuration.Value == nil {
		return ErrNotReady
	}
	return nil
}

// NewSession implements listener.SessionFactory.
func (h *Host) NewSession(g greeter.StartupRequest, k greeter.CancelKey) (*server.Session, error) {
	d := g.Parameters["database"]
	if d == "" {
		d = g.Parameters["user"]
	}
	if !h.director.Exists(d, g.Parameters["user"]) {
		return nil, errors.Errorf("database %q does not exist", d)
	}
	l := h.limits()
	return &server.Session{
		StartupRequest:           g,
		Key:                      k,
		Director:                 h.director,
		Classifier:               h.classifier,
		Marks:                    h.Marks,
		Log:                      h.Log,
		ID:                       h.sessions.Add(1),
		Host:                     h.Settings.HostName,
		MaximumMessageBytes:      h.Settings.Limits.MessageBytes,
		WriteTimeout:             h.Settings.Limits.WriteTimeout,
		RequestTimeout:           l.RequestTimeout,
		IdleInTransactionTimeout: l.IdleInTransactionTimeout,
		ServerParameters:         serverParameters,
		Counters:                 h.meter,
	}, nil
}

// limits returns the limits in force, with this host's settings as defaults.
func (h *Host) limits() file.Limits {
	var l file.Limits
	if r := h.runtime(); r != nil {
		l = r.File.Limits
	}
	if l.RequestTimeout == 0 {
		l.RequestTimeout = h.Settings.Limits.RequestTimeout
	}
	if l.IdleInTransactionTimeout == 0 {
		l.IdleInTransactionTimeout = defaultIdleInTransaction
	}
	return l
}

// defaultIdleInTransaction is how long a caller may sit idle in a transaction.
const defaultIdleInTransaction = time.Minute

// serverParameters are reported to callers at the start of a session.
var serverParameters = map[string]string{
	"server_version":              "16.0",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"TimeZone":                    "UTC",
	"IntervalStyle":               "postgres",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
	"is_superuser":                "off",
	"application_name":            "",
}
