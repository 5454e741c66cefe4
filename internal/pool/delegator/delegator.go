// Package delegator obtains leases of a backend server's connections from the entry host that owns its pool.
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

// Candidates is how many entry hosts may serve a backend server's pool: the owner and, in order, its
// successors.
const Candidates = 3

// Owners determines the current owners of pools.
type Owners interface {
	// Owners returns the owner of the pool of s and its successors, n hosts at most.
	Owners(s assigner.Server, n int) assigner.Owners
}

// Peers leases connections from other entry hosts. It is usually a forwarder.Forwarder.
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
	// Pool is this host's pool, used while this host is the owner or takes over as a successor.
	Pool Pool
	// Direct lends the few connections that this host opens itself when it reaches no owner.
	Direct lessor.Lessor

	mu sync.Mutex
	// load is what the owner last reported, and loadAt when it did.
	load   gate.Load
	loadAt time.Time
}

// Pool lends connections of this host and reports its load.
type Pool interface {
	lessor.Lessor
	Load() gate.Load
}

var _ lessor.Lessor = (*Delegator)(nil)

// Lease implements lessor.Lessor. Owners that are unavailable are skipped, in order. A host that
// reaches none opens connections itself, so that an availability zone that is partitioned from the
// owner still serves what it can.
func (l *Delegator) Lease(ctx context.Context, d lessor.Demand) (lessor.Lease, error) {
	if h := l.Owner(); (!d.Write || d.Retryable) && h != "" && h != l.Self {
		return &pipelinedLease{delegator: l, host: h, demand: d}, nil
	}
	return l.lease(ctx, d)
}

// lease returns a lease once a connection is granted or about to be.
func (l *Delegator) lease(ctx context.Context, d lessor.Demand) (lessor.Lease, error) {
	o := l.Owners.Owners(l.Server, Candidates)
	if o.Count == 0 {
		// All hosts are shutting down, and each one completes its own callers' requests.
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

// pool identifies the server's pool at host.
func (l *Delegator) pool(host string) forwarder.Pool {
	return forwarder.Pool{Host: host, DatabaseGroup: l.Server.DatabaseGroup, BackendServer: l.Server.Name, LoadRecorder: l}
}

// maximumLoadAge is how long the load that the owner reported is used.
const maximumLoadAge = time.Second

// Load returns the load of the backend server's pool as this host last received it. Of a load older
// than maximumLoadAge only the slots and the service time are returned: a host that assumed a long
// queue would send the owner no more requests, and so never receive a smaller load.
func (l *Delegator) Load() gate.Load {
	if l.Owns() {
		return l.Pool.Load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.loadAt) > maximumLoadAge {
		return gate.Load{Slots: l.load.Slots, ServiceTime: l.load.ServiceTime}
	}
	return l.load
}

// RecordLoad implements forwarder.LoadRecorder.
func (l *Delegator) RecordLoad(g gate.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.loadAt = g, time.Now()
}

// Accepts reports whether other hosts may lease connections from this host's pool, because this host
// is the owner or one of the successors that are used when the owner can't be reached.
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
