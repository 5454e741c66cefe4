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

// opener opens connections in virtual time and counts.
type opener struct {
	takes time.Duration

	mu      sync.Mutex
	err     error
	dials   int
	dialing int
	most    int
}

func (o *opener) Open(ctx context.Context, _, _ string) (*dialer.Conn, error) {
	o.mu.Lock()
	o.dials++
	o.dialing++
	o.most = max(o.most, o.dialing)
	err := o.err
	o.mu.Unlock()
	defer o.end()
	select {
	case <-time.After(o.takes):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return &dialer.Conn{Conn: c}, nil
}

func (o *opener) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dialing--
}

func (o *opener) set(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = err
}

func pool(o *opener) *Keeper {
	return &Keeper{Server: declarer.BackendServer{Name: "a", Connections: 16}, Opener: o}
}

// acquire lets n requests wait for a connection and returns what came of them.
func acquire(ctx context.Context, k *Keeper, n int) (got []*Conn, errs []error) {
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
			got = append(got, c)
		})
	}
	w.Wait()
	return got, errs
}

// checkRetryAfter fails the test unless err says when to come back, and that is
// before the pause is over.
func checkRetryAfter(t *testing.T, err error) {
	t.Helper()
	var u *Unavailable
	if !errors.As(err, &u) || u.RetryAfter <= 0 || u.RetryAfter > maximumPause {
		t.Errorf("retry after %+v of %v", u, err)
	}
}

// A server comes back after a failure and forty requests miss their connection
// at once. If each dialled by itself, logins would take the server's whole time.
func TestDialsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{takes: 20 * time.Millisecond}
		k := pool(o)
		got, errs := acquire(t.Context(), k, k.Capacity())
		if len(errs) > 0 || len(got) != k.Capacity() {
			t.Errorf("%d connections, errors %v", len(got), errs)
		}
		if o.most != maximumDialing || k.OpenConnections() != k.Capacity() {
			t.Errorf("%d dials at a time, %d connections open", o.most, k.OpenConnections())
		}
		k.Close()
	})
}

// A server refuses connections. Requests hear of it at once, so that another
// server can serve them, and the server isn't asked again for each of them.
func TestFailurePausesDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &opener{takes: time.Millisecond, err: errRefused}
		k := pool(o)
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
			t.Errorf("%d dials to a server that refuses", o.dials)
		}
		o.set(nil)
		time.Sleep(maximumPause)
		if _, errs := acquire(t.Context(), k, 1); errs != nil {
			t.Errorf("after the pause: %v", errs)
		}
		k.Close()
	})
}

// A server stops answering while connections to it are being opened. Without
// the interruption the requests wait for the whole connect timeout, although
// the group has a new primary long before.
func TestInterruptFreesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := pool(&opener{takes: time.Hour})
		time.AfterFunc(time.Second, func() { k.Interrupt(errRefused) })
		got, errs := acquire(t.Context(), k, 3)
		if len(got) != 0 || len(errs) != 3 || !errors.Is(errs[0], errRefused) {
			t.Errorf("%d connections, errors %v", len(got), errs)
		}
		synctest.Wait()
		if k.OpenConnections() != 0 {
			t.Errorf("%d connections counted as open", k.OpenConnections())
		}
		k.Close()
	})
}

// A caller gives up just as a connection comes back. The connection must reach
// the next in line, or the pool is one connection short from then on.
func TestGivenUpWaitLosesNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := pool(&opener{takes: time.Millisecond})
		k.Server.Connections = defaultReserved + 1
		c, err := k.Acquire(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			x, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			time.AfterFunc(5*time.Millisecond, func() { k.Release(c, true) })
			got, _ := acquire(x, k, 2)
			cancel()
			for _, g := range got {
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

func TestAheadOpensWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := pool(&opener{takes: time.Millisecond})
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

// A pool moves to another entry host while the former owner still holds all
// that the server accepts, and gives it up within a second. Callers wait that
// long; were they refused at once, each move would show as errors.
func TestLimitOfServerPasses(t *testing.T) {
	tests := []struct {
		name   string
		passes time.Duration
		errors int
	}{
		{name: "former owner gives up", passes: time.Second},
		{name: "limit stays", passes: time.Minute, errors: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &opener{takes: 10 * time.Millisecond}
				o.set(&pgconn.PgError{Code: "53300"})
				k := pool(o)
				defer k.Close()
				stop := time.AfterFunc(tt.passes, func() { o.set(nil) })
				defer stop.Stop()
				got, errs := acquire(t.Context(), k, 2)
				if len(errs) != tt.errors || len(got)+len(errs) != 2 {
					t.Errorf("%d connections, errors %v, want %d errors", len(got), errs, tt.errors)
				}
			})
		})
	}
}
