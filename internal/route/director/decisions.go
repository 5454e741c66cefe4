package director

import (
	"sync"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// DecisionLog takes one line for each routing decision. It keeps no reference to d.
type DecisionLog interface {
	Decide(d *encoder.Decision)
}

// line is a decision with room for the servers that were passed over.
type line struct {
	encoder.Decision
	passed [chooser.MaximumCandidates]encoder.PassedOver
}

// lines lends the memory of log lines, as there is one for each request.
var lines = sync.Pool{New: func() any { return new(line) }}

// log writes the decision's line; x is nil where there was nothing to choose from.
func (s *search) log(chosen string, why chooser.Reason, x *chooser.Decision, l []chooser.Candidate) {
	if s.director.Decisions == nil {
		return
	}
	p := lines.Get().(*line)
	p.Decision = encoder.Decision{
		Kind:          "route",
		Request:       s.query.Request,
		Session:       s.query.Session,
		DatabaseGroup: s.query.Group,
		Team:          s.team,
		Chosen:        chosen,
		Why:           why.String(),
	}
	if s.rule != nil {
		p.Rule = s.rule.Name
	}
	if x != nil {
		n := x.PassedOverCount
		for i, o := range x.PassedOver[:n] {
			p.passed[i] = encoder.PassedOver{Name: l[o.Index].Name, Why: o.Reason.String()}
		}
		p.PassedOver = p.passed[:n]
	}
	s.director.Decisions.Decide(&p.Decision)
	lines.Put(p)
}
