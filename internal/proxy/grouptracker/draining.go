package grouptracker

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// IsReplaceable reports whether operators drain the server and the others of the group can do without it:
// it isn't the primary, and another server isn't drained.
func (g *Group) IsReplaceable(id string) bool {
	return g.Drained[id] && id != g.primary && slices.ContainsFunc(g.servers, func(s *Server) bool { return !g.Drained[s.ID] })
}

// choose chooses among the candidates, whose indices are those of the group's servers. A drained server is
// only chosen if no other one can run the request. One that has refused it for now can: otherwise each
// burst of requests would reach the drained servers again.
func (g *Group) choose(q *chooser.Request, l []chooser.Candidate) chooser.Decision {
	drained := g.drainedBits(len(l))
	if drained == 0 {
		return g.Chooser.Choose(q, l)
	}
	refused := q.Excluded
	q.Excluded = refused | drained
	d := g.Chooser.Choose(q, l)
	if !d.Refused {
		return d
	}
	q.Excluded = drained
	if refused != 0 && !g.Chooser.Choose(q, l).Refused {
		return d
	}
	q.Excluded = refused
	return g.Chooser.Choose(q, l)
}

// drainedBits returns the bit set of the drained servers among the first n.
func (g *Group) drainedBits(n int) uint32 {
	if len(g.Drained) == 0 {
		return 0
	}
	var b uint32
	for i, s := range g.servers[:n] {
		if g.Drained[s.ID] {
			b |= 1 << i
		}
	}
	return b
}
