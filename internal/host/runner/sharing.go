package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/backend/relayer"
	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/pool/delegator"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/pool/lender"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

const (
	// directConnections is the number of connections that a host opens to a backend server while it
	// can't reach the owners of the server's pool. They are taken from the reserved connections.
	directConnections = 1
	// shrinkDivisor is the part of the open connections that are closed at each shrinkInterval if
	// they are idle: one in shrinkDivisor, and one more. A pool is empty after about a second.
	shrinkDivisor = 5
	// controlIdleTimeout is how long an unused control connection is kept open.
	controlIdleTimeout = 2 * time.Second
)

// poolName identifies the pool of a backend server.
type poolName struct {
	group  string
	server string
}

// sharedPool holds what this host uses to share a backend server's pool with other hosts.
type sharedPool struct {
	delegator *delegator.Delegator
	// keepers hold this host's own connections for requests, pooled and direct ones.
	keepers []*keeper.Keeper
	// relayer makes control calls.
	relayer *relayer.Relayer
}

// pools holds the shared pools of all backend servers by name.
type pools struct {
	mu  sync.Mutex
	all map[poolName]*sharedPool
}

// ensure returns the sharedPool with the given name, creating it if needed. The caller holds mu.
func (p *pools) ensure(n poolName) *sharedPool {
	if p.all == nil {
		p.all = make(map[poolName]*sharedPool)
	}
	if p.all[n] == nil {
		p.all[n] = &sharedPool{}
	}
	return p.all[n]
}

// Pool implements granter.Pools.
func (p *pools) Pool(group, server string) lessor.Lessor {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.all[poolName{group: group, server: server}]
	if s == nil || s.delegator == nil || !s.delegator.Accepts() {
		return nil
	}
	return s.delegator.Pool
}

// relayer returns the relayer of a backend server, nil if there is none.
func (p *pools) relayer(group, server string) *relayer.Relayer {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.all[poolName{group: group, server: server}]
	if s == nil {
		return nil
	}
	return s.relayer
}

// shrink closes control connections that are unused for controlIdleTimeout, and some idle
// connections of each pool that this host doesn't own.
func (p *pools) shrink(ctx context.Context, now time.Time) {
	p.mu.Lock()
	var l []sharedPool
	for _, s := range p.all {
		l = append(l, *s)
	}
	p.mu.Unlock()
	for i := range l {
		l[i].shrink(ctx, now)
	}
}

// shrink is pools.shrink for one pool.
func (s *sharedPool) shrink(ctx context.Context, now time.Time) {
	if s.relayer != nil {
		s.relayer.CloseIdle(ctx, now.Add(-controlIdleTimeout))
	}
	if s.delegator == nil || s.delegator.Owns() {
		return
	}
	for _, k := range s.keepers {
		k.Shrink(1 + k.OpenConnections()/shrinkDivisor)
	}
}

// assignerServer returns the properties of b that determine the owners of its pool.
func assignerServer(group string, b file.BackendServer) assigner.Server {
	return assigner.Server{DatabaseGroup: group, Name: b.Name, AvailabilityZone: b.AvailabilityZone, Region: b.Region}
}

// newSharedLessor returns a lessor that leases connections to b from the entry host that owns its
// pool, or pool itself if this host has no peers; pool lends this host's own connections.
func (r *reconciler) newSharedLessor(n *servedGroup, group string, b file.BackendServer, pool *lender.Lender) lessor.Lessor {
	p := r.host.peers
	if p == nil {
		return pool
	}
	d := r.newDirectLender(group, b)
	n.directLenders = append(n.directLenders, d)
	l := &delegator.Delegator{
		Self:   r.host.Settings.HostName,
		Server: assignerServer(group, b),
		Owners: p.ranker,
		Peers:  p.forwarder,
		Pool:   pool,
		Direct: d,
	}
	p.pools.mu.Lock()
	defer p.pools.mu.Unlock()
	s := p.pools.ensure(poolName{group: group, server: b.Name})
	s.delegator, s.keepers = l, []*keeper.Keeper{pool.Keeper, d.Keeper}
	n.registrations = append(n.registrations, poolRegistration{pools: &p.pools, name: poolName{group: group, server: b.Name}, entry: *s})
	return l
}

// poolRegistration records that a servedGroup has entered a sharedPool into pools.
type poolRegistration struct {
	pools *pools
	name  poolName
	// entry is a copy of the entry in pools.
	entry sharedPool
}

// close removes the pool from pools, unless a later servedGroup of the same database group has
// replaced it, and closes the idle control connection. Otherwise the pools of removed groups would
// accumulate, as groups are added and removed with each configuration.
func (s *poolRegistration) close() {
	s.pools.mu.Lock()
	if o := s.pools.all[s.name]; o != nil && o.delegator == s.entry.delegator {
		delete(s.pools.all, s.name)
	}
	s.pools.mu.Unlock()
	if r := s.entry.relayer; r != nil {
		x, stop := context.WithTimeout(context.Background(), controlIdleTimeout)
		defer stop()
		r.CloseIdle(x, time.Now())
	}
}

// newDirectLender creates the lender that is used while no owner of b's pool can be reached.
func (r *reconciler) newDirectLender(group string, b file.BackendServer) *lender.Lender {
	b.Connections, b.Slots = directConnections, directConnections
	k := &keeper.Keeper{Server: b, Database: group, Opener: r.dialer, Clock: r.host.Clock, Log: r.host.Log}
	return &lender.Lender{Keeper: k, Gate: r.newGate(b), Canceller: r.dialer, Prober: r.newProber(group, b)}
}

// newRelayer creates the control client of a backend server that makes its calls through the entry
// host that owns the server's pool; local makes the calls of this host itself.
func (p *peers) newRelayer(group string, b file.BackendServer, local controller.Control) controller.Control {
	r := &relayer.Relayer{
		Self:    p.host.Settings.HostName,
		Server:  assignerServer(group, b),
		Owners:  p.ranker,
		Peers:   p.control,
		Avoided: p.avoider.Avoided,
		Local:   local,
	}
	p.pools.mu.Lock()
	defer p.pools.mu.Unlock()
	p.pools.ensure(poolName{group: group, server: b.Name}).relayer = r
	return r
}

// controlFactory wraps Host.Control, so that control calls are made through the owner of the pool.
type controlFactory struct {
	peers *peers
	local func(group string, b file.BackendServer) controller.Control
}

func (s controlFactory) make(group string, b file.BackendServer) controller.Control {
	return s.peers.newRelayer(group, b, s.local(group, b))
}

// PoolOwner returns the entry host that owns the pool of a backend server according to this host,
// empty if this host has no peers or the pool is unknown.
func (h *Host) PoolOwner(group, server string) string {
	s, ok := h.findPool(group, server)
	if !ok {
		return ""
	}
	return s.delegator.Owner()
}

// PoolConnections returns the number of open connections for requests from this host to a backend
// server, zero if this host has no peers or the pool is unknown.
func (h *Host) PoolConnections(group, server string) int {
	s, ok := h.findPool(group, server)
	if !ok {
		return 0
	}
	n := 0
	for _, k := range s.keepers {
		n += k.OpenConnections()
	}
	return n
}

// findPool returns a copy of a sharedPool, since its fields may be replaced with a new
// configuration, and false if there is none.
func (h *Host) findPool(group, server string) (sharedPool, bool) {
	if h.peers == nil {
		return sharedPool{}, false
	}
	p := &h.peers.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.all[poolName{group: group, server: server}]
	if s == nil || s.delegator == nil {
		return sharedPool{}, false
	}
	return *s, true
}
