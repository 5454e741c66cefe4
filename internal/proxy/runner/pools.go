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
	// defaultConnections stands for a group that declares no limit.
	defaultConnections = 16
	// hostShare is the part of a server's connections that one host may take where
	// each has its own. Without a bound a host that comes first with a backlog takes
	// all, and the callers of the others wait until it has worked that off.
	hostShare = 3
	// leastShare is what it may take at least.
	leastShare = 2
	// reserve are connections that the owner of a server's leaves to probes.
	reserve = 2
	// linkLimit bounds the links to one owner for one server.
	linkLimit = 64
	// scarce is the number of connections a host below which one host owns those to a
	// server and the others borrow: with fewer, a host often has none for its statements.
	scarce = 3
	// silentFor is how long an owner that can't be reached is passed over.
	silentFor = 3 * time.Second
)

// poolKey is how this host comes to a server: by its own connections, or by another host's.
type poolKey struct {
	server string
	// owner is empty for its own.
	owner string
}

// pools are the connections to all servers that are listed.
type pools struct {
	self     string
	board    *blackboard.Board
	dialer   connpooler.Dialer
	observer connpooler.Observer
	roster   *roster
	// link opens a link to the owner of a server's connections.
	link func(ctx context.Context, owner string, s declarer.Server) (connpooler.Connection, error)

	mu      sync.Mutex
	servers map[string]declarer.Server
	pools   map[poolKey]*connpooler.Pool
	// silent is until when an owner is passed over.
	silent map[string]time.Time
}

// take closes the pools of servers that are gone or have started again.
func (p *pools) take(l []declarer.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = make(map[string]declarer.Server, len(l))
	for _, s := range l {
		p.servers[s.ID] = s
	}
	for w, o := range p.pools {
		s, ok := p.servers[w.server]
		if !ok || s.Address != o.Server.Address || s.Boot != o.Server.Boot {
			delete(p.pools, w)
			o.Close()
		}
	}
}

// Pool returns the connections to the server, nil if it isn't listed.
func (p *pools) Pool(id string) *connpooler.Pool {
	s, ok := p.find(id)
	if !ok {
		return nil
	}
	if o, ok := p.owner(s); ok && o.Name != p.self {
		return p.borrowed(s, o)
	}
	return p.own(id)
}

// own returns this host's own connections to the server, nil if it isn't listed.
func (p *pools) own(id string) *connpooler.Pool {
	s, ok := p.find(id)
	if !ok {
		return nil
	}
	limit, kept := p.share(s)
	o := p.keep(poolKey{server: id}, &connpooler.Pool{Server: s, Dialer: p.dialer, Observer: p.observer, Limit: limit, MinOpen: kept})
	o.Resize(limit, kept)
	return o
}

// share returns how many connections to the server this host may open, and how many it
// keeps though unused: none where another host owns the server's. A connection kept by
// each of many hosts would leave the owner without any.
func (p *pools) share(s declarer.Server) (limit, kept int) {
	n := p.limit(s.Group)
	o, ok := p.owner(s)
	switch {
	case !ok:
		return max(leastShare, n/hostShare), 1
	case o.Name == p.self:
		return max(leastShare, n-reserve), 1
	}
	return max(leastShare, n/hostShare), 0
}

// borrowed returns the links to the owner.
func (p *pools) borrowed(s declarer.Server, o declarer.Host) *connpooler.Pool {
	l := &links{pools: p, owner: o}
	return p.keep(poolKey{server: s.ID, owner: o.Name}, &connpooler.Pool{Server: s, Dialer: l, Observer: l, Limit: linkLimit, MinOpen: 1, OnDemand: true})
}

// keep returns the pool that is there for the way, or puts n there.
func (p *pools) keep(w poolKey, n *connpooler.Pool) *connpooler.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.pools[w]; o != nil {
		return o
	}
	if p.pools == nil {
		p.pools = make(map[poolKey]*connpooler.Pool)
	}
	p.pools[w] = n
	return n
}

// owner returns the host that owns the server's connections, false if each host has its
// own or no owner can be reached.
func (p *pools) owner(s declarer.Server) (declarer.Host, bool) {
	if p.limit(s.Group) >= scarce*p.roster.count() {
		return declarer.Host{}, false
	}
	for _, h := range p.roster.owners(s) {
		if h.Name == p.self || !p.isSilent(h.Name) {
			return h, true
		}
	}
	return declarer.Host{}, false
}

func (p *pools) isSilent(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.silent[host])
}

func (p *pools) passOver(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = make(map[string]time.Time)
	}
	p.silent[host] = time.Now().Add(silentFor)
}

func (p *pools) limit(group string) int {
	if c := p.board.Configuration(); c != nil && c.Groups[group].MaximumConnections > 0 {
		return c.Groups[group].MaximumConnections
	}
	return defaultConnections
}

// find returns a server that is listed.
func (p *pools) find(id string) (declarer.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[id]
	return s, ok
}

// trim closes connections that nobody needs. The share of this host is looked at anew: it
// may have ceased to own a server's connections, and then isn't asked for them any more.
func (p *pools) trim(now time.Time) {
	p.mu.Lock()
	l := maps.Clone(p.pools)
	p.mu.Unlock()
	for w, o := range l {
		if w.owner == "" {
			o.Resize(p.share(o.Server))
		}
		o.Trim(now)
	}
}

// links opens links to one owner. What it learns is of the owner, not of the server.
type links struct {
	pools *pools
	owner declarer.Host
}

// Dial opens a link.
func (l *links) Dial(ctx context.Context, s declarer.Server) (connpooler.Connection, marker.Mark, error) {
	c, err := l.pools.link(ctx, l.owner.Address, s)
	return c, marker.Mark{}, err
}

// Connected is told of a link that was opened.
func (l *links) Connected(declarer.Server, marker.Mark) {}

// Unreachable passes the owner over for a while.
func (l *links) Unreachable(declarer.Server, error) { l.pools.passOver(l.owner.Name) }
