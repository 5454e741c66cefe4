package connpooler

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
)

// Refusal is the error of a lease or permit that wasn't granted because the wait was or would be
// too long. It matches ErrRefused.
type Refusal struct {
	// Server is the ID of the server.
	Server string
	Reason admitter.Reason
	// RetryAfter is after what time there should be capacity, zero if that isn't known.
	RetryAfter time.Duration
	// Forecast says which further requests would be refused. It is zero unless requests are ranked.
	Forecast forecaster.Forecast
}

// Error describes why the request was refused.
func (r *Refusal) Error() string {
	if r.Reason == admitter.ReasonNotAdmitted {
		return "server " + r.Server + ": " + r.Reason.String() + ": its owner would refuse the request"
	}
	return "server " + r.Server + ": " + r.Reason.String() + ": " + ErrRefused.Error()
}

// Unwrap returns ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// Errors of leases. After ErrRefused, ErrUnreachable and ErrClosed nothing was sent.
const (
	// ErrRefused is matched by each *Refusal.
	ErrRefused = errors.ConstError("connection pool exhausted")
	// ErrUnreachable is returned if no connection to the server can be opened.
	ErrUnreachable = errors.ConstError("server can't be reached")
	// ErrClosed is returned if the pool is closed.
	ErrClosed = errors.ConstError("pool is closed")
	// ErrTimeout is returned by Connection.Receive if no answer arrived by the deadline. It may
	// still arrive.
	ErrTimeout = errors.ConstError("no answer in time")
	// ErrNotSent is returned by Connection.Send if the server has closed the connection or sent
	// something that nobody asked for. Nothing was sent.
	ErrNotSent = errors.ConstError("connection can't be used, nothing was sent")
	// ErrOutOfStep is returned by Connection.Receive if the answers on the connection can't be told
	// apart. Statements without an answer may have run.
	ErrOutOfStep = errors.ConstError("answers can't be told apart")
	// ErrSetup is returned if the server refuses a value or prepared statement of the session. The
	// connection counts as set up, so that it must be closed.
	ErrSetup = errors.ConstError("connection can't be set up")
)

// noConnectionError returns the refusal for a pool that has no connection and opens none before
// retryAt. The caller must hold the mutex.
func (p *Pool) noConnectionError() error {
	return &Refusal{Server: p.Server.ID, Reason: admitter.ReasonNoConnections, RetryAfter: max(0, time.Until(p.retryAt))}
}

// refusalError returns the error for an entry that the queue refused. The caller must hold the
// mutex.
func (p *Pool) refusalError(e *admitter.Entry) error {
	switch {
	case p.closed:
		return ErrClosed
	case e.Reason == admitter.ReasonNoConnections:
		return p.noConnectionError()
	case e.Reason == admitter.ReasonLeaving:
		return errors.Annotatef(ErrUnreachable, "server %s", p.Server.ID)
	}
	r := &Refusal{Server: p.Server.ID, Reason: e.Reason, RetryAfter: e.RetryAfter}
	if a := p.admission.Load(); a != nil && !p.OnDemand {
		a.complete(r, &a.connections, e.Importance, e.Order(), p.withoutTeams(p.queue.Load()))
	}
	return r
}
