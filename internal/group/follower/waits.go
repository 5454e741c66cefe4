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

// AwaitView returns once the view is current. It gives up when ctx ends and after
// firstViewTimeout.
func (f *Follower) AwaitView(ctx context.Context) {
	f.init()
	f.noteRequest()
	if f.Current() {
		return
	}
	c, cancel := context.WithTimeout(ctx, firstViewTimeout)
	defer cancel()
	for !f.Current() && !f.stopped.Load() {
		f.mu.Lock()
		x := f.nextView
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

// View returns the last view received from a serving host, or a view without reachable servers if
// none answers. It must not be changed.
func (f *Follower) View() *observer.View {
	f.init()
	return f.view.Load()
}

// Now returns the present time on the clock of the view's times.
func (f *Follower) Now() time.Duration {
	f.init()
	return f.now()
}

// Stopped reports whether Run has ended.
func (f *Follower) Stopped() bool {
	return f.stopped.Load()
}

// Thresholds returns Settings.
func (f *Follower) Thresholds() driver.Settings { return f.Settings }

// HandingOver reports whether the primary is about to be moved, by the serving host or
// because its server is leaving. New writes should wait then.
func (f *Follower) HandingOver() bool {
	return f.handingOver.Load() || driver.WritesHeldForLeaving(f.View(), f.Now(), f.Settings.LeavingHold)
}

// PollNow has a serving host poll all servers immediately and updates the view from its answer.
func (f *Follower) PollNow() {
	f.init()
	f.mu.Lock()
	n := len(f.queues[queuePollNow].waiters)
	f.mu.Unlock()
	if n > 0 {
		return
	}
	f.enqueue(&waiter{ask: informer.Ask{Kind: informer.AskPollNow}})
}

// IndexRequest is a read index that is being determined.
type IndexRequest struct {
	follower *Follower
	waiter   *waiter
	// stop removes the callback for the end of the context passed to BeginReadIndex.
	stop func() bool
}

// BeginReadIndex requests a read index, which covers every write acknowledged before the
// call: the question is sent after the call, and the serving host begins to determine the
// index after it has received the question. The request is abandoned when ctx ends.
func (f *Follower) BeginReadIndex(ctx context.Context) driver.PendingIndex {
	r := &IndexRequest{follower: f, waiter: &waiter{ask: informer.Ask{Kind: informer.AskReadIndex}}}
	f.enqueue(r.waiter)
	r.stop = context.AfterFunc(ctx, r.cancel)
	return r
}

// cancel abandons the request. Without it the request of a caller that has gone would be
// repeated as long as no majority answers.
func (r *IndexRequest) cancel() {
	r.follower.abandon(r.waiter)
}

// Await returns the read index, or driver.ErrNoMajority if there is none when ctx or Run ends.
func (r *IndexRequest) Await(ctx context.Context) (marker.Mark, error) {
	defer r.stop()
	a, err := r.follower.await(ctx, r.waiter)
	if err != nil {
		return marker.Mark{}, errors.WithType(errors.Annotatef(err, "take read index of database group %s", r.follower.Group.Name), driver.ErrNoMajority)
	}
	return a.mark, nil
}

// WaitAcknowledged calls driver.Driver.WaitAcknowledged at a serving host, unless the answer
// is already known here.
func (f *Follower) WaitAcknowledged(ctx context.Context, m marker.Mark) error {
	return f.waitMark(ctx, informer.Ask{Kind: informer.AskAcknowledged, Mark: m})
}

// WaitCommit calls driver.Driver.WaitCommit at a serving host, unless the answer is already
// known here.
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

// WaitCovered calls driver.Driver.WaitCovered at a serving host, unless the server is already
// known to cover m.
func (f *Follower) WaitCovered(ctx context.Context, server string, m marker.Mark) error {
	_, err := f.wait(ctx, informer.Ask{Kind: informer.AskCovered, Server: server, Mark: m})
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "wait for backend server %s to reach %s", server, m), driver.ErrUncovered)
	}
	return nil
}

// WaitPrimary calls driver.Driver.WaitPrimary at a serving host, unless the view already has
// a confirmed primary.
func (f *Follower) WaitPrimary(ctx context.Context) (*observer.View, error) {
	a, err := f.wait(ctx, informer.Ask{Kind: informer.AskPrimary})
	if err != nil {
		return f.View(), errors.WithType(errors.Annotatef(err, "wait for primary of database group %s, %s", f.Group.Name, f.View().Obstacle), driver.ErrNoPrimary)
	}
	return a.view, errors.Annotatef(a.err, "wait for primary of database group %s", f.Group.Name)
}

func (f *Follower) wait(ctx context.Context, k informer.Ask) (answer, error) {
	w := &waiter{ask: k}
	f.enqueue(w)
	return f.await(ctx, w)
}

// HandOver has a serving host move the primary off the named server. Only the first host that
// serves the group gets the request: another one would move the primary a second time. Its
// errors are of type driver.ErrHandOver.
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
