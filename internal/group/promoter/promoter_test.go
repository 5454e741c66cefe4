package promoter_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/promoter"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

const (
	healAt = 4 * time.Second
	endAt  = 8 * time.Second
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "100")
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line doesn't set.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// fault is a temporary failure. begin starts it at the n-th host or instance, end undoes it.
type fault struct {
	name  string
	begin func(w *simulation, n int) (end func())
}

// cutLinks returns the begin function of a fault that cuts the links that key returns.
func cutLinks(key func(w *simulation, n int) []string) func(*simulation, int) func() {
	return func(w *simulation, n int) func() {
		s := key(w, n)
		for _, k := range s {
			w.cutLinks[k] = true
		}
		return func() {
			for _, k := range s {
				delete(w.cutLinks, k)
			}
		}
	}
}

var faults = []fault{
	{"primary isolated from replicas but not from hosts", cutLinks(func(w *simulation, _ int) []string {
		var s []string
		for _, i := range w.instances {
			s = append(s, w.primary().name+" "+i.name)
		}
		return s
	})},
	{"primary cut off", cutLinks(func(w *simulation, _ int) []string { return []string{w.primary().name} })},
	{"replica cut off", cutLinks(func(w *simulation, n int) []string { return []string{w.instances[n].name} })},
	{"host cut off", cutLinks(func(w *simulation, n int) []string { return []string{w.hosts[n].name} })},
	{"host's link to the primary broken", cutLinks(func(w *simulation, n int) []string { return []string{w.hosts[n].name + " " + w.primary().name} })},
	{"host and primary cut off together", cutLinks(func(w *simulation, n int) []string {
		var s []string
		for _, i := range w.instances {
			if i != w.primary() {
				s = append(s, w.hosts[n].name+" "+i.name, w.primary().name+" "+i.name)
			}
		}
		return s
	})},
	{"primary paused", func(w *simulation, _ int) func() {
		p := w.primary()
		p.paused = true
		return p.resume
	}},
	{"primary crashed", func(w *simulation, _ int) func() {
		p := w.primary()
		p.down = true
		return func() { p.down = false }
	}},
	{"replica crashed", func(w *simulation, n int) func() {
		i := w.instances[n]
		i.down = true
		return func() { i.down = false }
	}},
	{"replica far behind", func(w *simulation, n int) func() {
		i := w.instances[n]
		i.lagging = true
		return func() { i.lagging = false }
	}},
	{"platform down", func(w *simulation, _ int) func() {
		w.platform.down = true
		return func() { w.platform.down = false }
	}},
	{"answers of the claim lost", func(w *simulation, _ int) func() {
		w.platform.loseAnswers = true
		return func() { w.platform.loseAnswers = false }
	}},
	{"hosts promote at once", func(w *simulation, _ int) func() {
		w.simultaneous = true
		return func() { w.simultaneous = false }
	}},
	{"messages lost", func(w *simulation, _ int) func() {
		w.loss = 0.1
		return func() { w.loss = 0 }
	}},
	{"answers to commits lost", func(w *simulation, _ int) func() {
		w.loseCommitAnswers = true
		return func() { w.loseCommitAnswers = false }
	}},
	{"host killed", func(w *simulation, n int) func() {
		w.hosts[n].kill()
		return func() {}
	}},
	promoterCrash(promoter.StepReadClaim), promoterCrash(promoter.StepPutClaim), promoterCrash(promoter.StepFence),
	promoterCrash(promoter.StepPromote), promoterCrash(promoter.StepConfirm), promoterCrash(promoter.StepDone),
	{"hand-over", func(w *simulation, n int) func() {
		h := w.hosts[n]
		if h.view.Confirmed && h.attempt == nil && !h.dead {
			h.begin(&promoter.Attempt{Avoid: h.view.Primary, Prefer: w.instances[n].name})
		}
		return func() {}
	}},
}

// promoterCrash returns a fault that kills the next host whose promotion reaches step s.
func promoterCrash(s promoter.Step) fault {
	return fault{"promoter dies at " + string(s), func(w *simulation, _ int) func() {
		w.crashStep = string(s)
		return func() { w.crashStep = "" }
	}}
}

// Guards against lost, doubled and misreported writes and stale reads when any two faults overlap
// while callers write and read. An acknowledged write must not be lost or run twice, a write that
// was reported as not run must not exist, and a read must see all writes acknowledged before it.
func TestFaultsInPairs(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(r *rapid.T) { checkPair(r, f) })
		})
	}
}

func checkPair(r *rapid.T, f fault) {
	w := newSimulation(rapid.Uint64().Draw(r, "seed"), 3)
	o := rapid.IntRange(0, len(faults)-1).Draw(r, "other fault")
	for _, g := range []fault{f, faults[o]} {
		n := rapid.IntRange(0, 2).Draw(r, "which")
		at := time.Duration(rapid.IntRange(800, 3000).Draw(r, "at ms")) * time.Millisecond
		d := time.Duration(rapid.IntRange(50, 2500).Draw(r, "for ms")) * time.Millisecond
		w.after(at, func() { w.after(d, g.begin(w, n)) })
	}
	w.runUntil(healAt)
	w.heal()
	w.runUntil(endAt)
	for _, v := range check(w) {
		r.Error(v)
	}
}

