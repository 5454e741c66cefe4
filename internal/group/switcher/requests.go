package switcher

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

func (s *Switcher) role() role {
	return s.present.Load().role
}

// again reports whether what failed at r is to be asked of the role after it. A
// change of role is no reason to fail anybody.
func (s *Switcher) again(r role, err error) bool {
	return errors.Is(err, driver.ErrStopped) && s.role() != r
}

// AwaitView returns once the view is of use for a request, or gives up.
func (s *Switcher) AwaitView(ctx context.Context) { s.role().AwaitView(ctx) }

// View returns what is known of the group. It must not be changed.
func (s *Switcher) View() *observer.View { return s.role().View() }

// Now returns the time that the view's times are read from.
func (s *Switcher) Now() time.Duration { return s.now() }

// Stopped reports whether Run has been ended.
func (s *Switcher) Stopped() bool { return s.ended.Load() || s.role().Stopped() }

// HandingOver reports whether new writes had better wait.
func (s *Switcher) HandingOver() bool { return s.role().HandingOver() }

// PollNow has all backend servers looked at at once.
func (s *Switcher) PollNow() { s.role().PollNow() }

// Thresholds returns Settings.
func (s *Switcher) Thresholds() driver.Settings { return s.Settings }

// HandOver moves the primary off the named server.
func (s *Switcher) HandOver(ctx context.Context, from string) error {
	return s.role().HandOver(ctx, from)
}

// index is a read index that outlasts a change of role: one begun later covers
// no less.
type index struct {
	switcher *Switcher
	role     role
	pending  driver.PendingIndex
	// context is what the index was begun under.
	context context.Context
}

// BeginReadIndex begins to take a read index.
func (s *Switcher) BeginReadIndex(ctx context.Context) driver.PendingIndex {
	r := s.role()
	return &index{switcher: s, role: r, pending: r.BeginReadIndex(ctx), context: ctx}
}

// Await returns the read index.
func (i *index) Await(ctx context.Context) (marker.Mark, error) {
	for {
		m, err := i.pending.Await(ctx)
		if !i.switcher.again(i.role, err) {
			return m, err
		}
		i.role = i.switcher.role()
		i.pending = i.role.BeginReadIndex(i.context)
	}
}

// WaitAcknowledged returns nil once a majority holds all commits up to m.
func (s *Switcher) WaitAcknowledged(ctx context.Context, m marker.Mark) error {
	for {
		r := s.role()
		if err := r.WaitAcknowledged(ctx, m); !s.again(r, err) {
			return err
		}
	}
}

// WaitCovered returns nil once the server's log covers m.
func (s *Switcher) WaitCovered(ctx context.Context, server string, m marker.Mark) error {
	for {
		r := s.role()
		if err := r.WaitCovered(ctx, server, m); !s.again(r, err) {
			return err
		}
	}
}

// WaitPrimary returns a view with a confirmed primary.
func (s *Switcher) WaitPrimary(ctx context.Context) (*observer.View, error) {
	for {
		r := s.role()
		v, err := r.WaitPrimary(ctx)
		if !s.again(r, err) {
			return v, err
		}
	}
}
