// Package relayer forwards control calls for a backend server to the entry host that owns its pool.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/pool/avoider"
)

const (
	// maximumHosts is how many entry hosts are asked before a call is made directly: the pool owner
	// and its successor.
	maximumHosts = 2
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = time.Second
	// firstPause and maximumPause bound how long a host that didn't respond is skipped. They are
	// short because the host may merely be busy, and there are few connections for direct calls.
	firstPause   = 100 * time.Millisecond
	maximumPause = time.Second
)

// Owners determines the current owners of pools.
type Owners interface {
	// Owners returns the owner of the pool of s and its successors, n hosts at most.
	Owners(s assigner.Server, n int) assigner.Owners
}

// Peers calls other entry hosts.
type Peers interface {
	// Control makes the call at host. An error is ErrNotSent if the call was certainly not sent.
	Control(ctx context.Context, host string, q Request) (controller.Status, error)
	// EnsureConnection reports whether there is a connection to host. If there is none, it starts
	// to open one and returns without waiting.
	EnsureConnection(host string) bool
}

// Relayer implements controller.Control for one backend server. Because it forwards calls, usually
// only the pool owner and its successor hold a reserved connection to the server. The exported
// fields are set before use.
type Relayer struct {
	// Self is this entry host's name.
	Self   string
	Server assigner.Server
	Owners Owners
	Peers  Peers
	// Avoided, if set, reports whether host recently failed to respond.
	Avoided func(host string, now time.Time) bool
	// Local calls the server over a connection of this host.
	Local controller.Control

	once sync.Once
	// unresponsive holds the hosts that didn't respond to a call.
	unresponsive avoider.Avoider
	// lastUse is the time of the last use of Local in nanoseconds since 1970, zero if there was
	// none since CloseIdle closed the connection.
	lastUse atomic.Int64
}

var _ controller.Control = (*Relayer)(nil)

// Status implements controller.Control. The poll starts after the request has arrived at the pool
// owner.
func (r *Relayer) Status(ctx context.Context) (controller.Status, error) {
	return r.call(ctx, Request{Call: CallStatus})
}

// RaiseTerm implements controller.Control.
func (r *Relayer) RaiseTerm(ctx context.Context, t marker.Term) (controller.Status, error) {
	return r.call(ctx, Request{Call: CallRaiseTerm, Term: t})
}

// Promote implements controller.Control.
func (r *Relayer) Promote(ctx context.Context, t marker.Term) (controller.Status, error) {
	return r.call(ctx, Request{Call: CallPromote, Term: t})
}

// Follow implements controller.Control.
func (r *Relayer) Follow(ctx context.Context, t marker.Term, backendServer, address string) (controller.Status, error) {
	return r.call(ctx, Request{Call: CallFollow, Term: t, Primary: backendServer, PrimaryAddress: address})
}

// call asks the pool owner and then its successor. If neither can be reached, which says nothing
// about the backend server, the call is made directly. If a host was reached but couldn't reach the
// server, its error is returned.
//
// A host that doesn't respond in time is skipped by the next calls. Each call gives a host the full
// remaining time, because with a share of it a server that is merely busy would be considered lost.
func (r *Relayer) call(ctx context.Context, q Request) (controller.Status, error) {
	r.once.Do(r.setPauses)
	q.DatabaseGroup, q.BackendServer = r.Server.DatabaseGroup, r.Server.Name
	x, cancel := withDefaultDeadline(ctx)
	defer cancel()
	total := remaining(x)
	o := r.Owners.Owners(r.Server, maximumHosts)
	var serverError error
	for _, h := range o.Hosts[:o.Count] {
		if serverError != nil && remaining(x) < total/2 {
			break
		}
		if r.isAvoided(h) {
			continue
		}
		s, err := r.callHost(x, h, q)
		if err == nil {
			return s, nil
		}
		if isServerError(h == r.Self, err) {
			serverError = err
		}
		if x.Err() != nil || q.Call != CallStatus && !notExecuted(err) {
			return s, err
		}
	}
	if serverError != nil {
		return controller.Status{}, serverError
	}
	return r.CallDirectly(x, q)
}

