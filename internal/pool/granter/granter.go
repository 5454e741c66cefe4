// Package granter leases connections from this entry host's pools to other entry hosts.
package granter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
)

// Pools finds the pool of a backend server.
type Pools interface {
	// Pool returns the pool of a backend server at this entry host, nil if this entry host isn't
	// among its owners.
	Pool(group, server string) lessor.Lessor
}

// Granter serves lease requests that other entry hosts forward. Pools is set before use.
type Granter struct {
	Pools Pools

	leaving atomic.Bool
	open    atomic.Int64
}

var _ listener.ForwardHandler = (*Granter)(nil)

// Leave makes the Granter refuse new leases; open ones continue.
func (g *Granter) Leave() { g.leaving.Store(true) }

// OpenLeases returns how many leases other entry hosts hold or wait for.
func (g *Granter) OpenLeases() int { return int(g.open.Load()) }

// HandleForward implements listener.ForwardHandler. It accepts the request before the request is
// queued, so that the forwarding host can distinguish a long queue from a failed host.
func (g *Granter) HandleForward(_ context.Context, f *listener.ForwardRequest) error {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.leaving.Load() {
		return &encoder.Refusal{Reason: encoder.ReasonLeaving}
	}
	p := g.Pools.Pool(f.DatabaseGroup, f.BackendServer)
	if p == nil {
		return &encoder.Refusal{Reason: encoder.ReasonNotOwner}
	}
	if err := f.Grant(encoder.Grant{}); err != nil {
		return err
	}
	s := &service{
		stream:         f.Stream,
		conn:           messenger.Conn{Stream: f.Stream},
		pool:           p,
		demand:         demand(&f.Forward),
		sendParameters: f.AskParameters,
		batchHeld:      f.BatchHeld,
	}
	return s.serve()
}

func demand(f *encoder.Forward) lessor.Demand {
	d := lessor.Demand{
		Session:  f.CancelKey,
		Request:  f.Request,
		Team:     f.Team,
		Write:    f.Write,
		Settings: messenger.DecodeSettings(f.Settings),
	}
	if f.Remaining > 0 {
		d.Deadline = time.Now().Add(f.Remaining)
	}
	return d
}
