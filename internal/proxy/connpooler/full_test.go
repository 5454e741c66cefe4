package connpooler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// Guards against hosts that each keep an idle connection to a server: the owner of the server's
// connections would never get one, and no host could use the server.
func TestIdleBorrowersReleaseConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 4}
		var borrowers []*Pool
		for range 4 {
			p := newPool(f)
			p.MinOpen = 0
			acquire(t, p).Release(false)
			borrowers = append(borrowers, p)
		}
		owner := newPool(f)
		if _, err := owner.Acquire(requestWithin(100 * time.Millisecond)); !errors.Is(err, ErrRefused) {
			t.Fatalf("error %v while all connections are taken", err)
		}
		time.Sleep(idleTimeout + time.Millisecond)
		for _, p := range borrowers {
			p.Trim(time.Now())
		}
		acquire(t, owner).Release(false)
		owner.Close()
	})
}

// Guards against callers that are refused after the host at the other end of idle connections has
// restarted, although new connections can be opened at once.
func TestClosedConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 4})
		p.OnDemand = true
		var leases []*Lease
		for range 3 {
			leases = append(leases, acquire(t, p))
		}
		for _, l := range leases {
			l.Release(false)
		}
		for _, l := range leases {
			l.Connection.(*fakeConnection).ended = true
		}
		acquire(t, p).Release(false)
		p.Close()
	})
}

// Guards against callers that wait until their deadline for a server that accepts no more
// connections, although the pool has no connection that could become free.
func TestFullServerRefusesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{})
		began := time.Now()
		_, err := p.Acquire(requestWithin(5 * time.Second))
		if took := time.Since(began); took > time.Duration(maximumRefusals)*(2*firstBackoff+openDelay) {
			t.Errorf("refused after %s", took)
		}
		if r, ok := errors.AsType[*Refusal](err); !ok || r.RetryAfter <= 0 {
			t.Errorf("error %v, want a refusal with a time to retry after", err)
		}
		p.Close()
	})
}

// Guards against a query for the primary's log position that waits for an unreachable server while
// another server has become the primary: it has priority over statements, but must be refused as
// soon as they are.
func TestPriorityRequestIsRefusedByUnreachableServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{err: ErrNoRoute})
		a := requestWithin(time.Minute)
		a.Class = admitter.ClassTransaction
		began := time.Now()
		if _, err := p.Acquire(a); !errors.Is(err, ErrUnreachable) || time.Since(began) > 2*openDelay {
			t.Errorf("error %v after %s", err, time.Since(began))
		}
		p.Close()
	})
}
