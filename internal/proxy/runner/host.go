// Package runner runs an entry host that serves the platform's statement protocol.
package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/lender"
	"github.com/cuminwick/cuminwick/internal/proxy/promoter"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/relayer"
)

const (
	// listPatience bounds the wait for the list of entry hosts before the other lists are
	// asked for: an answer of the store takes milliseconds, and where the store is away
	// nothing can be read anyway.
	listPatience = 300 * time.Millisecond
	// entryPatience bounds the wait for a host's own entry at such a start.
	entryPatience = time.Second
	// trimInterval is how often unused connections are looked for.
	trimInterval = 500 * time.Millisecond
)

// Host is one entry host. Its exported fields are set before Run.
type Host struct {
	Name string
	// CallerAddress takes callers, ReadinessAddress the balancer's questions.
	CallerAddress    string
	ReadinessAddress string
	// ReadinessPath is where the balancer asks.
	ReadinessPath string
	// Bounds are those at the start; Adjust changes them later.
	Bounds Bounds
	// FirstStart says that all hosts of the deployment start now for the first time.
	FirstStart bool

	Board          *blackboard.Board
	Configurations Source[*declarer.Configuration]
	Servers        Source[declarer.Server]
	Hosts          Source[declarer.Host]
	Registrar      Registrar
	Transport      relaydialer.Transport
	Relayer        *relayer.Relayer
	// DialLink opens a link to the host that owns a server's connections, Borrower takes
	// over the other end of one.
	DialLink    func(ctx context.Context, owner string, s declarer.Server) (connpooler.Connection, error)
	NewBorrower func(c net.Conn) lender.Borrower
	// Self is how other hosts reach this one.
	Self declarer.Host
	// ParseStatus reads the row in which a server tells its status.
	ParseStatus       func(row string) (declarer.Status, error)
	PromotionPlatform promoter.Platform
	// NewCaller makes a caller of a connection.
	NewCaller func(net.Conn) executor.Caller
	Reporter  executor.Reporter
	Counter   Counter
	Log       log.Interface

	pools          pools
	observer       executor.Observer
	budgets        executor.RetryBudgets
	configurations follower[*declarer.Configuration]
	servers        follower[declarer.Server]
	hosts          follower[declarer.Host]
	catalogue      catalogue
	roster         roster
	gate           gate
	prober         promoter.Prober
	dialer         relaydialer.Dialer
	draining       atomic.Bool
	// adjusted are the bounds that came after those at the start.
	adjusted atomic.Pointer[Bounds]
	// entered is closed once the hosts of a first start have entered the store.
	entered chan struct{}
	// lent counts the connections that other hosts have borrowed.
	lent atomic.Int64

	mu        sync.Mutex
	sessions  map[*executor.Session]struct{}
	promoters map[string]bool
	// running is Run's context, under which promoters of groups that come later run.
	running context.Context
}

// Counter counts what isn't a statement.
type Counter interface {
	promoter.Counter
	PlatformLost(kind string)
}

// Run serves until drain is closed, and then until all sessions have ended or the
// grace is over.
func (h *Host) Run(ctx context.Context, drain <-chan struct{}) error {
	h.prepare()
	c, err := net.Listen("tcp4", h.CallerAddress)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	r, err := net.Listen("tcp4", h.ReadinessAddress)
	if err != nil {
		return errors.Annotate(err, "listen for the balancer")
	}
	if h.Relayer.Listener, err = net.Listen("tcp4", h.Self.Address); err != nil {
		return errors.Annotate(err, "listen for other entry hosts")
	}
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	h.running = x
	h.start(x, c, r)
	select {
	case <-drain:
		h.drain(x)
	case <-ctx.Done():
	}
	h.Log.Info("stopped")
	return nil
}

func (h *Host) prepare() {
	h.sessions = make(map[*executor.Session]struct{})
	h.promoters = make(map[string]bool)
	h.roster.own = h.Self
	h.roster.regions = h.Board.Regions
	h.dialer = relaydialer.Dialer{Transport: h.Transport, Hosts: h.roster.others}
	h.prober = promoter.Prober{Dialer: &h.dialer, Parse: h.ParseStatus}
	h.pools = pools{self: h.Name, board: h.Board, dialer: &h.dialer, observer: h, roster: &h.roster, link: h.DialLink}
	h.hosts = follower[declarer.Host]{
		name: "entry hosts", source: h.Hosts, wait: lasting(hostsWait), first: make(chan struct{}), gate: &h.gate, confirmed: h.confirms(blackboard.SectionHosts),
		reset: h.roster.reset, apply: h.roster.apply, log: h.Log, lost: h.Counter.PlatformLost,
	}
	patience := listPatience
	if h.FirstStart {
		h.entered = make(chan struct{})
		h.hosts.after, h.hosts.patience = h.entered, entryPatience
		patience += entryPatience
	}
	h.observer = executor.Observer{Board: h.Board, Pools: &h.pools}
	h.catalogue = catalogue{publish: h.publish}
	h.configurations = follower[*declarer.Configuration]{
		name: "configuration", source: h.Configurations, wait: h.configWait, after: h.hosts.first, patience: patience,
		gate: &h.gate, confirmed: h.confirms(blackboard.SectionConfiguration),
		reset: h.configure, apply: h.reconfigure, log: h.Log, lost: h.Counter.PlatformLost,
	}
	h.servers = follower[declarer.Server]{
		name: "servers", source: h.Servers, wait: h.serversWait, after: h.hosts.first, patience: patience,
		gate: &h.gate, confirmed: h.confirms(blackboard.SectionServers),
		reset: h.catalogue.reset, apply: h.catalogue.apply, log: h.Log, lost: h.Counter.PlatformLost,
	}
}

