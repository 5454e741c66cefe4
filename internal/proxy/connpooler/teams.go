package connpooler

import "github.com/cuminwick/cuminwick/internal/limit/admitter"

// SetTeams sets the shares of teams in the queue for connections and in that for permits. m isn't
// changed afterwards.
func (p *Pool) SetTeams(m map[string]admitter.TeamLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Teams = m
	p.adjust()
	p.permits.gate.Adjust(func(q *admitter.Queue) { q.Teams = m })
}
