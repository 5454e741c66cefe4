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

// relayState holds a simulated host's state as a relay and as a host that uses relays.
type relayState struct {
	memberState summarizer.State
	// relayed says that the host follows the configuration and reports through relays.
	relayed bool
	// questions is the number of outstanding questions.
	questions int
	sequence  uint64
	claims    int
	storedAt  time.Duration
}

// maximumHeldRounds is the maximum number of rounds for which a relay holds a question.
const maximumHeldRounds = 4

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
	d, wait := h.memberState.Due(r.Ready, r.InForce, own, now)
	return d || wait > 0
}

// takeObject makes o the host's own object and adopts its members if the former owner left it.
func (h *host) takeObject(o encoder.Holder, now time.Duration) {
	h.claims++
	h.memberState.Self = h.member()
	h.memberState.Reset()
	if o.Left && !o.Retired {
		h.memberState.ReadBack(o.Members, now)
	}
}

// completeReport records that h's object was written with the report r.
func (h *host) completeReport(r adopter.Report, sent, now time.Duration) {
	h.memberState.CompletePut()
	h.storedAt = now
	h.state.ProcessReceipt(adopter.Receipt{Report: r, AskedAt: sent, Fresh: true}, now)
}

// leaveObject starts a put that frees h's own object if h is registered through a relay. It reports
// whether it did.
func (w *simulation) leaveObject(h *host) bool {
	id, ok := h.state.Registrar()
	if !h.relayed || !ok || id == "" || h.object == "" {
		return false
	}
	o := w.holders[h.object]
	o.Version = h.version
	o.Holder.Left = true
	o.Holder.Retired = h.memberState.Members() == 0
	done := false
	h.pendingCall = w.send(&call{
		serve: func() { _, done = w.putHolder(o) },
		answer: func(lost bool) {
			h.pendingCall = nil
			if lost || !done {
				w.readBack(h)
				return
			}
			h.object = ""
			h.memberState.Reset()
			w.record("host %s/%s freed its object", h.name, h.id)
		},
	})
	return true
}

// askHost makes host a send its relay b a question. One call carries the question, and a second one
// the answer, which b makes at some later time.
func (w *simulation) askHost(a, b *host) {
	if a.dead || a == b || a.questions >= 2 {
		return
	}
	a.questions++
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
			b.memberState.AddReport(m, n, !fresh && id == b.registrar(), arrived)
		}
	}
	c.answer = func(lost bool) {
		a.questions--
		if !lost && !b.dead {
			a.questions++
			w.send(w.reply(a, b, relayQuestion{member: m, receipt: adopter.Receipt{AskedAt: asked, Fresh: fresh}, known: known, arrived: arrived}))
		}
	}
	w.send(c)
}

// leaveRelay makes a, if it has no outstanding question and isn't registered at b, send b a message
// that it leaves.
func (w *simulation) leaveRelay(a, b *host) {
	if id, ok := a.state.Registrar(); a.questions > 0 || a == b || ok && strings.HasPrefix(id, b.name+"/") {
		return
	}
	a.sequence++
	m, n := a.member(), a.sequence
	w.send(&call{
		serve: func() {
			if !b.dead {
				b.memberState.RemoveMember(m, n, b.clock.at(w.now))
			}
		},
		answer: func(bool) {},
	})
}

// relayAnswer is a relay's answer to a relayQuestion.
type relayAnswer struct {
	sight     adopter.Sight
	hasSight  bool
	held      encoder.HostReport
	isHeld    bool
	registrar string
	confirmed bool
}

// relayQuestion is a host's question to its relay.
type relayQuestion struct {
	member  encoder.HostReport
	receipt adopter.Receipt
	known   accessor.Version
	// arrived is when the question arrived, on the relay's clock.
	arrived time.Duration
}

