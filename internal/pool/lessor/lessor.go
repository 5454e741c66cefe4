// Package lessor lends connections to backend servers for a request or a transaction.
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
	// ErrNotRun marks errors after which no byte of the request has reached a
	// backend server.
	ErrNotRun = errors.ConstError("request not run")
	// ErrUnreachable says that no connection to the backend server could be
	// opened; another server, or a later attempt, may do.
	ErrUnreachable = errors.ConstError("backend server not reachable")
	// ErrConnectionLimit says that the backend server refused a connection.
	ErrConnectionLimit = errors.ConstError("backend server has no connection left")
)

// Demand is what a session asks a connection for.
type Demand struct {
	// Session and Request identify the demand in logs.
	Session uint64
	Request uint64
	// Team is whose share of a full queue is used.
	Team string
	// Deadline is when the caller gives up, zero if never.
	Deadline time.Time
	// Write tells writes from reads in logs and metrics.
	Write bool
	// Settings are the session's; the connection is brought to them before it
	// is lent.
	Settings replayer.Settings
	// Retryable says that the first exchange of the lease has no effect unless a
	// later one commits it, so that it may be made again where it is lost.
	Retryable bool
}

// Return says in which state a connection comes back.
type Return struct {
	// Clean says that it is outside a transaction with nothing unread; any
	// other connection is closed.
	Clean bool
	// Settings are those in force on it now.
	Settings replayer.Settings
	// HiddenState says that it may hold state that isn't seen, so that it is cleared
	// before anybody else uses it.
	HiddenState bool
}

// Exchange is one batch for a lent connection.
type Exchange struct {
	Batch  *batcher.Batch
	Output exchanger.Output
	Input  exchanger.Input
	// AskPosition asks for the log position after the batch.
	AskPosition bool
	// AskBefore asks for it before the batch as well.
	AskBefore bool
	// InTransaction gives the batch precedence over new transactions.
	InTransaction bool
	// ReturnIfIdle lets the lessor take the connection back with the answer, if that
	// leaves it idle. The sender vouches that the batch changes no settings and
	// leaves nothing hidden, and makes no further exchange over the lease unless
	// the answer lacks a position that was asked for.
	ReturnIfIdle bool
}

// Lease is a connection lent to one session until Release.
type Lease interface {
	// Exchange waits for a slot, sends a batch and passes on its answer. An
	// error that wraps ErrNotRun means that nothing was sent.
	Exchange(ctx context.Context, x Exchange) (exchanger.Result, error)
	// Parameters returns the parameter statuses that the server reported at connect.
	Parameters() map[string]string
	// Release gives the connection back.
	Release(r Return)
}

// Lessor lends connections to one backend server.
type Lessor interface {
	// Lease returns a connection for d; an error wraps ErrNotRun.
	Lease(ctx context.Context, d Demand) (Lease, error)
}
