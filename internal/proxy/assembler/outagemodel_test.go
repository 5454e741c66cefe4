package assembler

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/soak/storekeeper"
)

// disturbance is what happens to one host of the model, or to the store.
type disturbance string

// Disturbances of the store, which end its outage.
const (
	storeSilent disturbance = "silent"
	storeBusy   disturbance = "busy"
	storeReset  disturbance = "reset"
	storeSlow   disturbance = "slow"
)

// Disturbances of a host.
const (
	// hostCut takes the host's path to the store, and hostTurnedAway has the store refuse it.
	hostCut        disturbance = "cut off from the store"
	hostTurnedAway disturbance = "turned away"
	// hostApart takes the path to another host. It doesn't excuse either of them.
	hostApart disturbance = "cut off from another host"
	// hostFrozen lets nothing arrive at the host or leave it, and hostNew starts a further one.
	hostFrozen disturbance = "frozen"
	hostNew    disturbance = "new"
	// hostHung lets the calls of the host that are under way hang, and its open connections to the store.
	hostHung disturbance = "calls hang"
)

// incident is a disturbance of a host around the end of the outage.
type incident struct {
	kind disturbance
	// from and to count from the end of the outage.
	from, to time.Duration
	// host and other are positions in the order of the hosts.
	host, other int
}

// outageCase is a case of the model: an outage of the store, what happens to hosts around its end, and changes after it.
type outageCase struct {
	hosts   int
	region  string
	store   disturbance
	length  time.Duration
	changes []time.Duration
	// cutFirst is how many of the first hosts in the order are cut off from the store shortly before the end of the outage.
	cutFirst  int
	incidents []incident
}

func drawDuration(t *rapid.T, label string, least, most time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	return time.Duration(rapid.Int64Range(int64(least/step), int64(most/step)).Draw(t, label)) * step
}

func drawOutage(t *rapid.T) outageCase {
	c := outageCase{
		hosts:  rapid.IntRange(3, 12).Draw(t, "hosts"),
		region: rapid.SampledFrom([]string{"near", "far"}).Draw(t, "region"),
		store:  rapid.SampledFrom([]disturbance{storeSilent, storeSilent, storeBusy, storeReset, storeSlow}).Draw(t, "store"),
		length: drawDuration(t, "length", time.Second, 9*time.Second),
	}
	c.cutFirst = rapid.IntRange(0, c.hosts-1).Draw(t, "cut first")
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		c.changes = append(c.changes, drawDuration(t, "change", 0, 3*time.Second))
	}
	slices.Sort(c.changes)
	kinds := []disturbance{hostCut, hostTurnedAway, hostApart, hostFrozen, hostNew, hostHung}
	for range rapid.IntRange(0, 4).Draw(t, "incidents") {
		x := incident{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			from: drawDuration(t, "from", -4*time.Second, time.Second),
			host: rapid.IntRange(0, c.hosts-1).Draw(t, "host"), other: rapid.IntRange(0, c.hosts-1).Draw(t, "other"),
		}
		x.to = x.from + drawDuration(t, "time", 200*time.Millisecond, 10*time.Second)
		c.incidents = append(c.incidents, x)
	}
	return c
}

// outageWorld plays a case. It knows which hosts a bound holds for.
type outageWorld struct {
	fleet *fleet
	order []*member
	ctx   context.Context
	// schedule holds what happens at each step.
	schedule map[int][]func()
	// disturbedUntil is until when each host is disturbed, and returned when the store comes back.
	disturbedUntil map[*member]time.Time
	returned       time.Time
	// versions and sequences are the changes, with the time of each.
	versions, sequences []change
}

// step is the time between two looks at the hosts. Disturbances begin and end with a step.
const step = 50 * time.Millisecond

// at has f called d after the beginning.
func (w *outageWorld) at(d time.Duration, f func()) {
	n := int(max(0, d) / step)
	w.schedule[n] = append(w.schedule[n], f)
}

// run plays the schedule for d, and returns the first violation, empty if there is none.
func (w *outageWorld) run(d time.Duration) string {
	for n := range int(d / step) {
		for _, f := range w.schedule[n] {
			f()
		}
		time.Sleep(step)
		if v := w.violation(); v != "" {
			return v
		}
	}
	return ""
}

// change is a change that the store has acknowledged.
type change struct {
	value uint64
	at    time.Time
}

// expected returns the last change that is older than the limit.
func expected(l []change, limit time.Duration) uint64 {
	var v uint64
	for _, c := range l {
		if time.Since(c.at) > limit {
			v = c.value
		}
	}
	return v
}

// inTouch reports whether the host and the store have been undisturbed for contactLimit.
func (w *outageWorld) inTouch(m *member) bool {
	return time.Since(w.returned) > contactLimit && time.Since(w.disturbedUntil[m]) > contactLimit
}

