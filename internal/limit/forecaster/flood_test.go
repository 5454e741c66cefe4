package forecaster_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/booker"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
)

// route is a kind of requests, whose number is its priority.
type route struct {
	// weight is the route's part of the requests.
	weight                   int
	work, objective, timeout time.Duration
}

var routes = [levels]route{
	{1, 3 * time.Millisecond, 250 * time.Millisecond, 800 * time.Millisecond},
	{3, 15 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond},
	{3, 9 * time.Millisecond, time.Second, 800 * time.Millisecond},
}

const (
	customers = 81
	// floodFactor is the load of the flooding customer relative to its usual one.
	floodFactor = 10
	// waitPart is the part of an objective that a request may wait.
	waitPart = 4
	// floodLoad is the usual load relative to the capacity.
	floodLoad = 0.8
	playTime  = 20 * time.Second
)

// weight is a customer's part of the usual requests, and its share.
func weight(customer int) int {
	if customer == 0 {
		return 2500
	}
	if customer%9 == 0 {
		return 600
	}
	return 100
}

func team(customer int) string { return fmt.Sprintf("c%d", customer) }

// operation is a request of a caller, which retries when it is told until its timeout.
type operation struct {
	entry           admitter.Entry
	route, customer int
	host            *host
	began, work     time.Duration
	pass            forecaster.Pass
	// inTime is set if it was answered within its objective and timeout.
	inTime bool
	// unasked is the number of attempts that a forecast refused.
	unasked int
}

// deployment has one owner with a queue, its forecasts and its calendar, and hosts that borrow from it.
type deployment struct {
	now      time.Duration
	sequence int
	events   events
	hosts    []host
	// factor is the load of a customer at a route relative to its usual one.
	factor func(route, customer int) float64

	queue      admitter.Queue
	forecaster forecaster.Forecaster
	calendar   booker.Calendar
	operations []*operation
}

func (d *deployment) after(w time.Duration, call func()) {
	d.sequence++
	heap.Push(&d.events, event{d.now + w, d.sequence, call})
}

// play offers load times the capacity and the factors, until playTime, and handles all events.
func (d *deployment) play(seed uint64, load float64) {
	d.hosts = make([]host, 8)
	for i := range d.hosts {
		d.hosts[i].delay = time.Duration(1+i) * time.Millisecond
	}
	d.queue.Slots = slots
	teams := make(map[string]admitter.TeamLimit)
	weights := 0
	for c := range customers {
		teams[team(c)] = admitter.TeamLimit{Share: weight(c)}
		weights += weight(c)
	}
	d.queue.SetTeams(teams, 0)
	var work time.Duration
	for _, r := range routes {
		work += time.Duration(r.weight) * r.work
	}
	for i, r := range routes {
		for c := range customers {
			// Each has its own random numbers, so that a flood leaves the requests of the others as they are.
			random := rand.New(rand.NewPCG(seed<<8+uint64(i), uint64(c)))
			rate := load * d.factor(i, c) * slots * float64(r.weight) / work.Seconds() * float64(weight(c)) / float64(weights)
			d.offer(random, i, c, rate)
		}
	}
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.call()
	}
}

func (d *deployment) offer(random *rand.Rand, route, customer int, rate float64) {
	d.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		if d.now > playTime {
			return
		}
		o := &operation{route: route, customer: customer, host: &d.hosts[random.IntN(len(d.hosts))], began: d.now}
		o.work = time.Duration((0.5 + random.Float64()) * float64(routes[route].work))
		d.operations = append(d.operations, o)
		d.send(o)
		d.offer(random, route, customer, rate)
	})
}

func (d *deployment) send(o *operation) {
	p, w, ok := o.host.board.Ask(importance(o.route), d.now)
	if !ok {
		o.unasked++
		d.retry(o, w)
		return
	}
	o.pass = p
	d.after(o.host.delay, func() { d.arrive(o) })
}

func (d *deployment) retry(o *operation, w time.Duration) {
	if d.now+w < o.began+routes[o.route].timeout {
		d.after(w, func() { d.send(o) })
	}
}

func (d *deployment) arrive(o *operation) {
	r := routes[o.route]
	o.entry = admitter.Entry{
		Team: team(o.customer), Class: admitter.ClassRead, Importance: importance(o.route), Owner: o,
		Deadline: o.began + r.timeout - o.host.delay, Objective: d.now + r.objective/waitPart,
	}
	e := &o.entry
	d.queue.Offer(e, d.now)
	t, _ := e.Tolerance(d.queue.ServiceTime())
	d.forecaster.Offered(e.Importance, t)
	d.settle()
	if e.State == admitter.StateWaiting {
		d.after(e.Deadline-d.now, func() { d.queue.Expire(e, d.now); d.settle() })
	}
}

// settle takes in the decisions of the queue's last call.
func (d *deployment) settle() {
	for _, e := range slices.Clone(d.queue.Granted) {
		d.after(e.Owner.(*operation).work, func() { d.end(e) })
	}
	for _, e := range slices.Clone(d.queue.Refused) {
		d.refuse(e)
	}
}

func (d *deployment) end(e *admitter.Entry) {
	d.queue.Release(e, d.now)
	d.settle()
	o := e.Owner.(*operation)
	d.after(o.host.delay, func() {
		r := routes[o.route]
		o.inTime = d.now-o.began <= min(r.objective, r.timeout)
		if o.pass.Counted() {
			o.host.board.Answered(o.pass, true, d.now)
		}
	})
}

