package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// line writes one line with the time since the beginning.
func (r *record) line(format string, a ...any) { r.lineAt(time.Now(), format, a...) }

func (r *record) lineAt(t time.Time, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", t.Sub(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// order is one POST /promote that has arrived.
type order struct {
	at      time.Time
	subject string
	id      string
	holder  string
	token   uint64
	status  int
}

// cloud stands in for the platform's POST /promote.
type cloud struct {
	address string
	fences  bool
	groups  map[string]*group
	record  *record

	mu     sync.Mutex
	seen   map[string]uint64
	orders []order
}

// ServeHTTP answers one call. Where fences are not checked, each call is carried out.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Cuminwick-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil || c.groups[o.Backend] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x := order{at: time.Now(), subject: o.Backend, id: o.ID, holder: r.Header.Get("X-Cuminwick-Lease-Holder"), token: token, status: http.StatusOK}
	if c.fences && token < c.seen[o.Backend] || !c.groups[o.Backend].promote(o.ID) {
		x.status = http.StatusConflict
	}
	c.seen[o.Backend] = max(c.seen[o.Backend], token)
	c.orders = append(c.orders, x)
	c.record.line("POST /promote %s %s by %s with token %d: %d", x.subject, x.id, x.holder, x.token, x.status)
	w.WriteHeader(x.status)
}

func (c *cloud) copyOrders() []order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]order(nil), c.orders...)
}

// deployment holds the stand-ins and the hosts of one case.
type deployment struct {
	root      string
	directory string
	prefix    string
	contracts string
	fences    bool
	// bootstrapped is set once the whole system has started for the first time.
	bootstrapped bool
	record       *record
	store        *store
	cloud        *cloud
	groups       []*group
	hosts        []*host
	stop         chan struct{}
}

// zones are the zones of the deployment, and regions the region of each.
var (
	zones   = []string{"warszawa-a", "warszawa-b", "krakow-a"}
	regions = map[string]string{"warszawa-a": "mazowsze", "warszawa-b": "mazowsze", "krakow-a": "malopolska"}
)

func newDeployment(root string, r *record) (*deployment, error) {
	d, err := os.MkdirTemp("", "cuminwick-review-")
	if err != nil {
		return nil, err
	}
	n := os.Getpid()
	x := &deployment{
		root: root, directory: d, prefix: fmt.Sprintf("127.%d.%d.", 10+n/250%100, 1+n%250), fences: true,
		contracts: "base,drain,config,cost,recover,sql,platform", record: r, store: newStore(), stop: make(chan struct{}),
	}
	x.cloud = &cloud{groups: make(map[string]*group), seen: make(map[string]uint64), record: r}
	x.cloud.address, err = serveHTTP(x.prefix+"1", x.cloud)
	return x, err
}

// addGroup starts a service with an instance in each of the zones.
func (d *deployment) addGroup(name string, zones ...string) (*group, error) {
	g := newGroup(name, d.prefix+"2", d.record)
	for i, z := range zones {
		if _, err := g.add(fmt.Sprintf("i-%s-%d", name, i), z); err != nil {
			return nil, err
		}
	}
	d.groups = append(d.groups, g)
	d.cloud.groups[name] = g
	go g.replicate(d.stop)
	return g, nil
}

// lapse is the time of silence after which the store removes an entry, three heartbeats.
const lapse = 3600 * time.Millisecond

// beat has the instances report to the store, each 1.2 s and at once when their reports change.
func (d *deployment) beat() {
	const step = 40 * time.Millisecond
	last := make(map[*instance]string)
	heard := make(map[*instance]time.Time)
	for n := 0; ; n++ {
		for _, g := range d.groups {
			g.mu.Lock()
			l := append([]*instance(nil), g.instances...)
			g.mu.Unlock()
			for _, i := range l {
				r, up := i.report()
				k := fmt.Sprint(r["db_role"], r["state"], up, r["born"])
				if up && (k != last[i] || n%30 == 0) {
					d.store.put("servers", i.id, r)
					heard[i] = time.Now()
				}
				if !up && time.Since(heard[i]) > lapse {
					d.store.delete("servers", i.id)
				}
				last[i] = k
			}
		}
		select {
		case <-d.stop:
			return
		case <-time.After(step):
		}
	}
}

// addHost adds an entry host, which start starts.
func (d *deployment) addHost(name, zone string, mbps int) *host {
	h := &host{name: name, zone: zone, ip: d.prefix + strconv.Itoa(11+len(d.hosts)), mbps: mbps, view: newView(d.store)}
	d.hosts = append(d.hosts, h)
	return h
}

// errNotReady is returned if the hosts don't become ready.
var errNotReady = errors.New("hosts aren't ready after 20 s")

// start starts all hosts and waits until they are ready.
func (d *deployment) start() error {
	d.cloud.fences = d.fences
	go d.beat()
	time.Sleep(100 * time.Millisecond)
	for _, h := range d.hosts {
		if err := h.start(d); err != nil {
			return err
		}
	}
	d.bootstrapped = true
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range d.hosts {
			if h.ready() {
				n++
			}
		}
		if n == len(d.hosts) {
			d.record.line("%d hosts are ready", n)
			return nil
		}
	}
	return errNotReady
}

// end ends all hosts, and removes the directory unless it is to be kept.
func (d *deployment) end() {
	for _, h := range d.hosts {
		h.end()
	}
	close(d.stop)
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", d.directory)
		return
	}
	_ = os.RemoveAll(d.directory)
}

// route is one route of a configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Kind      string `json:"route_type"`
	Timeout   int    `json:"timeout_ms"`
	Objective int    `json:"slo_ms"`
	Priority  int    `json:"priority"`
	Backend   string `json:"backend"`
	Staleness int    `json:"max_staleness_ms,omitempty"`
}

// tenant is one tenant of a configuration.
type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
}

// configuration is what the operator writes.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Backends []map[string]any `json:"backends"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []tenant         `json:"tenants,omitempty"`
}

// configure writes a configuration to the store, whose answer is the acknowledgement.
func (d *deployment) configure(version int, routes []route, tenants []tenant) {
	c := configuration{Version: version, Routes: routes, Tenants: tenants, Limits: map[string]any{"idle_tx_ms": 3000}}
	for _, g := range d.groups {
		c.Backends = append(c.Backends, map[string]any{"name": g.name, "max_connections": 38, "sync_replicas": g.synchronous})
	}
	d.store.put("config", "main", c)
	d.record.line("operator: version %d is acknowledged", version)
}

// errNoClaim is returned if no host claims the group.
var errNoClaim = errors.New("no host claims the group")

// claimHolder returns the host that holds the claim of the group, as the store has it.
func claimHolder(d *deployment, g *group) string {
	o, ok := d.store.get("promotions", g.name)
	if !ok {
		return ""
	}
	var c struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(o.Spec, &c)
	return c.Holder
}

// await waits until f is true, for t at most, and reports whether it is.
func await(t time.Duration, f func() bool) bool {
	for end := time.Now().Add(t); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
