package replicator

import (
	"maps"
	"time"
)

// countOperation records that an operation of the customer runs. The caller holds the mutex.
func (g *Group) countOperation(customer string) {
	if g.operations == nil {
		g.operations = make(map[string][]time.Time)
	}
	g.operations[customer] = append(g.operations[customer], time.Now())
}

// Operations returns by customer when its operations ran.
func (g *Group) Operations() map[string][]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.operations)
}
