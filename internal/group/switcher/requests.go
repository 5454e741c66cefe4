package switcher

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

func (s *Switcher) delegate() delegate {
	return s.active.Load().delegate
}

// shouldRetry reports whether a request that failed at r is to be repeated because r was stopped
// and replaced: switching between driver and follower must not make requests fail.
func (s *Switcher) shouldRetry(r delegate, err error) bool {
	return errors.Is(err, driver.ErrStopped) && s.delegate() != r
}

// AwaitView returns once the view is usable for a request, or gives up when ctx ends or the
// follower's wait times out.
func (s *Switcher) AwaitView(ctx context.Context) { s.delegate().AwaitView(ctx) }

// View returns the present view of the group. It must not be changed.
func (s *Switcher) View() *observer.View { return s.delegate().View() }

// Now returns the present time on the clock of the view's times.
func (s *Switcher) Now() time.Duration { return s.now() }

// Stopped reports whether Run or the driver or follower in use has ended.
func (s *Switcher) Stopped() bool { return s.stopped.Load() || s.delegate().Stopped() }

// HandingOver reports whether new writes should wait because the primary is about to be moved.
func (s *Switcher) HandingOver() bool { return s.delegate().HandingOver() }

// PollNow has all backend servers polled immediately.
func (s *Switcher) PollNow() { s.delegate().PollNow() }

// Thresholds returns Settings.
func (s *Switcher) Thresholds() driver.Settings { return s.Settings }

// HandOver moves the primary off the named server.
func (s *Switcher) HandOver(ctx context.Context, from string) error {
	return s.delegate().HandOver(ctx, from)
}

// index is a read index that is begun again if its delegate is replaced. One that is begun
// later covers no less.
type index struct {
	switcher *Switcher
	delegate delegate
	pending  driver.PendingIndex
	// context is the context passed to BeginReadIndex.
	context context.Context
}

// BeginReadIndex begins to determine a read index, see driver.Driver.
func (s *Switcher) BeginReadIndex(ctx context.Context) driver.PendingIndex {
	r := s.delegate()
	return &index{switcher: s, delegate: r, pending: r.BeginReadIndex(ctx), context: ctx}
}

// Await returns the read index.
func (i *index) Await(ctx context.Context) (marker.Mark, error) {
	for {
		m, err := i.pending.Await(ctx)
		if !i.switcher.shouldRetry(i.delegate, err) {
			return m, err
		}
		i.delegate = i.switcher.delegate()
		i.pending = i.delegate.BeginReadIndex(i.context)
	}
}

// WaitAcknowledged returns nil once a majority holds all commits up to m, else an error as
// driver.Driver does.
func (s *Switcher) WaitAcknowledged(ctx context.Context, m marker.Mark) error {
	for {
		r := s.delegate()
		if err := r.WaitAcknowledged(ctx, m); !s.shouldRetry(r, err) {
			return err
		}
	}
}

// WaitCovered returns nil once the server's log covers m.
func (s *Switcher) WaitCovered(ctx context.Context, server string, m marker.Mark) error {
	for {
		r := s.delegate()
		if err := r.WaitCovered(ctx, server, m); !s.shouldRetry(r, err) {
			return err
		}
	}
}

// WaitPrimary returns a view with a confirmed primary.
func (s *Switcher) WaitPrimary(ctx context.Context) (*observer.View, error) {
	for {
		r := s.delegate()
		v, err := r.WaitPrimary(ctx)
		if !s.shouldRetry(r, err) {
			return v, err
		}
	}
}
