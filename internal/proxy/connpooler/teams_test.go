package connpooler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// waitOfTeams starts twelve requests for each of two teams and returns the order in which they are served.
func waitOfTeams(serve func(a AcquireRequest) error, t *testing.T) <-chan string {
	order := make(chan string, 24)
	for _, team := range []string{"a", "b"} {
		for range 12 {
			a := requestWithin(time.Minute)
			a.Team = team
			go func() {
				if err := serve(a); err != nil {
					t.Error(err)
					return
				}
				order <- team
			}()
			synctest.Wait()
		}
	}
	return order
}

// countFirst returns how many of the first n served requests are of team b.
func countFirst(order <-chan string, n int) int {
	b := 0
	for range n {
		if <-order == "b" {
			b++
		}
	}
	return b
}

// Guards against shares of a configuration that reach only one of the places where requests wait, or that
// are in force only after a restart: the other team would wait behind as many as it sends itself.
func TestSharesAreInForceAtBothQueues(t *testing.T) {
	shares := map[string]admitter.TeamLimit{"a": {Share: 1}, "b": {Share: 3}}
	t.Run("connections", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(&fakeServer{limit: 1})
			p.Limit = 1
			held := acquire(t, p)
			order := waitOfTeams(func(a AcquireRequest) error {
				l, err := p.Acquire(a)
				if err != nil {
					return err
				}
				time.Sleep(10 * time.Millisecond)
				l.Release(false)
				return nil
			}, t)
			p.SetTeams(shares)
			held.Release(false)
			if b := countFirst(order, 12); b < 8 || b > 10 {
				t.Errorf("%d of the first 12 connections for the team with three quarters of the shares, want 9", b)
			}
			countFirst(order, 12)
			p.Close()
		})
	})
	t.Run("permits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(&fakeServer{limit: 16})
			l, permits := exhaust(t, p)
			order := waitOfTeams(func(a AcquireRequest) error {
				x, err := l.AcquirePermit(a)
				if err != nil {
					return err
				}
				time.Sleep(10 * time.Millisecond)
				x.End(declarer.CodeNone)
				return nil
			}, t)
			p.SetTeams(shares)
			for _, x := range permits {
				x.End(declarer.CodeNone)
			}
			if b := countFirst(order, 12); b < 8 || b > 10 {
				t.Errorf("%d of the first 12 permits for the team with three quarters of the shares, want 9", b)
			}
			countFirst(order, 12)
			l.Release(false)
			p.Close()
		})
	})
}

// Guards against a waiter that isn't told of a decision made when the shares change: it would wait until
// its deadline for a connection that it has been granted.
func TestChangeOfSharesNotifiesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 1})
		p.Limit = 1
		held := acquire(t, p)
		done := make(chan error, 1)
		go func() {
			l, err := p.Acquire(requestWithin(time.Minute))
			if err == nil {
				l.Release(false)
			}
			done <- err
		}()
		synctest.Wait()
		p.mu.Lock()
		p.queue.Slots++ // as if a connection had become usable
		p.idle = append(p.idle, &Lease{Connection: held.Connection, pool: p, usedAt: time.Now()})
		p.mu.Unlock()
		p.SetTeams(nil)
		synctest.Wait()
		if len(done) != 1 {
			t.Error("a waiter that was granted a connection still waits")
		}
		p.Close()
	})
}
