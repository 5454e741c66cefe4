package applier_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/summarizer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// relay is what a host of the world does for others, or has done by others.
type relay struct {
	summary summarizer.State
	// relayed says that the host follows and reports through others.
	relayed  bool
	asking   int
	sequence uint64
	claims   int
	storedAt time.Duration
}

// maximumWaits is how many rounds a relay holds a question back at most.
const maximumWaits = 4

func (h *host) registrar() string {
	return fmt.Sprintf("%s/%s/%d", h.name, h.id, h.claims)
}

func (h *host) member() encoder.HostReport {
	r, _ := h.state.Report()
	return encoder.HostReport{Host: h.name, Incarnation: h.id, Ready: r.Ready, InForce: r.InForce, Refused: r.Refused}
}

// due reports whether h has to write its own object.
func (h *host) due(own bool, now time.Duration) bool {
	if id, ok := h.state.Registrar(); ok && id != "" {
		h.state.MarkUnregistered()
		own = true
	}
	r, _ := h.state.Report()
	d, wait := h.summary.Due(r.Ready, r.InForce, own, now)
	return d || wait > 0
}

// take makes the object o this host's own, with the members that it holds.
func (h *host) take(o encoder.Holder, now time.Duration) {
	h.claims++
	h.summary.Self = h.member()
	h.summary.Reset()
	if o.Left && !o.Retired {
		h.summary.ReadBack(o.Members, now)
	}
}

// store takes in that h's object was written.
func (h *host) store(r adopter.Report, sent, now time.Duration) {
	h.summary.CompletePut()
	h.storedAt = now
	h.state.ProcessReceipt(adopter.Receipt{Report: r, AskedAt: sent, Fresh: true}, now)
}

// leave frees the object of a host that reports through another one by now.
func (w *world) leave(h *host) bool {
	id, ok := h.state.Registrar()
	if !h.relayed || !ok || id == "" || h.object == "" {
		return false
	}
	o := w.holders[h.object]
	o.Version = h.version
	o.Holder.Left = true
	o.Holder.Retired = h.summary.Members() == 0
	done := false
	h.working = w.send(&call{
		serve: func() { _, done = w.putHolder(o) },
		answer: func(lost bool) {
			h.working = nil
			if lost || !done {
				w.readBack(h)
				return
			}
			h.object = ""
			h.summary.Reset()
			w.note("host %s/%s left its object", h.name, h.id)
		},
	})
	return true
}

// ask has a ask b as its relay: one call takes the question there, and another
// one the answer back, which b makes at some later moment.
func (w *world) ask(a, b *host) {
	if a.dead || a == b || a.asking >= 2 {
		return
	}
	a.asking++
	a.sequence++
	asked, n := a.clock.at(w.now), a.sequence
	m, known := a.member(), a.state.Version
	id, registered := a.state.Registrar()
	fresh := !registered || !strings.HasPrefix(id, b.name+"/")
	c := &call{}
	var arrived time.Duration
	c.serve = func() {
		arrived = b.clock.at(w.now)
		if !b.dead && b.object != "" {
			b.summary.AddReport(m, n, !fresh && id == b.registrar(), arrived)
		}
	}
	c.answer = func(lost bool) {
		a.asking--
		if !lost && !b.dead {
			a.asking++
			w.send(w.reply(a, b, question{member: m, receipt: adopter.Receipt{AskedAt: asked, Fresh: fresh}, known: known, arrived: arrived}))
		}
	}
	w.send(c)
}

// forget tells b that a, which has no question under way, isn't registered there
// any more.
func (w *world) forget(a, b *host) {
	if id, ok := a.state.Registrar(); a.asking > 0 || a == b || ok && strings.HasPrefix(id, b.name+"/") {
		return
	}
	a.sequence++
	m, n := a.member(), a.sequence
	w.send(&call{
		serve: func() {
			if !b.dead {
				b.summary.RemoveMember(m, n, b.clock.at(w.now))
			}
		},
		answer: func(bool) {},
	})
}

// answer is what a relay answers.
type answer struct {
	sight     adopter.Sight
	seen      bool
	held      encoder.HostReport
	isHeld    bool
	registrar string
	confirmed bool
}

// question is what a host asked its relay.
type question struct {
	member  encoder.HostReport
	receipt adopter.Receipt
	known   accessor.Version
	// arrived is when the question came, by the relay's clock.
	arrived time.Duration
}