// confirms returns what notes on the board that a section was confirmed.
func (h *Host) confirms(s blackboard.Section) func() {
	return func() { h.Board.Confirm(s) }
}

func (h *Host) start(ctx context.Context, callers, readiness net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc(h.ReadinessPath, h.answerReadiness)
	s := &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
	h.follow(ctx)
	h.Relayer.Find = h.pools.find
	h.Relayer.Alive = h.alive
	h.Relayer.Responding = h.answered
	h.Relayer.Lend = h.lend
	go h.Relayer.Run()
	go (&acceptor{host: h, listener: callers}).run()
	go (&readinessServer{server: s, listener: readiness, log: h.Log}).run()
	go (&trimmer{host: h}).run(ctx)
	h.Log.WithField("host", h.Name).Info("started")
}

// Follow enters the host into the platform and keeps up with what that lists until ctx
// ends. It takes no callers.
func (h *Host) Follow(ctx context.Context) {
	h.prepare()
	h.running = ctx
	h.follow(ctx)
	<-ctx.Done()
}

// follow starts what keeps up with the platform.
func (h *Host) follow(ctx context.Context) {
	go h.configurations.run(ctx)
	go h.servers.run(ctx)
	go h.hosts.run(ctx)
	go (&registration{host: h}).run(ctx)
}

// readinessServer answers the balancer.
type readinessServer struct {
	server   *http.Server
	listener net.Listener
	log      log.Interface
}

func (r *readinessServer) run() {
	if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
		r.log.WithError(err).Error("readiness is not served any more")
	}
}

func (h *Host) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the host takes callers.
func (h *Host) Ready() bool { return !h.draining.Load() && h.ready() }

// ready reports whether the host knows the configuration and the servers.
func (h *Host) ready() bool {
	return h.Board.Configuration() != nil && h.servers.listed.Load()
}

// trimmer closes connections that nobody needs.
type trimmer struct {
	host *Host
}

func (t *trimmer) run(ctx context.Context) {
	for scheduler.Pause(ctx, trimInterval) == nil {
		t.host.pools.trim(time.Now())
	}
}

func (h *Host) configure(l []*declarer.Configuration) {
	for _, c := range l {
		h.adopt(c)
	}
}

func (h *Host) reconfigure(l []Change[*declarer.Configuration]) {
	for _, c := range l {
		if !c.Removed {
			h.adopt(c.Value)
		}
	}
}

func (h *Host) adopt(c *declarer.Configuration) {
	if h.Board.Configure(c) {
		h.Log.WithField("version", c.Version).WithField("routes", len(c.Routes)).Info("configuration in force")
	}
}

// publish takes the servers as they are listed now.
func (h *Host) publish(l []declarer.Server) {
	h.pools.take(l)
	h.Board.ReplaceServers(l)
	h.promote()
}

// promote starts a promoter for each group that has none.
func (h *Host) promote() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.Board.Groups() {
		if h.promoters[g] {
			continue
		}
		h.promoters[g] = true
		p := &promoter.Promoter{
			Host: h.Name, Group: g, Board: h.Board, Roles: &h.roster, Dialer: &h.dialer, Prober: &h.prober,
			Platform: h.PromotionPlatform, Counter: h.Counter, Lease: func() time.Duration { return h.bounds().Lease }, Log: h.Log,
		}
		go p.Run(h.running)
	}
}

// Connected and Unreachable note what pools learn.
func (h *Host) Connected(s declarer.Server, m marker.Mark) {
	h.Board.Do(s.Group, func(g *grouptracker.Group) { g.RecordAnswer(s.ID, h.Board.Time(), 0, m) })
}

// Unreachable is the counterpart of Connected.
func (h *Host) Unreachable(s declarer.Server, err error) {
	h.Board.RecordConnectionFailure(s.Group, s.ID, h.Board.Time(), err)
}
