package connpooler

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// exhaust takes all permits of a pool for a server with one slot.
func exhaust(t *testing.T, p *Pool) (*Lease, []*Permit) {
	t.Helper()
	p.Server.Slots = 1
	l := acquire(t, p)
	var permits []*Permit
	for range maximumInFlightPerSlot {
		x, err := l.AcquirePermit(requestWithin(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		permits = append(permits, x)
	}
	return l, permits
}

// Guards against statements that a server sheds because its own queue is full: statements beyond
// the limit must wait at their host, where one inside a transaction has priority.
func TestPermitsBoundStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 16})
		l, permits := exhaust(t, p)
		order := make(chan admitter.Class, 2)
		for _, class := range []admitter.Class{admitter.ClassRead, admitter.ClassTransaction} {
			a := requestWithin(time.Second)
			a.Class = class
			go func() {
				x, err := l.AcquirePermit(a)
				if err != nil {
					t.Error(err)
					return
				}
				order <- class
				x.End(declarer.CodeNone)
			}()
			synctest.Wait()
		}
		if len(order) > 0 {
			t.Fatal("more statements in flight than allowed")
		}
		permits[0].End(declarer.CodeNone)
		if first := <-order; first != admitter.ClassTransaction {
			t.Errorf("class %d got the first permit", first)
		}
		<-order
		for _, x := range permits[1:] {
			x.End(declarer.CodeNone)
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against an endless wait: a statement whose deadline has already passed must neither get a
// permit nor wait for one.
func TestPermitAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 16})
		l, permits := exhaust(t, p)
		if _, err := l.AcquirePermit(requestWithin(-time.Millisecond)); !errors.Is(err, ErrRefused) {
			t.Errorf("error %v", err)
		}
		for _, x := range permits {
			x.End(declarer.CodeNone)
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against a statement that waits for its permit beyond its deadline: as nothing was sent, its
// caller can be told in time that the statement hasn't run.
func TestPermitIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 16})
		l, permits := exhaust(t, p)
		began := time.Now()
		_, err := l.AcquirePermit(requestWithin(200 * time.Millisecond))
		if !errors.Is(err, ErrRefused) || time.Since(began) > 200*time.Millisecond {
			t.Errorf("error %v after %s", err, time.Since(began))
		}
		for _, x := range permits {
			x.End(declarer.CodeNone)
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against a host that sends all waiting statements to a server whose queue is full, as each refusal
// makes room for the next one: the server refuses them too, and they go to other servers in vain.
func TestRefusedPermitIsNotUsedAtOnce(t *testing.T) {
	const (
		waiting  = 20
		fullTime = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 16})
		l, permits := exhaust(t, p)
		full := time.Now().Add(fullTime)
		var refused, ran atomic.Int64
		var callers sync.WaitGroup
		for range waiting {
			callers.Go(func() {
				x, err := l.AcquirePermit(requestWithin(time.Second))
				switch {
				case err != nil:
					t.Error(err)
				case time.Now().Before(full):
					refused.Add(1)
					x.End(declarer.CodeBusy)
				default:
					ran.Add(1)
					x.End(declarer.CodeNone)
				}
			})
		}
		synctest.Wait()
		for _, x := range permits {
			x.End(declarer.CodeBusy)
		}
		callers.Wait()
		// Each permit is used once in the time that a statement takes.
		if most := int64(maximumInFlightPerSlot * fullTime / admitter.DefaultServiceTime); refused.Load() > most {
			t.Errorf("the full server refused %d of %d statements, want %d at most", refused.Load(), waiting, most)
		}
		if ran.Load() == 0 {
			t.Error("no statement ran once the server had room")
		}
		l.Release(false)
		p.Close()
	})
}

func BenchmarkPermit(b *testing.B) {
	p := newPool(&fakeServer{limit: 16})
	p.Server.Slots = 16
	l, err := p.Acquire(requestWithin(time.Minute))
	if err != nil {
		b.Fatal(err)
	}
	a := requestWithin(time.Hour)
	var held []*Permit
	for range 16*maximumInFlightPerSlot - 1 {
		x, err := l.AcquirePermit(a)
		if err != nil {
			b.Fatal(err)
		}
		held = append(held, x)
	}
	for b.Loop() {
		x, err := l.AcquirePermit(a)
		if err != nil {
			b.Fatal(err)
		}
		x.End(declarer.CodeNone)
	}
	for _, x := range held {
		x.End(declarer.CodeNone)
	}
}
