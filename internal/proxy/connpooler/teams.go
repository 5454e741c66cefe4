package connpooler

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// SetTeams sets the shares and limits by team for the waits for a connection and for a permit. The map must
// not be changed afterwards. Without teams, all have equal shares.
func (p *Pool) SetTeams(teams map[string]admitter.TeamLimit) {
	p.permits.gate.SetTeams(teams)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.SetTeams(teams, sinceEpoch(time.Now()))
	p.notifyWaiters()
}
