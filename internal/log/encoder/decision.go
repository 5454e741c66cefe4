package encoder

import "time"

// Decision is one choice of where a request or a piece of work goes.
type Decision struct {
	// Kind is what was chosen, for instance "route", "pool-owner" or "promotion".
	Kind string
	// Request and Session number the request and the caller's session on this host.
	Request uint64
	Session uint64
	// DatabaseGroup and Team are whom the decision concerns.
	DatabaseGroup string
	Team          string
	// Rule is the routing rule that matched, empty if none did.
	Rule string
	// Chosen is the backend server or host, empty if the request was refused.
	Chosen string
	// Reason is the reason for the choice or the refusal.
	Reason string
	// PassedOver lists the others and why each wasn't chosen.
	PassedOver []PassedOver
}

// PassedOver is a backend server or host that wasn't chosen.
type PassedOver struct {
	Name   string
	Reason string
}

// LogDecision writes one line for d, unless sampling leaves it out. Refusals are
// always written. It keeps no reference to d.
func (e *Encoder) LogDecision(d *Decision) {
	if d.Chosen != "" && !e.decisions.hit(e.SampleDecisions) {
		return
	}
	p := e.scratch()
	*p = decision((*p)[:0], e.now(), d)
	e.append(*p)
	e.release(p)
}

func decision(b line, now time.Time, d *Decision) line {
	b = open(b, now, "info", "decision")
	b = b.string("kind", d.Kind)
	b = b.uint("request", d.Request)
	b = b.uint("session", d.Session)
	b = b.string("database-group", d.DatabaseGroup)
	b = b.string("team", d.Team)
	b = b.string("rule", d.Rule)
	b = b.string("chosen", d.Chosen)
	b = b.string("why", d.Reason)
	b = passed(b, d.PassedOver)
	return b.end()
}

func passed(b line, l []PassedOver) line {
	if len(l) == 0 {
		return b
	}
	b = append(b.key("passed-over"), '[')
	for i, p := range l {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"name":`...).text(p.Name)
		b = b.string("why", p.Reason)
		b = append(b, '}')
	}
	return append(b, ']')
}
