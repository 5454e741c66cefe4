package server

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/inquirer"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// Query describes a request that needs a connection, for the director's choice of a backend server.
type Query struct {
	Session uint64
	Request uint64
	Group   string
	// Role, ApplicationName and Tag are matched by routing rules.
	Role            string
	ApplicationName string
	Tag             string
	// Write says that the request may write.
	Write bool
	// ReplicaSafe says that a replica may serve the request.
	ReplicaSafe bool
	// Mark is the session's mark, the log position up to which its reads must see all writes.
	// HasMark is false while the session has none, neither from its caller nor from its own
	// requests.
	Mark    marker.Mark
	HasMark bool
	// MaximumAge is the maximum age of the data that the session or the statement's comment allows.
	MaximumAge    time.Duration
	HasMaximumAge bool
	// Avoid is the name of the backend server at which an earlier attempt failed, empty for none.
	Avoid string
	// Attempt is the number of the attempt, counted from zero.
	Attempt int
	// MaySpeculate says that the request may run as a speculative read: its answer can be withheld
	// until its read index is known, and the request run again if the answer doesn't cover it.
	MaySpeculate bool
	// ReadIndex is the read index of an earlier speculative attempt of this request.
	ReadIndex    marker.Mark
	HasReadIndex bool
}

// Speculation checks the answer to a speculative read, a read that runs before its read index is
// known.
type Speculation interface {
	// Confirm waits for the read index and reports whether the answer covers it. before is the
	// server's log position before the read, zero if it isn't known.
	Confirm(ctx context.Context, before marker.Mark) Confirmation
}

// Confirmation is the result of the check of a speculative read.
type Confirmation struct {
	// Covered says that the answer covers the read index, so that it may be sent to the caller.
	Covered bool
	// ReadIndex is the read index, if it became known.
	ReadIndex    marker.Mark
	HasReadIndex bool
}

// Choice is the backend server that a request runs at.
type Choice struct {
	Server string
	Lessor lessor.Lessor
	// Primary says that the server is the group's primary, whose commits must be acknowledged by
	// a majority.
	Primary bool
	// SafeTerm is the term under which the server's answers to reads contain only what a majority
	// holds. An answer under another term, or any answer if SafeTerm is zero, waits for the
	// majority as a commit does.
	SafeTerm marker.Term
	// AgeUnknown says that the age of the server's data can't be determined.
	AgeUnknown bool
	// Team is the caller's team, to whose share of a full queue the request counts.
	Team string
	// Speculation is set for a speculative read, whose answer must be confirmed before it is sent
	// to the caller; nil otherwise.
	Speculation Speculation
}

// Director decides where requests run and when commits are acknowledged.
type Director interface {
	// Choose waits until a backend server may serve q, at most until ctx ends.
	Choose(ctx context.Context, q Query) (Choice, error)
	// WaitAcknowledged waits until a majority of the group holds the commit at m. An error that
	// wraps driver.ErrSuperseded means that the commit did not take effect and never will; after any
	// other error its outcome is unknown.
	WaitAcknowledged(ctx context.Context, group string, m marker.Mark) error
	// LookUp returns what a majority holds of an idempotency key.
	LookUp(ctx context.Context, group string, a recorder.Attempt) (inquirer.Answer, error)
	// Settle makes the outcome of an attempt final after its connection was lost. It returns
	// recorder.Unknown if that isn't possible before ctx ends.
	Settle(ctx context.Context, group string, a recorder.Attempt) (recorder.Outcome, error)
	// CreateTable creates the group's outcome table.
	CreateTable(ctx context.Context, group string) error
	// Observe reports the log position of a server.
	Observe(group, server string, m marker.Mark)
	// Groups returns the names of the configured database groups.
	Groups() []string
	// Exists reports whether the group is configured and the role may use it.
	Exists(group, role string) bool
}
