// Package delegator leaves the lending of a backend server's connections to the entry host that owns its pool.
package delegator

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/pool/forwarder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// Candidates is how many entry hosts in order may serve a backend server's
// pool: the owner and its successors.
const Candidates = 3

// Owners tells who owns the pool of a backend server now.
type Owners interface {
	Owners(s assigner.Server, n int) assigner.Owners
}

// Peers borrows connections from other entry hosts, usually a forwarder.Forwarder.
type Peers interface {
	Lease(ctx context.Context, p forwarder.Pool, d lessor.Demand) (lessor.Lease, error)
	LeasePipelined(ctx context.Context, p forwarder.Pool, d lessor.Demand) (lessor.Lease, error)
}

// Delegator implements lessor.Lessor for one backend server. The exported
// fields are set before use.
type Delegator struct {
	// Self is this entry host's name.
	Self   string
	Server assigner.Server
	Owners Owners
	Peers  Peers
	// Pool is this host's pool, used while it owns the server or succeeds its owner.
	Pool Pool
	// Direct lends the few connections of a host that reaches no owner.
	Direct lessor.Lessor

	mu sync.Mutex
	// load is what the owner last told of its queue, at the given time.
	load gate.Load
	at   time.Time
}

// Pool lends connections of this host and tells of its queue.
type Pool interface {
	lessor.Lessor
	Load() gate.Load
}

var _ lessor.Lessor = (*Delegator)(nil)

// Lease implements lessor.Lessor. Owners that aren't available are passed over
// in order. A host that reaches none connects by itself, so that a zone that is
// cut off from the owner still serves what it can.
func (l *Delegator) Lease(ctx context.Context, d lessor.Demand) (lessor.Lease, error) {
	if h := l.Owner(); (!d.Write || d.Retryable) && h != "" && h != l.Self {
		return &starting{delegator: l, host: h, demand: d}, nil
	}
	return l.lease(ctx, d)
}

func (l *Delegator) lease(ctx context.Context, d lessor.Demand) (lessor.Lease, error) {
	o := l.Owners.Owners(l.Server, Candidates)
	if o.Count == 0 {
		// All hosts are leaving; each finishes its own callers' work.
		return l.Pool.Lease(ctx, d)
	}
	for _, h := range o.Hosts[:o.Count] {
		if h == l.Self {
			return l.Pool.Lease(ctx, d)
		}
		e, err := l.Peers.Lease(ctx, l.pool(h), d)
		if err == nil || ctx.Err() != nil || !errors.Is(err, forwarder.ErrUnavailable) {
			return e, err
		}
	}
	return l.Direct.Lease(ctx, d)
}

func (l *Delegator) pool(host string) forwarder.Pool {
	return forwarder.Pool{Host: host, DatabaseGroup: l.Server.DatabaseGroup, BackendServer: l.Server.Name, LoadRecorder: l}
}

// loadAge is how long the owner's word on its queue counts.
const loadAge = time.Second

// Load returns what waits and runs at the backend server, as far as this host
// knows. An old word is dropped but for the service time: a host that took a
// queue for long would never ask again, and so never learn that it is short.
func (l *Delegator) Load() gate.Load {
	if l.Owns() {
		return l.Pool.Load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.at) > loadAge {
		return gate.Load{Slots: l.load.Slots, ServiceTime: l.load.ServiceTime}
	}
	return l.load
}

// RecordLoad implements forwarder.LoadRecorder.
func (l *Delegator) RecordLoad(g gate.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.at = g, time.Now()
}

// Accepts reports whether other hosts may borrow from this host's pool: it is
// the owner, or one of those that follow it when the owner isn't reached.
func (l *Delegator) Accepts() bool {
	o := l.Owners.Owners(l.Server, Candidates)
	for _, h := range o.Hosts[:o.Count] {
		if h == l.Self {
			return true
		}
	}
	return false
}

// Owner returns the entry host that owns the pool, empty if none is live.
func (l *Delegator) Owner() string {
	return l.Owners.Owners(l.Server, 1).Hosts[0]
}

// Owns reports whether this host is the owner.
func (l *Delegator) Owns() bool {
	return l.Owner() == l.Self
}
