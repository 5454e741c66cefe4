// Package lessor defines how connections to backend servers are leased for a request or a transaction.
package lessor

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

const (
	// ErrNotRun marks errors with which no byte of the request has reached a backend server.
	ErrNotRun = errors.ConstError("request not run")
	// ErrUnreachable marks errors with which no connection to the backend server could be opened,
	// so that a retry on another server or at a later time may succeed.
	ErrUnreachable = errors.ConstError("backend server not reachable")
	// ErrConnectionLimit marks errors with which the backend server refused a connection because
	// its connection limit was reached.
	ErrConnectionLimit = errors.ConstError("backend server has no connection left")
)

// Demand describes a request for a lease: who makes it and what the connection is used for.
type Demand struct {
	// Session and Request identify the demand in logs.
	Session uint64
	Request uint64
	// Team is the team whose share of a full queue the demand counts towards.
	Team string
	// Deadline is when the caller stops waiting, zero for no deadline.
	Deadline time.Time
	// Write distinguishes writes from reads in the queue, in logs and in metrics.
	Write bool
	// Settings are the settings of the session. They are applied to the connection before it is
	// leased.
	Settings replayer.Settings
	// Retryable reports that the first exchange of the lease has no effect unless a later one
	// commits it, so that it may be repeated if it is lost.
	Retryable bool
}

// Return describes the state in which a connection is released.
type Return struct {
	// Clean reports that the connection is outside a transaction and all responses were read. Any
	// other connection is closed.
	Clean bool
	// Settings are the settings that the connection has now.
	Settings replayer.Settings
	// HiddenState reports that the connection may have session state that isn't tracked, so that
	// it must be reset before another session uses it.
	HiddenState bool
}

// Exchange is one batch for a leased connection.
type Exchange struct {
	Batch *batcher.Batch
	// Output receives the response of the backend server.
	Output exchanger.Output
	// Input provides the caller's messages of COPY FROM STDIN.
	Input exchanger.Input
	// AskPosition requests the position of the server's log after the batch.
	AskPosition bool
	// AskBefore requests the position before the batch as well.
	AskBefore bool
	// AskProof requests a check that the response is that to the batch. See exchanger.Exchange.
	AskProof bool
	// InTransaction gives the batch priority over new transactions.
	InTransaction bool
	// ReturnIfIdle allows the lessor to return the connection to its pool with the result if it is
	// idle then. The sender guarantees that the batch changes no settings and leaves no hidden
	// state, and runs no further exchange with the lease unless the result lacks a position that
	// was requested.
	ReturnIfIdle bool
}

// Lease is a connection leased to one session until Release.
type Lease interface {
	// Exchange waits for a slot, sends a batch and passes on the response. If the error wraps
	// ErrNotRun, nothing was sent.
	Exchange(ctx context.Context, x Exchange) (exchanger.Result, error)
	// Parameters returns the parameter statuses that the server reported at connect.
	Parameters() map[string]string
	// Release returns the connection to its pool, or closes it if it isn't clean.
	Release(r Return)
}

// Lessor leases connections to one backend server.
type Lessor interface {
	// Lease waits for a connection for d. An error wraps ErrNotRun.
	Lease(ctx context.Context, d Demand) (Lease, error)
}
