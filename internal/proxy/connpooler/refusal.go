package connpooler

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// Refusal is a lease that wasn't given since it would take, or took, too long. It is an
// ErrRefused.
type Refusal struct {
	Server string
	Reason admitter.Reason
	// RetryAfter is when there will be room.
	RetryAfter time.Duration
}

// Error tells why there was no lease.
func (r *Refusal) Error() string {
	return "server " + r.Server + ": " + r.Reason.String() + ": " + ErrRefused.Error()
}

// Unwrap returns ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// Errors of a lease that wasn't given. Nothing was sent.
const (
	// ErrRefused is a wait that would take, or took, too long.
	ErrRefused = errors.ConstError("connection pool exhausted")
	// ErrUnreachable is a server that takes no connection.
	ErrUnreachable = errors.ConstError("server can't be reached")
	// ErrClosed is a pool that was closed.
	ErrClosed = errors.ConstError("pool is closed")
	// ErrTimeout is an answer that didn't come by the deadline. It may still come.
	ErrTimeout = errors.ConstError("no answer in time")
)

// noConnection is the refusal where there is no connection, and none to be had before the
// next attempt. The mutex is held.
func (p *Pool) noConnection() error {
	return &Refusal{Server: p.Server.ID, Reason: admitter.ReasonNoConnections, RetryAfter: max(0, time.Until(p.retryAt))}
}

// refusal tells why the queue refused e. The mutex is held.
func (p *Pool) refusal(e *admitter.Entry) error {
	switch {
	case p.closed:
		return ErrClosed
	case e.Reason == admitter.ReasonNoConnections:
		return p.noConnection()
	case e.Reason == admitter.ReasonLeaving:
		return errors.Annotatef(ErrUnreachable, "server %s", p.Server.ID)
	}
	return &Refusal{Server: p.Server.ID, Reason: e.Reason, RetryAfter: e.RetryAfter}
}
