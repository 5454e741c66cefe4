package runner

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// defaultConnections is the limit of connections per server of a group that declares none.
	defaultConnections = 16
	// hostShareDivisor limits one host to a third of a server's connections where each host
	// opens its own. Without a limit, the first host with a backlog takes them all, and callers
	// of the other hosts wait until its backlog is done.
	hostShareDivisor = 3
	// minimumHostShare is the number of connections that a host may always open.
	minimumHostShare = 2
	// keptDivisor sets how many of its connections to a server a host keeps while they are idle, one in
	// this many, where each serves one customer.
	keptDivisor = 2
	// probeReserve is the number of connections that the owner of a server's connections leaves
	// to probes.
	probeReserve = 2
	// maximumLinks bounds the links to one owner for one server.
	maximumLinks = 64
	// ownershipThreshold is the number of connections per host below which one host owns those
	// to a server and the others borrow. With fewer, a host often has none for its statements.
	ownershipThreshold = 3
	// ownerRetryDelay is how long an unreachable owner is skipped.
	ownerRetryDelay = 3 * time.Second
)

// poolKey identifies a pool by the server and the host whose connections it uses.
type poolKey struct {
	server string
	// owner is the name of the host that owns the connections, empty for this host.
	owner string
	// byCustomer is set if each connection serves one customer only.
	byCustomer bool
}

// pools holds the connection pools of all listed servers.
type pools struct {
	// self is the name of this host.
	self     string
	board    *blackboard.Board
	dialer   connpooler.Dialer
	observer connpooler.Observer
	roster   *roster
	// admissions is told about requests that aren't sent because of a forecast.
	admissions connpooler.AdmissionObserver
	// dialLink opens a link to the owner of a server's connections.
	dialLink func(ctx context.Context, owner string, s declarer.Server) (connpooler.Connection, error)

	mu      sync.Mutex
	servers map[string]declarer.Server
	pools   map[poolKey]*connpooler.Pool
	// skippedUntil holds, by host name, until when an owner is skipped.
	skippedUntil map[string]time.Time
	shares       shares
}

// setServers replaces the list of servers and closes the pools of those that are not listed or
// have restarted. The owners are recomputed only if they may change, as each report of a server
// replaces the list.
func (p *pools) setServers(l []declarer.Server) {
	if p.replaceServers(l) {
		p.roster.setServers(l)
	}
}

// replaceServers replaces the list of servers, and reports whether their owners may change. It changes
// the map in place, as most servers of a list are as before.
func (p *pools) replaceServers(l []declarer.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := len(l) != len(p.servers)
	if p.servers == nil {
		p.servers = make(map[string]declarer.Server, len(l))
	}
	for _, s := range l {
		o, ok := p.servers[s.ID]
		if o == s {
			continue
		}
		p.servers[s.ID] = s
		changed = changed || !ok || o.Group != s.Group || o.AvailabilityZone != s.AvailabilityZone || o.Slots != s.Slots
	}
	if len(p.servers) > len(l) {
		p.deleteUnlisted(l)
	}
	for w, o := range p.pools {
		s, ok := p.servers[w.server]
		if !ok || s.Address != o.Server.Address || s.Boot != o.Server.Boot {
			delete(p.pools, w)
			o.Close()
		}
	}
	return changed
}

// deleteUnlisted deletes the servers that aren't in the list. The caller holds the mutex.
func (p *pools) deleteUnlisted(l []declarer.Server) {
	listed := make(map[string]bool, len(l))
	for _, s := range l {
		listed[s.ID] = true
	}
	maps.DeleteFunc(p.servers, func(id string, _ declarer.Server) bool { return !listed[id] })
}

// Pool returns the pool through which this host uses the server: links to the owner of the
// server's connections, or connections of its own. It returns nil if the server isn't listed.
func (p *pools) Pool(id string) *connpooler.Pool {
	s, ok := p.find(id)
	if !ok {
		return nil
	}
	if o, ok := p.owner(s); ok && o.Name != p.self {
		return p.borrowedPool(s, o)
	}
	return p.ownPool(id, false)
}

// ownPool returns the pool of this host's own connections to the server, nil if the server isn't
// listed. Each connection serves one customer if byCustomer is set: another host may know that callers
// are identified before this one has its configuration.
func (p *pools) ownPool(id string, byCustomer bool) *connpooler.Pool {
	s, ok := p.find(id)
	if !ok {
		return nil
	}
	p.followShares()
	limit, minimum := p.connectionShare(s)
	b := byCustomer || p.byCustomer()
	k := poolKey{server: id, byCustomer: b}
	o := p.get(k)
	if o == nil {
		o = p.getOrAdd(k, &connpooler.Pool{Server: s, Dialer: p.dialer, Observer: p.observer, Limit: limit, MinOpen: minimum, ByCustomer: b})
	}
	o.Resize(limit, minimum)
	o.SetRanked(p.board.Ranked())
	return o
}

