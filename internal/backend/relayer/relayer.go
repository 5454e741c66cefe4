// Package relayer makes the control calls of a backend server through the entry host that owns its pool.
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
	// opinions is how many entry hosts are asked before a call goes direct: the
	// owner and its successor.
	opinions = 2
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = time.Second
	// A host that left a call without an answer is passed over for this long.
	// It may merely be busy, and there are few connections for direct calls, so
	// it is asked again soon.
	firstPause   = 100 * time.Millisecond
	maximumPause = time.Second
)

// Owners tells who owns the pool of a backend server now.
type Owners interface {
	Owners(s assigner.Server, n int) assigner.Owners
}

// Peers makes a call at another entry host.
type Peers interface {
	Control(ctx context.Context, host string, q Request) (controller.Status, error)
	// EnsureConnection reports whether there is a connection to host. If there is none it
	// sees to one without waiting.
	EnsureConnection(host string) bool
}

// Relayer implements controller.Control for one backend server, so that only
// its owner and successor hold a reserved connection to it. The exported fields
// are set before use.
type Relayer struct {
	// Self is this entry host's name.
	Self   string
	Server assigner.Server
	Owners Owners
	Peers  Peers
	// Avoided, if set, reports whether a host failed to answer a moment ago.
	Avoided func(host string, now time.Time) bool
	// Local calls the server over a connection of this host.
	Local controller.Control

	once sync.Once
	// silent holds the hosts that left a call without an answer.
	silent avoider.Avoider
	// used is when Local last was, in nanoseconds since 1970.
	used atomic.Int64
}

var _ controller.Control = (*Relayer)(nil)

// Status implements controller.Control. The poll that answers it starts at the
// owner after the request has arrived there.
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

// call asks the owner and then its successor. An owner that can't be reached
// says nothing about the backend server, so the call goes direct then; where an
// owner that was reached couldn't reach the server, its error counts.
//
// A host that takes up all the time without an answer is avoided by the next
// calls. Each call leaves one host its full time: with a share of it, a server
// that is merely busy would look lost.
func (r *Relayer) call(ctx context.Context, q Request) (controller.Status, error) {
	r.once.Do(r.prepare)
	q.DatabaseGroup, q.BackendServer = r.Server.DatabaseGroup, r.Server.Name
	x, cancel := bounded(ctx)
	defer cancel()
	total := remaining(x)
	o := r.Owners.Owners(r.Server, opinions)
	var opinion error
	for _, h := range o.Hosts[:o.Count] {
		if opinion != nil && remaining(x) < total/2 {
			break
		}
		if r.avoided(h) {
			continue
		}
		s, err := r.ask(x, h, q)
		if err == nil {
			return s, nil
		}
		if reached(h == r.Self, err) {
			opinion = err
		}
		if x.Err() != nil || q.Call != CallStatus && !unheard(err) {
			return s, err
		}
	}
	if opinion != nil {
		return controller.Status{}, opinion
	}
	return r.CallDirectly(x, q)
}

func (r *Relayer) prepare() {
	r.silent.FirstPause, r.silent.MaximumPause = firstPause, maximumPause
}

// bounded returns ctx with a deadline.
func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

func remaining(ctx context.Context) time.Duration {
	t, _ := ctx.Deadline()
	return time.Until(t)
}

// avoided reports whether host is passed over. Of the calls after a pause one
// tries the host again, once there is a connection to it: calls that waited for
// one would keep a host that is cut off from its own way to the server.
func (r *Relayer) avoided(host string) bool {
	if host == r.Self {
		return false
	}
	if r.silent.Suspect(host) && !r.Peers.EnsureConnection(host) {
		return true
	}
	n := time.Now()
	return r.Avoided != nil && r.Avoided(host, n) || !r.silent.Admit(host, n)
}

// ask asks one host and notes whether it answered.
func (r *Relayer) ask(ctx context.Context, host string, q Request) (controller.Status, error) {
	if host == r.Self {
		return r.CallDirectly(ctx, q)
	}
	q.Remaining = remaining(ctx)
	s, err := r.Peers.Control(ctx, host, q)
	var f *encoder.Refusal
	if err == nil || errors.As(err, &f) {
		r.silent.RecordAnswer(host)
	} else {
		r.silent.RecordFailure(host, time.Now())
	}
	return s, err
}

// reached reports whether err is the word of a host that tried the call.
func reached(self bool, err error) bool {
	var f *encoder.Refusal
	return self || errors.As(err, &f) && tried(f)
}

// tried reports whether f is about the backend server and not about the host.
func tried(f *encoder.Refusal) bool {
	return f.Reason == encoder.ReasonUnreachable || f.Reason == encoder.ReasonNotRunning
}

// unheard reports whether err shows that the call wasn't tried. A command whose
// answer was lost may have taken effect; its caller decides by the status.
func unheard(err error) bool {
	var f *encoder.Refusal
	if errors.As(err, &f) {
		return !tried(f) && f.Reason != encoder.ReasonFault
	}
	return errors.Is(err, ErrNotSent)
}

// ErrNotSent says that the other host didn't get the call.
const ErrNotSent = errors.ConstError("entry host not asked")

// CallDirectly makes the call over this host's own connection.
func (r *Relayer) CallDirectly(ctx context.Context, q Request) (controller.Status, error) {
	r.used.Store(time.Now().UnixNano())
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

// closer is a control side that holds a connection.
type closer interface {
	Close(ctx context.Context) error
}

// CloseIdle closes this host's connection where it wasn't used since t.
func (r *Relayer) CloseIdle(ctx context.Context, t time.Time) {
	u := r.used.Load()
	if u == 0 || u > t.UnixNano() || !r.used.CompareAndSwap(u, 0) {
		return
	}
	if c, ok := r.Local.(closer); ok {
		// The connection is given up either way.
		_ = c.Close(ctx)
	}
}
