package promoter_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/indexer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/promoter"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/outcome/settler"
)

const (
	hostStep      = 20 * time.Millisecond
	patience      = 200 * time.Millisecond // a write's wait for its answer
	deadline      = 3 * time.Second        // of a write
	writeInterval = 60 * time.Millisecond  // between two writes of a host
)

// host is a simulated entry host: it runs the real decision code on the answers of the fakes.
type host struct {
	w          *simulation
	name       string
	generation int
	dead       bool
	// until is the end of the host's pause.
	until     time.Duration
	view      observer.View
	servers   []observer.Server
	ledger    acknowledger.ReplicationTracker
	memory    promoter.ClaimTracker
	attempt   *promoter.Attempt
	notBefore time.Duration
	reads     []*read
	nextWrite time.Duration
	nextPoll  time.Duration
}

// read is a pending read that waits for its read index.
type read struct {
	arrived time.Duration
	acked   int
	polled  map[string]marker.Mark
}

func newHost(w *simulation, name string) *host {
	h := &host{w: w, name: name}
	h.restart()
	w.after(time.Duration(w.rng.IntN(20))*time.Millisecond, h.loop)
	return h
}

// restart drops the host's whole state, as if the host was replaced.
func (h *host) restart() {
	*h = host{w: h.w, name: h.name, generation: h.generation + 1}
	h.ledger.Instances = len(h.w.instances)
	for _, i := range h.w.instances {
		h.servers = append(h.servers, observer.Server{Name: i.name})
	}
}

func (h *host) loop() {
	h.w.after(hostStep, h.loop)
	if h.dead || h.w.now < h.until {
		return
	}
	h.poll()
	c := driver.Defaults().Observer
	h.view = observer.Observe(h.w.now, c, slices.Clone(h.servers), h.primaryReports(c), h.view)
	h.promote()
	h.write()
}

func (h *host) primaryReports(c observer.Settings) []observer.PrimaryReport {
	var s []observer.PrimaryReport
	for _, o := range h.w.hosts {
		if o != h && !o.dead && !h.w.isCut(h.name, o.name) {
			s = append(s, o.view.Report(o.name, c))
		}
	}
	return s
}

func (h *host) poll() {
	if h.w.now < h.nextPoll && h.view.Confirmed {
		return
	}
	h.nextPoll = h.w.now + 40*time.Millisecond
	h.reads = append(h.reads, &read{arrived: h.w.now, acked: len(h.w.acked), polled: map[string]marker.Mark{}})
	for n, i := range h.w.instances {
		at := h.w.now
		ask(h, i, func() (controller.Status, error) { return i.status(), nil }, func(s controller.Status, err error) {
			h.recordAnswer(n, at, s, err)
			if err == nil {
				h.index(i.name, at, s.Last)
			}
		})
	}
}

func (h *host) recordAnswer(n int, at time.Duration, s controller.Status, err error) {
	o := &h.servers[n].Observation
	if err != nil {
		o.Failures++
		return
	}
	h.ledger.Observe(s)
	if at >= o.PolledAt {
		*o = observer.Observation{Status: s, Answered: true, PolledAt: at}
	}
}

// index completes the pending reads that have a read index, and checks each instance that may serve
// them.
func (h *host) index(name string, began time.Duration, m marker.Mark) {
	var rest []*read
	for _, r := range h.reads {
		if r.arrived <= began {
			r.polled[name] = m
		}
		var s []marker.Mark
		for _, p := range r.polled {
			s = append(s, p)
		}
		x, ok := indexer.Index(len(h.w.instances), s)
		if !ok {
			rest = append(rest, r)
			continue
		}
		h.w.checkRead(x, h.w.acked[:r.acked])
	}
	h.reads = rest
}

// checkRead expects the latest writes acknowledged before the read at every instance that covers
// index x. All earlier writes are checked at the end, by check.
func (w *simulation) checkRead(x marker.Mark, acked []int) {
	const latest = 8
	acked = acked[max(0, len(acked)-latest):]
	for _, i := range w.instances {
		if !i.last().Covers(x) {
			continue
		}
		for _, id := range acked {
			if !i.holds(id) {
				w.violations = append(w.violations, fmt.Sprintf("read at %s with index %s misses acknowledged write %d", i.name, x, id))
				return
			}
		}
	}
}