// check compares the outcomes reported to callers with the group's data at the end, and returns all
// violations.
func check(w *simulation) []string {
	s := w.violations
	p := w.primary()
	if !w.hosts[0].view.Confirmed {
		s = append(s, fmt.Sprintf("no confirmed primary at the end: %s, %s", w.hosts[0].view.Obstacle, w.hosts[0].view.Reason))
	}
	ids, keys := map[int]int{}, map[string]int{}
	for _, r := range p.log {
		ids[r.id]++
		var key string
		var n int
		if _, err := fmt.Sscanf(r.row, "k%d#%d", &n, new(int)); err == nil && r.outcome == recorder.Ran {
			key = fmt.Sprint(n)
			keys[key]++
		}
		if keys[key] > 1 {
			s = append(s, "request k"+key+" ran twice")
		}
	}
	for _, x := range w.writes {
		n := ids[x.id]
		if x.reported == recorder.Ran && n != 1 {
			s = append(s, fmt.Sprintf("write %d was reported as ran and exists %d times", x.id, n))
		}
		if x.reported == recorder.NotRun && n != 0 {
			s = append(s, fmt.Sprintf("write %d was reported as not-run and exists", x.id))
		}
	}
	return s
}

// Guards against reporting a write as superseded too early. The old primary alone holds the write
// and is cut off. The new primary lacks the write and crashes before it has replicated anything;
// the old primary, whose log is the longest, is promoted again and the write reappears. A caller
// that was told "not run" in between would write a second time.
func TestWriteReappearsAfterTwoFailures(t *testing.T) {
	tests := []struct {
		name string
		// instances is the ledger's number of instances. With one, the term-start record of the new
		// primary alone confirms the term, as if a majority weren't required.
		instances int
		want      acknowledger.CommitState
	}{
		{name: "term-start record held by a majority", instances: 3, want: acknowledger.Waiting},
		{name: "term-start record held by the primary only", instances: 1, want: acknowledger.Superseded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newSimulation(1, 0)
			a, b, c := w.instances[0], w.instances[1], w.instances[2]
			elect(t, 1, a, b, c)
			w.runUntil(time.Second)
			w.cutLinks[a.name] = true
			r, err := a.insert(record{id: 7})
			if err != nil {
				t.Fatal(err)
			}
			elect(t, 2, b, c)
			l := acknowledger.ReplicationTracker{Instances: tt.instances}
			l.Observe(b.status())
			l.Observe(c.status())
			if got := l.DecideExact(r.mark); got != tt.want {
				t.Errorf("verdict after the first failure = %s, want %s", got, tt.want)
			}
			b.down = true
			clear(w.cutLinks)
			if got := elect(t, 3, a, c); got != a {
				t.Fatalf("promoted %s, want the longest log", got.name)
			}
			w.runUntil(2 * time.Second)
			if n := countRecords(c, 7); n != 1 {
				t.Fatalf("the write exists %d times at the replica, want it once", n)
			}
			if tt.want == acknowledger.Superseded {
				return // "not run" was reported, which is now false
			}
			l.Observe(a.status())
			l.Observe(c.status())
			if got := l.DecideExact(r.mark); got != acknowledger.Acknowledged {
				t.Errorf("verdict at the end = %s, want %s", got, acknowledger.Acknowledged)
			}
		})
	}
}

// Guards against two primaries under one term. Two hosts promote at the same moment without a claim,
// and many answers are lost. If both got a majority for a term, two primaries would have their
// writes acknowledged, and those of one of them would be lost.
func TestTwoHostsPromoteAtOnce(t *testing.T) {
	completed := 0
	for seed := range uint64(2000) {
		w := newSimulation(seed, 2)
		w.simultaneous, w.loss = true, 0.2
		for _, h := range w.hosts {
			h.dead = true // the test drives the attempt itself
			h.begin(&promoter.Attempt{})
		}
		for ms := range 100 {
			w.runUntil(time.Duration(5*ms) * time.Millisecond)
			for _, h := range w.hosts {
				for _, a := range h.attempt.Next(w.now, &h.view) {
					h.act(a)
				}
			}
		}
		for _, f := range w.violations {
			t.Fatalf("seed %d: %s", seed, f)
		}
		completed += len(w.primaryOfTerm)
	}
	if completed < 500 {
		t.Errorf("%d attempts of 4000 promoted, want at least 500", completed)
	}
}

