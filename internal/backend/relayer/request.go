package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
)

// KindControl is the kind of a message that carries a Request. The answer is a controller.Status.
const KindControl encoder.Kind = "control"

// Call names a method of controller.Control.
type Call string

// Calls of controller.Control.
const (
	CallStatus    Call = "status"
	CallRaiseTerm Call = "raise-term"
	CallPromote   Call = "promote"
	CallFollow    Call = "follow"
)

// Request describes one control call.
type Request struct {
	DatabaseGroup string      `cbor:"1,keyasint"`
	BackendServer string      `cbor:"2,keyasint"`
	Call          Call        `cbor:"3,keyasint"`
	Term          marker.Term `cbor:"4,keyasint,omitempty"`
	// Primary and PrimaryAddress are the name and address of the server to follow.
	Primary        string `cbor:"5,keyasint,omitempty"`
	PrimaryAddress string `cbor:"6,keyasint,omitempty"`
	// Remaining is the time until the forwarding host gives up.
	Remaining time.Duration `cbor:"7,keyasint,omitempty"`
}

// Dialer implements Peers.
type Dialer struct {
	Dialer *dialer.Dialer

	mu sync.Mutex
	// connecting holds the hosts to which a connection is being opened.
	connecting map[string]bool
}

// connectTimeout bounds an attempt to connect that no call waits for.
const connectTimeout = 2 * time.Second

// EnsureConnection implements Peers.
func (d *Dialer) EnsureConnection(host string) bool {
	if d.Dialer.Links.Find(host) != nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connecting == nil {
		d.connecting = make(map[string]bool)
	}
	if !d.connecting[host] {
		d.connecting[host] = true
		go d.connect(host)
	}
	return false
}

// connect opens a connection to host by sending a probe.
func (d *Dialer) connect(host string) {
	x, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	// The error is ignored: the next EnsureConnection finds no connection.
	_ = d.Dialer.Send(x, host, dialer.KindProbe, struct{}{})
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.connecting, host)
}

// Control implements Peers. An error is controller.ErrRefused if no server accepts connections at
// the backend server's address.
func (d *Dialer) Control(ctx context.Context, host string, q Request) (controller.Status, error) {
	s, err := dialer.Call[Request, controller.Status](ctx, d.Dialer, host, KindControl, q)
	if errors.Is(err, dialer.ErrBackoff) || errors.Is(err, dialer.ErrUnknownHost) {
		err = errors.WithType(err, ErrNotSent)
	}
	var f *encoder.Refusal
	if errors.As(err, &f) && f.Reason == encoder.ReasonNotRunning {
		err = errors.WithType(err, controller.ErrRefused)
	}
	return s, err
}

// Server serves the control calls of other entry hosts.
type Server struct {
	// Find returns the relayer of a backend server, nil if this host has none.
	Find func(group, server string) *Relayer
}

// Route returns the route for control calls.
func (s *Server) Route() listener.Route {
	return listener.Handle(KindControl, s.handle)
}

// callTimeout returns the timeout of the call to the backend server, defaultTimeout if the
// remaining time is unknown (zero). A fifth of the remaining time is reserved for the answer to the
// forwarding host, so that it can distinguish a backend server that doesn't respond from a pool
// owner that doesn't.
func callTimeout(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return defaultTimeout
	}
	return remaining - remaining/5
}

// refusalReason distinguishes a server that has ended from one that doesn't respond.
func refusalReason(err error) encoder.Reason {
	if errors.Is(err, controller.ErrRefused) {
		return encoder.ReasonNotRunning
	}
	return encoder.ReasonUnreachable
}

func (s *Server) handle(ctx context.Context, _ encoder.Sender, q Request) (controller.Status, error) {
	r := s.Find(q.DatabaseGroup, q.BackendServer)
	if r == nil {
		return controller.Status{}, &encoder.Refusal{Reason: encoder.ReasonNotOwner}
	}
	x, cancel := context.WithTimeout(ctx, callTimeout(q.Remaining))
	defer cancel()
	v, err := r.CallDirectly(x, q)
	if err != nil {
		return v, &encoder.Refusal{Reason: refusalReason(err), Detail: err.Error()}
	}
	return v, nil
}