// violation describes a host in touch that goes on with what an older change holds, empty if there is none.
func (w *outageWorld) violation() string {
	version, sequence := expected(w.versions, strictBounds.ConfigurationLimit), expected(w.sequences, strictBounds.DrainLimit)
	for _, m := range w.fleet.hosts {
		if !w.inTouch(m) {
			continue
		}
		if l := w.fleet.outdated([]*member{m}, version, sequence); len(l) > 0 {
			return fmt.Sprintf("%v after the return of the store: outdated %v", time.Since(w.returned), l)
		}
	}
	return ""
}

// plan has an incident begin and end. end is when the outage ends.
func (w *outageWorld) plan(x incident, end time.Duration) {
	m, o := w.order[x.host], w.order[x.other]
	set := func(bool) {}
	switch x.kind {
	case hostCut:
		set = func(on bool) { w.fleet.silence(m, on) }
	case hostTurnedAway:
		set = m.store.refuse
	case hostFrozen:
		set = func(on bool) { m.machine.setPower(!on) }
	case hostHung:
		w.at(end+x.from, m.store.hang)
	case hostApart:
		if m != o {
			w.at(end+x.from, func() { w.fleet.network.separate(m.machine.address, o.machine.address, true) })
			w.at(end+x.to, func() { w.fleet.network.separate(m.machine.address, o.machine.address, false) })
		}
		return
	case hostNew:
		w.at(end+x.from, func() {
			w.fleet.startIn(w.ctx, w.order[0].machine.region, len(w.fleet.hosts))
			w.disturbedUntil[w.fleet.hosts[len(w.fleet.hosts)-1]] = time.Now()
		})
		return
	}
	w.at(end+x.from, func() {
		w.disturbedUntil[m] = later(w.disturbedUntil[m], time.Now().Add(x.to-x.from))
		set(true)
	})
	w.at(end+x.to, func() { set(false) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setStore begins or ends a disturbance of the store.
func (w *outageWorld) setStore(d disturbance, on bool) {
	if d == storeSilent {
		w.fleet.setSilent(on)
		return
	}
	x := storekeeper.Fault{}
	if on {
		x = map[disturbance]storekeeper.Fault{
			storeBusy: {Mode: storekeeper.ModeBusy}, storeReset: {Mode: storekeeper.ModeReset}, storeSlow: {Delay: 300 * time.Millisecond},
		}[d]
	}
	w.fleet.store.SetFault(x)
}

// change changes the configuration and the server's entry.
func (w *outageWorld) change() {
	sequence := uint64(len(w.sequences) + 1)
	w.fleet.setServer(sequence)
	w.versions = append(w.versions, change{w.fleet.grow(1), time.Now()})
	w.sequences = append(w.sequences, change{sequence, time.Now()})
}

// play plays a case and returns its first violation, empty if there is none, and the number of calls in the outage.
func (c outageCase) play(t *testing.T) (violation string, calls int) {
	const (
		lead, rest          = 5 * time.Second, 16 * time.Second
		cutBefore, cutAfter = 700 * time.Millisecond, 12 * time.Second
	)
	f := startRegion(t, c.hosts, c.region, 1)
	defer f.stop()
	time.Sleep(20 * time.Second)
	end := lead + c.length
	w := &outageWorld{
		fleet: f, order: f.byOrder(), ctx: t.Context(), schedule: make(map[int][]func()),
		disturbedUntil: make(map[*member]time.Time), returned: time.Now().Add(end),
	}
	var before int64
	w.at(lead, func() {
		before = f.attempts.Load()
		w.setStore(c.store, true)
	})
	w.at(end, func() {
		calls = int(f.attempts.Load() - before)
		w.setStore(c.store, false)
	})
	for i := range c.cutFirst {
		w.plan(incident{kind: hostCut, from: -min(cutBefore, c.length), to: cutAfter, host: i}, end)
	}
	for _, x := range c.incidents {
		w.plan(x, end)
	}
	for _, at := range c.changes {
		w.at(end+at, w.change)
	}
	return w.run(end + rest), calls
}

// mostCalls is how many calls hosts may make in the outage: each one two when it loses the store, and those that have
// nobody to read through five a second.
func (c outageCase) mostCalls() int {
	n := 2*(c.hosts+len(c.incidents)) + 10*int(c.length/time.Second+1)
	for _, x := range c.incidents {
		if x.kind == hostApart || x.kind == hostFrozen || x.kind == hostNew {
			n += 5 * int(c.length/time.Second+1)
		}
	}
	return n
}

// Guards against hosts that stay behind after an outage of the store, whoever else is cut off, and against calls in an
// outage whose number grows with more than the number of hosts.
func TestHostsFollowStoreAfterOutage(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := drawOutage(r)
		var violation string
		var calls int
		synctest.Test(t, func(t *testing.T) { violation, calls = c.play(t) })
		if violation != "" {
			r.Fatalf("%s; case %+v", violation, c)
		}
		if most := c.mostCalls(); c.store != storeSlow && calls > most {
			r.Fatalf("%d calls in the outage, want %d at most; case %+v", calls, most, c)
		}
	})
}
