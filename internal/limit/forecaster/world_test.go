package forecaster_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/booker"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
)

const (
	slots = 4
	// queueLength is admitter.DefaultLength.
	queueLength = 64
	// patience is how long a caller retries.
	patience = 1500 * time.Millisecond
	// window is the interval of the counts.
	window = 250 * time.Millisecond
	levels = 3
)

// tolerances are the longest waits that the requests of each level accept: a quarter of an objective of
// 250 ms, 500 ms and 1 s.
var tolerances = [levels]time.Duration{62 * time.Millisecond, 125 * time.Millisecond, 250 * time.Millisecond}

// event is a call at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	call     func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	*e = l[:len(l)-1]
	return x
}

// request is one operation of a caller, which retries at the times that it is told.
type request struct {
	level int
	host  int
	// began is when the caller sent it first.
	began     time.Duration
	arrivedAt time.Duration
	pass      forecaster.Pass
}

// host is a borrowing host.
type host struct {
	board forecaster.Board
	delay time.Duration
	// cut is set while the link to the owner is lost.
	cut bool
	// refusedAt is when the board last refused a request, periods how many periods of refusals began.
	refusedAt time.Duration
	periods   int
}

// counts are those of one window.
type counts struct {
	// arrived is the number of requests at the owner, busy the slot time in use.
	arrived int
	busy    time.Duration
	// offered, served, late, unasked and refused are by level: new requests, those that ran, those that
	// ran after more than their tolerance, and those refused by a forecast or by the owner.
	offered, served, late, unasked, refused [levels]int
	// wasted is the number of requests that a forecast refused while a slot was idle.
	wasted int
}

// world has one owner with a queue by level, and hosts that borrow from it.
type world struct {
	now      time.Duration
	sequence int
	events   events
	random   *rand.Rand
	hosts    []host
	// service is the mean service time at a time.
	service func(now time.Duration) time.Duration
	// books is set if the owner books retry times, forecasts if it forecasts.
	books, forecasts bool
	// lost is set while the owner doesn't answer.
	lost bool

	forecaster  forecaster.Forecaster
	calendar    booker.Calendar
	queue       [levels][]*request
	running     int
	serviceTime time.Duration
	counts      []counts
}

func newWorld(seed uint64, hosts int, service func(time.Duration) time.Duration) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), service: service, books: true, forecasts: true, serviceTime: service(0), hosts: make([]host, hosts)}
	for i := range w.hosts {
		w.hosts[i].delay = time.Duration(1+i%8) * time.Millisecond
	}
	return w
}

func constant(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

func (w *world) after(d time.Duration, call func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + d, w.sequence, call})
}

// run handles the events until end.
func (w *world) run(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.call()
	}
}

// count returns the counts of the present window.
func (w *world) count() *counts { return w.at(w.now) }

func (w *world) at(t time.Duration) *counts {
	for len(w.counts) <= int(t/window) {
		w.counts = append(w.counts, counts{})
	}
	return &w.counts[t/window]
}

// offer lets callers of a level send new requests at random times until end, rate of them a second.
func (w *world) offer(level int, rate func(now time.Duration) float64, end time.Duration) {
	d := time.Duration(w.random.ExpFloat64() / rate(w.now) * float64(time.Second))
	w.after(d, func() {
		if w.now > end {
			return
		}
		w.count().offered[level]++
		w.send(&request{level: level, host: w.random.IntN(len(w.hosts)), began: w.now})
		w.offer(level, rate, end)
	})
}

func importance(level int) admitter.Importance {
	return admitter.RankedImportance(uint8(level), admitter.DefaultPriority)
}

// send lets the request's host decide whether to ask the owner.
func (w *world) send(r *request) {
	h := &w.hosts[r.host]
	p, d, ok := h.board.Ask(importance(r.level), w.now)
	h.board.Ended(w.now)
	if h.board.Begun() {
		h.periods++
	}
	if !ok {
		w.count().unasked[r.level]++
		h.refusedAt = w.now
		if w.running < slots {
			w.count().wasted++
		}
		w.retry(r, d)
		return
	}
	r.pass = p
	if h.cut || w.lost {
		return // neither the request nor an answer arrives
	}
	w.after(h.delay, func() { w.arrive(r) })
}

// retry lets the caller come back after d while it is patient.
func (w *world) retry(r *request, d time.Duration) {
	if w.now+d-r.began > patience {
		return
	}
	w.after(d, func() {
		w.send(r)
	})
}

