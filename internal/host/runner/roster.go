package runner

import (
	"sync"

	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/pool/ranker"
)

// Members provides the live entry hosts and their addresses.
type Members interface {
	ranker.Members
	// Locate returns the address at which a host listens for peers; ok is false for an unknown
	// host.
	Locate(host string) (address string, ok bool)
}

// Roster implements Members with a list that its user maintains, in place of heartbeats. Its zero
// value has no members. All methods may be called from any goroutine.
type Roster struct {
	mu sync.Mutex
	// hosts is replaced rather than modified, since Live returns it.
	hosts []assigner.Host
	// addresses holds the peer addresses by host name.
	addresses map[string]string
	// changed is closed at the next change, nil if no caller waits for it.
	changed chan struct{}
}

var _ Members = (*Roster)(nil)

// Set adds a host or replaces its properties and address.
func (r *Roster) Set(h assigner.Host, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses == nil {
		r.addresses = make(map[string]string)
	}
	r.drop(h.Name)
	r.hosts = append(r.hosts, h)
	r.addresses[h.Name] = address
	r.notify()
}

// Leave marks a host as leaving.
func (r *Roster) Leave(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append([]assigner.Host(nil), r.hosts...)
	for i := range r.hosts {
		if r.hosts[i].Name == name {
			r.hosts[i].Leaving = true
		}
	}
	r.notify()
}

// RemoveAt removes a host, unless it has since been set with another address.
func (r *Roster) RemoveAt(name, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses[name] != address {
		return
	}
	r.drop(name)
	delete(r.addresses, name)
	r.notify()
}

// Live implements Members.
func (r *Roster) Live() []assigner.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// Changed implements Members.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Locate implements Members.
func (r *Roster) Locate(host string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.addresses[host]
	return a, ok
}

// drop replaces the list by a copy without the host, since Live may have returned the old list.
func (r *Roster) drop(name string) {
	var l []assigner.Host
	for _, h := range r.hosts {
		if h.Name != name {
			l = append(l, h)
		}
	}
	r.hosts = l
}

// notify closes the channel that Changed returned.
func (r *Roster) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
