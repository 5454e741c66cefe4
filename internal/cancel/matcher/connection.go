package matcher

// Verdict is what becomes of a pooled connection.
type Verdict uint8

// Verdicts on a connection.
const (
	// VerdictWait leaves it with its present use.
	VerdictWait Verdict = iota
	// VerdictReuse lets it serve the next use: of the same session while its
	// transaction is open, else of any.
	VerdictReuse
	// VerdictClose closes it.
	VerdictClose
)

// Connection decides when a pooled connection may serve its next use. A use is
// one request; the next statement of an open transaction is a use of its own.
//
// A cancel travels on a connection of its own and may arrive at any time. If the
// pooled connection went to the next caller in between, that caller's request
// would be cancelled, which it would see as an error that it never asked for. So
// the connection waits until the server has closed the cancel's connection: by
// then the server has acted on it. It belongs to one goroutine or is used under
// a lock. The zero value is free.
type Connection struct {
	generation Generation
	used       bool
	ready      bool
	cancelling bool
	broken     bool
}

// Begin starts the next use and returns its generation. It returns false if the
// connection isn't free.
func (c *Connection) Begin() (Generation, bool) {
	if c.used || c.broken {
		return 0, false
	}
	c.generation++
	c.used = true
	c.ready = false
	return c.generation, true
}

// StartCancel reports whether a cancel for generation g is to be sent now. It is
// not if the use is over, or if one is under way already.
func (c *Connection) StartCancel(g Generation) bool {
	if !c.used || c.broken || g != c.generation || c.ready || c.cancelling {
		return false
	}
	c.cancelling = true
	return true
}

// EndCancel notes that the server closed the cancel's connection, or, if seen is
// false, that this wasn't seen. Then the cancel may still arrive at any time,
// and the connection can't be used again.
func (c *Connection) EndCancel(g Generation, seen bool) Verdict {
	if g != c.generation || !c.cancelling {
		return c.verdict()
	}
	c.cancelling = false
	c.broken = c.broken || !seen
	return c.verdict()
}

// Ready notes that ready-for-query was read for generation g, that nothing is
// left unread, and that the use is over.
func (c *Connection) Ready(g Generation) Verdict {
	if g == c.generation && c.used {
		c.ready = true
	}
	return c.verdict()
}

// Break notes that the connection can't be used again, whatever comes.
func (c *Connection) Break() Verdict {
	c.broken = true
	return c.verdict()
}

// Matches reports whether an answer of generation g belongs to the present use.
func (c *Connection) Matches(g Generation) bool {
	return c.used && !c.ready && g == c.generation
}

func (c *Connection) verdict() Verdict {
	switch {
	case c.broken:
		return VerdictClose
	case !c.used || !c.ready || c.cancelling:
		return VerdictWait
	}
	c.used = false
	return VerdictReuse
}