func (r *Relayer) setPauses() {
	r.unresponsive.FirstPause, r.unresponsive.MaximumPause = firstPause, maximumPause
}

// withDefaultDeadline returns ctx, bounded by defaultTimeout if it has no deadline.
func withDefaultDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

func remaining(ctx context.Context) time.Duration {
	t, _ := ctx.Deadline()
	return time.Until(t)
}

// isAvoided reports whether host is skipped. After a pause, one call tries the host again once
// there is a connection to it. If calls waited for that connection, a forwarding host that is cut
// off from the others couldn't use its own connection to the server in time.
func (r *Relayer) isAvoided(host string) bool {
	if host == r.Self {
		return false
	}
	if r.unresponsive.Suspect(host) && !r.Peers.EnsureConnection(host) {
		return true
	}
	n := time.Now()
	return r.Avoided != nil && r.Avoided(host, n) || !r.unresponsive.Admit(host, n)
}

// callHost makes the call at one host and records whether it responded.
func (r *Relayer) callHost(ctx context.Context, host string, q Request) (controller.Status, error) {
	if host == r.Self {
		return r.CallDirectly(ctx, q)
	}
	q.Remaining = remaining(ctx)
	s, err := r.Peers.Control(ctx, host, q)
	var f *encoder.Refusal
	if err == nil || errors.As(err, &f) {
		r.unresponsive.RecordAnswer(host)
	} else {
		r.unresponsive.RecordFailure(host, time.Now())
	}
	return s, err
}

// isServerError reports whether err is from a host that tried the call at the backend server. self
// reports whether that is this host.
func isServerError(self bool, err error) bool {
	var f *encoder.Refusal
	return self || errors.As(err, &f) && isAboutServer(f)
}

// isAboutServer reports whether f concerns the backend server and not the host.
func isAboutServer(f *encoder.Refusal) bool {
	return f.Reason == encoder.ReasonUnreachable || f.Reason == encoder.ReasonNotRunning
}

// notExecuted reports whether err shows that the call wasn't tried at the backend server. A command
// whose answer was lost may have taken effect; its caller decides by the status.
func notExecuted(err error) bool {
	var f *encoder.Refusal
	if errors.As(err, &f) {
		return !isAboutServer(f) && f.Reason != encoder.ReasonFault
	}
	return errors.Is(err, ErrNotSent)
}

// ErrNotSent is returned when the call was certainly not sent to the other entry host.
const ErrNotSent = errors.ConstError("entry host not asked")

// CallDirectly makes the call over this host's own connection.
func (r *Relayer) CallDirectly(ctx context.Context, q Request) (controller.Status, error) {
	r.lastUse.Store(time.Now().UnixNano())
	switch q.Call {
	case CallStatus:
		return r.Local.Status(ctx)
	case CallRaiseTerm:
		return r.Local.RaiseTerm(ctx, q.Term)
	case CallPromote:
		return r.Local.Promote(ctx, q.Term)
	case CallFollow:
		return r.Local.Follow(ctx, q.Term, q.Primary, q.PrimaryAddress)
	}
	return controller.Status{}, errors.NotSupportedf("control call %q", q.Call)
}

// closer is a controller.Control that holds a connection.
type closer interface {
	Close(ctx context.Context) error
}

// CloseIdle closes this host's connection if it hasn't been used since t.
func (r *Relayer) CloseIdle(ctx context.Context, t time.Time) {
	u := r.lastUse.Load()
	if u == 0 || u > t.UnixNano() || !r.lastUse.CompareAndSwap(u, 0) {
		return
	}
	if c, ok := r.Local.(closer); ok {
		// The error is ignored because the connection is dropped either way.
		_ = c.Close(ctx)
	}
}
