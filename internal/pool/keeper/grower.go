package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

const (
	// maximumDialing is how many connections are opened at a time. When a server
	// comes back, all entry hosts miss their connections at once; each of them
	// opening its whole pool would keep the server busy with logins.
	maximumDialing = 2
	// firstPause and maximumPause bound the time without attempts after a
	// failure, which doubles with each one and is drawn from its upper half.
	firstPause   = 20 * time.Millisecond
	maximumPause = time.Second
	// yieldTime is how long the server's limit on connections is taken for a
	// passing matter: a former pool owner gives its connections up within it.
	yieldTime = 1500 * time.Millisecond
	// yieldPause bounds the pause within yieldTime. The doubled pauses would leave
	// two attempts to its second half, and connections that are given up unused.
	yieldPause = 80 * time.Millisecond
)

// codeTooManyConnections is the SQLSTATE of a connection that the server's limit refuses.
const codeTooManyConnections = "53300"

// IsConnectionLimit reports whether a connection was refused for the server's limit.
func IsConnectionLimit(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Code == codeTooManyConnections
}

// failure is what is known of the attempts to connect that have failed since
// the last success.
type failure struct {
	err   error
	pause time.Duration
	until time.Time
	// since is when the first attempt failed.
	since time.Time
}

// present returns the last error while no new attempt is due.
func (f *failure) present(now time.Time) error {
	if f.err != nil && now.Before(f.until) {
		return f.err
	}
	return nil
}

// passing reports whether the server refuses for its limit, and not yet for long.
func (f *failure) passing(now time.Time) bool {
	return IsConnectionLimit(f.err) && now.Sub(f.since) < yieldTime
}

// add notes a failure; draw is a random number below one.
func (f *failure) add(err error, now time.Time, draw float64) {
	if f.err == nil {
		f.since = now
	}
	f.err = err
	f.pause = min(max(firstPause, 2*f.pause), maximumPause)
	if f.passing(now) {
		f.pause = min(f.pause, yieldPause)
	}
	f.until = now.Add(f.pause/2 + time.Duration(draw*float64(f.pause/2)))
}

// EnsureOpen opens connections until n are open, within the limit, before requests
// have to wait for them.
func (k *Keeper) EnsureOpen(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n = min(n, k.Capacity())
	for k.open < n && k.mayDial() {
		k.dial()
	}
}

// grow opens connections for the waiters. The mutex is held.
func (k *Keeper) grow() {
	for k.dialing < len(k.waiters) && k.open < k.Capacity() && k.mayDial() {
		k.dial()
	}
}

func (k *Keeper) mayDial() bool {
	return !k.closed && k.dialing < maximumDialing && k.failure.present(time.Now()) == nil
}

func (k *Keeper) dial() {
	if k.ctx == nil {
		k.ctx, k.stop = context.WithCancel(context.Background())
	}
	k.open++
	k.dialing++
	go k.runDial(k.ctx)
}

// end gives up the connections being opened. The mutex is held.
func (k *Keeper) end() {
	if k.ctx != nil {
		k.stop()
		k.ctx = nil
	}
}

// runDial opens one connection.
func (k *Keeper) runDial(ctx context.Context) {
	d, err := k.Opener.Open(ctx, k.Server.Address, k.Database)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dialing--
	if err != nil {
		k.open--
		k.refused(ctx, err)
		return
	}
	k.opened.Add(1)
	k.failure = failure{}
	k.put(&Conn{
		Conn: d,
	})
	k.grow()
}

// refused notes a failed attempt. Waiters go on waiting if connections in use
// may come back to them, or if another entry host is about to give up its own,
// else they are told at once. The mutex is held.
func (k *Keeper) refused(ctx context.Context, err error) {
	if ctx.Err() != nil {
		k.grow()
		return
	}
	now := time.Now()
	k.failure.add(errors.Trace(err), now, rand.Float64())
	if k.open == k.dialing && !k.failure.passing(now) {
		k.fail(k.failure.unavailable(now))
		return
	}
	k.Clock.After(k.failure.pause, k.retry)
}

// retry opens connections for those who still wait after a failure.
func (k *Keeper) retry(time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.grow()
}