func (w *simulation) reply(a, b *host, q relayQuestion) *call {
	var y relayAnswer
	waits := 0
	return &call{
		heldBack: func() bool {
			waits++
			return waits < maximumHeldRounds && b.object != "" && !b.memberState.CanAnswer(q.member)
		},
		serve: func() {
			t := b.clock.at(w.now)
			y.sight, y.hasSight = b.state.Sight(q.known, t)
			y.held, y.isHeld = b.memberState.Held(q.member)
			y.registrar = b.registrar()
			y.confirmed = y.sight.Age <= t-b.storedAt
			y.sight = y.sight.AsOfArrival(t - q.arrived)
		},
		answer: func(lost bool) {
			a.questions--
			if !lost {
				w.observeAnswer(a, y, q.receipt)
			}
		},
	}
}

// observeAnswer makes host a process a relay's answer.
func (w *simulation) observeAnswer(a *host, y relayAnswer, x adopter.Receipt) {
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
	if y.hasSight {
		if y.sight.Head != nil {
			a.recordHead(*y.sight.Head)
		}
		a.state.ObserveSight(y.sight, x.AskedAt, now)
	}
	w.record("host %s/%s received %+v", a.name, a.id, y)
}

// askRelay makes a relayed host send a question to the first host that can be its relay.
func (w *simulation) askRelay(h *host) {
	if !h.relayed {
		return
	}
	i := slices.IndexFunc(w.hosts, func(x *host) bool { return !x.dead && !x.relayed && x != h })
	if i >= 0 {
		w.askHost(h, w.hosts[i])
	}
}

// assignRelays makes the first settledRelays live hosts relays, through which the others report.
func (w *simulation) assignRelays() {
	if !w.relays {
		return
	}
	clear(w.unlisted)
	n := 0
	for _, h := range w.hosts {
		if !h.dead {
			n++
		}
		h.relayed = n > settledRelays
	}
}

// settledRelays is the number of relays while the simulation settles.
const settledRelays = 2

// randomRelayedAction takes one action at random in a simulation with relays.
func (w *simulation) randomRelayedAction(t *rapid.T) {
	switch n := uniform(t, 100); {
	case n < 25:
		w.askHost(pick(t, w.hosts...), pick(t, w.hosts...))
	case n < 28:
		w.leaveRelay(pick(t, w.hosts...), pick(t, w.hosts...))
	case n < 38:
		w.runOperatorAlone(t)
	case n < 41:
		n := pick(t, w.hosts...).name
		w.unlisted[n] = !w.unlisted[n]
	case n < 46:
		h := pick(t, w.hosts...)
		h.relayed = !h.relayed
	default:
		w.randomAction(t)
	}
}

// runOperatorAlone runs an operator while most hosts make no progress, so that it removes live hosts,
// as an operator with an outdated host list does.
func (w *simulation) runOperatorAlone(t *rapid.T) {
	w.startOperator(t)
	if len(w.operators) == 0 {
		return
	}
	o := pick(t, w.operators[max(0, len(w.operators)-2):]...)
	for range pick(t, 4, 8, 16) {
		w.stepOperator(o)
		if c := o.call; c != nil {
			if !c.served {
				c.serve()
			}
			w.remove(c)
			c.answer(false)
		}
		w.verify(t)
		w.progressOneHost(t)
		w.now += pick(t, 0, 0, 0, time.Millisecond, 2*time.Second, 13300*time.Millisecond)
	}
}

// progressOneHost makes one host take one step, or serves and answers one call each.
func (w *simulation) progressOneHost(t *rapid.T) {
	h := pick(t, w.hosts...)
	switch uniform(t, 8) {
	case 0:
		w.askHost(h, pick(t, w.hosts...))
	case 1:
		w.startWork(h)
	case 2:
		w.startHeadRead(h)
	case 3, 4:
		w.serveOne(t)
		w.answerOne(t)
	}
	w.verify(t)
}

// Hosts follow the configuration and acknowledge through relays. A relay fails, is paused, is cut off
// from the platform or from its zone, loses its object without detecting it, or is one of several;
// hosts change relays, use two at once, return to the platform, and are replaced under the same
// names. A fault would show as two hosts handling one request by different files, because a revision
// was accepted without a host that still assumed it was registered.
func TestNeverHalfInForceThroughRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.relays = true
		w.unlisted = map[string]bool{}
		for range 6 {
			w.startHost(t)
		}
		for range 150 {
			w.randomRelayedAction(t)
			w.verify(t)
		}
		w.settle(t)
	})
}
