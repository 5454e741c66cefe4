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
	// watchInterval is the time between two looks at a group's view.
	watchInterval = 50 * time.Millisecond
	// idleInterval is the same while this host only would follow the group.
	idleInterval = time.Second
	// silentFailures is how many status calls in a row fail before those who
	// wait for a connection are told.
	silentFailures = 2
)

// loopWatch takes what the driver sees over to the director and the pools.
func (p *part) loopWatch(ctx context.Context) {
	defer p.reconciler.wait.Done()
	w := make([]watch, len(p.group.lenders))
	for i, l := range p.group.lenders {
		w[i].lender = l
		w[i].resolve(p.reconciler.host.collector)
	}
	n := newPolls(p.group.switcher, p.reconciler.host.collector)
	g := &gap{collector: p.reconciler.host.collector}
	for {
		n.step()
		p.group.group.Sample()
		v := p.group.group.Driver.View()
		g.step(v)
		for i := range w {
			w[i].step(v)
		}
		if !p.reconciler.host.Clock.Sleep(ctx, p.watchPause()) {
			return
		}
	}
}

// watchPause returns the time until the next look. A host has most groups without
// any request for them, so looking at all that often would be its main work.
func (p *part) watchPause() time.Duration {
	if p.group.switcher.Part() == switcher.PartIdle {
		return idleInterval
	}
	return watchInterval
}

// watch keeps the pool of one backend server in step with the server's state.
type watch struct {
	lender *lender.Lender

	slots        int
	closed       admitter.Reason
	leaving      bool
	leavingSince time.Duration

	queued, idle, working, opening, lag prometheus.Gauge
}

func (w *watch) resolve(c *collector.Collector) {
	n := w.lender.Keeper.Server.Name
	w.queued = c.QueuedRequests.WithLabelValues(n)
	w.idle = c.PoolConnections.WithLabelValues(n, "idle")
	w.working = c.PoolConnections.WithLabelValues(n, "working")
	w.opening = c.PoolConnections.WithLabelValues(n, "opening")
	w.lag = c.ReplicaLagRecords.WithLabelValues(n)
}

func (w *watch) step(v *observer.View) {
	s, _ := v.Server(w.lender.Keeper.Server.Name)
	w.leave(&s, v)
	if !s.Fresh && s.Failures >= silentFailures {
		w.lender.Keeper.Interrupt(lessor.ErrUnreachable)
	}
	w.resize(s.RoundTrip)
	w.measure(&s, v)
}

// resize adds slots for the requests that are on the way to the server or back.
// Without them the server's own slots idle for a round trip after each request,
// which is a fifth of the time with 1 ms to a server that takes 4 ms.
func (w *watch) resize(roundTrip time.Duration) {
	n := w.lender.Keeper.Server.Slots
	n += onTheWay(n, roundTrip, w.lender.Gate.Load().ServiceTime)
	if n == w.slots {
		return
	}
	w.slots = n
	w.lender.Gate.Adjust(func(q *admitter.Queue) { q.Slots = n })
}

// onTheWay returns how many requests may be on the way beside those in slots; held
// is the time for which a request holds a slot, both ways included.
func onTheWay(slots int, roundTrip, held time.Duration) int {
	const minimumShare = 8
	if roundTrip*minimumShare < held {
		return 0
	}
	worked := max(held-roundTrip, 1)
	n := (time.Duration(slots)*roundTrip + worked - 1) / worked
	return int(min(n, time.Duration(slots)))
}

// leave closes the queue of a leaving server, that of a primary only after the
// time for the change to another one.
func (w *watch) leave(s *observer.Server, v *observer.View) {
	if s.Status.Leaving && !w.leaving {
		w.leavingSince = v.At
	}
	w.leaving = s.Status.Leaving
	r := admitter.ReasonNone
	if w.leaving && (s.Name != v.Primary || v.At-w.leavingSince >= chooser.DefaultLeavingGrace) {
		r = admitter.ReasonLeaving
	}
	if r == w.closed {
		return
	}
	w.closed = r
	w.lender.Gate.Adjust(func(q *admitter.Queue) { q.Closed = r })
}

func (w *watch) measure(s *observer.Server, v *observer.View) {
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
