// Package keeper keeps the pooled connections to one backend server.
package keeper

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
)

const (
	// ErrClosed is returned after Close.
	ErrClosed = errors.ConstError("pool closed")
	// defaultReserved connections are left for control when none are declared.
	defaultReserved = 3
)

// Conn is a pooled connection, owned by one request or transaction at a time.
type Conn struct {
	*dialer.Conn
	// Replay knows the settings and prepared statements at the server.
	Replay replayer.Connection
	// FinishCancel, if set, must succeed before the connection is used again.
	FinishCancel func(ctx context.Context) error
	// LastUsed is when the connection was last used.
	LastUsed time.Time
}

// Opener opens connections, usually a dialer.Dialer.
type Opener interface {
	Open(ctx context.Context, address, database string) (*dialer.Conn, error)
}

// Keeper hands out connections to one backend server.
//
// The backend server's own limit on connections decides; the keeper stays
// below it by the reserved ones, which belong to probes and fencing.
type Keeper struct {
	Server   declarer.BackendServer
	Database string
	Opener   Opener
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
	Log   log.Interface

	mu      sync.Mutex
	idle    []*Conn
	open    int
	dialing int
	waiters []chan result
	closed  bool
	failure failure
	opened  atomic.Uint64
	ctx     context.Context
	stop    context.CancelFunc
}

// result is what a waiter gets.
type result struct {
	conn *Conn
	err  error
}

// Opened returns how many connections were opened in all.
func (k *Keeper) Opened() uint64 {
	return k.opened.Load()
}

// OpenConnections returns how many connections are open now.
func (k *Keeper) OpenConnections() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open
}

// Count is how many connections there are by state.
type Count struct {
	Idle, Working, Opening int
}

// Count returns the present count.
func (k *Keeper) Count() Count {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Count{Idle: len(k.idle), Working: k.open - k.dialing - len(k.idle), Opening: k.dialing}
}

// Capacity returns how many connections requests may use.
func (k *Keeper) Capacity() int {
	r := k.Server.ReservedConnections
	if r == 0 {
		r = defaultReserved
	}
	return max(1, k.Server.Connections-r)
}

// TryAcquire returns an idle connection, nil if there is none.
func (k *Keeper) TryAcquire() *Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.take()
}

// Acquire returns an idle connection or waits for one, be it given back or new.
func (k *Keeper) Acquire(ctx context.Context) (*Conn, error) {
	c, w, err := k.enlist()
	if err != nil {
		return nil, errors.Annotatef(err, "acquire connection to backend server %s", k.Server.Name)
	}
	if c == nil {
		c, err = k.wait(ctx, w)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "wait for connection to backend server %s", k.Server.Name)
	}
	return c, nil
}

// Release gives a connection back; one that isn't clean is closed.
//
// A connection is clean only if its last answer was read to a ReadyForQuery
// outside a transaction.
func (k *Keeper) Release(c *Conn, clean bool) {
	c.LastUsed = time.Now()
	if !clean {
		k.discard(c)
		return
	}
	if c.FinishCancel != nil {
		go k.runSettle(c)
		return
	}
	k.giveBack(c)
}

// CloseIdle closes all idle connections, for instance after one has gone silent
// or the server has restarted, and returns their process ids.
func (k *Keeper) CloseIdle() []uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	var l []uint32
	for _, c := range k.idle {
		l = append(l, c.ProcessID)
	}
	k.retire()
	return l
}

func (k *Keeper) retire() {
	for _, c := range k.idle {
		c.Close()
	}
	k.open -= len(k.idle)
	k.idle = nil
}

// Interrupt fails all who wait for a connection and gives up those being
// opened. It is called when the server stops answering: without it, requests
// would wait until their attempts to connect time out although another server
// may serve them by then. Idle connections are kept, as the silence may pass;
// each is looked at before it is used.
func (k *Keeper) Interrupt(cause error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end()
	k.fail(cause)
}

// Close closes the idle connections and refuses further use.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.end()
	k.retire()
	k.fail(ErrClosed)
}

// fail gives err to all waiters. The mutex is held.
func (k *Keeper) fail(err error) {
	for _, w := range k.waiters {
		w <- result{err: err}
	}
	k.waiters = nil
}

// take returns an idle connection that is still open, nil if there is none. The
// mutex is held.
func (k *Keeper) take() *Conn {
	for n := len(k.idle); n > 0 && !k.closed; n-- {
		c := k.idle[n-1]
		k.idle = k.idle[:n-1]
		if alive(c.Conn.Conn) {
			return c
		}
		c.Close()
		k.open--
	}
	return nil
}

func (k *Keeper) enlist() (*Conn, chan result, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, nil, ErrClosed
	}
	if c := k.take(); c != nil {
		return c, nil, nil
	}
	now := time.Now()
	if k.failure.present(now) != nil && k.open == 0 && !k.failure.passing(now) {
		return nil, nil, k.failure.unavailable(now)
	}
	w := make(chan result, 1)
	k.waiters = append(k.waiters, w)
	k.grow()
	return nil, w, nil
}

func (k *Keeper) wait(ctx context.Context, w chan result) (*Conn, error) {
	select {
	case r := <-w:
		return r.conn, r.err
	case <-ctx.Done():
		k.leave(w)
		return nil, ctx.Err()
	}
}

// leave removes a waiter and passes on what it was given meanwhile.
func (k *Keeper) leave(w chan result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i := slices.Index(k.waiters, w); i >= 0 {
		k.waiters = slices.Delete(k.waiters, i, i+1)
		return
	}
	if r := <-w; r.conn != nil {
		k.put(r.conn)
	}
}

// put gives a connection to the next waiter. The mutex is held.
func (k *Keeper) put(c *Conn) {
	switch {
	case k.closed:
		c.Close()
		k.open--
	case len(k.waiters) > 0:
		w := k.waiters[0]
		k.waiters = k.waiters[1:]
		w <- result{conn: c}
	default:
		k.idle = append(k.idle, c)
	}
}

func (k *Keeper) giveBack(c *Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.put(c)
}

// discard closes a connection; waiters get a new one in its place.
func (k *Keeper) discard(c *Conn) {
	c.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open--
	k.grow()
}

// runSettle settles a cancelled connection before it is used again.
func (k *Keeper) runSettle(c *Conn) {
	if err := c.FinishCancel(context.Background()); err != nil {
		k.Log.WithError(err).WithField("step", "settle").WithField("peer", k.Server.Name).Warn("connection discarded")
		k.discard(c)
		return
	}
	c.FinishCancel = nil
	k.giveBack(c)
}
