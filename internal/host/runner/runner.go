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

// ErrNotReady is returned by the readiness check before the first configuration is in force.
const ErrNotReady = errors.ConstError("no configuration in force")

// RevisionTracker is a Source that is notified when this host has put a revision in force.
type RevisionTracker interface {
	// MarkActivated is called when all new requests are processed under revision r.
	MarkActivated(r uint64)
}

// Source provides the configuration that is to be in force.
type Source interface {
	// Run keeps the configuration up to date until ctx ends.
	Run(ctx context.Context) error
	// Current returns the present revision and its file, nil before the first one.
	Current() (uint64, *file.File)
	// Changed returns a channel that receives after each change.
	Changed() <-chan struct{}
}

// Component is a part of the process that runs as long as the host does.
type Component interface {
	// Run runs until ctx ends. An error before that stops the host.
	Run(ctx context.Context) error
}

// Host is one entry host. The exported fields are set before Listen, which is called before Run.
type Host struct {
	Settings declarer.Settings
	// Platform, if set, is used by the drivers of groups and, with Gossip, as a source of hosts to
	// contact.
	Platform accessor.Platform
	Source   Source
	// Control creates the client for control calls to a backend server of a group.
	Control func(group string, b file.BackendServer) controller.Control
	// Dial opens TCP connections to backend servers. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// PrimaryReads sends all reads to the primary, as a baseline for measurements.
	PrimaryReads bool
	// ListenPacket opens UDP sockets for peers. If it is nil, net.ListenUDP is used.
	ListenPacket func(a *net.UDPAddr) (net.PacketConn, error)
	// Marks signs and verifies the marks of sessions.
	Marks server.Marks
	// LogEncoder, if set, receives routing decisions. Its dropped lines are counted.
	LogEncoder *encoder.Encoder
	// DriverSettings holds the intervals and thresholds of failover. If it is zero, driver.Defaults
	// is used.
	DriverSettings driver.Settings
	// MinimumPeerTimeout is a lower bound of the timeouts for connecting to another entry host and
	// for its accepting a request. If it is zero, these timeouts are at most a second.
	MinimumPeerTimeout time.Duration
	// Clock is the timer service of all components. Listen creates one if it is nil. Run runs it.
	Clock *scheduler.Scheduler
	Log   log.Interface
	// Members provides the other entry hosts. If it is nil, they are discovered by heartbeats if
	// Gossip is set, else the host has no peers.
	Members Members
	Gossip  bool
	// Securer secures the connections between entry hosts. If it is nil, the certificate files in
	// the settings are used.
	Securer *securer.Securer

	// Routes serve additional kinds of request of other entry hosts.
	Routes []peerlistener.Route
	// Components are run by Run, until the host stops.
	Components []Component
	// Authenticator authenticates callers. If it is nil, all callers are trusted.
	Authenticator listener.Authenticator
	// CallerTLS returns the TLS configuration for callers. If it is nil, TLS isn't offered.
	CallerTLS func() *tls.Config
	// Administration serves the administration address in addition to metrics and health checks,
	// over TLS if AdministrationTLS is set.
	Administration    http.Handler
	AdministrationTLS *tls.Config

	// peers is nil for a host without peers.
	peers *peers

	director   *director.Director
	classifier *classifier.Classifier
	collector  *collector.Collector
	meter      *meter
	listener   *listener.Listener
	reconciler *reconciler
	// admin listens for administration.
	admin net.Listener
	// sessions is the id of the last session.
	sessions atomic.Uint64
	// board holds the state that the host's controllers share.
	board blackboard.Board[State]
	// membersSignal wakes the loop that writes a new view of the members to the board.
	membersSignal chan struct{}
	// drain is closed by StartDrain.
	drain     chan struct{}
	drainOnce sync.Once
}

// Listen opens the host's listeners and creates its components. Afterwards Address,
// AdministrationAddress and PeerAddress return the actual addresses.
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
	h.Control = controlFactory{peers: h.peers, local: h.Control}.make
	return nil
}

// Address returns the address at which the host listens for callers.
func (h *Host) Address() string {
	return h.listener.NetListener.Addr().String()
}

// AdministrationAddress returns the address of administration, metrics and health checks.
func (h *Host) AdministrationAddress() string {
	return h.admin.Addr().String()
}

// Director returns the host's director. It is used by tests and the demo.
func (h *Host) Director() *director.Director {
	return h.director
}

// assemble creates the components that don't depend on peers; n listens for callers.
func (h *Host) assemble(n net.Listener) {
	if h.DriverSettings == (driver.Settings{}) {
		h.DriverSettings = driver.Defaults()
	}
	if h.Clock == nil {
		h.Clock = new(scheduler.Scheduler)
	}
	h.drain = make(chan struct{})
	h.membersSignal = make(chan struct{}, 1)
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
	h.reconciler = &reconciler{host: h, dialer: h.newDialer()}
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

// newDialer creates the dialer for connections to backend servers.
func (h *Host) newDialer() *dialer.Dialer {
	return &dialer.Dialer{
		User:            h.Settings.Backend.User,
		Password:        h.Settings.Backend.Password,
		ApplicationName: "cuminwick",
		Timeout:         h.Settings.Limits.ConnectTimeout,
		Dial:            h.Dial,
	}
}

// Run serves until ctx ends or, after drain is closed or StartDrain is called, until no request is
// in progress. If the drain timeout passes before, it returns an error with the number of callers
// that were cut off.
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
	g.Go(task{ctx: y, function: h.Clock.Run}.run)
	g.Go(task{ctx: y, function: h.board.Run}.run)
	g.Go(task{ctx: y, function: s.Run}.run)
	g.Go(task{ctx: y, function: h.Source.Run}.run)
	g.Go(task{ctx: y, function: h.reconciler.Run}.run)
	g.Go(task{ctx: y, function: h.listener.Run}.run)
	g.Go(task{ctx: y, function: h.meter.loop}.run)
	if h.peers != nil {
		g.Go(task{ctx: y, function: h.peers.run}.run)
	}
	for _, p := range h.Components {
		g.Go(task{ctx: y, function: p.Run}.run)
	}
	w := &drainer{host: h, ctx: y, stop: cancel, drain: drain}
	g.Go(w.run)
	return g.Wait()
}

// alive is the liveness check, which succeeds whenever the process responds.
func alive() error { return nil }

// ready is the readiness check. It returns server.ErrStopping or ErrNotReady.
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

// NewSession implements listener.SessionFactory. The database defaults to the user, as in PostgreSQL.
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

// limits returns the limits of the configuration in force, with defaults for unset timeouts.
func (h *Host) limits() file.Limits {
	var l file.Limits
	if r := h.runtime(); r != nil {
		l = r.File.Limits
	}
	if l.RequestTimeout == 0 {
		l.RequestTimeout = h.Settings.Limits.RequestTimeout
	}
	if l.IdleInTransactionTimeout == 0 {
		l.IdleInTransactionTimeout = defaultIdleInTransactionTimeout
	}
	return l
}

// defaultIdleInTransactionTimeout is how long a caller may be idle in a transaction if the
// configuration sets no limit.
const defaultIdleInTransactionTimeout = time.Minute

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
