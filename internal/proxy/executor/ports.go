package executor

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Caller is the connection of one caller.
type Caller interface {
	// Start returns the database that the caller names, and who it is.
	Start(deadline time.Time) (database, who string, err error)
	// Next waits for the next statement, until the deadline if it isn't zero. It may be
	// called again after that passed.
	Next(deadline time.Time) (declarer.Statement, error)
	// Interrupt ends a wait in Next, now and from now on.
	Interrupt()
	Ready() error
	// Refuse answers Start by an error.
	Refuse(c declarer.Code, text string) error
	// Done, Fail and Pass answer a statement: by ourselves, by an error of ours, by
	// what a backend server answered.
	Done(s declarer.State) error
	Fail(c declarer.Code, text string, s declarer.State) error
	Forward(a *declarer.Answer, s declarer.State) error
	Close()
}

// Pools gives out connections by server.
type Pools interface {
	Pool(server string) *connpooler.Pool
}

// Reporter writes down what became of a statement.
type Reporter interface {
	Statement(r *Report)
}

// Report is what became of one statement.
type Report struct {
	Group     string
	Database  string
	Statement string
	Verb      declarer.Verb
	// Server is the last one that it was sent to, empty if there was none.
	Server string
	// Primary says that the server led its group.
	Primary bool
	Code    declarer.Code
	// Reason is the reason for a choice or a refusal.
	Reason string
	// RequiredPosition is the position that the server had to have, zero for none.
	RequiredPosition marker.Mark
	// Version is that of the configuration in force.
	Version  uint64
	Attempts int
	Wait     time.Duration
	Elapsed  time.Duration
}
