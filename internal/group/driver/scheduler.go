package driver

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// schedule recomputes when each instance is polled next. The mutex is held.
func (d *Driver) schedule() {
	t := d.fillTable()
	t.Demands = t.Demands[:0]
	for w := range d.waiters {
		t.Demands = pacer.AddDemand(t.Demands, w.demand)
	}
	if len(t.Demands) > 0 {
		d.lastDemand = d.now()
	}
	for n, i := range d.instances {
		i.setTurn(pacer.Next(t, n))
	}
}

// scheduleFor moves polls forward where one more waiter needs it. Polls for other waiters keep their
// times. The mutex is held.
func (d *Driver) scheduleFor(w *waiter) {
	d.lastDemand = d.now()
	t := d.fillTable()
	t.Demands = append(t.Demands[:0], w.demand)
	for n, i := range d.instances {
		i.setTurn(pacer.Earlier(i.turn, pacer.Next(t, n)))
	}
}

// setTurn sets the instance's turn and wakes its poll loop if the turn is earlier than before.
func (i *instance) setTurn(t pacer.ScheduledPoll) {
	before := i.turn.At
	i.turn = t
	if t.At < before {
		i.wake()
	}
}

// fillTable returns the table of the pacer's decision, without demands. The mutex is held.
func (d *Driver) fillTable() *pacer.State {
	v := d.view.Load()
	t := &d.table
	t.Settings = pacer.Settings{
		IdleInterval:      d.Settings.StatusInterval,
		FailureInterval:   d.Settings.FailureInterval,
		NoPrimaryInterval: d.Settings.GapInterval,
		UrgentInterval:    d.Settings.BusyGapInterval,
		MinimumInterval:   d.Settings.MinPollInterval,
	}
	t.Busy = d.lastDemand > 0 && d.now()-d.lastDemand <= d.Settings.StatusInterval
	t.Promoting = d.promoting > 0
	t.NoPrimary = !v.Confirmed && v.HasMajority() || primaryMayBeLost(v, d.Settings.Observer.SuspicionTimeout/2)
	t.Servers = t.Servers[:0]
	for _, i := range d.instances {
		t.Servers = append(t.Servers, i.pacerServer(v))
	}
	return t
}

func (i *instance) pacerServer(v *observer.View) pacer.Server {
	return pacer.Server{
		Primary:      i.name == v.Primary,
		HasAnswered:  i.observation.Answered,
		Failures:     i.observation.Failures,
		PollNow:      i.pollRequested,
		Polling:      i.polling,
		LastPoll:     i.lastBegun,
		PollStarted:  i.beganAt,
		PollEnded:    i.endedAt,
		LastAnswered: i.answered,
		RoundTrip:    i.observation.RoundTrip,
		Delays:       i.delays,
	}
}

// primaryMayBeLost reports whether a majority of the primary's replicas has received nothing from it
// for d. With polls at the interval at rest only, a suspicion could begin up to one interval late.
func primaryMayBeLost(v *observer.View, d time.Duration) bool {
	n := 0
	for _, s := range v.Servers {
		if s.Name != v.Primary && s.Status.Role == controller.RoleReplica && s.Status.Following == v.Primary && s.Status.SinceLastContact >= d {
			n++
		}
	}
	return v.Primary != "" && n >= observer.Majority(len(v.Servers)-1)
}

// updateWaiters updates all waiters with an answer of the instance whose call began at the given
// time. The mutex is held.
func (d *Driver) updateWaiters(i *instance, at time.Duration) {
	n := d.instanceNumber(i.name)
	for w := range d.waiters {
		if w.needsAnswer(n) {
			d.updateWaiter(w, i, n, at)
		}
	}
}

// updateWaiter records whether the instance has reached what the waiter waits for. If the call began
// after the waiter's arrival, it also updates the instance's usual delay.
func (d *Driver) updateWaiter(w *waiter, i *instance, n int, at time.Duration) {
	k := w.demand.Kind
	reached := d.reached(w, i)
	if reached && k == pacer.KindAcknowledgement {
		w.demand.Holders = w.demand.Holders.With(n)
	}
	switch {
	case at < w.demand.ArrivedAt:
	case reached:
		i.delays[k] = pacer.UpdateDelay(i.delays[k], at-w.demand.ArrivedAt, w.behind.Has(n), d.Settings.GapInterval)
	default:
		w.behind = w.behind.With(n)
	}
}

// needsAnswer reports whether an answer of instance n may change what is known for the waiter.
func (w *waiter) needsAnswer(n int) bool {
	switch w.demand.Kind {
	case pacer.KindAcknowledgement:
		return !w.demand.Holders.Has(n)
	case pacer.KindCover:
		return w.demand.Server == n
	default:
		return false
	}
}

// reached reports whether the instance is known to hold the mark that the waiter waits for.
func (d *Driver) reached(w *waiter, i *instance) bool {
	if w.demand.Kind == pacer.KindAcknowledgement {
		return d.ledger.Held(i.name, w.mark)
	}
	return i.observation.Status.Last.Covers(w.mark)
}

func (d *Driver) instanceNumber(name string) int {
	for n, i := range d.instances {
		if i.name == name {
			return n
		}
	}
	return 0
}

// setDemand sets the waiter's demand for polls. The mutex is held.
func (d *Driver) setDemand(w *waiter) {
	w.demand = pacer.Demand{Kind: demandKinds[w.kind], ArrivedAt: d.now(), AfterPoll: d.sequence, Server: d.instanceNumber(w.server)}
	if w.demand.Kind == pacer.KindAcknowledgement {
		w.demand.Holders = d.holders(w.mark)
	}
}

// holders returns the instances that are known to hold the record at m.
func (d *Driver) holders(m marker.Mark) pacer.Set {
	var s pacer.Set
	for n, i := range d.instances {
		if d.ledger.Held(i.name, m) {
			s = s.With(n)
		}
	}
	return s
}
