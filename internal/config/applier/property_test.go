package applier_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if !given(k) {
			_ = flag.Set(k, v)
		}
	}
	os.Exit(m.Run())
}

func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// uniform returns one of n numbers; rapid's own ranges favour the small ones.
func uniform(t *rapid.T, n int) int {
	v := 0
	for m := 1; m < 8*n; m *= 2 {
		v *= 2
		if rapid.Bool().Draw(t, "bit") {
			v++
		}
	}
	return v % n
}

func pick[T any](t *rapid.T, l ...T) T {
	return l[uniform(t, len(l))]
}

func drawClock(t *rapid.T) clock {
	return clock{
		offset: pick(t, 0, time.Minute, 1000*time.Hour),
		rate:   pick[time.Duration](t, 960, 1000, 1040),
	}
}

func (w *world) startHost(t *rapid.T) {
	if len(w.hosts) >= 12 {
		return
	}
	w.hosts = append(w.hosts, &host{
		name:  pick(t, "h1", "h2", "h3", "h4"),
		id:    fmt.Sprint(len(w.hosts)),
		clock: drawClock(t),
		files: map[declarer.Revision]string{},
	})
}

func (w *world) startOperator(t *rapid.T) {
	if len(w.operators) >= 20 {
		return
	}
	m := pick(t, applier.Apply, applier.Apply, applier.Apply, applier.Apply, applier.Resume, applier.Withdraw)
	o := &operator{clock: drawClock(t)}
	o.Mode = m
	o.ID = fmt.Sprintf("run%d", len(w.operators))
	o.Entry = encoder.Entry{Operator: o.ID, Digest: pick(t, "file1", "file2", "file3", "file4", "file5")}
	o.Entry.Digest = w.digest(o.Entry.Digest)
	o.HasFile = m == applier.Apply
	w.operators = append(w.operators, o)
}

// round lets everybody reachable make some progress, in a fair order.
func (w *world) round() {
	for _, h := range w.hosts {
		if !h.cut {
			w.read(h)
			w.work(h)
		}
		w.askRelay(h)
	}
	for _, o := range w.operators {
		w.step(o)
	}
	for _, c := range slices.Clone(w.calls) {
		if c.orphan || c.waits != nil && c.waits() {
			continue
		}
		if !c.served {
			c.serve()
		}
		w.remove(c)
		c.answer(false)
	}
}

// check holds after every single action.
func (w *world) check() {
	for _, h := range w.hosts {
		if h.dead {
			continue
		}
		r := h.state.InForce
		if r < h.highest {
			w.fail("host %s went down from %d to %d", h.name, h.highest, r)
		}
		h.highest = r
		if r != 0 && w.accepted[r].Digest != h.files[r] {
			w.fail("host %s decides by %s as revision %d, accepted is %s", h.name, h.files[r], r, w.accepted[r].Digest)
		}
		if s := h.state.Standing(h.clock.at(w.now)); s == adopter.Confirmed && r != w.head.Accepted {
			w.fail("host %s calls revision %d confirmed while %d is accepted", h.name, r, w.head.Accepted)
		}
	}
	for _, o := range w.operators {
		w.checkResult(o)
	}
}

func (w *world) checkResult(o *operator) {
	if o.result == nil {
		return
	}
	_, accepted := w.head.Find(o.ID)
	switch o.result.Outcome {
	case applier.InForce, applier.Accepted:
		if !accepted {
			w.fail("%s said %s but was never accepted", o.ID, o.result.Outcome)
		}
	case applier.Withdrawn, applier.Conflict, applier.NothingStaged:
		if accepted {
			w.fail("%s said %s but was accepted", o.ID, o.result.Outcome)
		}
	}
}

// checkInForce checks that no host that the operator counted lags behind.
func (w *world) checkInForce(o *operator) {
	for _, h := range w.hosts {
		listed := slices.ContainsFunc(o.listed, func(x applier.HolderObject) bool {
			own := x.Name == h.object && x.Holder.Incarnation == h.id && !x.Holder.Retired && !x.Holder.Left
			return own || w.relays && slices.ContainsFunc(x.Holder.Reports(), h.member().SameIncarnation)
		})
		if listed && !h.dead && o.result.Outcome == applier.InForce && h.state.InForce < o.Revision() {
			w.fail("%s said in force but host %s has revision %d", o.ID, h.name, h.state.InForce)
		}
	}
}

// message sends a request's message from one host to another.
func (w *world) message(a, b *host) {
	r := a.state.InForce
	if adopter.CheckRevision(b.state.InForce, r) == adopter.MoveUp && !b.state.ObserveAccepted(r) {
		return
	}
	if adopter.CheckRevision(b.state.InForce, r) == adopter.Handle && a.files[r] != b.files[r] {
		w.fail("one request decided by %s at %s and by %s at %s", a.files[r], a.name, b.files[r], b.name)
	}
}

// act takes one action at random.
func (w *world) act(t *rapid.T) {
	h := pick(t, w.hosts...)
	var o *operator
	if len(w.operators) > 0 {
		o = pick(t, w.operators...)
	}
	switch n := uniform(t, 100); {
	case n < 20:
		w.progress(t)
	case n < 28:
		w.now += pick(t, 10*time.Millisecond, time.Second, 4*time.Second, 11900*time.Millisecond, 13*time.Second)
	case n < 36:
		w.read(h)
	case n < 44:
		w.work(h)
	case n < 50:
		w.serveOne(t)
	case n < 56:
		w.answerOne(t)
	case n < 62:
		w.loseOne(t)
	case n < 68:
		w.renew(t, h, pick(t, w.hosts...))
	case n < 74:
		w.message(h, pick(t, w.hosts...))
	case n < 78:
		h.cut = !h.cut
	case n < 80:
		w.startHost(t)
	case n < 81:
		h.dead = true
	case n < 85:
		w.startOperator(t)
	case n < 86:
		w.burst(t)
	case o == nil:
	case n < 96:
		w.step(o)
	case n < 98:
		o.dead = true
	default:
		o.Abort("gave up")
	}
}

