package runner

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/caller"
)

const (
	// customers is the number of customers of a soak with identified callers.
	customers = 6
	// limitedRate and limitedBurst are the limit of the first customer, below what its callers send.
	limitedRate, limitedBurst = 12, 12
	// quotaWindow, quotaOverage and quotaSlack are what the deployment tolerates beyond a limit.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// keyVersions is the number of versions of the configuration after which a customer gets a new key.
	// Each key is valid for twice as many.
	keyVersions = 2
	// wildKeyShare is how many sessions there are to one with a key that nobody holds.
	wildKeyShare = 20
)

// customer is one customer of a configuration, as encoded for the store.
type customer struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
	// Priority and Share are declared by ranked configurations only.
	Priority *int    `json:"priority,omitempty"`
	Share    float64 `json:"share,omitempty"`
}

// customerOf returns the customer of a session, by the number at the end of its name.
func (d *deployment) customerOf(session string) string {
	n, _ := strconv.Atoi(strings.TrimLeft(session, "cv"))
	return customerName(n % d.customers)
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

// keyOf returns the key that a customer got with a version of the configuration.
func keyOf(customer string, version int64) string {
	return fmt.Sprintf("key-%s-%d", customer, version/keyVersions)
}

// declaredCustomers returns the customers of a version of the configuration, nil if there are none. Each
// has the key of this version and the one before.
func (d *deployment) declaredCustomers(version int64) []customer {
	var l []customer
	for i := range d.customers {
		n := customerName(i)
		t := customer{Name: n, Keys: []string{keyOf(n, version), keyOf(n, version-keyVersions)}}
		if i == 0 {
			t.Rate, t.Burst = limitedRate, limitedBurst
		}
		d.rank(&t, i, version)
		l = append(l, t)
	}
	return l
}

// key returns the key of a new session, empty if callers are not identified.
func (d *deployment) key(session string) string {
	if d.customers == 0 {
		return ""
	}
	return keyOf(d.customerOf(session), d.version.Load())
}

// tryWildKey opens a session with a key that nobody holds, and records a finding if it is accepted.
func (s *soakRun) tryWildKey(h *host, x database) {
	c := &caller.Session{Name: "v", Key: "wild", Host: h.Host, Database: x.name}
	defer c.Close()
	if ok, err := c.Open(); err == nil && ok {
		s.injector.fail("key: " + h.Name + " accepts a key that no customer holds")
	}
}

// checkRemovedKeys waits until each host refuses keys that were taken away, and returns findings for
// those that do not within recoveryTimeout.
func (s *soakRun) checkRemovedKeys() []string {
	d := s.deployment
	if d.customers == 0 {
		return nil
	}
	removed := keyOf(customerName(1), d.version.Load()-2*keyVersions)
	var findings []string
	end := time.Now().Add(recoveryTimeout)
	for _, h := range d.hosts {
		for s.accepts(h, removed) {
			if time.Now().After(end) {
				findings = append(findings, "key: "+h.Name+" accepts a key that was taken away")
				break
			}
			time.Sleep(probeInterval)
		}
	}
	return findings
}

// accepts reports whether the host starts a session with the key.
func (s *soakRun) accepts(h *host, key string) bool {
	c := &caller.Session{Name: "v", Key: key, Host: h.Host, Database: s.deployment.databases[0].name}
	defer c.Close()
	ok, err := c.Open()
	return err == nil && ok
}

// checkLimit returns a finding if the limited customer had more operations run in a window than
// tolerated.
func (d *deployment) checkLimit() []string {
	if d.customers == 0 {
		return nil
	}
	var l []time.Time
	for _, g := range d.groups {
		l = append(l, g.Operations()[customerName(0)]...)
	}
	slices.SortFunc(l, time.Time.Compare)
	n, from := 0, 0
	for i, t := range l {
		for t.Sub(l[from]) > quotaWindow {
			from++
		}
		n = max(n, i-from+1)
	}
	tolerated := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOverage) + quotaSlack
	if float64(n) > tolerated {
		return []string{fmt.Sprintf("limit: %d operations of a customer in %v, tolerated %.0f", n, quotaWindow, tolerated)}
	}
	if len(l) == 0 {
		return []string{"idle: no operation of the limited customer ran, so its limit wasn't checked"}
	}
	return nil
}
