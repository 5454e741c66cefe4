package keeper

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

var errRefused = errors.New("connection refused")

// opener opens connections after dialTime, or fails with err, and counts the attempts.
type opener struct {
	dialTime time.Duration

	mu          sync.Mutex
	err         error
	dials       int
	dialing     int
	peakDialing int
}

func (o *opener) Open(ctx context.Context, _, _ string) (*dialer.Conn, error) {
	o.mu.Lock()
	o.dials++
	o.dialing++
	o.peakDialing = max(o.peakDialing, o.dialing)
	err := o.err
	o.mu.Unlock()
	defer o.endDial()
	select {
	case <-time.After(o.dialTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return &dialer.Conn{Conn: c}, nil
}

func (o *opener) endDial() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dialing--
}

func (o *opener) setError(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = err
}

func newKeeper(o *opener) *Keeper {
	return &Keeper{Server: declarer.BackendServer{Name: "a", Connections: 16}, Opener: o}
}

// acquire acquires n connections concurrently and returns the connections and errors.
func acquire(ctx context.Context, k *Keeper, n int) (conns []*Conn, errs []error) {
	var w sync.WaitGroup
	var mu sync.Mutex
	for range n {
		w.Go(func() {
			c, err := k.Acquire(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
				return
			}
			conns = append(conns, c)
		})
	}
	w.Wait()
	return conns, errs
}

// checkRetryAfter fails the test unless err carries a positive RetryAfter of at most
// maximumPause.
func checkRetryAfter(t *testing.T, err error) {
	t.Helper()
	var u *Unavailable
	if !errors.As(err, &u) || u.RetryAfter <= 0 || u.RetryAfter > maximumPause {
		t.Errorf("no valid RetryAfter in %+v of error %v", u, err)
	}
}

// Guards against a login storm: when a server comes back after a failure, many requests need a
// connection at once. If each of them opened its own, the server would be busy with logins.
func TestConcurrentDialsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{dialTime: 20 * time.Millisecond}
		k := newKeeper(o)
		conns, errs := acquire(t.Context(), k, k.Capacity())
		if len(errs) > 0 || len(conns) != k.Capacity() {
			t.Errorf("%d connections, errors %v", len(conns), errs)
		}
		if o.peakDialing != maximumDialing || k.OpenConnections() != k.Capacity() {
			t.Errorf("%d concurrent dials, %d connections open", o.peakDialing, k.OpenConnections())
		}
		k.Close()
	})
}

// Guards against retry storms and long waits when a server refuses connections: requests must
// fail at once, so that another server can serve them, and must not each cause a new attempt.
func TestFailurePausesDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{dialTime: time.Millisecond, err: errRefused}
		k := newKeeper(o)
		for range 100 {
			_, errs := acquire(t.Context(), k, 10)
			if len(errs) != 10 || !errors.Is(errs[0], errRefused) {
				t.Fatalf("errors %v", errs)
			}
			for _, err := range errs {
				checkRetryAfter(t, err)
			}
		}
		if o.dials > 2*maximumDialing {
			t.Errorf("%d dials to a server that refuses connections", o.dials)
		}
		o.setError(nil)
		time.Sleep(maximumPause)
		if _, errs := acquire(t.Context(), k, 1); errs != nil {
			t.Errorf("after the pause: %v", errs)
		}
		k.Close()
	})
}

// Guards against waits for the whole connect timeout: a server stops responding while connections
// to it are being opened, and the group has a new primary long before the timeout.
func TestInterruptFreesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(&opener{dialTime: time.Hour})
		time.AfterFunc(time.Second, func() { k.Interrupt(errRefused) })
		conns, errs := acquire(t.Context(), k, 3)
		if len(conns) != 0 || len(errs) != 3 || !errors.Is(errs[0], errRefused) {
			t.Errorf("%d connections, errors %v", len(conns), errs)
		}
		synctest.Wait()
		if k.OpenConnections() != 0 {
			t.Errorf("%d connections counted as open", k.OpenConnections())
		}
		k.Close()
	})
}

// Guards against a leaked connection: a waiter is cancelled just as a connection is released to
// it. The connection must go to the next waiter, or the pool stays one connection short.
func TestCancelledWaitLosesNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(&opener{dialTime: time.Millisecond})
		k.Server.Connections = defaultReserved + 1
		c, err := k.Acquire(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			x, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			time.AfterFunc(5*time.Millisecond, func() { k.Release(c, true) })
			conns, _ := acquire(x, k, 2)
			cancel()
			for _, g := range conns {
				k.Release(g, true)
			}
			if c, err = k.Acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if k.OpenConnections() != 1 {
			t.Errorf("%d connections open, want 1", k.OpenConnections())
		}
		k.Close()
	})
}

func TestEnsureOpenStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(&opener{dialTime: time.Millisecond})
		for range 100 {
			k.EnsureOpen(100)
			time.Sleep(time.Millisecond)
		}
		if k.OpenConnections() != k.Capacity() {
			t.Errorf("%d connections open, capacity %d", k.OpenConnections(), k.Capacity())
		}
		k.Close()
	})
}

// Guards against errors when a pool moves to another entry host: the former owner still holds all
// connections that the server accepts and closes them within a second. Callers must wait that
// long instead of failing at once.
func TestTemporaryConnectionLimit(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		errors   int
	}{
		{name: "former owner closes its connections", duration: time.Second},
		{name: "limit stays reached", duration: time.Minute, errors: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &opener{dialTime: 10 * time.Millisecond}
				o.setError(&pgconn.PgError{Code: "53300"})
				k := newKeeper(o)
				defer k.Close()
				stop := time.AfterFunc(tt.duration, func() { o.setError(nil) })
				defer stop.Stop()
				conns, errs := acquire(t.Context(), k, 2)
				if len(errs) != tt.errors || len(conns)+len(errs) != 2 {
					t.Errorf("%d connections, errors %v, want %d errors", len(conns), errs, tt.errors)
				}
			})
		})
	}
}
