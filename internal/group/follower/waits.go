package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// AwaitView returns once a serving host's view has come. It gives up with ctx, and
// after a while in which none answers.
func (f *Follower) AwaitView(ctx context.Context) {
	f.init()
	f.demand()
	if f.Current() {
		return
	}
	c, cancel := context.WithTimeout(ctx, attendance)
	defer cancel()
	for !f.Current() && !f.stopped.Load() {
		f.mu.Lock()
		x := f.fresh
		f.mu.Unlock()
		if f.Current() || f.stopped.Load() {
			return
		}
		select {
		case <-x:
		case <-c.Done():
			return
		}
	}
}

// View returns what the serving hosts told last. It must not be changed.
func (f *Follower) View() *observer.View {
	f.init()
	return f.view.Load()
}

// Now returns the time on the clock that the view's times are read from.
func (f *Follower) Now() time.Duration {
	f.init()
	return f.now()
}

// Stopped reports whether Run has been ended.
func (f *Follower) Stopped() bool {
	return f.stopped.Load()
}

// Thresholds returns Settings.
func (f *Follower) Thresholds() driver.Settings { return f.Settings }

// HandingOver reports whether the primary is about to be moved, by the serving
// host or because its server is leaving; new writes had better wait.
func (f *Follower) HandingOver() bool {
	return f.handing.Load() || driver.WritesHeldForLeaving(f.View(), f.Now(), f.Settings.LeavingHold)
}

// PollNow has a serving host poll all servers at once and takes its view.
func (f *Follower) PollNow() {
	f.init()
	f.mu.Lock()
	n := len(f.lanes[laneHurry].queue)
	f.mu.Unlock()
	if n > 0 {
		return
	}
	f.enlist(&waiter{ask: informer.Ask{Kind: informer.AskPollNow}})
}

// IndexRequest is a read index that is being taken.
type IndexRequest struct {
	follower *Follower
	waiter   *waiter
	// stop ends the watch for the end of the context that it was begun under.
	stop func() bool
}

// BeginReadIndex asks for a read index, which covers every write acknowledged
// before the call: the question goes out after it, and the serving host begins to
// take the index after it got the question. It is given up when ctx ends.
func (f *Follower) BeginReadIndex(ctx context.Context) driver.PendingIndex {
	r := &IndexRequest{follower: f, waiter: &waiter{ask: informer.Ask{Kind: informer.AskReadIndex}}}
	f.enlist(r.waiter)
	r.stop = context.AfterFunc(ctx, r.run)
	return r
}

// run gives the request up. Without it one whose caller has left would be asked
// for again as long as no majority answers.
func (r *IndexRequest) run() {
	r.follower.leave(r.waiter)
}

// Await returns the read index.
func (r *IndexRequest) Await(ctx context.Context) (marker.Mark, error) {
	defer r.stop()
	a, err := r.follower.await(ctx, r.waiter)
	if err != nil {
		return marker.Mark{}, errors.WithType(errors.Annotatef(err, "take read index of database group %s", r.follower.Group.Name), driver.ErrNoMajority)
	}
	return a.mark, nil
}

// WaitAcknowledged is driver.Driver.WaitAcknowledged at a serving host.
func (f *Follower) WaitAcknowledged(ctx context.Context, m marker.Mark) error {
	return f.waitMark(ctx, informer.Ask{Kind: informer.AskAcknowledged, Mark: m})
}

// WaitCommit is driver.Driver.WaitCommit at a serving host.
func (f *Follower) WaitCommit(ctx context.Context, m marker.Mark) error {
	return f.waitMark(ctx, informer.Ask{Kind: informer.AskCommit, Mark: m})
}

func (f *Follower) waitMark(ctx context.Context, k informer.Ask) error {
	a, err := f.wait(ctx, k)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "wait for acknowledgement of %s in database group %s", k.Mark, f.Group.Name), driver.ErrUndetermined)
	}
	return errors.Annotatef(a.err, "commit %s in database group %s", k.Mark, f.Group.Name)
}

// WaitCovered is driver.Driver.WaitCovered at a serving host.
func (f *Follower) WaitCovered(ctx context.Context, server string, m marker.Mark) error {
	_, err := f.wait(ctx, informer.Ask{Kind: informer.AskCovered, Server: server, Mark: m})
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "wait for backend server %s to reach %s", server, m), driver.ErrUncovered)
	}
	return nil
}

// WaitPrimary is driver.Driver.WaitPrimary at a serving host.
func (f *Follower) WaitPrimary(ctx context.Context) (*observer.View, error) {
	a, err := f.wait(ctx, informer.Ask{Kind: informer.AskPrimary})
	if err != nil {
		return f.View(), errors.WithType(errors.Annotatef(err, "wait for primary of database group %s, %s", f.Group.Name, f.View().Obstacle), driver.ErrNoPrimary)
	}
	return a.view, errors.Annotatef(a.err, "wait for primary of database group %s", f.Group.Name)
}

func (f *Follower) wait(ctx context.Context, k informer.Ask) (answer, error) {
	w := &waiter{ask: k}
	f.enlist(w)
	return f.await(ctx, w)
}

// HandOver has a serving host move the primary. Only the first one that serves the
// group is told: another one would move the primary a second time.
func (f *Follower) HandOver(ctx context.Context, from string) error {
	f.init()
	q := informer.HandOver{DatabaseGroup: f.Group.Name, ServersDigest: f.digest, From: from}
	for _, h := range f.Hosts() {
		a, err := f.HandOverAt(ctx, h, q)
		switch {
		case err != nil:
			return errors.WithType(errors.Annotatef(err, "hand over from %s at entry host %s", from, h), driver.ErrHandOver)
		case a.Serving && a.Failure != "":
			return errors.Annotatef(driver.ErrHandOver, "from %s at entry host %s: %s", from, h, a.Failure)
		case a.Serving:
			return nil
		}
	}
	return errors.Annotatef(driver.ErrHandOver, "from %s: no entry host serves the group", from)
}

// ReadIndex returns a mark that covers every write acknowledged before the call.
func (f *Follower) ReadIndex(ctx context.Context) (marker.Mark, error) {
	return f.BeginReadIndex(ctx).Await(ctx)
}