func (i *instance) holds(id int) bool {
	for n := len(i.log) - 1; n >= 0; n-- {
		if i.log[n].id == id {
			return true
		}
	}
	return false
}

func (h *host) promote() {
	if h.attempt == nil {
		h.beginAttempt()
	}
	if h.attempt == nil {
		return
	}
	for _, a := range h.attempt.Next(h.w.now, &h.view) {
		h.act(a)
	}
	if h.w.crashStep != "" && string(h.attempt.Step) == h.w.crashStep {
		h.kill()
		return
	}
	if h.attempt.Final() {
		h.attempt = nil
		h.notBefore = h.w.now + h.delay() + 50*time.Millisecond
	}
}

func (h *host) kill() {
	h.w.crashStep = ""
	h.dead = true
	h.generation++
	h.w.after(time.Second, func() { h.restart() })
}

func (h *host) delay() time.Duration {
	if h.w.simultaneous {
		return 0
	}
	return promoter.Delay(nil, h.name, "kalkul", h.view.HighestTerm, 0, 150*time.Millisecond)
}

func (h *host) beginAttempt() {
	v := &h.view
	for _, a := range promoter.Repoint(v) {
		h.act(a)
	}
	if h.w.now < h.notBefore || !promoter.Due(v, driver.Defaults().Observer, h.delay()) {
		return
	}
	h.begin(promoter.New(v))
}

func (h *host) begin(a *promoter.Attempt) {
	h.w.serial++
	a.Settings = driver.Defaults().Promoter
	a.Host, a.Group, a.HighestTerm, a.ClaimTracker = h.name, "kalkul", h.view.HighestTerm, &h.memory
	a.Writer = fmt.Sprint(h.w.serial)
	for _, i := range h.w.instances {
		a.Servers = append(a.Servers, i.name)
	}
	a.Begin(h.w.now, !h.w.simultaneous)
	h.attempt = a
}

// act carries out one action and gives the answer to the attempt that issued it.
func (h *host) act(x promoter.Action) {
	a, g := h.attempt, h.generation
	deliver := func(r promoter.Result) {
		if a != nil && h.generation == g {
			a.HandleResult(h.w.now, r)
		}
	}
	i := h.w.byName[x.Server]
	if i == nil {
		h.actPlatform(x, deliver)
		return
	}
	at := h.w.now
	ask(h, i, func() (controller.Status, error) {
		switch x.Kind {
		case promoter.ActionRaiseTerm:
			return i.raise(x.Term)
		case promoter.ActionPromote:
			return i.promote(x.Term)
		default:
			return i.follow(x.Term, x.Primary)
		}
	}, func(s controller.Status, err error) {
		if err == nil {
			h.recordAnswer(slices.Index(h.w.instances, i), at, s, nil)
		}
		deliver(promoter.Result{Action: x, Status: s, Err: err})
	})
}

func (h *host) actPlatform(x promoter.Action, deliver func(promoter.Result)) {
	if h.w.platform.down || h.w.isCut(h.name, "platform") {
		return
	}
	h.w.after(5*time.Millisecond, func() {
		r := promoter.Result{Action: x}
		if x.Kind == promoter.ActionPutClaim {
			r.Object, r.Err = h.w.platform.put(x.Object)
		} else {
			r.Object, r.Err = h.w.platform.get()
		}
		h.w.after(5*time.Millisecond, func() { deliver(r) })
	})
}

// write is one write request, with or without an idempotency key.
type write struct {
	id       int
	attempt  recorder.Attempt
	began    time.Duration
	sent     time.Duration
	asking   bool
	evidence settler.Evidence
	mark     marker.Mark
	rowMark  marker.Mark
	reported recorder.Outcome
	h        *host
	g        int
}

func (w *write) row(h *host) string {
	if w.attempt.Key == "" {
		return ""
	}
	return fmt.Sprintf("%s#%d", w.attempt.Key, w.attempt.Number)
}

