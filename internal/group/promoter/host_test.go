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
	hostStep  = 20 * time.Millisecond
	patience  = 200 * time.Millisecond // of a write for its answer
	deadline  = 3 * time.Second        // of a write
	writeTime = 60 * time.Millisecond  // between two writes of a host
)

// host is an entry host: the real decisions over what the fakes answer.
type host struct {
	w          *world
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

// read is a read that waits for its read index.
type read struct {
	arrived time.Duration
	acked   int
	polled  map[string]marker.Mark
}

func newHost(w *world, name string) *host {
	h := &host{w: w, name: name}
	h.restart()
	w.after(time.Duration(w.rng.IntN(20))*time.Millisecond, h.loop)
	return h
}

// restart forgets everything, as a replaced host does.
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
	h.view = observer.Observe(h.w.now, c, slices.Clone(h.servers), h.words(c), h.view)
	h.promote()
	h.write()
}

func (h *host) words(c observer.Settings) []observer.PrimaryReport {
	var s []observer.PrimaryReport
	for _, o := range h.w.hosts {
		if o != h && !o.dead && !h.w.cut(h.name, o.name) {
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
			h.fold(n, at, s, err)
			if err == nil {
				h.index(i.name, at, s.Last)
			}
		})
	}
}

func (h *host) fold(n int, at time.Duration, s controller.Status, err error) {
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

// index serves the reads that wait, and checks every instance that may serve them.
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

// checkRead looks for the writes acknowledged last before the read; check looks
// for all of them at the end.
func (w *world) checkRead(x marker.Mark, acked []int) {
	const latest = 8
	acked = acked[max(0, len(acked)-latest):]
	for _, i := range w.instances {
		if !i.last().Covers(x) {
			continue
		}
		for _, id := range acked {
			if !i.holds(id) {
				w.faults = append(w.faults, fmt.Sprintf("read at %s with index %s misses acknowledged write %d", i.name, x, id))
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
	if h.w.dieAt != "" && string(h.attempt.Step) == h.w.dieAt {
		h.kill()
		return
	}
	if h.attempt.Final() {
		h.attempt = nil
		h.notBefore = h.w.now + h.delay() + 50*time.Millisecond
	}
}

func (h *host) kill() {
	h.w.dieAt = ""
	h.dead = true
	h.generation++
	h.w.after(time.Second, func() { h.restart() })
}

func (h *host) delay() time.Duration {
	if h.w.duel {
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
	a.Begin(h.w.now, !h.w.duel)
	h.attempt = a
}

// act carries out one action; a answers the attempt that asked.
func (h *host) act(x promoter.Action) {
	a, g := h.attempt, h.generation
	take := func(r promoter.Result) {
		if a != nil && h.generation == g {
			a.HandleResult(h.w.now, r)
		}
	}
	i := h.w.byName[x.Server]
	if i == nil {
		h.actPlatform(x, take)
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
			h.fold(slices.Index(h.w.instances, i), at, s, nil)
		}
		take(promoter.Result{Action: x, Status: s, Err: err})
	})
}

func (h *host) actPlatform(x promoter.Action, take func(promoter.Result)) {
	if h.w.platform.down || h.w.cut(h.name, "platform") {
		return
	}
	h.w.after(5*time.Millisecond, func() {
		r := promoter.Result{Action: x}
		if x.Kind == promoter.ActionPutClaim {
			r.Object, r.Err = h.w.platform.put(x.Object)
		} else {
			r.Object, r.Err = h.w.platform.get()
		}
		h.w.after(5*time.Millisecond, func() { take(r) })
	})
}

// write is one request with an idempotency key, or without one.
type write struct {
	id       int
	attempt  recorder.Attempt
	began    time.Duration
	sent     time.Duration
	asking   bool
	evidence settler.Evidence
	mark     marker.Mark
	rowMark  marker.Mark
	told     recorder.Outcome
	h        *host
	g        int
}

func (w *write) row(h *host) string {
	if w.attempt.Key == "" {
		return ""
	}
	return fmt.Sprintf("%s#%d", w.attempt.Key, w.attempt.Number)
}

// write begins a write now and then and carries on those that are open.
func (h *host) write() {
	if h.view.Confirmed && h.w.now >= h.nextWrite && h.w.now < healed {
		h.nextWrite = h.w.now + writeTime
		h.w.serial++
		x := &write{id: h.w.serial, began: h.w.now, h: h, g: h.generation}
		if h.w.rng.IntN(4) > 0 {
			x.attempt = recorder.First(fmt.Sprintf("k%d", x.id))
		}
		h.commit(x)
	}
	for _, x := range h.w.writes {
		if x.h == h && x.g == h.generation && x.told == "" {
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
		if h.w.mute {
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
			x.take(r)
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
		x.told = o
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
		x.take(r)
	})
}

// take notes what the key's row says, and which write it stands for if it ran.
func (w *write) take(r reply) {
	w.evidence.Row, w.rowMark = r.row, r.mark
	if r.row == recorder.Ran {
		w.id = r.id
	}
}

// repeat is a caller that sends its request again, with the same key and at
// another host, after it was told that the outcome is unknown.
func (h *host) repeat(x *write) {
	o := h.w.hosts[(slices.Index(h.w.hosts, h)+1)%len(h.w.hosts)]
	if x.told == recorder.Ran || x.attempt.Key == "" || o.dead || !o.view.Confirmed {
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
