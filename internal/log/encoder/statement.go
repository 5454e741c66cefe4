package encoder

import (
	"strconv"
	"time"
)

// Statement describes the execution of one statement of a caller.
type Statement struct {
	// Request is the id that the caller gave the statement.
	Request       string
	Database      string
	DatabaseGroup string
	// Customer is the one whose key the caller sent, empty if callers need none.
	Customer string
	// Operation is the kind of statement: read, write, execute or commit.
	Operation string
	// Outcome is ran, not-run, failed or unknown.
	Outcome string
	// Code details an Outcome other than ran, and is empty otherwise.
	Code string
	// Server is the last one that the statement was sent to, empty if there was none.
	Server string
	// Role is the role of Server in the group, primary or replica, empty without a Server.
	Role string
	// Reason explains the choice of Server or the refusal.
	Reason string
	// Held is what operators held back if the statement was refused for it, such as "customer a".
	Held string
	// RequiredPosition is the log position that the server had to have, empty for none.
	RequiredPosition string
	Attempts         int
	// Importance is that of the statement, lower values first, set if Ranked is: the configuration ranks
	// statements.
	Importance uint8
	Ranked     bool
	// Configuration is the version of the configuration by which the statement was routed.
	Configuration uint64
	// Wait is the time spent waiting for leases, Elapsed the time of the whole statement.
	Wait, Elapsed time.Duration
}

// LogStatement queues one line for s. It keeps no reference to s.
func (e *Encoder) LogStatement(s *Statement) {
	p := e.scratch()
	*p = encodeStatement((*p)[:0], e.now(), s)
	e.append(*p)
	e.release(p)
}

func encodeStatement(b line, now time.Time, s *Statement) line {
	b = beginLine(b, now, "info", "statement")
	b = b.string("request", s.Request)
	b = b.string("database", s.Database)
	b = b.string("database-group", s.DatabaseGroup)
	b = b.string("customer", s.Customer)
	b = b.string("operation", s.Operation)
	b = b.string("outcome", s.Outcome)
	b = b.string("code", s.Code)
	b = b.string("server", s.Server)
	b = b.string("role", s.Role)
	b = b.string("why", s.Reason)
	b = b.string("held", s.Held)
	b = b.string("need", s.RequiredPosition)
	if s.Ranked {
		b = b.uint("importance", uint64(s.Importance))
	}
	b = b.uint("attempts", uint64(s.Attempts))
	b = b.uint("configuration", s.Configuration)
	b = b.duration("waited", s.Wait)
	b = b.duration("took", s.Elapsed)
	return b.end()
}

// duration appends a member with d in microseconds and the unit "us".
func (b line) duration(name string, d time.Duration) line {
	b = append(b.key(name), '"')
	b = strconv.AppendInt(b, d.Microseconds(), 10)
	return append(b, 'u', 's', '"')
}