// write starts a write every writeInterval and continues those that have no outcome yet.
func (h *host) write() {
	if h.view.Confirmed && h.w.now >= h.nextWrite && h.w.now < healAt {
		h.nextWrite = h.w.now + writeInterval
		h.w.serial++
		x := &write{id: h.w.serial, began: h.w.now, h: h, g: h.generation}
		if h.w.rng.IntN(4) > 0 {
			x.attempt = recorder.First(fmt.Sprintf("k%d", x.id))
		}
		h.commit(x)
	}
	for _, x := range h.w.writes {
		if x.h == h && x.g == h.generation && x.reported == "" {
			h.settle(x)
		}
	}
}

func (h *host) commit(x *write) {
	h.w.writes = append(h.w.writes, x)
	x.sent = h.w.now
	x.evidence = settler.Evidence{Sent: true, CommitSent: true, Answer: settler.AnswerNone, Key: x.attempt.Key}
	i := h.w.byName[h.view.Primary]
	ask(h, i, func() (reply, error) {
		r, err := i.insert(record{id: x.id, row: x.row(h), outcome: recorder.Ran})
		if h.w.loseCommitAnswers {
			return r, errTimeout
		}
		return r, err
	}, func(r reply, err error) {
		switch {
		case errors.Is(err, errTimeout):
			x.evidence.Answer = settler.AnswerLost
		case err != nil:
			x.evidence.Answer = settler.AnswerRolledBack
		case r.row != "":
			x.evidence.Answer = settler.AnswerLost
			x.recordRow(r)
		default:
			x.evidence.Answer, x.mark = settler.AnswerCommitted, r.mark
		}
	})
}

func (h *host) settle(x *write) {
	e := &x.evidence
	e.Commit, e.RowCommit = h.ledger.DecideExact(x.mark), h.ledger.Decide(x.rowMark)
	e.Expired = h.w.now-x.began >= deadline
	s, o := settler.Next(*e)
	switch s {
	case settler.Done:
		x.reported = o
		if o == recorder.Ran {
			h.w.acked = append(h.w.acked, x.id)
		}
		h.repeat(x)
	case settler.InsertTombstone:
		h.tombstone(x)
	}
}

func (h *host) tombstone(x *write) {
	if x.asking || !h.view.Confirmed {
		return
	}
	x.asking = true
	x.evidence.Row = ""
	i := h.w.byName[h.view.Primary]
	h.w.serial++
	id := h.w.serial
	ask(h, i, func() (reply, error) {
		return i.insert(record{id: id, row: x.row(h), outcome: recorder.NotRun})
	}, func(r reply, err error) {
		x.asking = false
		if err != nil {
			return
		}
		if r.row == "" {
			r.row = recorder.NotRun
		}
		x.recordRow(r)
	})
}

// recordRow records the outcome in the key's row, and the id of the write that made the row if that ran.
func (w *write) recordRow(r reply) {
	w.evidence.Row, w.rowMark = r.row, r.mark
	if r.row == recorder.Ran {
		w.id = r.id
	}
}

// repeat simulates a caller that sends its request again, with the same key and to another host,
// after it was told that the request didn't run or that the outcome is unknown.
func (h *host) repeat(x *write) {
	o := h.w.hosts[(slices.Index(h.w.hosts, h)+1)%len(h.w.hosts)]
	if x.reported == recorder.Ran || x.attempt.Key == "" || o.dead || !o.view.Confirmed {
		return
	}
	i := h.w.byName[o.view.Primary]
	a := x.attempt
	ask(o, i, func() (reply, error) { return i.find(x.row(o)), nil }, func(r reply, err error) {
		if err != nil {
			return
		}
		d, n := recorder.Decide(a, recorder.Row{Found: r.row != "", Outcome: r.row})
		if d != recorder.Run || !o.view.Confirmed {
			return
		}
		o.w.serial++
		o.commit(&write{id: o.w.serial, attempt: n, began: o.w.now, h: o, g: o.generation})
	})
}
