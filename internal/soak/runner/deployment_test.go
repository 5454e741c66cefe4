package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/soak/caller"
	"github.com/cuminwick/cuminwick/internal/soak/checker"
	"github.com/cuminwick/cuminwick/internal/soak/replicator"
	"github.com/cuminwick/cuminwick/internal/soak/storekeeper"
)

const (
	// groups is the number of database groups, serversPerGroup that of the backend servers of each.
	groups          = 2
	serversPerGroup = 3
	// staleness is the maximum staleness of the routes with bounded staleness.
	staleness = time.Second
	// grace is the time that an entry host has for a planned stop.
	grace = 6 * time.Second
	// routeTimeout is the routes' maximum time for a statement.
	routeTimeout = 1500 * time.Millisecond
	// shortStatement and usualStatement are run times of a statement.
	shortStatement = 3 * time.Millisecond
	usualStatement = 15 * time.Millisecond
	// renewalInterval is the time between two renewals of a server's entry in the store.
	renewalInterval = 400 * time.Millisecond
)

// freshness maps a database's kind, the beginning of its name, to what its reads must see.
var freshness = map[string]checker.Freshness{"every": checker.FreshnessLatest, "age": checker.FreshnessBoundedStaleness, "own": checker.FreshnessReadYourWrites}

// routeTypes maps a database's kind to the type of its route in the configuration.
var routeTypes = map[string]string{"every": "primary", "age": "bounded_staleness", "own": "read_your_writes"}

// database is a database that callers open.
type database struct {
	name string
	// kind is a key of freshness and routeTypes.
	kind string
	// group is the index of the database group.
	group int
}

// deployment holds all parts of one soak: the stand-ins, the network and the entry hosts' processes.
type deployment struct {
	directory string
	// seed decides which answers of servers are repeated, repetition how.
	seed       uint64
	repetition replicator.Repetition
	// oddErrors makes the texts of servers' errors hold odd bytes.
	oddErrors bool
	// hostCount is the number of entry hosts.
	hostCount int
	// statementTime is the run time of a statement.
	statementTime time.Duration
	// prefix is the first three octets of the entry hosts' addresses, with the last dot.
	prefix    string
	network   *disturber.Network
	store     *storekeeper.Store
	groups    []*replicator.Group
	recorders []*caller.Recorder // one per group, by its index
	servers   []*server
	hosts     []*host
	databases []database
	// customers is the number of customers, zero if callers are not identified, and connections how many
	// connections each server is declared to accept.
	customers, connections int
	// synchronous is how many replicas must have a write before it is acknowledged.
	synchronous int
	// unfenced is set if orders with a lower token than one before are carried out.
	unfenced bool
	// entries are entries of another writer among those of the servers, nil without any.
	entries *oddEntries
	// orders carries out orders for promotions.
	orders *orders
	// paths are the first host's ways to the servers, by address, if writes are synchronous.
	paths map[string]*serverPath
	// ranked is set if the configuration ranks requests.
	ranked bool
	// operated is set if operators hold customers and routes and drain servers and hosts, and uneven if
	// the hosts declare different strengths.
	operated, uneven bool
	// pinned holds the operators' requests of all further versions of the configuration, nil for those
	// that the version determines.
	pinned atomic.Pointer[requests]
	// version is the version of the configuration that was declared last.
	version atomic.Int64
	// storeFaultLock is held by the active fault of the store, so that faults of the store do not overlap.
	storeFaultLock sync.Mutex
	// done is closed to stop replication and the registrar.
	done chan struct{}
}

// server is one backend server.
type server struct {
	*replicator.Responder
	// faultLock is held by the active fault of the server, so that its faults do not overlap.
	faultLock sync.Mutex
}

// start starts all parts of a soak, which keep their files in the directory.
func (d *deployment) start(ctx context.Context) error {
	d.prefix, d.done = loopbackPrefix(), make(chan struct{})
	d.network = &disturber.Network{Latency: func(disturber.Path) time.Duration { return 0 }}
	d.network.Open(ctx)
	d.orders = &orders{deployment: d}
	d.store = &storekeeper.Store{Promote: d.orders.receive}
	if err := d.addGroups(); err != nil {
		return err
	}
	if err := d.configure(); err != nil {
		return err
	}
	for i := range d.hostCount {
		if err := d.addHost(i); err != nil {
			return err
		}
	}
	go (&registrar{deployment: d}).run()
	return nil
}

