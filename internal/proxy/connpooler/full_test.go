package connpooler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// Guards against hosts that each keep a connection which they don't use: the owner of a
// server's connections would never get one, and nobody could use the server.
func TestBorrowersLeaveTheOwnerRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 4}
		var borrowers []*Pool
		for range 4 {
			p := newPool(f)
			p.MinOpen = 0
			acquire(t, p).Release(false)
			borrowers = append(borrowers, p)
		}
		owner := newPool(f)
		if _, err := owner.Acquire(ask(100 * time.Millisecond)); !errors.Is(err, ErrRefused) {
			t.Fatalf("error %v while all connections are taken", err)
		}
		time.Sleep(idleFor + time.Millisecond)
		for _, p := range borrowers {
			p.Trim(time.Now())
		}
		acquire(t, owner).Release(false)
		owner.Close()
	})
}

// Guards against callers that are turned away after the host at the other end of idle
// connections has restarted, though a new connection can be had at once.
func TestEndedConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fake{limit: 4})
		p.OnDemand = true
		var leases []*Lease
		for range 3 {
			leases = append(leases, acquire(t, p))
		}
		for _, l := range leases {
			l.Connection.(*link).ended = true
			l.Release(false)
		}
		time.Sleep(2 * suspectAfter)
		acquire(t, p).Release(false)
		p.Close()
	})
}

// Guards against callers that are held to their deadline at a server that takes no more
// connections, where there is none yet to wait for.
func TestFullServerIsSaidSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fake{})
		began := time.Now()
		_, err := p.Acquire(ask(5 * time.Second))
		if took := time.Since(began); took > time.Duration(maximumRefusals)*(2*firstBackoff+opening) {
			t.Errorf("refused after %s", took)
		}
		if r, ok := errors.AsType[*Refusal](err); !ok || r.RetryAfter <= 0 {
			t.Errorf("error %v, want a refusal that says when to come back", err)
		}
		p.Close()
	})
}

// Guards against a question for the primary's position that waits at a server which can't
// be reached, while another server has come to lead: it goes before statements, but not on
// for longer than they do.
func TestQuestionsDoNotOutlastAnUnreachableServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fake{err: ErrNoRoute})
		a := ask(time.Minute)
		a.Class = admitter.ClassTransaction
		began := time.Now()
		if _, err := p.Acquire(a); !errors.Is(err, ErrUnreachable) || time.Since(began) > 2*opening {
			t.Errorf("error %v after %s", err, time.Since(began))
		}
		p.Close()
	})
}
