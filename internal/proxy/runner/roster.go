package runner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Registrar maintains this host's entry in the platform's store, where other hosts find it.
type Registrar interface {
	// Register writes the entry.
	Register(ctx context.Context, h declarer.Host) error
	// Deregister removes the entry of the host with the name.
	Deregister(ctx context.Context, name string) error
}

// roster holds the entry hosts that the platform lists. A host that has failed stays listed;
// requests to it detect the failure.
type roster struct {
	// self is this host's own entry.
	self declarer.Host
	// regions maps availability zones to their regions.
	regions map[string]string
	// onDisplaced, if not nil, is called when this host has become the owner of a server instead of the
	// first host.
	onDisplaced func(assigner.Displacement)
	// connectionLimit returns the limit of connections to each server of a group. If it is nil, one host
	// owns the connections to each server.
	connectionLimit func(group string) int

	// changing is held during a change of the hosts or servers, until their owners are computed.
	changing sync.Mutex
	// servers holds the listed servers as far as their owners depend on it. changing guards it.
	servers []assigner.Server
	// displaced holds the servers that onDisplaced was called for and that this host still owns.
	// changing guards it.
	displaced map[assigner.Displacement]bool

	mu    sync.Mutex
	hosts map[string]declarer.Host
	// drained holds the names of the hosts that operators drain.
	drained map[string]bool
	// placement holds the owners of the servers' connections, nil before the first list.
	placement *assigner.Placement
	// region holds the listed hosts of this host's region in their order as upstream hosts, and
	// upstreams the hosts through which this host may read, in the order in which they are tried.
	region, upstreams []declarer.Host
	// counterHosts holds the results of counters.
	counterHosts map[counterKey][]declarer.Host
	// skippedUntil holds until when a host is skipped as an upstream host.
	skippedUntil map[skipKey]time.Time
	// detours holds the hosts that are read through in place of the first ones, by kind of object.
	detours map[string]detour
}

func (r *roster) reset(l []declarer.Host) {
	r.change(func() {
		r.hosts = make(map[string]declarer.Host, len(l))
		for _, h := range l {
			r.hosts[h.Name] = h
		}
	})
}

// change changes hosts, and recomputes what depends on them.
func (r *roster) change(f func()) {
	r.changing.Lock()
	defer r.changing.Unlock()
	r.mu.Lock()
	f()
	r.counterHosts = nil
	r.rankUpstreams()
	r.mu.Unlock()
	r.place()
}

// counterKey identifies the hosts that count a customer's operations in a zone.
type counterKey struct {
	zone, customer string
}

// counters returns the hosts of a zone in the order in which they count the customer's operations:
// those with the fastest link first, and of these in an order that differs by customer.
func (r *roster) counters(zone, customer string) []declarer.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := counterKey{zone: zone, customer: customer}
	if l, ok := r.counterHosts[k]; ok {
		return l
	}
	var l []declarer.Host
	for _, h := range r.hosts {
		if h.AvailabilityZone == zone {
			l = append(l, h)
		}
	}
	slices.SortFunc(l, func(a, b declarer.Host) int { return compareCounters(a, b, customer) })
	if r.counterHosts == nil {
		r.counterHosts = make(map[counterKey][]declarer.Host)
	}
	r.counterHosts[k] = l
	return l
}

// precedes reports whether a host comes before this one in the order in which they count the customer's
// operations.
func (r *roster) precedes(h declarer.Host, customer string) bool {
	return compareCounters(h, r.self, customer) < 0
}

// compareCounters compares two hosts in the order in which they count the customer's operations.
func compareCounters(a, b declarer.Host, customer string) int {
	return cmp.Or(cmp.Compare(b.Bandwidth, a.Bandwidth), cmp.Compare(xxhash.Sum64String(a.Name+"/"+customer), xxhash.Sum64String(b.Name+"/"+customer)))
}

// count returns the number of listed hosts.
func (r *roster) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts)
}

const (
	// watcherCount is the number of hosts that check a group at the full rate.
	watcherCount = 12
	// claimantCount is the number of hosts that may claim an unclaimed group, one after the other.
	claimantCount = 3
)

// Watches reports whether this host checks the group at the full rate.
func (r *roster) Watches(group string) bool { return r.rank(group) < watcherCount }

// MayClaim reports whether this host may claim the group if no host has claimed it.
func (r *roster) MayClaim(group string) bool { return r.rank(group) < claimantCount }

// rank returns the number of hosts before this one in the group's order of hosts.
func (r *roster) rank(group string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := xxhash.Sum64String(r.self.Name + "/" + group)
	before := 0
	for n := range r.hosts {
		if xxhash.Sum64String(n+"/"+group) < own {
			before++
		}
	}
	return before
}

func (r *roster) apply(l []Change[declarer.Host]) {
	r.change(func() {
		for _, c := range l {
			if c.Removed {
				delete(r.hosts, c.Name)
				continue
			}
			r.hosts[c.Name] = c.Value
		}
	})
}

// others returns all listed hosts except this one.
func (r *roster) others() []declarer.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]declarer.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		if h.Name != r.self.Name {
			l = append(l, h)
		}
	}
	return l
}

// contains reports whether the host is listed with equal fields.
func (r *roster) contains(h declarer.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[h.Name] == h
}

// firstStartSpread is the time within which all hosts of a deployment that starts for the first
// time start and register.
const firstStartSpread = 400 * time.Millisecond

// registration registers this host in the store, and keeps its strength there.
type registration struct {
	host *Host
	// cancel ends run, which closes ended.
	cancel context.CancelFunc
	ended  chan struct{}
}

// startRegistration starts the host's registration.
func (h *Host) startRegistration(ctx context.Context) {
	c, cancel := context.WithCancel(ctx)
	h.registration = &registration{host: h, cancel: cancel, ended: make(chan struct{})}
	go h.registration.run(c)
}

// stop ends the registration, so that the entry isn't written any more.
func (r *registration) stop() {
	r.cancel()
	<-r.ended
}

func (r *registration) run(ctx context.Context) {
	defer close(r.ended)
	r.enter(ctx)
	r.host.strength.run(ctx)
}

// enter registers the host once the hosts are listed: before that the store does not answer, and the
// entry of a host that was killed may still exist. At the first start of a deployment it registers
// before the hosts are listed, so that the list contains all of them.
func (r *registration) enter(ctx context.Context) {
	h := r.host
	if h.FirstStart {
		r.register(ctx)
		_ = scheduler.Pause(ctx, firstStartSpread)
		close(h.registered)
		return
	}
	select {
	case <-h.hosts.firstListed:
	case <-ctx.Done():
		return
	}
	if !h.roster.contains(h.Self) {
		r.register(ctx)
	}
}

// register retries until the store has accepted the entry.
func (r *registration) register(ctx context.Context) {
	h := r.host
	pause := minimumBackoff
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		err := h.Registrar.Register(c, h.Self)
		cancel()
		if err == nil {
			return
		}
		h.Log.WithError(err).Warn("host not entered into the store yet")
		_ = scheduler.Pause(ctx, pause)
		pause = min(2*pause, maximumBackoff)
	}
}

// deregister removes the host's entry from the store. An entry that stays costs the other hosts an
// occasional failed attempt.
func (h *Host) deregister() {
	if h.registration != nil {
		h.registration.stop()
	}
	c, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := h.Registrar.Deregister(c, h.Name); err != nil {
		h.Log.WithError(err).Warn("host not removed from the store")
	}
}

// deregisterTimeout bounds the call that removes the entry, as the host is about to stop.
const deregisterTimeout = 300 * time.Millisecond
