package runner

import (
	"sync/atomic"

	"github.com/cuminwick/cuminwick/internal/customer/apportioner"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// shares holds the customers' shares under one configuration.
type shares struct {
	// configuration is the one that teams were computed from.
	configuration atomic.Pointer[declarer.Configuration]
	// teams is guarded by the mutex of the pools.
	teams map[string]admitter.TeamLimit
}

// followShares applies the shares of the configuration in force to this host's own connections, once
// for each configuration.
func (p *pools) followShares() {
	if p.board.Configuration() == p.shares.configuration.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.board.Configuration()
	if c == p.shares.configuration.Load() {
		return
	}
	old := p.shares.teams
	p.shares.teams = apportioner.Shares(c)
	if old != nil || p.shares.teams != nil {
		for k, o := range p.pools {
			p.applyShares(k, o)
		}
	}
	p.shares.configuration.Store(c)
}

// applyShares sets the shares of a pool of this host's own connections. The owner of borrowed ones has
// the queue that shares apply to. The caller holds the mutex.
func (p *pools) applyShares(k poolKey, o *connpooler.Pool) {
	if k.owner == "" {
		o.SetTeams(p.shares.teams)
	}
}
