package driver

import (
	"context"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// AwaitView is for hosts that follow another one; a driver's view is always of use.
func (d *Driver) AwaitView(context.Context) {}

// Thresholds returns Settings.
func (d *Driver) Thresholds() Settings { return d.Settings }

// PrimaryReport returns this host's assessment of the primary, to be sent to other hosts.
func (d *Driver) PrimaryReport() observer.PrimaryReport {
	return d.View().Report(d.Host, d.Settings.Observer)
}

// Snapshot returns the view with its version. That numbers the changes of which
// other entry hosts are told at once: of term, role, reachability, leaving or of
// whom a replica follows. A position alone isn't one. It begins at random, so that
// the number of another driver of the group isn't taken for one of this.
func (d *Driver) Snapshot() (*observer.View, uint64) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Load(), d.version.Load()
}

// AwaitChange returns when the version is another than v or ctx has ended.
func (d *Driver) AwaitChange(ctx context.Context, v uint64) {
	d.init()
	d.mu.Lock()
	c := d.changed
	d.mu.Unlock()
	if d.version.Load() != v {
		return
	}
	select {
	case <-c:
	case <-ctx.Done():
	}
}

// change tells of a new version. The mutex is held.
func (d *Driver) change() {
	d.version.Add(1)
	close(d.changed)
	d.changed = make(chan struct{})
}

// HandingOver reports whether the primary is about to be moved, by this host or
// because its server is leaving; new writes had better wait.
func (d *Driver) HandingOver() bool {
	return d.handing.Load() || WritesHeldForLeaving(d.View(), d.now(), d.Settings.LeavingHold)
}

// WritesHeldForLeaving reports whether new writes wait at the given time since the primary's
// server is leaving and another one can take over.
func WritesHeldForLeaving(v *observer.View, now, hold time.Duration) bool {
	return v.Leaving && heir(v) != "" && now-v.LeavingSince < hold
}

// HandingOverLocally reports whether this host is moving the primary itself.
func (d *Driver) HandingOverLocally() bool {
	return d.handing.Load()
}

// hand notes whether this host hands the primary over.
func (d *Driver) hand(begins bool) {
	d.handing.Store(begins)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.change()
}

// differs reports whether v is a change from p that others are told at once.
func differs(p, v *observer.View) bool {
	return p.Primary != v.Primary || p.Term != v.Term || p.HighestTerm != v.HighestTerm ||
		p.Obstacle != v.Obstacle || p.Reason != v.Reason || p.Leaving != v.Leaving ||
		!slices.EqualFunc(p.Servers, v.Servers, alike)
}

// alike reports whether two observations of a server differ in positions and times
// only. Further failures than two in a row change nothing.
func alike(a, b observer.Server) bool {
	const enough = 2
	return a.Fresh == b.Fresh && a.Answered == b.Answered && a.Status.Role == b.Status.Role &&
		a.Status.Term == b.Status.Term && a.Status.Last.Term == b.Status.Last.Term && a.Status.TermStart == b.Status.TermStart && a.Status.Following == b.Status.Following &&
		a.Status.Leaving == b.Status.Leaving && min(a.Failures, enough) == min(b.Failures, enough)
}
