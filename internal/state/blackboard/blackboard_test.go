package blackboard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
)

type state struct {
	Members Section[[]string]
	Limit   Section[int]
}

func limitVersion(s *state) uint64 { return s.Limit.Version }

func TestReadersSeeWritesAtomically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Board[state]{}
		c, stop := context.WithCancel(t.Context())
		go b.Run(c)
		old := b.Read()
		var g sync.WaitGroup
		for range 50 {
			g.Go(func() {
				b.Update(c, func(s *state) {
					s.Limit.Set(s.Limit.Value + 1)
					s.Members.Set(append(s.Members.Value[:len(s.Members.Value):len(s.Members.Value)], "x"))
				})
				if s := b.Read(); len(s.Members.Value) != s.Limit.Value || s.Limit.Version != uint64(s.Limit.Value) {
					t.Errorf("a partial write is visible: %+v", s)
				}
			})
		}
		g.Wait()
		if n := b.Read().Limit.Value; n != 50 {
			t.Errorf("limit = %d after 50 writes", n)
		}
		if old.Limit.Value != 0 {
			t.Error("an old snapshot has changed")
		}
		stop()
		synctest.Wait()
		if err := b.Update(t.Context(), func(*state) {}); !errors.Is(err, ErrStopped) {
			t.Errorf("Update on a stopped board = %v", err)
		}
	})
}

func TestSubscribersAreNotifiedOfTheirSection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Board[state]{}
		c, stop := context.WithCancel(t.Context())
		defer stop()
		go b.Run(c)
		x := &Subscriber[state]{Version: limitVersion}
		b.Subscribe(x)
		b.Update(c, func(s *state) { s.Members.Set(nil) })
		synctest.Wait()
		if len(x.C) != 0 {
			t.Error("notified of a change of another section")
		}
		b.Update(c, func(s *state) { s.Limit.Set(1) })
		b.Update(c, func(s *state) { s.Limit.Set(2) })
		synctest.Wait()
		if len(x.C) != 1 || b.Read().Limit.Value != 2 {
			t.Error("not notified, or the latest state isn't readable")
		}
		<-x.C
		b.Unsubscribe(x)
		b.Update(c, func(s *state) { s.Limit.Set(3) })
		synctest.Wait()
		if len(x.C) != 0 {
			t.Error("notified after Unsubscribe")
		}
	})
}

func BenchmarkRead(b *testing.B) {
	x := &Board[state]{}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if x.Read() == nil {
				b.Fatal("no state")
			}
		}
	})
}
