package runner

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/caller"
)

const (
	// heldCustomers is the number of customers that operators hold, one at a time. The first of them has
	// a limit.
	heldCustomers = 2
	// weakCores and strongCores are the processor cores that hosts declare: too few for the slots of any
	// server, and enough for those of all.
	weakCores, strongCores = 0.05, 0.8
	// connectionsPerHost is the number of connections per host below which one host owns those to a
	// server.
	connectionsPerHost = 3
	// readinessPath is the path of the load balancer's readiness check, as the balancer polls it. Tests
	// outside of the assembly don't import package platform.
	readinessPath = "/api/ready"
)

// requests are the operators' requests of a configuration, as encoded for the store.
type requests struct {
	// Customers has an entry that isn't a name: it is ignored, and the others are in force.
	Customers []any    `json:"held-customers"`
	Routes    []string `json:"held-routes"`
	Servers   []string `json:"drained-servers"`
	Hosts     []string `json:"drained-hosts"`
}

// isOperated reports whether operators hold and drain in the soak with the seed: in three of eight, with
// identified callers, of which two declare few connections.
func isOperated(seed uint64) bool { return seed%8 == 0 || seed%8 == 2 || seed%8 == 6 }

// isUneven reports whether the hosts of the soak with the seed declare different strengths.
func isUneven(seed uint64) bool { return seed%2 == 0 }

// strengthSettings returns the settings from which host i derives its strength, if it declares one.
func (d *deployment) strengthSettings(i int) string {
	if !d.uneven {
		return ""
	}
	n := strongCores
	if i%4 < 2 {
		n = weakCores
	}
	return "limits.cores=1\nlimits.cpu_share=" + strconv.FormatFloat(n, 'g', -1, 64) + "\n"
}

// requestsOf returns the operators' requests in a version of the configuration, nil for none. In each six
// versions, a customer and a route are held, a server is drained and a host is drained, each in two of
// them, so that requests overlap and end.
func (d *deployment) requestsOf(version int64) *requests {
	if r := d.pinned.Load(); r != nil || !d.operated {
		return r
	}
	n, step := int(version/6), version%6
	r := &requests{}
	if step == 2 || step == 3 {
		r.Customers = []any{7, customerName(n % heldCustomers)}
		r.Routes = []string{d.databases[n%len(d.databases)].name}
	}
	if step == 3 || step == 4 {
		r.Servers = []string{d.servers[n%len(d.servers)].Server.ID}
	}
	if step == 4 || step == 5 {
		r.Hosts = []string{d.hosts[n%len(d.hosts)].Name}
	}
	return r
}

// checkOperations holds a customer and drains a server and a host while no fault is active, then releases
// them. It returns findings for hosts that don't follow within recoveryTimeout.
func (s *soakRun) checkOperations(seed uint64) []string {
	d := s.deployment
	if !d.operated {
		return nil
	}
	drained := d.hosts[seed%uint64(len(d.hosts))]
	d.pinned.Store(&requests{
		Customers: []any{7, customerName(1)}, Servers: []string{d.servers[seed%uint64(len(d.servers))].Server.ID}, Hosts: []string{drained.Name},
	})
	var findings []string
	for _, h := range d.hosts {
		if !awaitUntil(func() bool {
			return s.answersHeld(h, 1, true) && s.answersHeld(h, 2, false) && h.isReady() == (h != drained)
		}) {
			findings = append(findings, "operations: "+h.Name+" doesn't follow a hold or drain")
		}
	}
	d.pinned.Store(&requests{})
	for _, h := range d.hosts {
		if !awaitUntil(func() bool { return s.answersHeld(h, 1, false) && h.isReady() }) {
			findings = append(findings, "operations: "+h.Name+" doesn't follow a release")
		}
	}
	s.released = time.Now()
	return append(findings, s.recover()...)
}

// awaitUntil waits until f returns true, and reports whether it did within recoveryTimeout.
func awaitUntil(f func() bool) bool {
	for end := time.Now().Add(recoveryTimeout); !f(); time.Sleep(probeInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// answersHeld reports whether the host answers customer i, and as held or not.
func (s *soakRun) answersHeld(h *host, i int, held bool) bool {
	d := s.deployment
	c := &caller.Session{
		Name: fmt.Sprintf("v%d", i), Key: keyOf(customerName(i), d.version.Load()), Host: h.Host, Database: d.databases[0].name,
		Recorder: d.recorders[d.databases[0].group], Random: rand.New(rand.NewPCG(uint64(i), 0)),
	}
	defer c.Close()
	got, err := c.IsHeld()
	return err == nil && got == held
}

// isReady reports whether the host's readiness check answers that it accepts callers.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.readiness + readinessPath)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// checkHeld returns findings for statements that were refused as held and weren't, and one if none was
// although the operators held customers and routes.
func (s *soakRun) checkHeld() []string {
	d := s.deployment
	var findings []string
	n := 0
	for _, r := range d.recorders {
		for _, x := range r.History().Held {
			if !d.operated {
				return []string{"held: " + x.Session + " is refused although nothing is held: " + x.Text}
			}
			n++
			customer, ok := "customer "+d.customerOf(x.Session), false
			for i := range heldCustomers {
				ok = ok || customer == "customer "+customerName(i)
			}
			const text = "BUSY not run: %s is held by the operator, retry after 1000 ms"
			ok = ok && x.Text == fmt.Sprintf(text, customer)
			if !ok && x.Text != fmt.Sprintf(text, "route "+x.Database) {
				findings = append(findings, fmt.Sprintf("held: %s of %s got %q", x.Session, x.Database, x.Text))
			}
			if x.Sent.After(s.released) {
				findings = append(findings, "held: "+x.Session+" is refused after the release")
			}
		}
	}
	if n == 0 && d.operated {
		findings = append(findings, "idle: no statement was held, so holds weren't checked")
	}
	return findings
}

// checkStrength returns a finding if no host owns a server in place of another although hosts declare
// uneven strengths, or if one does where no strength is exceeded.
func (d *deployment) checkStrength() []string {
	found := false
	for _, h := range d.hosts {
		b, err := os.ReadFile(filepath.Join(d.directory, h.Name+".log"))
		if err != nil {
			return []string{"log: " + err.Error()}
		}
		found = found || bytes.Contains(b, []byte("server owned by another host than its first"))
	}
	switch owned := d.uneven && d.connections < connectionsPerHost*len(d.hosts); {
	case found && !owned:
		return []string{"strength: a server is owned by another host than its first, and no host is too weak"}
	case owned && !found:
		return []string{"idle: no server is owned by another host than its first, so strengths weren't checked"}
	}
	return nil
}
