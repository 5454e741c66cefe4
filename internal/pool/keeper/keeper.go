// Package keeper implements the pool of connections to one backend server.
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
	// ErrClosed is returned by Acquire after Close.
	ErrClosed = errors.ConstError("pool closed")
	// defaultReserved is the number of connections left to probes and fencing if the
	// configuration declares none.
	defaultReserved = 3
)

// Conn is a pooled connection, owned by one request or transaction at a time.
type Conn struct {
	*dialer.Conn
	// Replay tracks the session settings and prepared statements at the server.
	Replay replayer.Connection
	// FinishCancel, if set, waits until a cancel request that was sent for this connection can't
	// affect a later query. It must succeed before the connection is used again.
	FinishCancel func(ctx context.Context) error
	// Numbered counts the requests with a number that were sent. It tells the answer to one of them
	// from that to an earlier one, and wraps around.
	Numbered uint8
	// LastUsed is when the connection was last released, zero if never.
	LastUsed time.Time
}

// Opener opens connections, usually a dialer.Dialer.
type Opener interface {
	Open(ctx context.Context, address, database string) (*dialer.Conn, error)
}

// Keeper is a pool of connections to one backend server. The exported fields are set before use.
//
// Its size is bounded by the backend server's connection limit less the reserved connections,
// which belong to probes and fencing.
type Keeper struct {
	Server   declarer.BackendServer
	Database string
	Opener   Opener
	// Clock schedules retries; if nil, each one uses a timer of its own.
	Clock *scheduler.Scheduler
	Log   log.Interface

	mu sync.Mutex
	// idle holds the idle connections, least recently used first.
	idle []*Conn
	// open counts all connections, including those being opened.
	open int
	// dialing counts the connections being opened.
	dialing int
	waiters []chan result
	closed  bool
	failure failure
	opened  atomic.Uint64
	// ctx is that of the connections being opened; stop cancels it.
	ctx  context.Context
	stop context.CancelFunc
}

// result is what a waiter receives: a connection or an error.
type result struct {
	conn *Conn
	err  error
}

// Opened returns the total number of connections opened so far.
func (k *Keeper) Opened() uint64 {
	return k.opened.Load()
}

// OpenConnections returns how many connections are open or being opened.
func (k *Keeper) OpenConnections() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open
}

// Count is the number of connections by state.
type Count struct {
	Idle, Working, Opening int
}

// Count returns the current number of connections by state.
func (k *Keeper) Count() Count {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Count{Idle: len(k.idle), Working: k.open - k.dialing - len(k.idle), Opening: k.dialing}
}

// Capacity returns the maximum number of connections that requests may use, at least one.
func (k *Keeper) Capacity() int {
	r := k.Server.ReservedConnections
	if r == 0 {
		r = defaultReserved
	}
	return max(1, k.Server.Connections-r)
}

// TryAcquire returns an idle connection without waiting, nil if there is none.
func (k *Keeper) TryAcquire() *Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.takeIdle()
}

// Acquire returns an idle connection or waits until one is released or opened.
func (k *Keeper) Acquire(ctx context.Context) (*Conn, error) {
	c, w, err := k.takeOrEnqueue()
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

// Release returns a connection to the pool, or closes it if it isn't clean.
//
// A connection is clean only if its last response was read up to a ReadyForQuery outside a
// transaction.
func (k *Keeper) Release(c *Conn, clean bool) {
	c.LastUsed = time.Now()
	if !clean {
		k.discard(c)
		return
	}
	if c.FinishCancel != nil {
		go k.finishCancel(c)
		return
	}
	k.returnConn(c)
}

// CloseIdle closes all idle connections, for example after one stopped responding or the server
// restarted, and returns the process IDs of their sessions at the server.
func (k *Keeper) CloseIdle() []uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	var l []uint32
	for _, c := range k.idle {
		l = append(l, c.ProcessID)
	}
	k.closeIdle()
	return l
}

// closeIdle closes all idle connections. The caller holds the mutex.
func (k *Keeper) closeIdle() {
	for _, c := range k.idle {
		c.Close()
	}
	k.open -= len(k.idle)
	k.idle = nil
}

// Interrupt fails all waiters with cause and cancels the connections being opened. It is called
// when the server stops responding: otherwise requests would wait until the attempts to connect
// time out, although another server may be able to serve them sooner. Idle connections are kept,
// since the server may recover; each is checked before it is used.
func (k *Keeper) Interrupt(cause error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancelDials()
	k.failWaiters(cause)
}

// Close closes the idle connections and fails all waiters and later calls of Acquire with
// ErrClosed. Connections in use are closed when they are released.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.cancelDials()
	k.closeIdle()
	k.failWaiters(ErrClosed)
}

// failWaiters fails all waiters with err. The caller holds the mutex.
func (k *Keeper) failWaiters(err error) {
	for _, w := range k.waiters {
		w <- result{err: err}
	}
	k.waiters = nil
}

// takeIdle returns the most recently used idle connection that is still open, nil if there is
// none, and closes those that aren't. The caller holds the mutex.
func (k *Keeper) takeIdle() *Conn {
	for n := len(k.idle); n > 0 && !k.closed; n-- {
		c := k.idle[n-1]
		k.idle = k.idle[:n-1]
		if c.Quiet() {
			return c
		}
		c.Close()
		k.open--
	}
	return nil
}

// takeOrEnqueue returns an idle connection, or else the channel of a new waiter.
func (k *Keeper) takeOrEnqueue() (*Conn, chan result, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, nil, ErrClosed
	}
	if c := k.takeIdle(); c != nil {
		return c, nil, nil
	}
	now := time.Now()
	if k.failure.current(now) != nil && k.open == 0 && !k.failure.temporary(now) {
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
		k.cancelWait(w)
		return nil, ctx.Err()
	}
}

// cancelWait removes a waiter. A connection that it has already been given is passed on.
func (k *Keeper) cancelWait(w chan result) {
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

// put gives a connection to the first waiter, or adds it to the idle ones. The caller holds the
// mutex.
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

// returnConn gives a connection to the next user, or closes it if more has been received than the
// answers to its last user, because the next one would get the rest.
func (k *Keeper) returnConn(c *Conn) {
	if c.hasBuffered() {
		if k.Log != nil {
			k.Log.WithField("step", "return connection").WithField("peer", k.Server.Name).Warn("connection discarded: the server sent more than its answers")
		}
		k.discard(c)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.put(c)
}

// discard closes a connection and opens a new one in its place if there are waiters.
func (k *Keeper) discard(c *Conn) {
	c.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open--
	k.grow()
}

// finishCancel returns a connection to the pool once its pending cancel request is finished, and
// discards it if that fails.
func (k *Keeper) finishCancel(c *Conn) {
	if err := c.FinishCancel(context.Background()); err != nil {
		k.Log.WithError(err).WithField("step", "settle").WithField("peer", k.Server.Name).Warn("connection discarded")
		k.discard(c)
		return
	}
	c.FinishCancel = nil
	k.returnConn(c)
}