// connectionShare returns how many connections to the server this host may open, and how many it
// keeps open while unused. It keeps none if another host owns the server's connections, as one
// connection kept by each of many hosts would leave the owner without any.
func (p *pools) connectionShare(s declarer.Server) (limit, minimum int) {
	n := p.connectionLimit(s.Group)
	o, ok := p.owner(s)
	switch {
	case !ok:
		return max(minimumHostShare, n/hostShareDivisor), p.kept(s, (n-probeReserve)/max(1, p.roster.count()))
	case o.Name == p.self:
		return max(minimumHostShare, n-probeReserve), p.kept(s, n-probeReserve)
	}
	return max(minimumHostShare, n/hostShareDivisor), 0
}

// kept returns how many idle connections a host keeps of a share that no other host needs. An idle
// connection that serves all customers is soon used again or not needed. One that serves a single
// customer is kept, as opening it again takes longer than most statements. A host keeps none to a drained
// server that its group can do without.
func (p *pools) kept(s declarer.Server, share int) int {
	if p.isReplaceable(s) {
		return 0
	}
	if p.byCustomer() {
		return max(1, share/keptDivisor)
	}
	return 1
}

// byCustomer reports whether callers are identified, so that each connection serves one customer.
func (p *pools) byCustomer() bool {
	c := p.board.Configuration()
	return c != nil && c.Customers != nil
}

// borrowedPool returns the pool of links to the owner.
func (p *pools) borrowedPool(s declarer.Server, o declarer.Host) *connpooler.Pool {
	k := poolKey{server: s.ID, owner: o.Name}
	n := p.get(k)
	if n == nil {
		l := &linkDialer{pools: p, owner: o}
		n = p.getOrAdd(k, &connpooler.Pool{Server: s, Dialer: l, Observer: l, Limit: maximumLinks, MinOpen: 1, OnDemand: true, Admissions: p.admissions})
	}
	n.SetRanked(p.board.Ranked())
	return n
}

// get returns the pool of the key, nil if there is none.
func (p *pools) get(w poolKey) *connpooler.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[w]
}

// getOrAdd returns the pool of the key, which is n if there was none.
func (p *pools) getOrAdd(w poolKey, n *connpooler.Pool) *connpooler.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.pools[w]; o != nil {
		return o
	}
	if p.pools == nil {
		p.pools = make(map[poolKey]*connpooler.Pool)
	}
	p.pools[w] = n
	if p.shares.teams != nil {
		p.applyShares(w, n)
	}
	return n
}

// owner returns the host that owns the server's connections, false if each host opens its own or
// all possible owners are skipped.
func (p *pools) owner(s declarer.Server) (declarer.Host, bool) {
	if !p.hasOwner(s.Group) {
		return declarer.Host{}, false
	}
	for _, h := range p.roster.owners(s) {
		if h.Name == p.self || !p.isSkipped(h.Name) {
			return h, true
		}
	}
	return declarer.Host{}, false
}

// hasOwner reports whether one host owns the connections to each server of the group.
func (p *pools) hasOwner(group string) bool {
	return hasOwner(p.connectionLimit(group), p.roster.count())
}

func (p *pools) isSkipped(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.skippedUntil[host])
}

func (p *pools) skip(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.skippedUntil == nil {
		p.skippedUntil = make(map[string]time.Time)
	}
	p.skippedUntil[host] = time.Now().Add(ownerRetryDelay)
}

func (p *pools) connectionLimit(group string) int {
	if c := p.board.Configuration(); c != nil && c.Groups[group].MaximumConnections > 0 {
		return c.Groups[group].MaximumConnections
	}
	return defaultConnections
}

// find returns the listed server with the id, false if there is none.
func (p *pools) find(id string) (declarer.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	return s, ok
}

// trim closes unused connections. It also applies this host's current share, because a host that
// has ceased to own a server's connections gets no more requests that would resize its pool.
func (p *pools) trim(now time.Time) {
	p.mu.Lock()
	l := maps.Clone(p.pools)
	p.mu.Unlock()
	b, known := p.byCustomer(), p.board.Configuration() != nil
	for w, o := range l {
		switch {
		case w.owner != "":
		case known && w.byCustomer != b:
			o.Resize(0, 0)
		default:
			o.Resize(p.connectionShare(o.Server))
		}
		o.Trim(now)
	}
}

// linkDialer opens links to one owner. As an observer it records the reachability of the owner, not
// of the server.
type linkDialer struct {
	pools *pools
	owner declarer.Host
}

// Dial opens a link to the owner for the server.
func (l *linkDialer) Dial(ctx context.Context, s declarer.Server, _ string) (connpooler.Connection, marker.Mark, error) {
	c, err := l.pools.dialLink(ctx, l.owner.Address, s)
	return c, marker.Mark{}, err
}

// Connected does nothing: an open link tells nothing about the server.
func (l *linkDialer) Connected(declarer.Server, marker.Mark) {}

// Unreachable skips the owner for ownerRetryDelay.
func (l *linkDialer) Unreachable(declarer.Server, error) { l.pools.skip(l.owner.Name) }
