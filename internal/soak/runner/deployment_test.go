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

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/soak/caller"
	"github.com/cuminwick/cuminwick/internal/soak/checker"
	"github.com/cuminwick/cuminwick/internal/soak/replicator"
	"github.com/cuminwick/cuminwick/internal/soak/storekeeper"
)

const (
	// groups and servers make up a deployment, with the hosts of the flag.
	groups  = 2
	servers = 3
	// staleness is that of the routes whose reads may be of an age, grace that of a stop.
	staleness = time.Second
	grace     = 6 * time.Second
	// beat is how often a server renews its entry.
	beat = 400 * time.Millisecond
)

// freshness is that of the databases by their name's beginning.
var freshness = map[string]checker.Freshness{"every": checker.FreshnessEvery, "age": checker.FreshnessAge, "own": checker.FreshnessOwn}

// kinds are the words of the same in the configuration.
var kinds = map[string]string{"every": "primary", "age": "bounded_staleness", "own": "read_your_writes"}

// database is one that callers may name.
type database struct {
	name  string
	kind  string
	group int
}

// deployment is all parts of one soak.
type deployment struct {
	directory string
	// prefix begins the entry hosts' addresses.
	prefix    string
	network   *disturber.Network
	store     *storekeeper.Store
	groups    []*replicator.Group
	recorders []*caller.Recorder
	servers   []*server
	hosts     []*host
	databases []database
	// version is that of the configuration in force.
	version atomic.Int64
	// storeBusy is held by the fault that is at work on the store.
	storeBusy sync.Mutex
	done      chan struct{}
}

// server is one server with the fault that is at work on it.
type server struct {
	*replicator.Responder
	busy sync.Mutex
}

// deploy starts all parts.
func deploy(ctx context.Context, directory string) (*deployment, error) {
	d := &deployment{directory: directory, prefix: addresses(), done: make(chan struct{})}
	d.network = &disturber.Network{Latency: func(disturber.Path) time.Duration { return 0 }}
	d.network.Open(ctx)
	d.store = &storekeeper.Store{Promote: d.promote}
	if err := d.addGroups(); err != nil {
		return nil, err
	}
	if err := d.configure(); err != nil {
		return nil, err
	}
	for i := range *hosts {
		if err := d.addHost(i); err != nil {
			return nil, err
		}
	}
	go (&registrar{deployment: d}).run()
	return d, nil
}

func (d *deployment) addGroups() error {
	for i := range groups {
		g := &replicator.Group{Name: fmt.Sprintf("group-%d", i), Lag: 10 * time.Millisecond, PromoteTime: 200 * time.Millisecond}
		d.groups = append(d.groups, g)
		d.recorders = append(d.recorders, &caller.Recorder{})
		for k := range kinds {
			d.databases = append(d.databases, database{name: fmt.Sprintf("%s-%d", k, i), kind: k, group: i})
		}
		for j := range servers {
			s := &server{Responder: &replicator.Responder{Group: g, Server: g.Add(fmt.Sprintf("i-%d-%d", i, j), zone(j))}}
			if err := s.Open("127.0.0.1"); err != nil {
				return err
			}
			d.servers = append(d.servers, s)
		}
		go (&replication{group: g, done: d.done}).run()
	}
	slices.SortFunc(d.databases, func(a, b database) int { return strings.Compare(a.name, b.name) })
	return nil
}

// zone deals the two availability zones out.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%2) }

// replication is that of one group.
type replication struct {
	group *replicator.Group
	done  chan struct{}
}

func (r *replication) run() { r.group.Replicate(r.done) }

// registrar keeps the servers' entries in the store.
type registrar struct {
	deployment *deployment
}

func (r *registrar) run() {
	const step = 50 * time.Millisecond
	d := r.deployment
	leaders := make([]*replicator.Server, groups)
	for n := 0; ; n++ {
		select {
		case <-d.done:
			return
		case <-time.After(step):
		}
		changed := n%int(beat/step) == 0
		for i, g := range d.groups {
			changed = changed || g.Leader() != leaders[i]
			leaders[i] = g.Leader()
		}
		if !changed {
			continue
		}
		for _, s := range d.servers {
			if e, up := s.Group.Entry(s.Server); up {
				_ = d.store.Renew("servers", s.Server.ID, e)
			}
		}
		d.store.Lapse("servers")
	}
}

func (d *deployment) promote(group, id string, token uint64) error {
	for _, g := range d.groups {
		if g.Name == group {
			return g.Promote(id, token)
		}
	}
	return errors.NotFoundf("group %s", group)
}

