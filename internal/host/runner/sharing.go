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
	// directConnections are those that a host opens to a backend server whose
	// owners it can't reach. They come out of the reserved ones.
	directConnections = 1
	// yieldShare is the divisor of the idle connections closed at each look,
	// so that a pool is empty after about a second.
	yieldShare = 5
	// controlIdle is how long an unused control connection stays open.
	controlIdle = 2 * time.Second
)

// poolName names the pool of a backend server.
type poolName struct {
	group  string
	server string
}

// sharing is a backend server's pool as this host shares it.
type sharing struct {
	delegator *delegator.Delegator
	keepers   []*keeper.Keeper
	relayer   *relayer.Relayer
}

// pools holds the pools of all backend servers by name.
type pools struct {
	mu  sync.Mutex
	all map[poolName]*sharing
}

// ensure returns the sharing of a pool, a new one at first.
func (p *pools) ensure(n poolName) *sharing {
	if p.all == nil {
		p.all = make(map[poolName]*sharing)
	}
	if p.all[n] == nil {
		p.all[n] = &sharing{}
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

func (p *pools) relayer(group, server string) *relayer.Relayer {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.all[poolName{group: group, server: server}]
	if s == nil {
		return nil
	}
	return s.relayer
}

// yield closes connections that this host has no more use for.
func (p *pools) yield(ctx context.Context, now time.Time) {
	p.mu.Lock()
	var l []sharing
	for _, s := range p.all {
		l = append(l, *s)
	}
	p.mu.Unlock()
	for i := range l {
		l[i].yield(ctx, now)
	}
}

func (s *sharing) yield(ctx context.Context, now time.Time) {
	if s.relayer != nil {
		s.relayer.CloseIdle(ctx, now.Add(-controlIdle))
	}
	if s.delegator == nil || s.delegator.Owns() {
		return
	}
	for _, k := range s.keepers {
		k.Shrink(1 + k.OpenConnections()/yieldShare)
	}
}

// assigned returns what the order of owners depends on.
func assigned(group string, b file.BackendServer) assigner.Server {
	return assigner.Server{DatabaseGroup: group, Name: b.Name, AvailabilityZone: b.AvailabilityZone, Region: b.Region}
}

// share has the connections of b lent by the entry host that owns its pool;
// pool lends this host's own ones.
func (r *reconciler) share(n *running, group string, b file.BackendServer, pool *lender.Lender) lessor.Lessor {
	p := r.host.peers
	if p == nil {
		return pool
	}
	d := r.direct(group, b)
	n.direct = append(n.direct, d)
	l := &delegator.Delegator{
		Self:   r.host.Settings.HostName,
		Server: assigned(group, b),
		Owners: p.ranker,
		Peers:  p.forwarder,
		Pool:   pool,
		Direct: d,
	}
	p.pools.mu.Lock()
	defer p.pools.mu.Unlock()
	s := p.pools.ensure(poolName{group: group, server: b.Name})
	s.delegator, s.keepers = l, []*keeper.Keeper{pool.Keeper, d.Keeper}
	n.shares = append(n.shares, share{pools: &p.pools, name: poolName{group: group, server: b.Name}, sharing: *s})
	return l
}

// share is what one run of a database group shares of a backend server.
type share struct {
	pools   *pools
	name    poolName
	sharing sharing
}

// close ends the sharing unless a later run of the group has taken it over.
// Groups come and go with the configuration; what they leave behind would add up.
func (s *share) close() {
	s.pools.mu.Lock()
	if o := s.pools.all[s.name]; o != nil && o.delegator == s.sharing.delegator {
		delete(s.pools.all, s.name)
	}
	s.pools.mu.Unlock()
	if r := s.sharing.relayer; r != nil {
		x, stop := context.WithTimeout(context.Background(), controlIdle)
		defer stop()
		r.CloseIdle(x, time.Now())
	}
}

// direct makes what lends connections while no owner of b's pool is reached.
func (r *reconciler) direct(group string, b file.BackendServer) *lender.Lender {
	b.Connections, b.Slots = directConnections, directConnections
	k := &keeper.Keeper{Server: b, Database: group, Opener: r.dialer, Clock: r.host.Clock, Log: r.host.Log}
	return &lender.Lender{Keeper: k, Gate: r.gate(b), Canceller: r.dialer, Prober: r.prober(group, b)}
}

// controlOf makes the control side of a backend server, through the entry host
// that owns its pool.
func (p *peers) controlOf(group string, b file.BackendServer, local controller.Control) controller.Control {
	r := &relayer.Relayer{
		Self:    p.host.Settings.HostName,
		Server:  assigned(group, b),
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

// sharedControl wraps Control, so that groups get the shared control side.
type sharedControl struct {
	peers *peers
	local func(group string, b file.BackendServer) controller.Control
}

func (s sharedControl) make(group string, b file.BackendServer) controller.Control {
	return s.peers.controlOf(group, b, s.local(group, b))
}

// PoolOwner returns the entry host that lends the connections of a backend
// server as this host sees it, empty if it serves the server alone.
func (h *Host) PoolOwner(group, server string) string {
	s, ok := h.sharing(group, server)
	if !ok {
		return ""
	}
	return s.delegator.Owner()
}

// PoolConnections returns how many connections for requests this host holds
// open to a backend server.
func (h *Host) PoolConnections(group, server string) int {
	s, ok := h.sharing(group, server)
	if !ok {
		return 0
	}
	n := 0
	for _, k := range s.keepers {
		n += k.OpenConnections()
	}
	return n
}

// sharing returns a copy: the configuration may replace its parts at any time.
func (h *Host) sharing(group, server string) (sharing, bool) {
	if h.peers == nil {
		return sharing{}, false
	}
	p := &h.peers.pools
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.all[poolName{group: group, server: server}]
	if s == nil || s.delegator == nil {
		return sharing{}, false
	}
	return *s, true
}
