package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// place is an availability zone with its region.
type place struct{ zone, region string }

// host is one entry host: a process of the program that the deploy file runs.
type host struct {
	name           string
	place          place
	front, ready   string
	store          string
	internal       int
	settings, logs string
	command        *exec.Cmd
	exited         chan struct{}
	// paths are the host's ways to instances by their id, if they differ from the direct way.
	paths map[string]*path
}

// deployment is a small deployment: the stand-ins, and the entry hosts as processes.
type deployment struct {
	record    *record
	directory string
	places    []place
	groups    []*group
	store     *store
	hosts     []*host
	version   int
	// routes are those of the first configuration.
	routes []map[string]any
	// usesPaths is set if the first host reaches the instances over paths that can be cut.
	usesPaths bool
	// order, if not nil, replaces the platform's answer to an order to promote.
	order func(service, id, holder string, token uint64) int
	stop  chan struct{}
	wait  sync.WaitGroup
}

func (d *deployment) start(n int) error {
	d.store, d.stop = newStore(), make(chan struct{})
	for _, g := range d.groups {
		for _, i := range g.instances {
			if err := i.listen(); err != nil {
				return err
			}
		}
	}
	for i := range n {
		if err := d.addHost(i); err != nil {
			return err
		}
	}
	if err := d.configure(d.routes); err != nil {
		return err
	}
	d.beat()
	go d.run()
	for _, h := range d.hosts {
		if err := h.run(d.places); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// run writes the instances' heartbeats, and at once what changes in them.
func (d *deployment) run() {
	const step = 20 * time.Millisecond
	leaders := make([]*instance, len(d.groups))
	for n := 1; !ended(d.stop, step); n++ {
		changed := n%int(heartbeat/step) == 0
		for k, g := range d.groups {
			changed = changed || g.leader() != leaders[k]
			leaders[k] = g.leader()
		}
		if changed {
			d.beat()
		}
		d.store.expire(d.record)
	}
}

func (d *deployment) beat() {
	for _, g := range d.groups {
		for _, i := range g.instances {
			if e, ok := i.entrySpec(i.address); ok {
				_ = d.store.put("servers", i.id, e)
			}
		}
	}
}

// configure writes the next configuration.
func (d *deployment) configure(routes []map[string]any) error {
	d.version += 3
	var backends []map[string]any
	for _, g := range d.groups {
		backends = append(backends, map[string]any{"name": g.name, "max_connections": g.connections, "sync_replicas": g.sync})
	}
	d.record.add("operator: configuration %d", d.version)
	return d.store.put("config", "main", map[string]any{"version": d.version, "routes": routes, "backends": backends, "limits": map[string]any{"idle_tx_ms": 3000}})
}

// The ports of servers lie below those that systems give to outgoing connections, so that none is taken while
// its server is down.
const (
	firstPort = 15000
	portCount = 15000
)

// listenFree listens on a free port.
func listenFree() (net.Listener, error) {
	for range 1000 {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			return l, nil
		}
	}
	return nil, os.ErrNotExist
}

// listenAt listens at the address, or on a free port if it is empty.
func listenAt(address string) (net.Listener, error) {
	if address == "" {
		return listenFree()
	}
	return net.Listen("tcp4", address)
}

// freePorts returns the first of n neighbouring free ports.
func freePorts(n int) (int, error) {
	for range 1000 {
		p, ok := firstPort+rand.IntN(portCount), true
		for i := range n {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", p+i))
			if ok = err == nil; !ok {
				break
			}
			l.Close()
		}
		if ok {
			return p, nil
		}
	}
	return 0, os.ErrNotExist
}

func (d *deployment) addHost(n int) error {
	h := &host{name: fmt.Sprintf("front-%d", n+1), place: d.places[n%len(d.places)], paths: make(map[string]*path)}
	l, err := listenFree()
	if err != nil {
		return err
	}
	v := &view{store: d.store, rewrite: h.rewrite, promote: d.promote}
	go func() { _ = (&http.Server{Handler: v, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	h.store = l.Addr().String()
	h.settings, h.logs = filepath.Join(d.directory, h.name+".conf"), filepath.Join(d.directory, h.name+".log")
	d.hosts = append(d.hosts, h)
	if !d.usesPaths || n > 0 {
		return nil
	}
	for _, g := range d.groups {
		for _, i := range g.instances {
			p := &path{to: i.address}
			if err := p.listen(); err != nil {
				return err
			}
			h.paths[i.id] = p
		}
	}
	return nil
}

// assign gives the host free ports and writes its settings.
func (h *host) assign(places []place) error {
	p, err := freePorts(4)
	if err != nil {
		return err
	}
	h.front, h.ready, h.internal = fmt.Sprintf("127.0.0.1:%d", p), fmt.Sprintf("127.0.0.1:%d", p+1), p+2
	s := []string{
		"node_name=" + h.name, "role=entry-host", "machine_class=front", "serves=front", "ip=127.0.0.1", "zone=" + h.place.zone, "region=" + h.place.region,
		"listen.front=" + h.front, "listen.readiness=" + h.ready, fmt.Sprintf("internal_ports=%d,%d", h.internal, h.internal+1),
		"bootstrap=true", "loss_counts=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4200", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entrypoint=virtual_ip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,sql,platform",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.catchup_s=4", "bounds.drain_ms=7000", "bounds.grace_s=6",
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=12000", "bounds.recovery_s=12", "bounds.fencing_required=true", "bounds.thaw_slack_ms=300",
		"platform.address=" + h.store, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.retention_s=20", "platform.value_bytes=1048576",
		"cloud.address=" + h.store, "cloud.rate_per_s=50.0", "cloud.duties=failover", "cloud.duty_per_s=50.0", "",
	}
	for _, p := range places {
		s = append(s, "zones."+p.zone+"="+p.region)
	}
	return os.WriteFile(h.settings, []byte(strings.Join(s, "\n")+"\n"), 0o600)
}

// rewrite returns an instance's entry with the address at which this host reaches it.
func (h *host) rewrite(o object) object {
	p := h.paths[o.Meta.Name]
	if p == nil {
		return o
	}
	var spec map[string]any
	if json.Unmarshal(o.Spec, &spec) != nil {
		return o
	}
	spec["address"] = p.address
	if b, err := json.Marshal(spec); err == nil {
		o.Spec = b
	}
	return o
}

func (d *deployment) promote(service, id, holder string, token uint64) int {
	if d.order != nil {
		if s := d.order(service, id, holder, token); s >= 0 {
			return s
		}
	}
	for _, g := range d.groups {
		if g.name == service {
			return g.order(id, holder, token)
		}
	}
	return http.StatusConflict
}

// run starts the host's process with the command of the deploy file.
func (h *host) run(places []place) error {
	if err := h.assign(places); err != nil {
		return err
	}
	f, err := os.Create(h.logs)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/cuminwick-platform", "serve")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CUMINWICK_BOOT=" + h.settings}
	h.command.Stdout, h.command.Stderr = f, f
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	go func() {
		_ = h.command.Wait()
		f.Close()
		close(exited)
	}()
	return nil
}

// awaitReady waits until all hosts count as ready.
func (d *deployment) awaitReady() error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			select {
			case <-h.exited:
				// Another process has taken one of its ports.
				if err := h.run(d.places); err != nil {
					return err
				}
			default:
			}
			if a, err := c.Get("http://" + h.ready + "/api/ready"); err == nil {
				a.Body.Close()
				if a.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.hosts) {
			return nil
		}
	}
	return os.ErrDeadlineExceeded
}

// startWriters starts n clients that write for each group, spread over the hosts.
func (d *deployment) startWriters(n int) {
	for k, g := range d.groups {
		for j := range n {
			w := &writer{session: session{record: d.record, database: fmt.Sprintf("db%d", k), service: g.name}, name: fmt.Sprintf("w%d-%d", k, j)}
			for x := range d.hosts {
				w.hosts = append(w.hosts, d.hosts[(x+j)%len(d.hosts)].front)
			}
			d.wait.Add(1)
			go func() {
				defer d.wait.Done()
				w.run(d.stop)
			}()
		}
	}
}

// close stops all, and copies what the hosts logged of promotions to the record.
func (d *deployment) close() {
	if d.stop != nil {
		close(d.stop)
		d.wait.Wait()
	}
	for _, h := range d.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Kill()
		<-h.exited
	}
	for _, h := range d.hosts {
		b, _ := os.ReadFile(h.logs)
		for l := range strings.Lines(string(b)) {
			if strings.Contains(l, "romotion") || strings.Contains(l, "claim") || strings.Contains(l, "take over") {
				d.record.add("log of %s: %s", h.name, strings.TrimSpace(l))
			}
		}
	}
}