// route and the types below are the operator's declaration on the wire.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Kind      string `json:"route_type"`
	Timeout   int64  `json:"timeout_ms"`
	Backend   string `json:"backend"`
	Staleness int64  `json:"max_staleness_ms"`
}

type backend struct {
	Name        string `json:"name"`
	Connections int    `json:"max_connections"`
}

type limits struct {
	Idle int64 `json:"idle_tx_ms"`
}

type configuration struct {
	Version  int64     `json:"version"`
	Routes   []route   `json:"routes"`
	Backends []backend `json:"backends"`
	Limits   limits    `json:"limits"`
}

// extra names the database that a version of the configuration adds.
func extra(version int64) string { return fmt.Sprintf("extra-%d", version) }

// bulk is how many more databases every fourth version adds, up to maximumBulk: a
// configuration that grows by much at once, and is changed again at once.
const (
	bulk        = 300
	maximumBulk = 3000
)

// configure declares the next version, which keeps all databases and adds one, or many.
func (d *deployment) configure() error {
	v := d.version.Load() + 1
	c := configuration{Version: v, Limits: limits{Idle: 3000}}
	for _, g := range d.groups {
		c.Backends = append(c.Backends, backend{Name: g.Name, Connections: 24})
	}
	for _, x := range d.databases {
		c.Routes = append(c.Routes, route{Name: x.name, Host: x.name, Kind: kinds[x.kind], Timeout: 1500, Backend: d.groups[x.group].Name, Staleness: staleness.Milliseconds()})
	}
	for i := int64(1); i <= v; i++ {
		c.Routes = append(c.Routes, route{Name: extra(i), Host: extra(i), Kind: kinds["every"], Timeout: 1500, Backend: d.groups[0].Name})
	}
	for i := range min(v/4*bulk, maximumBulk) {
		n := fmt.Sprintf("bulk-%d", i)
		c.Routes = append(c.Routes, route{Name: n, Host: n, Kind: kinds["every"], Timeout: 1500, Backend: d.groups[0].Name})
	}
	if _, err := d.store.Put("config", "main", c); err != nil {
		return err
	}
	d.version.Store(v)
	return nil
}

// instances numbers the deployments of this process, each with addresses of its own.
var instances atomic.Int64

// addresses returns a network of loopback addresses that nobody else uses now: processes
// that run at the same time have different ids.
func addresses() string {
	n := int(instances.Add(1))*7919 + os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 64+n/200%128, 1+n%200)
}

// addHost starts an entry host.
func (d *deployment) addHost(i int) error {
	h := &host{directory: d.directory}
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
	s := &http.Server{Handler: storekeeper.View{Store: d.store, Address: (&way{network: d.network, from: h.place}).to}, ReadHeaderTimeout: time.Minute}
	go (&service{server: s, listener: l}).run()
	store, err := d.network.ProxyAddress(h.place, l.Addr().String())
	if err != nil {
		return err
	}
	h.settings = filepath.Join(d.directory, h.Name+".conf")
	if err := os.WriteFile(h.settings, []byte(settings(h, ip, zone(i), store)), 0o600); err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	return h.start()
}

// way is how a host reaches others.
type way struct {
	network *disturber.Network
	from    disturber.Place
}

// to returns the address of the proxy for another entry host's, and those of servers as
// they are: a crashed server must refuse connections itself.
func (w *way) to(address string) string {
	if !strings.HasSuffix(address, ":7101") {
		return address
	}
	if a, err := w.network.ProxyAddress(w.from, address); err == nil {
		return a
	}
	return address
}

// service serves the store to one host.
type service struct {
	server   *http.Server
	listener net.Listener
}

func (s *service) run() { _ = s.server.Serve(s.listener) }

// settings is a host's settings file.
func settings(h *host, ip, zone, store string) string {
	return strings.Join([]string{
		"node_name=" + h.Name, "ip=" + ip, "zone=" + zone, "region=one", "zones.zone-0=one", "zones.zone-1=one",
		"listen.front=" + h.Address, "listen.readiness=" + h.readiness, "internal_ports=7101,7110",
		"limits.memory_mb=512", "bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.config_apply_ms=3000",
		"platform.address=" + store, "cloud.address=" + store, "",
	}, "\n")
}

// close ends all parts.
func (d *deployment) close() []string {
	var broken []string
	for _, h := range d.hosts {
		h.signal(syscall.SIGTERM)
	}
	for _, h := range d.hosts {
		if !h.await(2 * grace) {
			broken = append(broken, "drain: "+h.Name+" still runs after twice its grace")
			h.signal(syscall.SIGKILL)
			h.await(time.Minute)
		}
		broken = append(broken, h.wrong...)
	}
	close(d.done)
	for _, s := range d.servers {
		s.Close()
	}
	return broken
}
