// Package runner runs an entry host that serves the platform's statement protocol.
package runner

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/drainer"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/lender"
	"github.com/cuminwick/cuminwick/internal/proxy/promoter"
	"github.com/cuminwick/cuminwick/internal/proxy/quotakeeper"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/relayer"
)

const (
	// hostListTimeout bounds the wait for the list of entry hosts before the other lists are
	// requested. An answer of the store takes milliseconds, and while the store is unavailable
	// nothing can be read anyway.
	hostListTimeout = 300 * time.Millisecond
	// registrationTimeout bounds the wait for the host's own registration at a first start.
	registrationTimeout = time.Second
	// rosterTimeout bounds the wait for the list of entry hosts before callers are served.
	rosterTimeout = time.Second
	// trimInterval is how often unused connections are closed.
	trimInterval = 500 * time.Millisecond
)

// Host is one entry host. Its exported fields are set before Run.
type Host struct {
	Name string
	// CallerAddress is the address on which callers connect.
	CallerAddress string
	// ReadinessAddress is the address on which the balancer polls ReadinessPath over HTTP.
	ReadinessAddress string
	ReadinessPath    string
	// Bounds holds the initial bounds; SetBounds replaces them.
	Bounds Bounds
	// FirstStart is set if all hosts of the deployment start now for the first time.
	FirstStart bool

	Board          *blackboard.Board
	Configurations Source[*declarer.Configuration]
	Servers        Source[declarer.Server]
	Hosts          Source[declarer.Host]
	Registrar      Registrar
	// Seeds keeps the lists from which a restarted host begins, and ReachHost reports whether the
	// entry host at the address accepts connections. A host without them begins from the list of all
	// hosts.
	Seeds     SeedStore
	ReachHost func(ctx context.Context, address string) error
	Transport relaydialer.Transport
	// Relayer serves connections of other hosts. Run sets its listener and its functions Find,
	// AnsweredWithin, MayPromote and Lend.
	Relayer *relayer.Relayer
	// DialLink opens a link to the host that owns the connections to a server. owner is that
	// host's address.
	DialLink func(ctx context.Context, owner string, s declarer.Server) (connpooler.Connection, error)
	// NewBorrower wraps the accepting end of such a link.
	NewBorrower func(c net.Conn) lender.Borrower
	// Self is the entry under which other hosts find and reach this one.
	Self declarer.Host
	// ParseStatus parses the row in which a server reports its status.
	ParseStatus func(row string) (declarer.Status, error)
	// FencesChecked, if not nil, replaces that of the bounds: it reads the present settings, which may have changed
	// since the bounds were set.
	FencesChecked func() bool
	// PromotionPlatform makes claims and orders promotions.
	PromotionPlatform promoter.Platform
	// NewCaller wraps a caller's connection.
	NewCaller func(net.Conn) executor.Caller
	// Tolerance is what the deployment tolerates beyond a customer's limit.
	Tolerance limiter.Tolerance
	// DialQuota connects to a host that counts the operations of customers, and ServeQuota answers
	// another host's questions about those that this one counts.
	DialQuota  func(ctx context.Context, h declarer.Host) (quotakeeper.Peer, error)
	ServeQuota func(c net.Conn, k *quotakeeper.Keeper)
	Reporter   executor.Reporter
	// OnSessionEnd, if not nil, is called when a caller's session has ended.
	OnSessionEnd func(executor.SessionEnd)
	Counter      Counter
	Log          log.Interface

	pools          pools
	observer       executor.Observer
	budgets        executor.RetryBudgets
	keyWaits       executor.KeyWaits
	quotas         quotakeeper.Keeper
	configurations follower[*declarer.Configuration]
	servers        follower[declarer.Server]
	hosts          follower[declarer.Host]
	catalogue      catalogue
	roster         roster
	strength       strengthKeeper
	// registration is nil before the host follows the platform.
	registration *registration
	// starter is nil at a first start.
	starter *starter
	// began is when the host started.
	began  time.Time
	gate   gate
	prober promoter.Prober
	dialer relaydialer.Dialer
	// stopping is the planned stop in progress, nil before.
	stopping atomic.Pointer[plannedStop]
	// callers is the listener for callers.
	callers net.Listener
	// currentBounds holds the bounds of the last SetBounds, nil before the first.
	currentBounds atomic.Pointer[Bounds]
	// registered is closed once all hosts of a first start had time to register. It is nil at any
	// other start.
	registered chan struct{}
	// work counts the sessions and the connections that other hosts borrow. A stopping host closes it before it ends.
	work drainer.Work
	// acceptedWhileDraining counts the callers accepted since the drain began.
	acceptedWhileDraining atomic.Int64

	mu       sync.Mutex
	sessions map[*executor.Session]struct{}
	// promoters holds the promoters that have been started, by group.
	promoters map[string]*promoter.Promoter
	// runContext is the context of Run, which also ends promoters of groups that are listed later.
	runContext context.Context
}