// burst stands for other operators who stage and withdraw until the numbers
// come round to the slots in use.
func (w *world) burst(t *rapid.T) {
	if w.head.Staged != nil {
		return
	}
	w.head.Highest += declarer.Revision(encoder.RevisionSlots - 3 + uniform(t, 4))
	w.version++
}

func (w *world) verify(t *rapid.T) {
	w.check()
	if w.fault != "" {
		t.Fatalf("%s\n%s", w.fault, w.story())
	}
}

func (w *world) serveOne(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	c := pick(t, w.calls...)
	if !c.served {
		c.served = true
		c.serve()
	}
	if c.orphan {
		w.remove(c)
	}
}

func (w *world) answerOne(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	c := pick(t, w.calls...)
	if c.served && !c.orphan {
		w.remove(c)
		c.answer(false)
	}
}

// loseOne fails a call at its caller; one that wasn't served may be served later.
func (w *world) loseOne(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	c := pick(t, w.calls...)
	if c.orphan {
		return
	}
	c.answer(true)
	c.orphan = true
	if c.served {
		w.remove(c)
	}
}

// renew lets a host that is cut off ask a peer.
func (w *world) renew(t *rapid.T, a, b *host) {
	sent := a.clock.at(w.now)
	w.now += pick(t, 0, time.Millisecond, 3*time.Second)
	c, ok := b.state.Claim(b.clock.at(w.now))
	w.now += pick(t, 0, time.Millisecond, 3*time.Second)
	if ok && !a.dead && !b.dead {
		a.state.Renew(c, sent, a.clock.at(w.now))
		w.note("host %s/%s renewed by %s/%s: %+v", a.name, a.id, b.name, b.id, c)
	}
}

func (w *world) progress(t *rapid.T) {
	for range pick(t, 1, 2, 3, 5, 20) {
		w.now += pick(t, time.Millisecond, time.Millisecond, 500*time.Millisecond)
		w.round()
		w.verify(t)
	}
}

// settle ends all faults; everything must come to rest in force everywhere.
func (w *world) settle(t *rapid.T) {
	for _, o := range w.operators {
		o.dead = true
	}
	for _, h := range w.hosts {
		h.cut = false
	}
	w.arrange()
	w.hosts = append(w.hosts, &host{name: "fresh", id: "fresh", clock: clock{rate: 1000}, files: map[declarer.Revision]string{}})
	w.runToEnd(t, &operator{Operator: applier.Operator{Mode: applier.Withdraw, ID: "withdraw"}})
	o := &operator{Operator: applier.Operator{Mode: applier.Apply, ID: "last", HasFile: true}}
	o.Entry.Digest = w.digest("last")
	w.runToEnd(t, o)
	if o.result.Outcome != applier.InForce {
		t.Fatalf("the last apply ended as %+v\n%s", o.result, w.story())
	}
	for range 100 {
		if w.rested() {
			return
		}
		w.now += 100 * time.Millisecond
		w.round()
		w.verify(t)
	}
	t.Fatalf("not every host stands confirmed in the end\n%s", w.story())
}

// runToEnd lets an operator work until it has a result.
func (w *world) runToEnd(t *rapid.T, o *operator) {
	o.clock = clock{rate: 1000}
	w.operators = append(w.operators, o)
	for range 400 {
		if o.result != nil {
			return
		}
		w.now += 100 * time.Millisecond
		w.round()
		w.verify(t)
	}
	t.Fatalf("operator %s doesn't come to an end\n%s", o.ID, w.story())
}

// rested reports whether every host decides by the accepted revision and knows it.
func (w *world) rested() bool {
	return !slices.ContainsFunc(w.hosts, func(h *host) bool {
		return !h.dead && h.state.Standing(h.clock.at(w.now)) != adopter.Confirmed
	})
}

// Operators race, stop at any step or give up; hosts die, restart, are paused
// or cut off and come back with an old revision; calls and answers are lost or
// come late, and every clock has its own offset and rate. Callers would notice
// two hosts treating one request differently, or a limit that was raised and
// falls back; an operator would be told something that isn't so.
func TestNeverHalfInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range 3 {
			w.startHost(t)
		}
		for range 200 {
			w.act(t)
			w.verify(t)
		}
		w.settle(t)
	})
}

// Each of these seeds showed a fault once: a host that had acknowledged lost its
// object; one moved up by a peer kept believing it was registered; a host that
// had come back lost its object to an operator who hadn't noticed a withdrawal.
func TestSeedsThatShowedFaults(t *testing.T) {
	for _, s := range []string{"142312", "5781777", "25529162"} {
		t.Run(s, func(t *testing.T) {
			setForTest(t, "rapid.seed", s)
			setForTest(t, "rapid.checks", "1")
			TestNeverHalfInForce(t)
		})
	}
}

func setForTest(t *testing.T, name, value string) {
	t.Helper()
	before := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, before) })
}