// load returns the load of the owner's queue.
func (w *world) load() admitter.Load {
	l := admitter.Load{Slots: slots, Running: w.running, ServiceTime: w.serviceTime}
	for i, q := range w.queue {
		l.WaitingByLevel[i] = len(q)
	}
	return l
}

// wait returns the expected wait of a request of the level with so many of its level before it.
func (w *world) wait(level, before int) time.Duration {
	n := w.running + 1 - slots + before
	for _, q := range w.queue[:level] {
		n += len(q)
	}
	return max(0, time.Duration(n)*w.serviceTime/slots)
}

// arrive handles a request at the owner.
func (w *world) arrive(r *request) {
	w.count().arrived++
	r.arrivedAt = w.now
	w.forecaster.Offered(importance(r.level), tolerances[r.level])
	waiting := 0
	for _, q := range w.queue {
		waiting += len(q)
	}
	switch {
	case w.wait(r.level, len(w.queue[r.level])) > tolerances[r.level]:
		w.refuse(r, false)
		return
	case waiting >= queueLength && !w.displace(r.level):
		w.refuse(r, true)
		return
	}
	w.queue[r.level] = append(w.queue[r.level], r)
	w.refuseHopeless(r.level)
	w.grant()
}

// displace refuses the last request of the least important level below the given one.
func (w *world) displace(level int) bool {
	for i := levels - 1; i > level; i-- {
		if n := len(w.queue[i]); n > 0 {
			w.drop(i, true)
			return true
		}
	}
	return false
}

// drop refuses the last request of a level.
func (w *world) drop(level int, full bool) {
	q := w.queue[level]
	r := q[len(q)-1]
	w.queue[level] = q[:len(q)-1]
	w.refuse(r, full)
}

// refuseHopeless refuses the last requests of less important levels that would wait for too long.
func (w *world) refuseHopeless(level int) {
	for i := levels - 1; i > level; i-- {
		for n := len(w.queue[i]); n > 0 && w.wait(i, n-1) > tolerances[i]; n-- {
			w.drop(i, false)
		}
	}
}

// refuse sends the refusal to the request's host.
func (w *world) refuse(r *request, full bool) {
	w.count().refused[r.level]++
	l := w.load()
	var f forecaster.Forecast
	if w.forecasts {
		f = w.forecaster.Refused(forecaster.Refusal{Importance: importance(r.level), QueueFull: full}, l, w.now)
	}
	d := max(10*time.Millisecond, w.wait(r.level, len(w.queue[r.level])))
	if w.books {
		d = w.calendar.Book(uint8(r.level), d, booker.Capacity{Slots: slots, ServiceTime: w.serviceTime}, w.now)
	}
	h := &w.hosts[r.host]
	w.after(h.delay, func() {
		if h.cut {
			return
		}
		h.board.Update(f, w.now)
		if r.pass.Counted() {
			h.board.Answered(r.pass, false, w.now)
		}
		w.retry(r, d)
	})
}

// grant starts waiting requests on free slots, the most important ones first.
func (w *world) grant() {
	for w.running < slots && !w.lost {
		r := w.next()
		if r == nil {
			return
		}
		w.start(r)
	}
}

func (w *world) next() *request {
	for i, q := range w.queue {
		if len(q) > 0 {
			w.queue[i] = q[1:]
			return q[0]
		}
	}
	return nil
}

func (w *world) start(r *request) {
	c := w.count()
	c.served[r.level]++
	if w.now-r.arrivedAt > tolerances[r.level] {
		c.late[r.level]++
	}
	d := time.Duration((0.5 + w.random.Float64()) * float64(w.service(w.now)))
	w.running++
	for t := w.now; t < w.now+d; {
		e := min(w.now+d, (t/window+1)*window)
		w.at(t).busy += e - t
		t = e
	}
	w.after(d, func() {
		w.running--
		w.serviceTime += (d - w.serviceTime) / 16
		w.grant()
	})
	h := &w.hosts[r.host]
	w.after(d+h.delay, func() {
		if r.pass.Counted() && !h.cut {
			h.board.Answered(r.pass, true, w.now)
		}
	})
}

// sum adds the counts of the windows from one time to another.
func (w *world) sum(from, to time.Duration) counts {
	var s counts
	for t := from; t < to; t += window {
		c := w.at(t)
		s.arrived += c.arrived
		s.busy += c.busy
		s.wasted += c.wasted
		for i := range levels {
			s.offered[i] += c.offered[i]
			s.served[i] += c.served[i]
			s.late[i] += c.late[i]
			s.unasked[i] += c.unasked[i]
			s.refused[i] += c.refused[i]
		}
	}
	return s
}
