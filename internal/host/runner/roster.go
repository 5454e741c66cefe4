package runner

import (
	"sync"

	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/pool/ranker"
)

// Members tells which entry hosts are live and where.
type Members interface {
	ranker.Members
	// Locate returns the address on which a host listens for peers.
	Locate(host string) (address string, ok bool)
}

// Roster is Members as told by its user. Its zero value has no member.
type Roster struct {
	mu        sync.Mutex
	hosts     []assigner.Host
	addresses map[string]string
	changed   chan struct{}
}

var _ Members = (*Roster)(nil)

// Set adds a host, or changes what is known of it.
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

// RemoveAt takes a host out, unless it has come back under another address.
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

// drop makes a new list without the host; the old one may be in use.
func (r *Roster) drop(name string) {
	var l []assigner.Host
	for _, h := range r.hosts {
		if h.Name != name {
			l = append(l, h)
		}
	}
	r.hosts = l
}

func (r *Roster) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