// addGroups starts the database groups with their servers and replication.
func (d *deployment) addGroups() error {
	for i := range groups {
		g := &replicator.Group{Name: fmt.Sprintf("group-%d", i), Lag: 10 * time.Millisecond, PromoteTime: 200 * time.Millisecond, StatementTime: d.statementTime, Synchronous: d.synchronous, Unfenced: d.unfenced, Seed: d.seed, Repetition: d.repetition, OddErrors: d.oddErrors}
		if d.synchronous > 0 {
			g.PromoteTime = 600 * time.Millisecond
		}
		if d.customers > 0 {
			g.Customer = d.customerOf
		}
		d.groups = append(d.groups, g)
		d.recorders = append(d.recorders, &caller.Recorder{})
		for k := range routeTypes {
			d.databases = append(d.databases, database{name: fmt.Sprintf("%s-%d", k, i), kind: k, group: i})
		}
		for j := range serversPerGroup {
			s := &server{Responder: &replicator.Responder{Group: g, Server: g.Add(fmt.Sprintf("i-%d-%d", i, j), zone(j))}}
			if err := s.Open("127.0.0.1"); err != nil {
				return err
			}
			d.servers = append(d.servers, s)
			if err := d.addPath(s); err != nil {
				return err
			}
		}
		go (&replication{group: g, done: d.done}).run()
	}
	slices.SortFunc(d.databases, func(a, b database) int { return strings.Compare(a.name, b.name) })
	return nil
}

// zone returns the availability zone of host or server i; the two zones alternate.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%2) }

// replication runs the replication of one group until done is closed.
type replication struct {
	group *replicator.Group
	done  chan struct{}
}

func (r *replication) run() { r.group.Replicate(r.done) }

// registrar renews the servers' entries in the store, at once after a change of primary, and removes
// those that expired.
type registrar struct {
	deployment *deployment
}

func (r *registrar) run() {
	const step = 50 * time.Millisecond
	d := r.deployment
	primaries := make([]*replicator.Server, groups)
	for n := 0; ; n++ {
		select {
		case <-d.done:
			return
		case <-time.After(step):
		}
		changed := n%int(renewalInterval/step) == 0
		for i, g := range d.groups {
			changed = changed || g.Primary() != primaries[i]
			primaries[i] = g.Primary()
		}
		if !changed {
			continue
		}
		for _, s := range d.servers {
			if e, up := s.Group.Entry(s.Server); up && !d.entries.hides(d, s) {
				_ = d.store.Renew("servers", s.Server.ID, e)
			}
		}
		d.entries.renew(d)
		d.store.RemoveExpired("servers")
	}
}

// route is one route of a configuration, as encoded for the store.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Kind      string `json:"route_type"`
	Timeout   int64  `json:"timeout_ms"`
	Backend   string `json:"backend"`
	Staleness int64  `json:"max_staleness_ms"`
	Priority  *int   `json:"priority,omitempty"`
}

// backend is one database group of a configuration, as encoded for the store.
type backend struct {
	Name        string `json:"name"`
	Connections int    `json:"max_connections"`
	Synchronous int    `json:"sync_replicas,omitempty"`
}

// limits holds the limits of a configuration, as encoded for the store.
type limits struct {
	Idle int64 `json:"idle_tx_ms"`
}

// configuration is the operator's declaration, as encoded for the store.
type configuration struct {
	Version   int64      `json:"version"`
	Routes    []route    `json:"routes"`
	Backends  []backend  `json:"backends"`
	Limits    limits     `json:"limits"`
	Customers []customer `json:"tenants,omitempty"`
	Requests  *requests  `json:"operations,omitempty"`
}

// extra returns the name of the database that a version of the configuration adds.
func extra(version int64) string { return fmt.Sprintf("extra-%d", version) }

// bulkDatabases is the number of databases that every fourth version of the configuration adds, up to
// maximumBulkDatabases in total. This tests a configuration that grows by many databases at once and
// is changed again right after.
const (
	bulkDatabases        = 300
	maximumBulkDatabases = 3000
)

// configure declares the next version of the configuration, which keeps all databases and adds one,
// and at every fourth version many.
func (d *deployment) configure() error {
	v := d.version.Load() + 1
	c := configuration{Version: v, Limits: limits{Idle: 3000}, Customers: d.declaredCustomers(v), Requests: d.requestsOf(v)}
	for _, g := range d.groups {
		c.Backends = append(c.Backends, backend{Name: g.Name, Connections: d.connections, Synchronous: d.synchronous})
	}
	for _, x := range d.databases {
		c.Routes = append(c.Routes, route{Name: x.name, Host: x.name, Kind: routeTypes[x.kind], Timeout: routeTimeout.Milliseconds(), Backend: d.groups[x.group].Name, Staleness: staleness.Milliseconds(), Priority: d.routePriority(x.kind, v)})
	}
	for i := int64(1); i <= v; i++ {
		c.Routes = append(c.Routes, route{Name: extra(i), Host: extra(i), Kind: routeTypes["every"], Timeout: routeTimeout.Milliseconds(), Backend: d.groups[0].Name})
	}
	for i := range min(v/4*bulkDatabases, maximumBulkDatabases) {
		n := fmt.Sprintf("bulk-%d", i)
		c.Routes = append(c.Routes, route{Name: n, Host: n, Kind: routeTypes["every"], Timeout: routeTimeout.Milliseconds(), Backend: d.groups[0].Name})
	}
	if _, err := d.store.Put("config", "main", c); err != nil {
		return err
	}
	d.version.Store(v)
	return nil
}

