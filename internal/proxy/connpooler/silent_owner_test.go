package connpooler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// borrowedConnection is a link to another host.
type borrowedConnection struct{ *fakeConnection }

func (borrowedConnection) Borrow(AcquireRequest) {}
func (borrowedConnection) Return() error         { return nil }

// linkPool returns a pool of links to another host, of which n are open. The leases are returned as well.
func linkPool(t *testing.T, f *fakeServer, n int) (*Pool, []*Lease) {
	t.Helper()
	p := newPool(f)
	p.OnDemand = true
	var l []*Lease
	for range n {
		x := acquire(t, p)
		x.Connection = borrowedConnection{x.Connection.(*fakeConnection)}
		l = append(l, x)
	}
	return p, l
}

// Guards against callers that wait until their deadlines for a link to a host that can't be reached any
// more, since another link to it is still open: its statement has got no answer yet.
func TestUnreachableOwnerRefusesWaitersBesideSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 16}
		p, l := linkPool(t, f, 1)
		f.err = ErrNoRoute
		results := make(chan error)
		for i := range 8 {
			go func() {
				time.Sleep(time.Duration(i) * openDelay / 2)
				_, err := p.Acquire(requestWithin(800 * time.Millisecond))
				results <- err
			}()
		}
		began := time.Now()
		for range 8 {
			if err := <-results; !errors.Is(err, ErrUnreachable) {
				t.Errorf("got %v after %v, want %v", err, time.Since(began), ErrUnreachable)
			}
		}
		if d := time.Since(began); d > 6*openDelay {
			t.Errorf("refused after %v, a link takes %v to open", d, openDelay)
		}
		l[0].Release(true)
		// The opening of a link may outlast the waiter that it was for.
		time.Sleep(openDelay)
	})
}

// Guards against statements that are sent, one after the other, over idle links that have gone silent
// together: each would wait for its timeout.
func TestIdleLinksAreDroppedAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 16}
		p, l := linkPool(t, f, 4)
		for _, x := range l[:3] {
			x.Release(false)
		}
		time.Sleep(100 * time.Millisecond)
		silent := acquire(t, p)
		time.Sleep(time.Millisecond)
		l[3].Release(false) // it has been used since, and works
		if err := silent.Send([]declarer.Request{{Verb: declarer.VerbRead}}, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(800 * time.Millisecond)
		silent.Release(false)
		if f.open != 1 {
			t.Fatalf("%d links open, want the one that was used since", f.open)
		}
		if x := acquire(t, p); x != l[3] {
			t.Error("another link than the one that was used since")
		}
	})
}
