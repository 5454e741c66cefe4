package driver

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// schedule decides anew when each instance is polled. The mutex is held.
func (d *Driver) schedule() {
	t := d.fillTable()
	t.Demands = t.Demands[:0]
	for w := range d.waiters {
		t.Demands = pacer.AddDemand(t.Demands, w.demand)
	}
	if len(t.Demands) > 0 {
		d.demanded = d.now()
	}
	for n, i := range d.instances {
		i.take(pacer.Next(t, n))
	}
}

// scheduleFor has the instances polled for one more waiter; what the others need
// stays. The mutex is held.
func (d *Driver) scheduleFor(w *waiter) {
	d.demanded = d.now()
	t := d.fillTable()
	t.Demands = append(t.Demands[:0], w.demand)
	for n, i := range d.instances {
		i.take(pacer.Earlier(i.turn, pacer.Next(t, n)))
	}
}

// take sets the instance's turn and wakes its loop where it is earlier than before.
func (i *instance) take(t pacer.ScheduledPoll) {
	before := i.turn.At
	i.turn = t
	if t.At < before {
		i.wake()
	}
}

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
	t.Busy = d.demanded > 0 && d.now()-d.demanded <= d.Settings.StatusInterval
	t.Promoting = d.promoting > 0
	t.NoPrimary = !v.Confirmed && v.HasMajority() || alarming(v, d.Settings.Observer.SuspicionTimeout/2)
	t.Servers = t.Servers[:0]
	for _, i := range d.instances {
		t.Servers = append(t.Servers, i.paced(v))
	}
	return t
}

func (i *instance) paced(v *observer.View) pacer.Server {
	return pacer.Server{
		Primary:      i.name == v.Primary,
		HasAnswered:  i.observation.Answered,
		Failures:     i.observation.Failures,
		PollNow:      i.hurried,
		Polling:      i.polling,
		LastPoll:     i.begun,
		PollStarted:  i.began,
		PollEnded:    i.ended,
		LastAnswered: i.polled,
		RoundTrip:    i.observation.RoundTrip,
		Delays:       i.delays,
	}
}

// alarming reports whether the primary may turn out to be lost: a majority of its
// replicas hasn't heard it for d. The polls at rest would notice that the time for
// a suspicion has passed up to an interval late.
func alarming(v *observer.View, d time.Duration) bool {
	n := 0
	for _, s := range v.Servers {
		if s.Name != v.Primary && s.Status.Role == controller.RoleReplica && s.Status.Following == v.Primary && s.Status.SinceHeard >= d {
			n++
		}
	}
	return v.Primary != "" && n >= observer.Majority(len(v.Servers)-1)
}

// learn notes for each waiter what an answer of the instance shows, whose call
// began at the given time. The mutex is held.
func (d *Driver) learn(i *instance, at time.Duration) {
	n := d.number(i.name)
	for w := range d.waiters {
		if w.concerns(n) {
			d.learnFor(w, i, n, at)
		}
	}
}

func (d *Driver) learnFor(w *waiter, i *instance, n int, at time.Duration) {
	k := w.demand.Kind
	shows := d.shows(w, i)
	if shows && k == pacer.KindAcknowledgement {
		w.demand.Holders = w.demand.Holders.With(n)
	}
	switch {
	case at < w.demand.ArrivedAt:
	case shows:
		i.delays[k] = pacer.UpdateDelay(i.delays[k], at-w.demand.ArrivedAt, w.missed.Has(n), d.Settings.GapInterval)
	default:
		w.missed = w.missed.With(n)
	}
}

// concerns reports whether the waiter may learn something new from instance n.
func (w *waiter) concerns(n int) bool {
	switch w.demand.Kind {
	case pacer.KindAcknowledgement:
		return !w.demand.Holders.Has(n)
	case pacer.KindCover:
		return w.demand.Server == n
	default:
		return false
	}
}

// shows reports whether the instance is known to hold what the waiter waits for.
func (d *Driver) shows(w *waiter, i *instance) bool {
	if w.demand.Kind == pacer.KindAcknowledgement {
		return d.ledger.Held(i.name, w.mark)
	}
	return i.observation.Status.Last.Covers(w.mark)
}

func (d *Driver) number(name string) int {
	for n, i := range d.instances {
		if i.name == name {
			return n
		}
	}
	return 0
}

// demanding sets what the waiter demands of the polls.
func (d *Driver) demanding(w *waiter) {
	w.demand = pacer.Demand{Kind: demands[w.kind], ArrivedAt: d.now(), AfterPoll: d.sequence, Server: d.number(w.server)}
	if w.demand.Kind == pacer.KindAcknowledgement {
		w.demand.Holders = d.holders(w.mark)
	}
}

// holders are the instances that are known to hold the record at m.
func (d *Driver) holders(m marker.Mark) pacer.Set {
	var s pacer.Set
	for n, i := range d.instances {
		if d.ledger.Held(i.name, m) {
			s = s.With(n)
		}
	}
	return s
}
