package runner

import (
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/previewer"
)

// applyOperations applies the operators' requests of a configuration that has come into force, and logs
// what they change. old is the configuration before, nil for none.
func (h *Host) applyOperations(old, c *declarer.Configuration) {
	h.roster.setDrained(c.Operations.DrainedHosts)
	var before declarer.Operations
	if old != nil {
		before = old.Operations
	}
	for _, x := range previewer.CompareOperations(&before, &c.Operations) {
		h.Log.WithField("version", c.Version).WithField("kind", x.Kind).WithField("name", x.Name).WithField("change", x.Change).Info("operators' request in force")
	}
}

// drained reports whether operators drain this host.
func (h *Host) drained() bool {
	c := h.Board.Configuration()
	return c != nil && c.Operations.DrainedHosts[h.Name]
}

// setDrained replaces the names of the hosts that operators drain.
func (r *roster) setDrained(names map[string]bool) {
	if len(names) > 0 || r.drains() {
		r.change(func() { r.drained = names })
	}
}

// drains reports whether operators drain any host.
func (r *roster) drains() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.drained) > 0
}

// leaveDrained marks the drained hosts of l as leaving, so that they own no connections. If all are
// drained, none is marked: without owners, each host would open connections of its own, and together
// more than a server allows. The caller holds the mutex.
func (r *roster) leaveDrained(l []assigner.Host) {
	n := 0
	for i := range l {
		l[i].Leaving = r.drained[l[i].Name]
		if l[i].Leaving {
			n++
		}
	}
	if n < len(l) {
		return
	}
	for i := range l {
		l[i].Leaving = false
	}
}

// isReplaceable reports whether operators drain the server and its group can do without it.
func (p *pools) isReplaceable(s declarer.Server) bool {
	if c := p.board.Configuration(); c == nil || !c.Operations.DrainedServers[s.ID] {
		return false
	}
	replaceable := false
	p.board.Do(s.Group, func(g *grouptracker.Group) { replaceable = g.IsReplaceable(s.ID) })
	return replaceable
}
