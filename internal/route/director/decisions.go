package director

import (
	"sync"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// DecisionLog logs routing decisions.
type DecisionLog interface {
	// LogDecision logs one decision as one line. It keeps no reference to d.
	LogDecision(d *encoder.Decision)
}

// decisionLine is a decision with space for the servers that were passed over.
type decisionLine struct {
	encoder.Decision
	passed [chooser.MaximumCandidates]encoder.PassedOver
}

// linePool reuses the memory of log lines, since each request has one.
var linePool = sync.Pool{New: func() any { return new(decisionLine) }}

// logDecision logs the decision; x is nil if no servers were evaluated.
func (s *search) logDecision(chosen string, why chooser.Reason, x *chooser.Decision, l []chooser.Candidate) {
	if s.director.Decisions == nil {
		return
	}
	p := linePool.Get().(*decisionLine)
	p.Decision = encoder.Decision{
		Kind:          "route",
		Request:       s.query.Request,
		Session:       s.query.Session,
		DatabaseGroup: s.query.Group,
		Team:          s.team,
		Chosen:        chosen,
		Reason:        why.String(),
	}
	if s.rule != nil {
		p.Rule = s.rule.Name
	}
	if x != nil {
		n := x.PassedOverCount
		for i, o := range x.PassedOver[:n] {
			p.passed[i] = encoder.PassedOver{Name: l[o.Index].Name, Reason: o.Reason.String()}
		}
		p.PassedOver = p.passed[:n]
	}
	s.director.Decisions.LogDecision(&p.Decision)
	linePool.Put(p)
}
