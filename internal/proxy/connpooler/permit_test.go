package connpooler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// exhaust takes all permits of a pool before a server with one slot.
func exhaust(t *testing.T, p *Pool) (*Lease, []*Permit) {
	t.Helper()
	p.Server.Slots = 1
	l := acquire(t, p)
	var permits []*Permit
	for range mostUnderWay {
		x, err := l.AcquirePermit(ask(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		permits = append(permits, x)
	}
	return l, permits
}

// Guards against statements that a server sheds since its own queue is full: those beyond
// what it gets wait at their host, and one inside a transaction goes first.
func TestPermitsBoundStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fake{limit: 16})
		l, permits := exhaust(t, p)
		order := make(chan admitter.Class, 2)
		for _, class := range []admitter.Class{admitter.ClassRead, admitter.ClassTransaction} {
			a := ask(time.Second)
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
			t.Fatal("more statements under way than may be")
		}
		permits[0].End(declarer.CodeNone)
		if first := <-order; first != admitter.ClassTransaction {
			t.Errorf("class %d goes first", first)
		}
		<-order
		for _, x := range permits[1:] {
			x.End(declarer.CodeNone)
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against a wait without end: a statement whose deadline has passed on the way gets no
// permit, and doesn't wait for one either.
func TestPermitAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fake{limit: 16})
		l, permits := exhaust(t, p)
		if _, err := l.AcquirePermit(ask(-time.Millisecond)); !errors.Is(err, ErrRefused) {
			t.Errorf("error %v", err)
		}
		for _, x := range permits {
			x.End(declarer.CodeNone)
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against a statement that waits for its permit beyond its deadline: nothing was sent,
// so its caller can be told that it has not run.
func TestPermitIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fake{limit: 16})
		l, permits := exhaust(t, p)
		began := time.Now()
		_, err := l.AcquirePermit(ask(200 * time.Millisecond))
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

func BenchmarkPermit(b *testing.B) {
	p := newPool(&fake{limit: 16})
	p.Server.Slots = 16
	l, err := p.Acquire(ask(time.Minute))
	if err != nil {
		b.Fatal(err)
	}
	a := ask(time.Hour)
	var held []*Permit
	for range 16*mostUnderWay - 1 {
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
