// Package leaser implements the failover baseline that promotes a server once the primary's lease in the platform's store has expired.
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

// Durations of a lease.
const (
	// DefaultTTL is how long a lease lasts, counted from the start of its renewal.
	DefaultTTL = 10 * time.Second
	// renewalsPerTTL is how many renewals are attempted during the TTL.
	renewalsPerTTL = 3
	// pollInterval is the time between two checks of whether something is due.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds one call to a server or to the platform.
	callTimeout = time.Second
)

// Server is one backend server of the database group.
type Server struct {
	Name    string
	Address string
	Control controller.Control
}

// Leaser renews the lease of one database group for its primary while the primary answers, and
// promotes another server once the lease has expired. Both require a write to the store, so
// that nothing is promoted during an outage of the store. The exported fields are set before Run.
type Leaser struct {
	Platform accessor.Platform
	Group    string
	Servers  []Server
	// TTL is how long a lease lasts, DefaultTTL if unset.
	TTL time.Duration
	Log log.Interface

	// version is the last known version of the lease object.
	version accessor.Version
	// renewedAt is the start of the call that last renewed the lease.
	renewedAt time.Time
	// nextRenewal is when the next renewal is due.
	nextRenewal time.Time
}

// Run renews the lease, or promotes a server when it has expired, until ctx ends.
func (l *Leaser) Run(ctx context.Context) error {
	if l.TTL == 0 {
		l.TTL = DefaultTTL
	}
	l.renewedAt = time.Now()
	for scheduler.Pause(ctx, pollInterval) == nil {
		l.step(ctx, time.Now())
	}
	return nil
}

// step promotes a server if the lease has expired, or renews the lease if that is due.
func (l *Leaser) step(ctx context.Context, now time.Time) {
	var err error
	switch {
	case now.Sub(l.renewedAt) >= l.TTL:
		err = l.promote(ctx, now)
	case !now.Before(l.nextRenewal):
		l.nextRenewal = now.Add(l.TTL / renewalsPerTTL)
		err = l.renew(ctx, now)
	}
	if err != nil {
		l.Log.WithError(err).WithField("step", "keep lease").WithField("peer", l.Group).Info("cannot renew lease or promote server")
	}
}

// renew renews the lease for the primary. It returns a NotFound error if no primary answers.
func (l *Leaser) renew(ctx context.Context, now time.Time) error {
	p, ok := primary(l.statuses(ctx))
	if !ok {
		return errors.NotFoundf("primary of %s", l.Group)
	}
	if err := l.writeHolder(ctx, p.BackendServer); err != nil {
		return err
	}
	l.renewedAt = now
	return nil
}

// writeHolder writes the holder of the lease into the store. After an error it reads the version
// again, because the write may have succeeded and only its answer been lost.
func (l *Leaser) writeHolder(ctx context.Context, holder string) error {
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

// promote writes the lease for the best of a majority of the servers into the store, raises the
// term and makes the best of those that accepted it primary. It returns a NotFound error if
// fewer than a majority answer.
func (l *Leaser) promote(ctx context.Context, now time.Time) error {
	s := l.statuses(ctx)
	if len(s) < observer.Majority(len(l.Servers)) {
		return errors.NotFoundf("majority of %s", l.Group)
	}
	if err := l.writeHolder(ctx, promoter.Choose(s, "")); err != nil {
		return err
	}
	t := highestTerm(s) + 1
	s = l.fence(ctx, t)
	if len(s) < observer.Majority(len(l.Servers)) {
		return errors.NotFoundf("majority of %s under term %d", l.Group, t)
	}
	c := l.server(promoter.Choose(s, ""))
	x, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if _, err := c.Control.Promote(x, t); err != nil {
		return errors.Annotatef(err, "promote %s", c.Name)
	}
	l.renewedAt = now
	l.Log.WithField("database-group", l.Group).WithField("chosen", c.Name).WithField("term", uint64(t)).Info("promoted server after lease expired")
	l.follow(ctx, t, c)
	return nil
}

// fence raises the term at all servers and returns the statuses of those that accepted it.
func (l *Leaser) fence(ctx context.Context, t marker.Term) []controller.Status {
	return l.callAll(ctx, func(x context.Context, c controller.Control) (controller.Status, error) {
		return c.RaiseTerm(x, t)
	})
}

// follow makes all other servers follow the new primary. The drivers do so later for a server
// that cannot be reached.
func (l *Leaser) follow(ctx context.Context, t marker.Term, p Server) {
	for _, s := range l.Servers {
		if s.Name == p.Name {
			continue
		}
		x, stop := context.WithTimeout(ctx, callTimeout)
		_, err := s.Control.Follow(x, t, p.Name, p.Address)
		stop()
		if err != nil {
			l.Log.WithError(err).WithField("step", "follow").WithField("peer", s.Name).Info("cannot make server follow primary")
		}
	}
}

// statuses queries all servers and returns the answers.
func (l *Leaser) statuses(ctx context.Context) []controller.Status {
	return l.callAll(ctx, func(x context.Context, c controller.Control) (controller.Status, error) {
		return c.Status(x)
	})
}

// callAll calls f for each server and returns the statuses of those that answered without an error.
func (l *Leaser) callAll(ctx context.Context, f func(context.Context, controller.Control) (controller.Status, error)) []controller.Status {
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

// server returns the server with the given name, the zero Server if there is none.
func (l *Leaser) server(name string) Server {
	for _, s := range l.Servers {
		if s.Name == name {
			return s
		}
	}
	return Server{}
}

// highestTerm returns the highest term that any of the servers has accepted.
func highestTerm(l []controller.Status) marker.Term {
	var t marker.Term
	for _, s := range l {
		t = max(t, s.Term)
	}
	return t
}

// primary returns the primary of the highest term; ok is false if there is none.
func primary(l []controller.Status) (controller.Status, bool) {
	t := highestTerm(l)
	for _, s := range l {
		if s.Role == controller.RolePrimary && s.Term == t {
			return s, true
		}
	}
	return controller.Status{}, false
}
