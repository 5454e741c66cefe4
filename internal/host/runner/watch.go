package runner

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
	"github.com/cuminwick/cuminwick/internal/pool/lender"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

const (
	// monitorInterval is the time between two updates from a group's view.
	monitorInterval = 50 * time.Millisecond
	// idleMonitorInterval is the same while this host has no requests for the group and doesn't
	// serve it.
	idleMonitorInterval = time.Second
	// unreachableFailures is the number of failed status calls in a row after which requests that
	// wait for a connection fail.
	unreachableFailures = 2
)

// loopMonitor passes the driver's view on to the director, the pools and the metrics until ctx
// ends.
func (p *groupRunner) loopMonitor(ctx context.Context) {
	defer p.reconciler.wait.Done()
	w := make([]serverMonitor, len(p.group.lenders))
	for i, l := range p.group.lenders {
		w[i].lender = l
		w[i].resolveMetrics(p.reconciler.host.collector)
	}
	n := newPollMetrics(p.group.switcher, p.reconciler.host.collector)
	g := &writeGap{collector: p.reconciler.host.collector}
	for {
		n.update()
		p.group.group.Sample()
		v := p.group.group.Driver.View()
		g.update(v)
		for i := range w {
			w[i].update(v)
		}
		if !p.reconciler.host.Clock.Sleep(ctx, p.monitorPause()) {
			return
		}
	}
}

// monitorPause returns the time until the next update. A host has no requests for most groups, so
// frequent updates for all groups would cause most of its load.
func (p *groupRunner) monitorPause() time.Duration {
	if p.group.switcher.Part() == switcher.PartIdle {
		return idleMonitorInterval
	}
	return monitorInterval
}

// serverMonitor adjusts the pool of one backend server to the server's state and updates its
// metrics.
type serverMonitor struct {
	lender *lender.Lender

	// slots and closedReason are the values that the gate's queue has.
	slots        int
	closedReason admitter.Reason
	// leaving is the state in the last view, and leavingSince the time of the view in which it was
	// first set.
	leaving      bool
	leavingSince time.Duration

	queued, idle, working, opening, lag prometheus.Gauge
}

// resolveMetrics looks up the metrics of the server.
func (w *serverMonitor) resolveMetrics(c *collector.Collector) {
	n := w.lender.Keeper.Server.Name
	w.queued = c.QueuedRequests.WithLabelValues(n)
	w.idle = c.PoolConnections.WithLabelValues(n, "idle")
	w.working = c.PoolConnections.WithLabelValues(n, "working")
	w.opening = c.PoolConnections.WithLabelValues(n, "opening")
	w.lag = c.ReplicaLagRecords.WithLabelValues(n)
}

// update processes the present view of the group.
func (w *serverMonitor) update(v *observer.View) {
	s, _ := v.Server(w.lender.Keeper.Server.Name)
	w.closeIfLeaving(&s, v)
	if !s.Fresh && s.Failures >= unreachableFailures {
		w.lender.Keeper.Interrupt(lessor.ErrUnreachable)
	}
	w.adjustSlots(s.RoundTrip)
	w.updateMetrics(&s, v)
}

// adjustSlots adds slots for the requests that are in transit to the server or back. Without them
// each of the server's own slots would be idle for a round trip after each request, which is a
// fifth of the time with a round trip of 1 ms to a server that takes 4 ms for a request.
func (w *serverMonitor) adjustSlots(roundTrip time.Duration) {
	n := w.lender.Keeper.Server.Slots
	n += slotsInTransit(n, roundTrip, w.lender.Gate.Load().ServiceTime)
	if n == w.slots {
		return
	}
	w.slots = n
	w.lender.Gate.Adjust(func(q *admitter.Queue) { q.Slots = n })
}

// slotsInTransit returns the number of slots to add for requests that are in transit, at most
// slots; held is the time for which a request holds a slot, including the round trip. The result is
// zero if the round trip is less than an eighth of held.
func slotsInTransit(slots int, roundTrip, held time.Duration) int {
	const minimumShareDivisor = 8
	if roundTrip*minimumShareDivisor < held {
		return 0
	}
	worked := max(held-roundTrip, 1)
	n := (time.Duration(slots)*roundTrip + worked - 1) / worked
	return int(min(n, time.Duration(slots)))
}

// closeIfLeaving closes the queue of a leaving server. The queue of a primary is closed only after
// chooser.DefaultLeavingGrace, which is the time for a change of the primary.
func (w *serverMonitor) closeIfLeaving(s *observer.Server, v *observer.View) {
	if s.Status.Leaving && !w.leaving {
		w.leavingSince = v.At
	}
	w.leaving = s.Status.Leaving
	r := admitter.ReasonNone
	if w.leaving && (s.Name != v.Primary || v.At-w.leavingSince >= chooser.DefaultLeavingGrace) {
		r = admitter.ReasonLeaving
	}
	if r == w.closedReason {
		return
	}
	w.closedReason = r
	w.lender.Gate.Adjust(func(q *admitter.Queue) { q.Closed = r })
}

// updateMetrics updates the metrics. The replica lag is updated only if the logs of the primary and
// the server end in the same term and the server's position isn't the higher one.
func (w *serverMonitor) updateMetrics(s *observer.Server, v *observer.View) {
	w.queued.Set(float64(w.lender.Gate.Load().Waiting))
	c := w.lender.Keeper.Count()
	w.idle.Set(float64(c.Idle))
	w.working.Set(float64(c.Working))
	w.opening.Set(float64(c.Opening))
	p, _ := v.Server(v.Primary)
	if a, b := p.Status.Last, s.Status.Last; a.Term == b.Term && a.Position >= b.Position {
		w.lag.Set(float64(a.Position - b.Position))
	}
}
