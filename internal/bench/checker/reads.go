package checker

// checkReads compares each answer with the earlier answers of its session.
func (c *check) checkReads() {
	for n, l := range c.sessions {
		before := c.verdict.Violations.Total()
		c.checkSession(n, l)
		if c.verdict.Violations.Total() > before {
			c.addSession(n)
		}
	}
}

// checkSession checks one session, whose requests run one after the other.
func (c *check) checkSession(name string, l []*Request) {
	v := &c.verdict.Violations
	var seen int64
	notRun := map[int64]bool{}
	for _, r := range l {
		if r.Outcome == Ran {
			c.checkAnswer(r)
		}
		switch {
		case r.Kind == Read && r.Outcome == Ran:
			if r.Value < seen {
				c.addViolation(&v.ReadYourWrites, "%s of session %s read %d after %d at %v from %s", r.Name, name, r.Value, seen, r.End, r.EntryHost)
			}
			if notRun[r.Value] {
				c.addViolation(&v.FalseNotRun, "%s read %d, which was said not to have run", r.Name, r.Value)
			}
			seen = max(seen, r.Value)
		case r.Kind == Review && r.Outcome == Ran:
			c.checkStaleness(r)
		case r.Kind == Save || r.Kind == Booking:
			if r.Outcome == Ran {
				seen = max(seen, r.Number)
			}
			notRun[r.Number] = r.Outcome == NotRun || r.Outcome == Cancelled
		}
	}
}

// checkAnswer detects answers that belong to another request, are incomplete, or contain a value
// that was never written.
func (c *check) checkAnswer(r *Request) {
	v := &c.verdict.Violations
	for _, n := range r.RowNames {
		if n != r.Name {
			c.addViolation(&v.WrongAnswers, "%s got the answer of %s from %s", r.Name, n, r.EntryHost)
			return
		}
	}
	if r.Kind == Report && r.Rows != r.ExpectedRows {
		c.addViolation(&v.WrongAnswers, "%s got %d of %d rows from %s", r.Name, r.Rows, r.ExpectedRows, r.EntryHost)
	}
	if r.Kind == Read && r.Value > c.highestAttempted(r.Session) {
		c.addViolation(&v.WrongAnswers, "%s read %d, which session %s never wrote", r.Name, r.Value, r.Session)
	}
}

// highestAttempted returns the highest number that a session tried to write.
func (c *check) highestAttempted(session string) int64 {
	var n int64
	for _, r := range c.sessions[session] {
		if r.Kind == Save || r.Kind == Booking {
			n = max(n, r.Number)
		}
	}
	return n
}

// checkStaleness detects a review without a write to the register that was acknowledged more
// than MaximumAge before its start.
func (c *check) checkStaleness(r *Request) {
	for _, w := range c.sessions[r.ReviewedSession] {
		if (w.Kind == Save || w.Kind == Booking) && w.Outcome == Ran && w.End < r.Start-r.MaximumAge && w.Number > r.Value {
			c.addViolation(&c.verdict.Violations.TooStaleReads, "%s read %d of session %s, which was told %d at %v, more than %v before %v",
				r.Name, r.Value, r.ReviewedSession, w.Number, w.End, r.MaximumAge, r.Start)
			return
		}
	}
}
