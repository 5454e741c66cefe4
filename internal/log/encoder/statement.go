package encoder

import (
	"strconv"
	"time"
)

// Statement is what became of one statement of a caller, with what decided it.
type Statement struct {
	// Request is the caller's id of the statement.
	Request       string
	Database      string
	DatabaseGroup string
	// Operation is read, write, commit or another kind of statement.
	Operation string
	// Outcome is ran, not-run, failed or unknown; Code says more where it isn't ran.
	Outcome string
	Code    string
	// Server is the last one that it was sent to, empty if there was none, and Role
	// its part in the group.
	Server string
	Role   string
	// Reason is the reason for the choice, or what stood in the way.
	Reason string
	// RequiredPosition is the position that the server had to have, empty for none.
	RequiredPosition string
	Attempts         int
	// Configuration is the version that the statement was routed by.
	Configuration uint64
	Wait, Elapsed time.Duration
}

// LogStatement writes one line for s. It keeps no reference to s.
func (e *Encoder) LogStatement(s *Statement) {
	p := e.scratch()
	*p = statement((*p)[:0], e.now(), s)
	e.append(*p)
	e.release(p)
}

func statement(b line, now time.Time, s *Statement) line {
	b = open(b, now, "info", "statement")
	b = b.string("request", s.Request)
	b = b.string("database", s.Database)
	b = b.string("database-group", s.DatabaseGroup)
	b = b.string("operation", s.Operation)
	b = b.string("outcome", s.Outcome)
	b = b.string("code", s.Code)
	b = b.string("server", s.Server)
	b = b.string("role", s.Role)
	b = b.string("why", s.Reason)
	b = b.string("need", s.RequiredPosition)
	b = b.uint("attempts", uint64(s.Attempts))
	b = b.uint("configuration", s.Configuration)
	b = b.duration("waited", s.Wait)
	b = b.duration("took", s.Elapsed)
	return b.end()
}

// duration appends a time in microseconds with its unit.
func (b line) duration(name string, d time.Duration) line {
	b = append(b.key(name), '"')
	b = strconv.AppendInt(b, d.Microseconds(), 10)
	return append(b, 'u', 's', '"')
}
