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

// KindControl is the message that carries a Request; a controller.Status answers it.
const KindControl encoder.Kind = "control"

// Call names a method of controller.Control.
type Call string

// Calls.
const (
	CallStatus    Call = "status"
	CallRaiseTerm Call = "raise-term"
	CallPromote   Call = "promote"
	CallFollow    Call = "follow"
)

// Request is one control call.
type Request struct {
	DatabaseGroup string      `cbor:"1,keyasint"`
	BackendServer string      `cbor:"2,keyasint"`
	Call          Call        `cbor:"3,keyasint"`
	Term          marker.Term `cbor:"4,keyasint,omitempty"`
	// Primary and PrimaryAddress name the server to follow.
	Primary        string `cbor:"5,keyasint,omitempty"`
	PrimaryAddress string `cbor:"6,keyasint,omitempty"`
	// Remaining is the time until the asking host gives up.
	Remaining time.Duration `cbor:"7,keyasint,omitempty"`
}

// Dialer implements Peers.
type Dialer struct {
	Dialer *dialer.Dialer

	mu      sync.Mutex
	dialing map[string]bool
}

// reachTimeout bounds an attempt to connect that no call waits for.
const reachTimeout = 2 * time.Second

// EnsureConnection implements Peers.
func (d *Dialer) EnsureConnection(host string) bool {
	if d.Dialer.Links.Find(host) != nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dialing == nil {
		d.dialing = make(map[string]bool)
	}
	if !d.dialing[host] {
		d.dialing[host] = true
		go d.runDial(host)
	}
	return false
}

// runDial connects to host. What it sends asks for nothing.
func (d *Dialer) runDial(host string) {
	x, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	// A failure shows in the next EnsureConnection.
	_ = d.Dialer.Send(x, host, dialer.KindProbe, struct{}{})
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.dialing, host)
}

// Control implements Peers.
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

// Server answers the calls of other entry hosts.
type Server struct {
	// Find returns the relayer of a backend server, nil if this host serves none.
	Find func(group, server string) *Relayer
}

// Route returns the listener's route for control calls.
func (s *Server) Route() listener.Route {
	return listener.Handle(KindControl, s.serve)
}

// served is the time to call the backend server in. It leaves a fifth for the
// way back: a backend server that doesn't answer must not look like an owner
// that doesn't.
func served(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return defaultTimeout
	}
	return remaining - remaining/5
}

// reason tells a server that has ended from one that doesn't answer.
func reason(err error) encoder.Reason {
	if errors.Is(err, controller.ErrRefused) {
		return encoder.ReasonNotRunning
	}
	return encoder.ReasonUnreachable
}

func (s *Server) serve(ctx context.Context, _ encoder.Sender, q Request) (controller.Status, error) {
	r := s.Find(q.DatabaseGroup, q.BackendServer)
	if r == nil {
		return controller.Status{}, &encoder.Refusal{Reason: encoder.ReasonNotOwner}
	}
	x, cancel := context.WithTimeout(ctx, served(q.Remaining))
	defer cancel()
	v, err := r.CallDirectly(x, q)
	if err != nil {
		return v, &encoder.Refusal{Reason: reason(err), Detail: err.Error()}
	}
	return v, nil
}
