package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

const (
	// maximumDialing is how many connections are opened at a time. When a server comes back
	// after a failure, all entry hosts need new connections at once; if each of them opened its
	// whole pool, the server would be busy with logins.
	maximumDialing = 2
	// firstPause and maximumPause bound the pause before the next attempt after a failure. The
	// pause doubles with each failure; jitter shortens it by up to half.
	firstPause   = 20 * time.Millisecond
	maximumPause = time.Second
	// handoverTime is how long a refusal for the server's connection limit is treated as
	// temporary: a former pool owner closes its connections within it.
	handoverTime = 1500 * time.Millisecond
	// maximumHandoverPause bounds the pause within handoverTime. With doubled pauses only two
	// attempts would fall into its second half, and connections that the former owner has closed
	// would stay unused.
	maximumHandoverPause = 80 * time.Millisecond
)

// codeTooManyConnections is the SQLSTATE with which PostgreSQL refuses a connection above its
// limit.
const codeTooManyConnections = "53300"

// IsConnectionLimit reports whether the server refused a connection because its connection limit
// was reached.
func IsConnectionLimit(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Code == codeTooManyConnections
}

// failure describes the failed attempts to connect since the last success.
type failure struct {
	// err is the error of the last attempt, nil if it succeeded.
	err   error
	pause time.Duration
	// until is when the next attempt is due.
	until time.Time
	// since is when the first attempt failed.
	since time.Time
}

// current returns the last error until the next attempt is due, then nil.
func (f *failure) current(now time.Time) error {
	if f.err != nil && now.Before(f.until) {
		return f.err
	}
	return nil
}

// temporary reports whether the server refuses connections because of its limit and has done so
// for less than handoverTime.
func (f *failure) temporary(now time.Time) bool {
	return IsConnectionLimit(f.err) && now.Sub(f.since) < handoverTime
}

// record records a failed attempt. draw is a random number in [0, 1) for the jitter.
func (f *failure) record(err error, now time.Time, draw float64) {
	if f.err == nil {
		f.since = now
	}
	f.err = err
	f.pause = min(max(firstPause, 2*f.pause), maximumPause)
	if f.temporary(now) {
		f.pause = min(f.pause, maximumHandoverPause)
	}
	f.until = now.Add(f.pause/2 + time.Duration(draw*float64(f.pause/2)))
}

// EnsureOpen opens connections in the background until n are open, or Capacity if that is less,
// so that requests needn't wait for them.
func (k *Keeper) EnsureOpen(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n = min(n, k.Capacity())
	for k.open < n && k.mayDial() {
		k.dial()
	}
}

// grow opens connections for the waiters. The caller holds the mutex.
func (k *Keeper) grow() {
	for k.dialing < len(k.waiters) && k.open < k.Capacity() && k.mayDial() {
		k.dial()
	}
}

// mayDial reports whether another connection may be opened now. The caller holds the mutex.
func (k *Keeper) mayDial() bool {
	return !k.closed && k.dialing < maximumDialing && k.failure.current(time.Now()) == nil
}

// dial starts opening a connection. The caller holds the mutex.
func (k *Keeper) dial() {
	if k.ctx == nil {
		k.ctx, k.stop = context.WithCancel(context.Background())
	}
	k.open++
	k.dialing++
	go k.runDial(k.ctx)
}

// cancelDials cancels the connections being opened. The caller holds the mutex.
func (k *Keeper) cancelDials() {
	if k.ctx != nil {
		k.stop()
		k.ctx = nil
	}
}

// runDial opens one connection and puts it into the pool.
func (k *Keeper) runDial(ctx context.Context) {
	d, err := k.Opener.Open(ctx, k.Server.Address, k.Database)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dialing--
	if err != nil {
		k.open--
		k.dialFailed(ctx, err)
		return
	}
	k.opened.Add(1)
	k.failure = failure{}
	k.put(&Conn{
		Conn: d,
	})
	k.grow()
}

// dialFailed records a failed attempt. Waiters continue to wait if connections in use may be
// returned, or if another entry host is about to close its own; otherwise they fail at once. The
// caller holds the mutex.
func (k *Keeper) dialFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		k.grow()
		return
	}
	now := time.Now()
	k.failure.record(errors.Trace(err), now, rand.Float64())
	if k.open == k.dialing && !k.failure.temporary(now) {
		k.failWaiters(k.failure.unavailable(now))
		return
	}
	k.Clock.After(k.failure.pause, k.retry)
}

// retry opens connections for the remaining waiters when the pause after a failure is over.
func (k *Keeper) retry(time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.grow()
}