// deployments counts the deployments of this process, each of which has its own addresses.
var deployments atomic.Int64

// loopbackPrefix returns the prefix of a network of loopback addresses for one deployment. It depends
// on the process id, so that test processes that run at the same time use different addresses.
func loopbackPrefix() string {
	n := int(deployments.Add(1))*7919 + os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 64+n/200%128, 1+n%200)
}

// addHost starts entry host i with a store endpoint of its own, which it reaches through a proxy of the
// network, so that faults can affect each host alone.
func (d *deployment) addHost(i int) error {
	h := &host{directory: d.directory, zone: zone(i)}
	h.Name = fmt.Sprintf("entry-%d", i)
	ip := d.prefix + fmt.Sprint(i+1)
	h.Address, h.readiness, h.peers = ip+":7001", ip+":7002", ip+":7101"
	h.place = disturber.Place{AvailabilityZone: h.Name, Region: "one", EntryHost: h.Name}
	d.network.SetPlace(h.peers, h.place)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.network.SetPlace(l.Addr().String(), disturber.Place{AvailabilityZone: "store", Region: "one"})
	s := &http.Server{Handler: storekeeper.Handler{Store: d.store, RewriteAddress: (&addressRewriter{network: d.network, from: h.place, paths: d.pathsOf(i)}).rewrite, Cut: h.storeCut.Load}, ReadHeaderTimeout: time.Minute}
	go (&storeService{server: s, listener: l}).run()
	store, err := d.network.ProxyAddress(h.place, l.Addr().String())
	if err != nil {
		return err
	}
	h.settings = filepath.Join(d.directory, h.Name+".conf")
	if err := os.WriteFile(h.settings, []byte(d.settings(h, ip, zone(i), store)+d.strengthSettings(i)), 0o600); err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	return h.start()
}

// addressRewriter replaces addresses in the store's objects by those of the network's proxies from one
// entry host.
type addressRewriter struct {
	network *disturber.Network
	from    disturber.Place
	// paths are the host's ways to servers, by address.
	paths map[string]*serverPath
}

// rewrite returns the address of the proxy to another entry host. It returns addresses of backend
// servers unchanged, as a crashed server must refuse connections itself, unless the host has a path
// of its own that does the same.
func (w *addressRewriter) rewrite(address string) string {
	if p := w.paths[address]; p != nil {
		return p.address
	}
	if !strings.HasSuffix(address, ":7101") {
		return address
	}
	if a, err := w.network.ProxyAddress(w.from, address); err == nil {
		return a
	}
	return address
}

// storeService serves the store to one entry host.
type storeService struct {
	server   *http.Server
	listener net.Listener
}

func (s *storeService) run() { _ = s.server.Serve(s.listener) }

// settings returns the contents of the host's settings file.
func (d *deployment) settings(h *host, ip, zone, store string) string {
	return strings.Join([]string{
		"node_name=" + h.Name, "ip=" + ip, "zone=" + zone, "region=one", "zones.zone-0=one", "zones.zone-1=one",
		"listen.front=" + h.Address, "listen.readiness=" + h.readiness, "internal_ports=7101,7110",
		"limits.memory_mb=512", "contracts=base,pressure", "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.config_apply_ms=3000",
		"bounds.quota_window_s=5", "bounds.quota_overage=0.1", "bounds.quota_slack=20",
		fmt.Sprintf("bounds.fencing_required=%t", !d.unfenced), "platform.address=" + store, "cloud.address=" + store, "",
	}, "\n")
}

// close stops all parts and returns the findings: hosts that did not stop in time or ended unexpectedly.
func (d *deployment) close() []string {
	var findings []string
	for _, h := range d.hosts {
		h.signal(syscall.SIGTERM)
	}
	for _, h := range d.hosts {
		if !h.await(2 * grace) {
			findings = append(findings, "drain: "+h.Name+" still runs after twice its grace")
			h.signal(syscall.SIGKILL)
			h.await(time.Minute)
		}
		findings = append(findings, h.findings...)
	}
	close(d.done)
	for _, s := range d.servers {
		s.Close()
	}
	for _, p := range d.paths {
		p.block()
	}
	return findings
}
