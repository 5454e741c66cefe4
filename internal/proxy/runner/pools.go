package runner

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/keeper"
)

// defaultConnections stands for a group that declares no limit.
const defaultConnections = 16

// pools are the connections to all servers that are listed.
type pools struct {
	board    *blackboard.Board
	dialer   keeper.Dialer
	observer keeper.Observer

	mu      sync.Mutex
	servers map[string]declarer.Server
	pools   map[string]*keeper.Pool
}

// take closes the pools of servers that are gone or have started again.
func (p *pools) take(l []declarer.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = make(map[string]declarer.Server, len(l))
	for _, s := range l {
		p.servers[s.ID] = s
	}
	for id, o := range p.pools {
		s, ok := p.servers[id]
		if !ok || s.Address != o.Server.Address || s.Born != o.Server.Born {
			delete(p.pools, id)
			o.Close()
		}
	}
}

// Pool returns the connections to the server, nil if it isn't listed.
func (p *pools) Pool(id string) *keeper.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.pools[id]; o != nil {
		return o
	}
	s, ok := p.servers[id]
	if !ok {
		return nil
	}
	if p.pools == nil {
		p.pools = make(map[string]*keeper.Pool)
	}
	o := &keeper.Pool{Server: s, Dialer: p.dialer, Observer: p.observer, Limit: p.limit(s.Group)}
	p.pools[id] = o
	return o
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

// trim closes connections that nobody needs.
func (p *pools) trim(now time.Time) {
	p.mu.Lock()
	l := make([]*keeper.Pool, 0, len(p.pools))
	for _, o := range p.pools {
		l = append(l, o)
	}
	p.mu.Unlock()
	for _, o := range l {
		o.Trim(now)
	}
}
