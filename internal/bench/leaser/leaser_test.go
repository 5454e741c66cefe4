package leaser

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// errDown is the error of a server that is down.
const errDown = errors.ConstError("server is down")

// fakeServer implements controller.Control in memory.
type fakeServer struct {
	mutex      sync.Mutex
	status     controller.Status
	down       bool
	promotedAt time.Time
}

// call applies a change, which may be nil, and returns the status, or errDown if the server is down.
func (s *fakeServer) call(change func()) (controller.Status, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return controller.Status{}, errDown
	}
	if change != nil {
		change()
	}
	return s.status, nil
}

// Status implements controller.Control.
func (s *fakeServer) Status(context.Context) (controller.Status, error) { return s.call(nil) }

// RaiseTerm implements controller.Control.
func (s *fakeServer) RaiseTerm(_ context.Context, t marker.Term) (controller.Status, error) {
	return s.call(func() { s.status.Term = max(s.status.Term, t) })
}

// Promote implements controller.Control.
func (s *fakeServer) Promote(context.Context, marker.Term) (controller.Status, error) {
	return s.call(func() {
		s.status.Role = controller.RolePrimary
		s.promotedAt = time.Now()
	})
}

// Follow implements controller.Control.
func (s *fakeServer) Follow(context.Context, marker.Term, string, string) (controller.Status, error) {
	return s.call(func() { s.status.Role = controller.RoleReplica })
}

func (s *fakeServer) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// promotionTime returns when the server was promoted, zero if it was not.
func (s *fakeServer) promotionTime() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.promotedAt
}

// fixture is a leaser for three servers, of which a is the primary and c is ahead of b.
type fixture struct {
	store   storekeeper.Store
	a, b, c *fakeServer
	stop    context.CancelFunc
}

// start runs a leaser for three servers until the test ends.
func start(t *testing.T) *fixture {
	g := &fixture{
		a: &fakeServer{status: controller.Status{Role: controller.RolePrimary, Term: 1, Last: marker.Mark{Term: 1, Position: 9}}},
		b: &fakeServer{status: controller.Status{Role: controller.RoleReplica, Term: 1, Last: marker.Mark{Term: 1, Position: 8}}},
		c: &fakeServer{status: controller.Status{Role: controller.RoleReplica, Term: 1, Last: marker.Mark{Term: 1, Position: 9}}},
	}
	l := &Leaser{
		Platform: &g.store,
		Group:    "g",
		Servers:  []Server{{Name: "a", Control: g.a}, {Name: "b", Control: g.b}, {Name: "c", Control: g.c}},
		Log:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	}
	ctx, stop := context.WithCancel(t.Context())
	g.stop = stop
	r := &runner{leaser: l, ctx: ctx}
	go r.run()
	return g
}

// runner runs a leaser until ctx ends.
type runner struct {
	leaser *Leaser
	ctx    context.Context
}

func (k *runner) run() { _ = k.leaser.Run(k.ctx) }

// sleep advances the virtual time and waits until the leaser is idle.
func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against a promotion before the lease expires, after the primary has ended. Writes are
// possible again only then, ten seconds after the last renewal, when the replica that has
// the whole log is promoted.
func TestPromotesOnceLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := start(t)
		defer g.stop()
		sleep(time.Minute)
		endedAt := time.Now()
		g.a.setDown(true)
		sleep(time.Minute)
		d := g.c.promotionTime().Sub(endedAt)
		if d > DefaultTTL+pollInterval || d < DefaultTTL-DefaultTTL/renewalsPerTTL-pollInterval {
			t.Errorf("c was promoted %v after the end of the primary", d)
		}
		b, _ := g.b.Status(t.Context())
		c, _ := g.c.Status(t.Context())
		if b.Role != controller.RoleReplica || c.Term != 2 {
			t.Errorf("b %+v, c %+v", b, c)
		}
	})
}

// Guards against a promotion although the primary has restarted before its lease expired.
func TestKeepsRestartedPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := start(t)
		defer g.stop()
		sleep(time.Minute)
		g.a.setDown(true)
		sleep(DefaultTTL / 2)
		g.a.setDown(false)
		sleep(time.Minute)
		if !g.c.promotionTime().IsZero() {
			t.Errorf("c was promoted at %v", g.c.promotionTime())
		}
	})
}

// Guards against a promotion without the store: a primary ends while the platform's store is
// down. Nothing is promoted until the store is available again, however long that takes.
func TestPromotesNothingDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := start(t)
		defer g.stop()
		sleep(time.Minute)
		g.store.SetOutage(true)
		g.a.setDown(true)
		sleep(10 * time.Minute)
		if !g.c.promotionTime().IsZero() {
			t.Error("c was promoted during the outage")
		}
		g.store.SetOutage(false)
		sleep(time.Second)
		if g.c.promotionTime().IsZero() {
			t.Error("c was not promoted after the outage")
		}
	})
}
