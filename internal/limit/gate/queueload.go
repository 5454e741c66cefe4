package gate

import "github.com/cuminwick/cuminwick/internal/limit/admitter"

// QueueLoad returns the state of the queue with the waiting requests by level.
func (g *Gate) QueueLoad() admitter.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.Load()
}
