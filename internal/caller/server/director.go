package server

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/inquirer"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// Query is what a request that holds no connection asks the director for.
type Query struct {
	Session         uint64
	Request         uint64
	Group           string
	Role            string
	ApplicationName string
	Tag             string
	// Write says that the request may write.
	Write bool
	// ReplicaSafe says that a replica may serve the request.
	ReplicaSafe bool
	// Mark is the session's mark; HasMark tells a session that has none yet
	// from one that brought or gathered one.
	Mark    marker.Mark
	HasMark bool
	// MaximumAge is the age that the statement's comment allows.
	MaximumAge    time.Duration
	HasMaximumAge bool
	// Avoid names a backend server that refused an earlier attempt.
	Avoid string
	// Attempt counts from zero.
	Attempt int
	// MaySpeculate says that the request may be answered ahead of its read index
	// and be run again where that turns out to be wrong.
	MaySpeculate bool
	// ReadIndex is the read index of an attempt of this request that ran ahead.
	ReadIndex    marker.Mark
	HasReadIndex bool
}

// Speculation tells whether the answer to a read that ran ahead of its read index may
// be shown.
type Speculation interface {
	// Confirm waits for the read index. before is the server's log position
	// before the read, zero if it isn't known.
	Confirm(ctx context.Context, before marker.Mark) Confirmation
}

// Confirmation is the word on an answer that was taken ahead of its read index.
type Confirmation struct {
	// Covered says that the answer may be shown.
	Covered bool
	// ReadIndex is the read index, if there is one.
	ReadIndex    marker.Mark
	HasReadIndex bool
}

// Choice is where a request runs.
type Choice struct {
	Server string
	Lessor lessor.Lessor
	// Primary says that the server is the group's primary, whose writes need
	// to be acknowledged.
	Primary bool
	// SafeTerm is the term at which the server's answers to reads show only what
	// a majority holds; an answer under another one, or all if it is zero, waits
	// for the majority as a commit does.
	SafeTerm marker.Term
	// AgeUnknown says that nobody can tell how old the data is.
	AgeUnknown bool
	// Team is the caller's team, whose share of a full queue the request uses.
	Team string
	// Speculation isn't nil if the answer must be confirmed before it is shown.
	Speculation Speculation
}

// Director decides where requests run and when commits are acknowledged.
type Director interface {
	// Choose waits, within ctx, until some backend server may serve q.
	Choose(ctx context.Context, q Query) (Choice, error)
	// Acknowledge returns when a majority of the group holds the commit at m.
	// After driver.ErrSuperseded the commit did not run and never will; after
	// any other error its outcome is open.
	Acknowledge(ctx context.Context, group string, m marker.Mark) error
	// LookUp tells what a majority holds of an idempotency key.
	LookUp(ctx context.Context, group string, a recorder.Attempt) (inquirer.Answer, error)
	// Settle makes the outcome of an attempt final after its connection was
	// lost; it returns recorder.Unknown if that can't be done within ctx.
	Settle(ctx context.Context, group string, a recorder.Attempt) (recorder.Outcome, error)
	// CreateTable makes the group's outcome table.
	CreateTable(ctx context.Context, group string) error
	// Observe notes the log position that a server was seen at.
	Observe(group, server string, m marker.Mark)
	// Groups returns the names of the configured database groups.
	Groups() []string
	// Exists reports whether the group is configured and the role may reach it.
	Exists(group, role string) bool
}