// Counter counts events other than statements.
type Counter interface {
	promoter.Counter
	// PlatformLost counts that calls about one kind of object have begun to fail.
	PlatformLost(kind string)
	// NotAdmitted counts a request of a route with this priority that wasn't sent to another host, as
	// that host would have refused it.
	NotAdmitted(priority uint8)
}

// Run serves callers until drain is closed, and then until all sessions have ended or the grace
// period is over. It returns an error if it can't listen on an address.
func (h *Host) Run(ctx context.Context, drain <-chan struct{}) error {
	h.prepare()
	var err error
	if h.callers, err = net.Listen("tcp4", h.CallerAddress); err != nil {
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
	h.runContext = x
	h.start(x, r)
	select {
	case <-drain:
		h.drain(x)
	case <-ctx.Done():
	}
	h.closeIntake()
	h.logWork("stopped")
	return nil
}

func (h *Host) prepare() {
	h.began = time.Now()
	h.sessions = make(map[*executor.Session]struct{})
	h.promoters = make(map[string]*promoter.Promoter)
	h.roster.self = h.Self
	h.roster.regions = h.Board.Regions
	h.prepareStrength()
	h.dialer = relaydialer.Dialer{Transport: h.Transport, Hosts: h.roster.others}
	h.prober = promoter.Prober{Dialer: relaydialer.ProbeDialer{Dialer: &h.dialer}, Parse: h.ParseStatus}
	h.preparePools()
	h.hosts = follower[declarer.Host]{
		name: "entry hosts", source: h.Hosts, wait: constant(hostsWait), firstListed: make(chan struct{}), gate: &h.gate, onAnswer: h.confirmFunc(blackboard.SectionHosts),
		reset: h.roster.reset, apply: h.roster.apply, log: h.Log, onLost: h.Counter.PlatformLost,
	}
	startAfter, startTimeout := h.prepareStart()
	h.prepareQuotas()
	h.observer = executor.Observer{Board: h.Board, Pools: &h.pools}
	h.catalogue = catalogue{publish: h.publishServers}
	h.configurations = follower[*declarer.Configuration]{
		name: "configuration", source: h.Configurations, wait: h.configWait, startAfter: startAfter, startTimeout: startTimeout,
		gate: &h.gate, onAnswer: h.confirmFunc(blackboard.SectionConfiguration),
		reset: h.resetConfiguration, apply: h.applyConfiguration, log: h.Log, onLost: h.Counter.PlatformLost,
	}
	h.servers = follower[declarer.Server]{
		name: "servers", source: h.Servers, wait: h.serversWait, startAfter: startAfter, startTimeout: startTimeout,
		gate: &h.gate, onAnswer: h.confirmFunc(blackboard.SectionServers),
		reset: h.catalogue.reset, apply: h.catalogue.apply, log: h.Log, onLost: h.Counter.PlatformLost,
	}
}

func (h *Host) preparePools() {
	h.pools = pools{self: h.Name, board: h.Board, dialer: &h.dialer, observer: h, roster: &h.roster, dialLink: h.DialLink, admissions: &admissions{log: h.Log, counter: h.Counter}}
	h.roster.connectionLimit = h.pools.connectionLimit
}

// prepareStart has the list of hosts read after what has to precede it, and returns what the other
// lists wait for and how long: the hosts through which they are read.
func (h *Host) prepareStart() (after <-chan struct{}, timeout time.Duration) {
	switch {
	case h.FirstStart:
		h.registered = make(chan struct{})
		h.hosts.startAfter, h.hosts.startTimeout = h.registered, registrationTimeout
		return h.hosts.firstListed, registrationTimeout + hostListTimeout
	case h.Seeds == nil:
		return h.hosts.firstListed, hostListTimeout
	}
	h.starter = newStarter(h)
	t := seedTimeout + upstreamStartTimeout + upstreamProbeTimeout
	h.hosts.startAfter, h.hosts.startTimeout = h.starter.seeded, t
	return h.starter.upstreamsKnown, t + hostListTimeout
}

// confirmFunc returns a function that records on the board that a section is current.
func (h *Host) confirmFunc(s blackboard.Section) func() {
	return func() { h.Board.Confirm(s) }
}

func (h *Host) start(ctx context.Context, readiness net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc(h.ReadinessPath, h.handleReadiness)
	s := &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
	h.follow(ctx)
	h.Relayer.Find = h.pools.find
	h.Relayer.AnsweredWithin = h.answeredWithin
	h.Relayer.Lend = h.lend
	h.Relayer.MayPromote = h.mayPromote
	h.Relayer.Quota = func(c net.Conn) { h.ServeQuota(c, &h.quotas) }
	go h.Relayer.Run()
	go (&acceptor{host: h, listener: h.callers}).run()
	go (&readinessServer{server: s, listener: readiness, log: h.Log}).run()
	go (&trimmer{host: h}).run(ctx)
	h.Log.WithField("host", h.Name).Info("started")
}

// Follow registers the host with the platform and follows the platform's lists until ctx ends,
// without accepting callers.
func (h *Host) Follow(ctx context.Context) {
	h.prepare()
	h.runContext = ctx
	h.follow(ctx)
	<-ctx.Done()
}

// follow starts the followers of the platform's lists and the registration.
func (h *Host) follow(ctx context.Context) {
	if h.starter != nil {
		go h.starter.run(ctx)
	}
	if h.Seeds != nil {
		go (&seedWriter{host: h}).run(ctx)
	}
	go h.configurations.run(ctx)
	go h.servers.run(ctx)
	go h.hosts.run(ctx)
	h.startRegistration(ctx)
}

// readinessServer serves the balancer's readiness checks.
type readinessServer struct {
	server   *http.Server
	listener net.Listener
	log      log.Interface
}

func (r *readinessServer) run() {
	if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
		r.log.WithError(err).Error("readiness server failed")
	}
}