func (w *world) reply(a, b *host, q question) *call {
	var y answer
	waits := 0
	return &call{
		waits: func() bool {
			waits++
			return waits < maximumWaits && b.object != "" && !b.summary.CanAnswer(q.member)
		},
		serve: func() {
			t := b.clock.at(w.now)
			y.sight, y.seen = b.state.Sight(q.known, t)
			y.held, y.isHeld = b.summary.Held(q.member)
			y.registrar = b.registrar()
			y.confirmed = y.sight.Age <= t-b.storedAt
			y.sight = y.sight.AsOfArrival(t - q.arrived)
		},
		answer: func(lost bool) {
			a.asking--
			if !lost {
				w.hear(a, y, q.receipt)
			}
		},
	}
}

// hear has a take in a relay's answer.
func (w *world) hear(a *host, y answer, x adopter.Receipt) {
	now := a.clock.at(w.now)
	x.Registrar = y.registrar
	x.Report = adopter.Report{Ready: y.held.Ready, InForce: y.held.InForce, Refused: y.held.Refused}
	if y.isHeld && a.relayed {
		a.state.ProcessReceipt(x, now)
	}
	if y.isHeld && a.relayed && y.confirmed {
		a.state.ConfirmRegistration(x.Registrar, x.AskedAt, y.sight.Age)
	}
	if id, _ := a.state.Registrar(); !y.isHeld && id == y.registrar {
		a.state.MarkUnregistered()
	}
	if y.seen {
		if y.sight.Head != nil {
			a.hold(*y.sight.Head)
		}
		a.state.ObserveSight(y.sight, x.AskedAt, now)
	}
	w.note("host %s/%s heard %+v", a.name, a.id, y)
}

// askRelay has a relayed host ask the first host that could be its relay.
func (w *world) askRelay(h *host) {
	if !h.relayed {
		return
	}
	i := slices.IndexFunc(w.hosts, func(x *host) bool { return !x.dead && !x.relayed && x != h })
	if i >= 0 {
		w.ask(h, w.hosts[i])
	}
}

// arrange leaves two hosts to be relays and has the others report through them.
func (w *world) arrange() {
	if !w.relays {
		return
	}
	clear(w.unlisted)
	n := 0
	for _, h := range w.hosts {
		if !h.dead {
			n++
		}
		h.relayed = n > summarizedRelays
	}
}

// summarizedRelays is how many hosts report themselves in the end.
const summarizedRelays = 2

// actRelayed takes one action at random among hosts that may report through each other.
func (w *world) actRelayed(t *rapid.T) {
	switch n := uniform(t, 100); {
	case n < 25:
		w.ask(pick(t, w.hosts...), pick(t, w.hosts...))
	case n < 28:
		w.forget(pick(t, w.hosts...), pick(t, w.hosts...))
	case n < 38:
		w.outlast(t)
	case n < 41:
		n := pick(t, w.hosts...).name
		w.unlisted[n] = !w.unlisted[n]
	case n < 46:
		h := pick(t, w.hosts...)
		h.relayed = !h.relayed
	default:
		w.act(t)
	}
}

// outlast has an operator go on while most of the others stand still, so that it
// comes to take hosts out that are alive, as an operator does whose host list lags.
func (w *world) outlast(t *rapid.T) {
	w.startOperator(t)
	if len(w.operators) == 0 {
		return
	}
	o := pick(t, w.operators[max(0, len(w.operators)-2):]...)
	for range pick(t, 4, 8, 16) {
		w.step(o)
		if c := o.call; c != nil {
			if !c.served {
				c.serve()
			}
			w.remove(c)
			c.answer(false)
		}
		w.verify(t)
		w.stir(t)
		w.now += pick(t, 0, 0, 0, time.Millisecond, 2*time.Second, 13300*time.Millisecond)
	}
}

// stir has one host do one thing, or one call come through.
func (w *world) stir(t *rapid.T) {
	h := pick(t, w.hosts...)
	switch uniform(t, 8) {
	case 0:
		w.ask(h, pick(t, w.hosts...))
	case 1:
		w.work(h)
	case 2:
		w.read(h)
	case 3, 4:
		w.serveOne(t)
		w.answerOne(t)
	}
	w.verify(t)
}

// Hosts follow the configuration and acknowledge through relays. A relay dies, is
// paused, is cut off from the platform or from its zone, loses its object without
// noticing, or is one of several; hosts change their relays, ask two at once, go
// back to the platform, and are replaced under their names. Callers would notice
// two hosts treating one request differently, because a revision was accepted
// without a host that went on in good faith.
func TestNeverHalfInForceThroughRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.relays = true
		w.unlisted = map[string]bool{}
		for range 6 {
			w.startHost(t)
		}
		for range 150 {
			w.actRelayed(t)
			w.verify(t)
		}
		w.settle(t)
	})
}