// elect raises term n at the instances, promotes the chosen one and makes the others follow it.
func elect(t *testing.T, n marker.Term, s ...*instance) *instance {
	t.Helper()
	var accepted []controller.Status
	for _, i := range s {
		o, err := i.raise(n)
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, o)
	}
	p := s[0].w.byName[promoter.Choose(accepted, "")]
	if _, err := p.promote(n); err != nil {
		t.Fatal(err)
	}
	for _, i := range s {
		if i == p {
			continue
		}
		if _, err := i.follow(n, p.name); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

func countRecords(i *instance, id int) int {
	n := 0
	for _, r := range i.log {
		if r.id == id {
			n++
		}
	}
	return n
}

// Guards against a promotion caused by one host's own network. One entry host loses its links to the
// primary, or all its links, while the other hosts still reach the primary; a promotion would
// interrupt all writes needlessly.
func TestBrokenLinkOfOneHostCausesNoPromotion(t *testing.T) {
	for _, all := range []bool{false, true} {
		w := newSimulation(1, 3)
		w.runUntil(2 * time.Second)
		n := len(w.primaryOfTerm)
		k := w.hosts[0].name
		if !all {
			k += " " + w.primary().name
		}
		w.cutLinks[k] = true
		w.runUntil(30 * time.Second)
		if len(w.primaryOfTerm) != n {
			t.Errorf("all links %t: %d terms had a primary, want %d", all, len(w.primaryOfTerm), n)
		}
	}
}

// Guards against promotions caused by short disturbances. For ten minutes one message in twenty is
// lost and a random instance is paused for 200 ms every second; a promotion would interrupt writes.
func TestNoFalsePromotion(t *testing.T) {
	for seed := range uint64(5) {
		w := newSimulation(seed, 3)
		w.runUntil(2 * time.Second)
		n := len(w.primaryOfTerm)
		w.loss = 0.05
		for s := 2 * time.Second; s < 600*time.Second; s += time.Second {
			i := w.instances[w.rng.IntN(3)]
			i.paused = true
			w.runUntil(s + 200*time.Millisecond)
			i.resume()
			w.runUntil(s + time.Second)
			w.writes = nil
			w.hosts[0].nextWrite, w.hosts[1].nextWrite, w.hosts[2].nextWrite = endAt*1000, endAt*1000, endAt*1000
		}
		if len(w.primaryOfTerm) != n {
			t.Errorf("seed %d: %d false promotions", seed, len(w.primaryOfTerm)-n)
		}
	}
}

// Guards against promoting a single remaining replica. The primary and one replica crash, and the
// other replica lags far behind. Promoting it would lose acknowledged writes: writes stop instead,
// and the view holds the reason.
func TestNoPromotionOfSingleLaggingReplica(t *testing.T) {
	w := newSimulation(1, 3)
	w.runUntil(2 * time.Second)
	n, p := len(w.primaryOfTerm), w.primary()
	var left *instance
	for _, i := range w.instances {
		if i != p && left == nil {
			left = i
			i.lagging = true
		}
	}
	w.runUntil(3 * time.Second)
	for _, i := range w.instances {
		i.down = i != left
	}
	w.runUntil(20 * time.Second)
	v := w.hosts[0].view
	if len(w.primaryOfTerm) != n || v.Confirmed || v.Obstacle != observer.ObstacleNoMajority {
		t.Errorf("%d promotions, confirmed %t, obstacle %q, want none with %q", len(w.primaryOfTerm)-n, v.Confirmed, v.Obstacle, observer.ObstacleNoMajority)
	}
	w.heal()
	w.runUntil(25 * time.Second)
	for _, f := range check(w) {
		t.Error(f)
	}
}

// Guards against an outage that lasts after the loss of one server or link. With a majority of the
// instances available, writes must continue soon, at another server if the old primary can't be
// confirmed.
func TestWritesContinueAfterFault(t *testing.T) {
	const within = 2500 * time.Millisecond
	for _, f := range faults[:8] {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := newSimulation(seed, 3)
				w.runUntil(2 * time.Second)
				f.begin(w, 0)
				w.runUntil(2*time.Second + within)
				if !w.hosts[1].view.Confirmed {
					t.Errorf("seed %d: %s, %s", seed, w.hosts[1].view.Obstacle, w.hosts[1].view.Reason)
				}
			}
		})
	}
}

// Guards against a simulation that exercises too little. It must produce writes of each outcome and
// a promotion for each fault of the primary, but none for a fault of a host's own link.
func TestSimulationReachesEachOutcome(t *testing.T) {
	reported := map[recorder.Outcome]int{}
	for k := range faults {
		w := newSimulation(uint64(k), 3)
		w.after(time.Second, func() { w.after(2*time.Second, faults[k].begin(w, 1)) })
		w.runUntil(healAt)
		w.heal()
		w.runUntil(endAt)
		for _, x := range w.writes {
			reported[x.reported]++
		}
		lost, own := strings.HasPrefix(faults[k].name, "primary "), strings.HasPrefix(faults[k].name, "host's ")
		if n := len(w.primaryOfTerm); lost && n < 2 || own && n > 1 {
			t.Errorf("%s: %d terms had a primary", faults[k].name, n)
		}
		for _, f := range check(w) {
			t.Errorf("%s: %s", faults[k].name, f)
		}
	}
	t.Logf("reported %v", reported)
	if reported[recorder.Ran] == 0 || reported[recorder.NotRun] == 0 || reported[recorder.Unknown] == 0 {
		t.Errorf("reported %v, want some of each", reported)
	}
}