func (h *Host) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the host accepts callers. Callers that the balancer sends nevertheless while
// operators drain the host are served.
func (h *Host) Ready() bool { return h.stopping.Load() == nil && !h.drained() && h.ready() }

// ready reports whether the host has received the configuration, the list of servers and the list of
// hosts. Without the latter it would open connections to servers whose connections another host owns;
// it goes without it only if the list doesn't arrive for rosterTimeout.
func (h *Host) ready() bool {
	return h.Board.Configuration() != nil && h.servers.listed.Load() && (h.hosts.listed.Load() || time.Since(h.began) > rosterTimeout)
}

// trimmer closes unused connections at intervals.
type trimmer struct {
	host *Host
}

func (t *trimmer) run(ctx context.Context) {
	for scheduler.Pause(ctx, trimInterval) == nil {
		t.host.pools.trim(time.Now())
	}
}

func (h *Host) resetConfiguration(l []*declarer.Configuration) {
	for _, c := range l {
		h.setConfiguration(c)
	}
}

func (h *Host) applyConfiguration(l []Change[*declarer.Configuration]) {
	for _, c := range l {
		if !c.Removed {
			h.setConfiguration(c.Value)
		}
	}
}

func (h *Host) setConfiguration(c *declarer.Configuration) {
	old := h.Board.Configuration()
	if !h.Board.Configure(c) {
		return
	}
	h.quotas.Forget()
	h.Log.WithField("version", c.Version).WithField("routes", len(c.Routes)).Info("configuration in force")
	if old == nil || !maps.Equal(old.Groups, c.Groups) {
		h.roster.updatePlacement()
	}
	h.applyOperations(old, c)
	if len(c.Replaced) > 0 {
		h.Log.WithField("version", c.Version).WithField("values", strings.Join(c.Replaced, "; ")).Warn("invalid values of the configuration replaced")
	}
}

// publishServers passes the current list of servers to the pools and the board.
func (h *Host) publishServers(l []declarer.Server) {
	h.pools.setServers(l)
	h.Board.ReplaceServers(l)
	h.startPromoters()
}

// startPromoters starts a promoter for each group that has none.
func (h *Host) startPromoters() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.Board.Groups() {
		if h.promoters[g] != nil {
			continue
		}
		p := &promoter.Promoter{
			Host: h.Name, Group: g, Board: h.Board, Roles: &h.roster, Dialer: &h.dialer, Prober: &h.prober,
			Platform: h.PromotionPlatform, Counter: h.Counter, Lease: func() time.Duration { return h.bounds().Lease },
			FencesChecked: h.fencesChecked, Log: h.Log,
		}
		h.promoters[g] = p
		go p.Run(h.runContext)
	}
}

// mayPromote reports whether this host can order a promotion of the group now.
func (h *Host) mayPromote(group string) bool {
	h.mu.Lock()
	p := h.promoters[group]
	h.mu.Unlock()
	return p != nil && p.MayPromote(h.runContext)
}

// Connected records that a server has answered a pool's connection attempt.
func (h *Host) Connected(s declarer.Server, m marker.Mark) {
	h.Board.Do(s.Group, func(g *grouptracker.Group) { g.RecordAnswer(s.ID, h.Board.Time(), 0, m) })
}

// Unreachable records that a pool could not connect to a server.
func (h *Host) Unreachable(s declarer.Server, err error) {
	h.Board.RecordConnectionFailure(s.Group, s.ID, h.Board.Time(), err)
}
