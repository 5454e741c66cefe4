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

// Run follows the configuration until ctx ends, and then gives the host's
// object back. The host must have stopped serving by then.
func (h *Host) Run(ctx context.Context) error {
	h.once.Do(h.init)
	g, c := errgroup.WithContext(ctx)
	if h.ownWatcher {
		g.Go(func() error { return h.Watcher.Run(c) })
	}
	g.Go(func() error { return h.loopSights(c) })
	g.Go(func() error { return h.loopWork(c) })
	err := g.Wait()
	h.stop()
	h.retire(context.WithoutCancel(ctx))
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (h *Host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	close(h.moved)
	h.moved = make(chan struct{})
}

func (h *Host) see(o accessor.Object, sent time.Time) {
	d, err := encoder.Decode[encoder.Head](o)
	if err != nil {
		h.Log.WithError(err).Error("head of the configuration isn't readable")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.now()
	h.state.ObserveHead(d, o.Version, now-since(sent), now)
	h.note(d)
	h.announce()
	h.settle()
}

// note keeps the digests that the files must have, and what leads to the staged one.
func (h *Host) note(d encoder.Head) {
	h.change = d.Change
	if d.Staged != nil {
		h.digests[d.Staged.Revision] = d.Staged.Digest
	}
	if e := d.Latest(); e.Revision != 0 {
		h.digests[e.Revision] = e.Digest
	}
}

// loopWork fetches files and reports, one after the other.
func (h *Host) loopWork(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		busy, wait, err := h.work(ctx)
		switch {
		case err != nil:
			failures++
			h.Log.WithError(err).Warn("configuration step failed")
			h.Clock.Sleep(ctx, h.Backoff.Next(failures, h.Random()))
		case busy:
			failures = 0
		default:
			h.idle(ctx, wait)
		}
	}
	return ctx.Err()
}

// idle waits for news, for the time wait unless it is zero, or until it is time
// to report again.
func (h *Host) idle(ctx context.Context, wait time.Duration) {
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
			h.reportAgain(ctx)
		}
	case <-ctx.Done():
	}
}

// reportAgain reports although nothing has changed.
func (h *Host) reportAgain(ctx context.Context) {
	h.reportedAt = time.Now()
	if h.left() {
		return
	}
	if err := h.report(ctx, h.toReport()); err != nil {
		h.Log.WithError(err).Warn("report failed")
	}
}

func (h *Host) left() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.departed
}

// work takes the next step and reports whether there was one, or else how long
// the next one may wait.
func (h *Host) work(ctx context.Context) (bool, time.Duration, error) {
	h.mu.Lock()
	r := h.state.Wanted()
	p, due := h.state.Report()
	due, wait := h.due(p, due)
	// While the platform fails the watch alone tries it, or else each host
	// would make three calls at each attempt instead of one.
	if !h.failingSince().IsZero() {
		due, wait = false, 0
	}
	h.mu.Unlock()
	var err error
	if r != 0 {
		err = h.fetch(ctx, r)
	}
	// A file that can't be had must not keep the host from reporting.
	if due && (r == 0 || err != nil) {
		err = errors.Trace(h.report(ctx, p))
	}
	return r != 0 || due, wait, err
}

func (h *Host) toReport() adopter.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, _ := h.state.Report()
	return r
}
