// Package leaser is a baseline to measure against: a server is promoted when the primary's lease in the platform's store has lapsed.
package leaser

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/promoter"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Kind is the kind of the lease objects in the platform's store.
const Kind = "primary-lease"

// Times of a lease.
const (
	// DefaultTTL is how long a lease lasts after its renewal was begun.
	DefaultTTL = 10 * time.Second
	// renewals is how many renewals a lease allows for.
	renewals = 3
	// lookPause is the time between two looks at the clock.
	lookPause = 100 * time.Millisecond
	// callTimeout bounds one call to a server or to the platform.
	callTimeout = time.Second
)

// Server is one backend server of the group.
type Server struct {
	Name    string
	Address string
	Control controller.Control
}

// Leaser keeps the lease of one database group for its primary, while that
// answers, and promotes another server once the lease has lapsed. It does both
// only through the store, so that nothing is promoted during an outage. The
// exported fields are set before Run.
type Leaser struct {
	Platform accessor.Platform
	Group    string
	Servers  []Server
	// TTL is how long a lease lasts, DefaultLease if unset.
	TTL time.Duration
	Log log.Interface

	version accessor.Version
	// renewed is when the call began by which the lease was renewed last.
	renewed time.Time
	next    time.Time
}

// Run keeps the lease until ctx ends.
func (l *Leaser) Run(ctx context.Context) error {
	if l.TTL == 0 {
		l.TTL = DefaultTTL
	}
	l.renewed = time.Now()
	for scheduler.Pause(ctx, lookPause) == nil {
		l.step(ctx, time.Now())
	}
	return nil
}

// step renews the lease or acts on its lapse, whatever is due.
func (l *Leaser) step(ctx context.Context, now time.Time) {
	var err error
	switch {
	case now.Sub(l.renewed) >= l.TTL:
		err = l.promote(ctx, now)
	case !now.Before(l.next):
		l.next = now.Add(l.TTL / renewals)
		err = l.renew(ctx, now)
	}
	if err != nil {
		l.Log.WithError(err).WithField("step", "keep lease").WithField("peer", l.Group).Info("lease not kept")
	}
}

// renew renews the lease for the primary, if it answers.
func (l *Leaser) renew(ctx context.Context, now time.Time) error {
	p, ok := primary(l.statuses(ctx))
	if !ok {
		return errors.NotFoundf("primary of %s", l.Group)
	}
	if err := l.put(ctx, p.BackendServer); err != nil {
		return err
	}
	l.renewed = now
	return nil
}

// put writes the lease's holder into the store. After an error the version is
// read again, since an answer may have been lost.
func (l *Leaser) put(ctx context.Context, holder string) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	o, err := l.Platform.Put(ctx, accessor.Object{Kind: Kind, Name: l.Group, Version: l.version, Value: []byte(holder)})
	if err == nil {
		l.version = o.Version
		return nil
	}
	if o, e := l.Platform.Get(ctx, Kind, l.Group); e == nil {
		l.version = o.Version
	}
	return errors.Annotatef(err, "lease of %s to %s", l.Group, holder)
}

// promote makes the best of a majority of the servers primary under the next
// term, after the store has taken the lease for it.
func (l *Leaser) promote(ctx context.Context, now time.Time) error {
	s := l.statuses(ctx)
	if len(s) < observer.Majority(len(l.Servers)) {
		return errors.NotFoundf("majority of %s", l.Group)
	}
	if err := l.put(ctx, promoter.Choose(s, "")); err != nil {
		return err
	}
	t := highest(s) + 1
	s = l.fence(ctx, t)
	if len(s) < observer.Majority(len(l.Servers)) {
		return errors.NotFoundf("majority of %s under term %d", l.Group, t)
	}
	c := l.find(promoter.Choose(s, ""))
	x, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if _, err := c.Control.Promote(x, t); err != nil {
		return errors.Annotatef(err, "promote %s", c.Name)
	}
	l.renewed = now
	l.Log.WithField("database-group", l.Group).WithField("chosen", c.Name).WithField("term", uint64(t)).Info("promoted after lapse of lease")
	l.follow(ctx, t, c)
	return nil
}

// fence raises the term at all servers and returns the statuses of those that accepted it.
func (l *Leaser) fence(ctx context.Context, t marker.Term) []controller.Status {
	return l.ask(ctx, func(x context.Context, c controller.Control) (controller.Status, error) {
		return c.RaiseTerm(x, t)
	})
}

// follow points all other servers at the new primary. One that can't be reached
// is pointed there later by the drivers.
func (l *Leaser) follow(ctx context.Context, t marker.Term, p Server) {
	for _, s := range l.Servers {
		if s.Name == p.Name {
			continue
		}
		x, stop := context.WithTimeout(ctx, callTimeout)
		_, err := s.Control.Follow(x, t, p.Name, p.Address)
		stop()
		if err != nil {
			l.Log.WithError(err).WithField("step", "follow").WithField("peer", s.Name).Info("server not pointed at primary")
		}
	}
}

// statuses asks all servers and returns the answers.
func (l *Leaser) statuses(ctx context.Context) []controller.Status {
	return l.ask(ctx, func(x context.Context, c controller.Control) (controller.Status, error) {
		return c.Status(x)
	})
}

func (l *Leaser) ask(ctx context.Context, f func(context.Context, controller.Control) (controller.Status, error)) []controller.Status {
	var r []controller.Status
	for _, s := range l.Servers {
		x, stop := context.WithTimeout(ctx, callTimeout)
		o, err := f(x, s.Control)
		stop()
		if err == nil {
			o.BackendServer = s.Name
			r = append(r, o)
		}
	}
	return r
}

func (l *Leaser) find(name string) Server {
	for _, s := range l.Servers {
		if s.Name == name {
			return s
		}
	}
	return Server{}
}

// highest returns the highest term that any server accepted.
func highest(l []controller.Status) marker.Term {
	var t marker.Term
	for _, s := range l {
		t = max(t, s.Term)
	}
	return t
}

// primary returns the primary of the highest term.
func primary(l []controller.Status) (controller.Status, bool) {
	t := highest(l)
	for _, s := range l {
		if s.Role == controller.RolePrimary && s.Term == t {
			return s, true
		}
	}
	return controller.Status{}, false
}
