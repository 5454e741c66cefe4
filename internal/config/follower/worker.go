package follower

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Run follows the configuration until ctx ends, and then frees the host's object. The
// host must have stopped serving by the time ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.once.Do(h.init)
	g, c := errgroup.WithContext(ctx)
	if h.ownWatcher {
		g.Go(func() error { return h.Watcher.Run(c) })
	}
	g.Go(func() error { return h.loopHead(c) })
	g.Go(func() error { return h.loopWork(c) })
	err := g.Wait()
	h.stop()
	h.retireObject(context.WithoutCancel(ctx))
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// stop ends all waits of AwaitRevision with ErrStopped.
func (h *Host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	close(h.moved)
	h.moved = make(chan struct{})
}

// recordHead records the head that the platform returned to a call sent at sent.
func (h *Host) recordHead(o accessor.Object, sent time.Time) {
	d, err := encoder.Decode[encoder.Head](o)
	if err != nil {
		h.Log.WithError(err).Error("head of the configuration can't be decoded")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.now()
	h.state.ObserveHead(d, o.Version, now-since(sent), now)
	h.recordDigests(d)
	h.notifyWaiters()
	h.publish()
}

// recordDigests keeps the digests that d states for files, and its change to the staged
// file; the caller holds h.mu.
func (h *Host) recordDigests(d encoder.Head) {
	h.headChange = d.Change
	if d.Staged != nil {
		h.digests[d.Staged.Revision] = d.Staged.Digest
	}
	if e := d.Latest(); e.Revision != 0 {
		h.digests[e.Revision] = e.Digest
	}
}

// loopWork fetches files and reports, one step after the other, until ctx ends.
func (h *Host) loopWork(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		busy, wait, err := h.step(ctx)
		switch {
		case err != nil:
			failures++
			h.Log.WithError(err).Warn("configuration step failed")
			h.Clock.Sleep(ctx, h.Backoff.Next(failures, h.Random()))
		case busy:
			failures = 0
		default:
			h.waitForWork(ctx, wait)
		}
	}
	return ctx.Err()
}

// waitForWork waits until h.wake receives, wait has passed unless it is zero, or the
// periodic report is due, which it then makes.
func (h *Host) waitForWork(ctx context.Context, wait time.Duration) {
	d := h.ReportInterval
	if d <= 0 {
		d = DefaultReportInterval
	}
	d = time.Until(h.reportedAt.Add(d))
	gathering := wait > 0 && wait < d
	if gathering {
		d = wait
	}
	t, x := h.Clock.Timer(d)
	defer x.Cancel()
	select {
	case <-h.wake:
	case <-t:
		if !gathering {
			h.repeatReport(ctx)
		}
	case <-ctx.Done():
	}
}

// repeatReport makes the periodic report, although nothing has changed.
func (h *Host) repeatReport(ctx context.Context) {
	h.reportedAt = time.Now()
	if h.hasDeparted() {
		return
	}
	if err := h.report(ctx, h.currentReport()); err != nil {
		h.Log.WithError(err).Warn("report failed")
	}
}

func (h *Host) hasDeparted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deregistered
}

// step fetches the wanted file or reports, and says whether there was anything to do. If
// not it returns for how long the next report may wait, zero for no limit.
func (h *Host) step(ctx context.Context) (bool, time.Duration, error) {
	h.mu.Lock()
	r := h.state.Wanted()
	p, due := h.state.Report()
	due, wait := h.reportDue(p, due)
	// While the platform fails only the watch retries it; otherwise each host would
	// make three calls per attempt instead of one.
	if !h.failingSince().IsZero() {
		due, wait = false, 0
	}
	h.mu.Unlock()
	var err error
	if r != 0 {
		err = h.fetch(ctx, r)
	}
	// A file that can't be fetched must not prevent the host from reporting.
	if due && (r == 0 || err != nil) {
		err = errors.Trace(h.report(ctx, p))
	}
	return r != 0 || due, wait, err
}

// currentReport returns the present report, due or not.
func (h *Host) currentReport() adopter.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, _ := h.state.Report()
	return r
}
