package encoder

import "time"

// Decision describes one choice of a backend server or host, for instance by routing.
type Decision struct {
	// Kind is the kind of the choice, for instance "route", "pool-owner" or "promotion".
	Kind string
	// Request and Session are the numbers of the request and of the caller's session on this host.
	Request uint64
	Session uint64
	// DatabaseGroup is the group that the request addresses.
	DatabaseGroup string
	// Team is the team of the caller's database role, empty if it has none.
	Team string
	// Rule is the routing rule that matched, empty if none did.
	Rule string
	// Chosen is the backend server or host that was chosen, empty if the request was refused.
	Chosen string
	// Reason is the reason for the choice or the refusal.
	Reason string
	// PassedOver lists the other candidates and the reasons why they weren't chosen.
	PassedOver []PassedOver
}

// PassedOver is a backend server or host that was a candidate and wasn't chosen.
type PassedOver struct {
	Name string
	// Reason is why it wasn't chosen.
	Reason string
}

// LogDecision queues one line for d unless sampling omits it. Refusals are always logged. It keeps no
// reference to d.
func (e *Encoder) LogDecision(d *Decision) {
	if d.Chosen != "" && !e.decisions.keep(e.SampleDecisions) {
		return
	}
	p := e.scratch()
	*p = encodeDecision((*p)[:0], e.now(), d)
	e.append(*p)
	e.release(p)
}

func encodeDecision(b line, now time.Time, d *Decision) line {
	b = beginLine(b, now, "info", "decision")
	b = b.string("kind", d.Kind)
	b = b.uint("request", d.Request)
	b = b.uint("session", d.Session)
	b = b.string("database-group", d.DatabaseGroup)
	b = b.string("team", d.Team)
	b = b.string("rule", d.Rule)
	b = b.string("chosen", d.Chosen)
	b = b.string("why", d.Reason)
	b = encodePassedOver(b, d.PassedOver)
	return b.end()
}

func encodePassedOver(b line, l []PassedOver) line {
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
