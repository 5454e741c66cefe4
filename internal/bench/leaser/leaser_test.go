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

// errDown is the answer of a server that has ended.
const errDown = errors.ConstError("server is down")

// server is a backend server's control side in memory.
type server struct {
	mutex      sync.Mutex
	status     controller.Status
	down       bool
	promotedAt time.Time
}

// call carries out a change, nil for none, unless the server has ended.
func (s *server) call(change func()) (controller.Status, error) {
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
func (s *server) Status(context.Context) (controller.Status, error) { return s.call(nil) }

// RaiseTerm implements controller.Control.
func (s *server) RaiseTerm(_ context.Context, t marker.Term) (controller.Status, error) {
	return s.call(func() { s.status.Term = max(s.status.Term, t) })
}

// Promote implements controller.Control.
func (s *server) Promote(context.Context, marker.Term) (controller.Status, error) {
	return s.call(func() {
		s.status.Role = controller.RolePrimary
		s.promotedAt = time.Now()
	})
}

// Follow implements controller.Control.
func (s *server) Follow(context.Context, marker.Term, string, string) (controller.Status, error) {
	return s.call(func() { s.status.Role = controller.RoleReplica })
}

func (s *server) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// promoted returns when the server was promoted, zero if it wasn't.
func (s *server) promoted() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.promotedAt
}

// group is a leaser before three servers, of which a is the primary and c holds
// more than b.
type group struct {
	store   storekeeper.Store
	a, b, c *server
	stop    context.CancelFunc
}

func start(t *testing.T) *group {
	g := &group{
		a: &server{status: controller.Status{Role: controller.RolePrimary, Term: 1, Last: marker.Mark{Term: 1, Position: 9}}},
		b: &server{status: controller.Status{Role: controller.RoleReplica, Term: 1, Last: marker.Mark{Term: 1, Position: 8}}},
		c: &server{status: controller.Status{Role: controller.RoleReplica, Term: 1, Last: marker.Mark{Term: 1, Position: 9}}},
	}
	l := &Leaser{
		Platform: &g.store,
		Group:    "g",
		Servers:  []Server{{Name: "a", Control: g.a}, {Name: "b", Control: g.b}, {Name: "c", Control: g.c}},
		Log:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	}
	ctx, stop := context.WithCancel(t.Context())
	g.stop = stop
	r := &keeping{leaser: l, ctx: ctx}
	go r.run()
	return g
}

// keeping is a leaser that runs.
type keeping struct {
	leaser *Leaser
	ctx    context.Context
}

func (k *keeping) run() { _ = k.leaser.Run(k.ctx) }

// pass lets virtual time pass and the leaser come to rest.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// A primary ends. Nobody can write until its lease in the store has lapsed, ten
// seconds after the last renewal, and then the replica that holds all of it leads.
func TestPromotesOnceTheLeaseHasLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := start(t)
		defer g.stop()
		pass(time.Minute)
		lost := time.Now()
		g.a.setDown(true)
		pass(time.Minute)
		d := g.c.promoted().Sub(lost)
		if d > DefaultTTL+lookPause || d < DefaultTTL-DefaultTTL/renewals-lookPause {
			t.Errorf("promoted after %v", d)
		}
		b, _ := g.b.Status(t.Context())
		c, _ := g.c.Status(t.Context())
		if b.Role != controller.RoleReplica || c.Term != 2 {
			t.Errorf("b %+v, c %+v", b, c)
		}
	})
}

// A primary ends and comes back within its lease, and nothing is promoted.
func TestKeepsAPrimaryThatComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := start(t)
		defer g.stop()
		pass(time.Minute)
		g.a.setDown(true)
		pass(DefaultTTL / 2)
		g.a.setDown(false)
		pass(time.Minute)
		if !g.c.promoted().IsZero() {
			t.Errorf("c was promoted at %v", g.c.promoted())
		}
	})
}

// A primary ends while the platform's store is down. Nobody can write until the
// store is back, however long that takes.
func TestPromotesNothingWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := start(t)
		defer g.stop()
		pass(time.Minute)
		g.store.SetOutage(true)
		g.a.setDown(true)
		pass(10 * time.Minute)
		if !g.c.promoted().IsZero() {
			t.Error("c was promoted during the outage")
		}
		g.store.SetOutage(false)
		pass(time.Second)
		if g.c.promoted().IsZero() {
			t.Error("c wasn't promoted after the outage")
		}
	})
}
