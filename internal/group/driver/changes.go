package driver

import (
	"context"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// AwaitView returns immediately, since a driver's view can always be used. At hosts that follow
// another host it waits for a view.
func (d *Driver) AwaitView(context.Context) {}

// Thresholds returns Settings.
func (d *Driver) Thresholds() Settings { return d.Settings }

// PrimaryReport returns this host's assessment of the primary, to be sent to other hosts.
func (d *Driver) PrimaryReport() observer.PrimaryReport {
	return d.View().Report(d.Host, d.Settings.Observer)
}

// Snapshot returns the view and its version. The version increases with each change that other entry
// hosts are notified of immediately: of a term, a role, reachability, leaving, or the server that a
// replica follows, but not of positions alone. It starts at a random number, so that versions of
// different drivers of the group aren't mistaken for each other.
func (d *Driver) Snapshot() (*observer.View, uint64) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Load(), d.version.Load()
}

// AwaitChange returns when the version differs from v or ctx has ended.
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

// notifyChange increments the version and wakes the calls of AwaitChange. The mutex is held.
func (d *Driver) notifyChange() {
	d.version.Add(1)
	close(d.changed)
	d.changed = make(chan struct{})
}

// HandingOver reports whether new writes should wait because the primary is being handed over, by
// this host or because the primary's server is leaving.
func (d *Driver) HandingOver() bool {
	return d.handingOver.Load() || WritesHeldForLeaving(d.View(), d.now(), d.Settings.LeavingHold)
}

// WritesHeldForLeaving reports whether new writes are held back at the given time because the
// primary's server is leaving and a replica can take over. Writes are held back for at most hold.
func WritesHeldForLeaving(v *observer.View, now, hold time.Duration) bool {
	return v.Leaving && bestReplica(v) != "" && now-v.LeavingSince < hold
}

// HandingOverLocally reports whether this host itself is handing the primary over.
func (d *Driver) HandingOverLocally() bool {
	return d.handingOver.Load()
}

// setHandingOver records whether this host is handing the primary over.
func (d *Driver) setHandingOver(active bool) {
	d.handingOver.Store(active)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyChange()
}

// differsForPeers reports whether v differs from p in a way that other hosts are notified of
// immediately.
func differsForPeers(p, v *observer.View) bool {
	return p.Primary != v.Primary || p.Term != v.Term || p.HighestTerm != v.HighestTerm ||
		p.Obstacle != v.Obstacle || p.Reason != v.Reason || p.Leaving != v.Leaving ||
		!slices.EqualFunc(p.Servers, v.Servers, sameState)
}

// sameState reports whether two observations of a server differ only in positions and times.
// Failures are counted up to two in a row.
func sameState(a, b observer.Server) bool {
	const maxCounted = 2
	return a.Fresh == b.Fresh && a.Answered == b.Answered && a.Status.Role == b.Status.Role &&
		a.Status.Term == b.Status.Term && a.Status.Last.Term == b.Status.Last.Term && a.Status.TermStart == b.Status.TermStart && a.Status.Following == b.Status.Following &&
		a.Status.Leaving == b.Status.Leaving && min(a.Failures, maxCounted) == min(b.Failures, maxCounted)
}