// refuse sends the refusal with a forecast and a booked time, as a pool of connections does.
func (d *deployment) refuse(e *admitter.Entry) {
	o, l := e.Owner.(*operation), d.queue.Load()
	w := d.calendar.Book(e.Order(), e.RetryAfter, booker.Capacity{Slots: l.Slots, ServiceTime: l.ServiceTime}, d.now)
	r := forecaster.Refusal{Importance: e.Importance, BeyondEntitlement: e.Order() >= admitter.LevelCount, QueueFull: e.Reason == admitter.ReasonQueueFull}
	var f forecaster.Forecast
	if e.Reason != admitter.ReasonDeadline {
		f = d.forecaster.Refused(r, l, d.now)
	}
	d.after(o.host.delay, func() {
		o.host.board.Update(f, d.now)
		if o.pass.Counted() {
			o.host.board.Answered(o.pass, false, d.now)
		}
		d.retry(o, w)
	})
}

// outcome is what became of a number of operations.
type outcome struct {
	count, inTime, unasked int
	// entitled is the work of all, and done that of those that were answered in time.
	entitled, done time.Duration
}

func (d *deployment) outcome(match func(*operation) bool) outcome {
	var s outcome
	for _, o := range d.operations {
		if !match(o) {
			continue
		}
		s.count++
		s.unasked += o.unasked
		s.entitled += o.work
		if o.inTime {
			s.inTime++
			s.done += o.work
		}
	}
	return s
}

func (s outcome) partInTime() float64 { return float64(s.inTime) / float64(max(1, s.count)) }

// Guards against parts that are right on their own and together let one customer's flood cost the others:
// forecasts that refuse customers within their entitlement because of requests beyond that of another, and
// retry times that the flood has booked out.
func TestFloodAcrossHostsCostsOthersLittle(t *testing.T) {
	floods := []struct {
		name     string
		customer int
		route    int
	}{
		{"small customer, all routes", 1, levels},
		{"largest customer, all routes", 0, levels},
		{"largest customer, first route", 0, 0},
		{"largest customer, second route", 0, 1},
		{"largest customer, third route", 0, 2},
		{"large customer, all routes", 9, levels},
		{"large customer, first route", 9, 0},
		{"large customer, second route", 9, 1},
		{"large customer, third route", 9, 2},
	}
	for seed := range uint64(3) {
		usual := &deployment{factor: func(int, int) float64 { return 1 }}
		usual.play(seed, floodLoad)
		for _, flood := range floods {
			t.Run(fmt.Sprintf("%s, seed %d", flood.name, seed), func(t *testing.T) {
				flooded := &deployment{factor: func(route, customer int) float64 {
					if customer == flood.customer && (flood.route == levels || flood.route == route) {
						return floodFactor
					}
					return 1
				}}
				flooded.play(seed, floodLoad)
				others := func(o *operation) bool { return o.customer != flood.customer }
				u, f := usual.outcome(others), flooded.outcome(others)
				loss := float64(u.done-f.done) / float64(u.entitled)
				t.Logf("others: usual %+v, flooded %+v; loss %.4f", u, f, loss)
				if loss >= 0.01 {
					t.Errorf("the others lose %.4f of what they are entitled to", loss)
				}
				if p := flooded.outcome(func(o *operation) bool { return o.route == 0 }).partInTime(); p < 0.99 {
					t.Errorf("%.4f of the most important requests in time, want 0.99", p)
				}
			})
		}
	}
}

// Guards against a forecast by the requests that one customer sends beyond its entitlement: the queue admits
// those of the others at the same moment.
func TestForecastAdmitsWithinEntitlement(t *testing.T) {
	const objective = 60 * time.Millisecond
	var f forecaster.Forecaster
	q := admitter.Queue{Slots: slots}
	teams := make(map[string]admitter.TeamLimit)
	for c := range 40 {
		teams[team(c)] = admitter.TeamLimit{Share: 100}
	}
	q.SetTeams(teams, 0)
	offer := func(customer, level int) *admitter.Entry {
		e := &admitter.Entry{Team: team(customer), Class: admitter.ClassRead, Importance: importance(level), Deadline: 10 * time.Second}
		if level == 2 {
			e.Objective = objective
		}
		q.Offer(e, 0)
		w, _ := e.Tolerance(q.ServiceTime())
		f.Offered(e.Importance, w)
		return e
	}
	for range 60 {
		offer(0, 1)
	}
	e := offer(0, 2)
	if e.Reason != admitter.ReasonExpectedWait || e.Order() < admitter.LevelCount {
		t.Fatalf("request of the flood: %s, order %d", e.Reason, e.Order())
	}
	r := forecaster.Refusal{Importance: e.Importance, BeyondEntitlement: true}
	if g := f.Refused(r, q.Load(), 0); g != (forecaster.Forecast{}) {
		t.Errorf("forecast %+v by a refusal beyond the entitlement", g)
	}
	r.BeyondEntitlement = false
	if g := f.Refused(r, q.Load(), 0); g != (forecaster.Forecast{}) {
		t.Errorf("forecast %+v by waiting requests beyond the entitlement", g)
	}
	if e := offer(1, 2); e.State != admitter.StateWaiting {
		t.Errorf("request of another customer: %s", e.Reason)
	}
}
