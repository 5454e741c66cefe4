package executor

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/quotakeeper"
)

// Caller is the connection of one caller.
type Caller interface {
	// Start waits for the startup message and returns the database and the caller's key in it.
	Start(deadline time.Time) (database, key string, err error)
	// Next waits for the next statement, until the deadline if it isn't zero. It may be called
	// again after ErrDeadline.
	Next(deadline time.Time) (declarer.Statement, error)
	// Interrupt ends a wait in Next, and all later ones at once.
	Interrupt()
	// Ready tells the caller that its session has started.
	Ready() error
	// Refuse answers Start, or a message that isn't a statement, with an error. The session ends then.
	Refuse(c declarer.Code, text string) error
	// Done, Fail and Forward answer a statement: Done if the proxy has run it itself, Fail with an
	// error of the proxy, Forward with the answer of a backend server.
	Done(s declarer.State) error
	Fail(c declarer.Code, text string, s declarer.State) error
	Forward(a *declarer.Answer, s declarer.State) error
	Close()
}

// Pools holds the connection pools of the backend servers.
type Pools interface {
	// Pool returns the pool of the server with this id, nil if there is none.
	Pool(server string) *connpooler.Pool
}

// Limiter keeps the limits of customers.
type Limiter interface {
	// Admit counts an operation of a customer. It returns nil if the operation may run.
	Admit(ctx context.Context, o quotakeeper.Operation) *quotakeeper.Refusal
	// Return takes back the count of an operation that has not run.
	Return(customer string)
}

// Reporter logs and counts the results of statements.
type Reporter interface {
	Statement(r *Report)
}

// Report is the result of one statement.
type Report struct {
	Group    string
	Database string
	// Customer holds the caller's key, empty if it needs none.
	Customer string
	// Statement is the id that the caller gave it.
	Statement string
	Verb      declarer.Verb
	// Server is the last one that the statement was sent to, empty if there was none.
	Server string
	// Primary is set if the server was the group's primary.
	Primary bool
	Code    declarer.Code
	// Reason explains the choice of the server or the refusal.
	Reason string
	// Held is what operators held back if the statement was refused for it.
	Held Hold
	// RequiredPosition is the log position that the server had to have, zero for none.
	RequiredPosition marker.Mark
	// Importance is that of the statement, set if Ranked is: the configuration by which the statement or
	// its transaction was admitted ranks requests.
	Importance admitter.Importance
	Ranked     bool
	// Version is the version of the configuration in force.
	Version  uint64
	Attempts int
	// Wait is the time spent waiting for leases, Elapsed the time of the whole statement.
	Wait    time.Duration
	Elapsed time.Duration
}
