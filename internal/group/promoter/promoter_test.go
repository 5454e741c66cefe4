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
	healed = 4 * time.Second
	ended  = 8 * time.Second
)

func TestMain(m *testing.M) {
	flag.Parse()
	set("rapid.seed", "1")
	set("rapid.checks", "100")
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// set gives a flag its fixed value unless the command line gave another one.
func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// fault is something that goes wrong for a while; end undoes it.
type fault struct {
	name  string
	begin func(w *world, n int) (end func())
}

func cutting(key func(w *world, n int) []string) func(*world, int) func() {
	return func(w *world, n int) func() {
		s := key(w, n)
		for _, k := range s {
			w.cuts[k] = true
		}
		return func() {
			for _, k := range s {
				delete(w.cuts, k)
			}
		}
	}
}

var faults = []fault{
	{"primary isolated from replicas but not from hosts", cutting(func(w *world, _ int) []string {
		var s []string
		for _, i := range w.instances {
			s = append(s, w.primary().name+" "+i.name)
		}
		return s
	})},
	{"primary cut off", cutting(func(w *world, _ int) []string { return []string{w.primary().name} })},
	{"replica cut off", cutting(func(w *world, n int) []string { return []string{w.instances[n].name} })},
	{"host cut off", cutting(func(w *world, n int) []string { return []string{w.hosts[n].name} })},
	{"host's link to the primary broken", cutting(func(w *world, n int) []string { return []string{w.hosts[n].name + " " + w.primary().name} })},
	{"host and primary cut off together", cutting(func(w *world, n int) []string {
		var s []string
		for _, i := range w.instances {
			if i != w.primary() {
				s = append(s, w.hosts[n].name+" "+i.name, w.primary().name+" "+i.name)
			}
		}
		return s
	})},
	{"primary paused", func(w *world, _ int) func() {
		p := w.primary()
		p.paused = true
		return p.resume
	}},
	{"primary crashed", func(w *world, _ int) func() {
		p := w.primary()
		p.down = true
		return func() { p.down = false }
	}},
	{"replica crashed", func(w *world, n int) func() {
		i := w.instances[n]
		i.down = true
		return func() { i.down = false }
	}},
	{"replica far behind", func(w *world, n int) func() {
		i := w.instances[n]
		i.lagging = true
		return func() { i.lagging = false }
	}},
	{"platform down", func(w *world, _ int) func() {
		w.platform.down = true
		return func() { w.platform.down = false }
	}},
	{"answers of the claim lost", func(w *world, _ int) func() {
		w.platform.silent = true
		return func() { w.platform.silent = false }
	}},
	{"hosts promote at once", func(w *world, _ int) func() {
		w.duel = true
		return func() { w.duel = false }
	}},
	{"messages lost", func(w *world, _ int) func() {
		w.loss = 0.1
		return func() { w.loss = 0 }
	}},
	{"answers to commits lost", func(w *world, _ int) func() {
		w.mute = true
		return func() { w.mute = false }
	}},
	{"host killed", func(w *world, n int) func() {
		w.hosts[n].kill()
		return func() {}
	}},
	dying(promoter.StepReadClaim), dying(promoter.StepPutClaim), dying(promoter.StepFence),
	dying(promoter.StepPromote), dying(promoter.StepConfirm), dying(promoter.StepDone),
	{"hand-over", func(w *world, n int) func() {
		h := w.hosts[n]
		if h.view.Confirmed && h.attempt == nil && !h.dead {
			h.begin(&promoter.Attempt{Avoid: h.view.Primary, Prefer: w.instances[n].name})
		}
		return func() {}
	}},
}

func dying(s promoter.Step) fault {
	return fault{"promoter dies at " + string(s), func(w *world, _ int) func() {
		w.dieAt = string(s)
		return func() { w.dieAt = "" }
	}}
}

// Any two faults come together at any moment while callers write and read. A
// user must never lose a saved line, see one booked twice, be told "not run" of
// a line that is there, or read less than was saved before the read.
func TestFaultsInPairs(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(r *rapid.T) { checkPair(r, f) })
		})
	}
}

func checkPair(r *rapid.T, f fault) {
	w := newWorld(rapid.Uint64().Draw(r, "seed"), 3)
	o := rapid.IntRange(0, len(faults)-1).Draw(r, "other fault")
	for _, g := range []fault{f, faults[o]} {
		n := rapid.IntRange(0, 2).Draw(r, "which")
		at := time.Duration(rapid.IntRange(800, 3000).Draw(r, "at ms")) * time.Millisecond
		d := time.Duration(rapid.IntRange(50, 2500).Draw(r, "for ms")) * time.Millisecond
		w.after(at, func() { w.after(d, g.begin(w, n)) })
	}
	w.runUntil(healed)
	w.heal()
	w.runUntil(ended)
	for _, v := range check(w) {
		r.Error(v)
	}
}

// check compares what callers were told with what the group holds at the end.
func check(w *world) []string {
	s := w.faults
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
		if x.told == recorder.Ran && n != 1 {
			s = append(s, fmt.Sprintf("write %d was told ran and is there %d times", x.id, n))
		}
		if x.told == recorder.NotRun && n != 0 {
			s = append(s, fmt.Sprintf("write %d was told not-run and is there", x.id))
		}
	}
	return s
}

// The old primary holds a write that nobody else has and is cut off. The new one
// lacks the write and dies before it replicated anything; then the old one, whose
// log is the longest, is promoted again and brings the write back. A user who was
// told "not run" in between would book the line a second time.
func TestWriteComesBackAfterTwoFailures(t *testing.T) {
	tests := []struct {
		name string
		// instances is how many the ledger counts: with one, the term-start
		// record of the new primary alone is enough, as without that step.
		instances int
		want      acknowledger.CommitState
	}{
		{name: "term-start record held by a majority", instances: 3, want: acknowledger.Waiting},
		{name: "without the term-start step", instances: 1, want: acknowledger.Superseded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(1, 0)
			a, b, c := w.instances[0], w.instances[1], w.instances[2]
			elect(t, 1, a, b, c)
			w.runUntil(time.Second)
			w.cuts[a.name] = true
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
			clear(w.cuts)
			if got := elect(t, 3, a, c); got != a {
				t.Fatalf("promoted %s, want the longest log", got.name)
			}
			w.runUntil(2 * time.Second)
			if n := countRecord(c, 7); n != 1 {
				t.Fatalf("the write is there %d times at a majority, want it back once", n)
			}
			if tt.want == acknowledger.Superseded {
				return // the caller was told "not run", which is false now
			}
			l.Observe(a.status())
			l.Observe(c.status())
			if got := l.DecideExact(r.mark); got != acknowledger.Acknowledged {
				t.Errorf("verdict at the end = %s, want %s", got, acknowledger.Acknowledged)
			}
		})
	}
}

// Two hosts promote at the same moment without a claim, and many answers are
// lost. If both could own a term, there would be two primaries whose writes are
// acknowledged, and a user's saved line would vanish with one of them.
func TestTwoHostsPromoteAtOnce(t *testing.T) {
	completed := 0
	for seed := range uint64(2000) {
		w := newWorld(seed, 2)
		w.duel, w.loss = true, 0.2
		for _, h := range w.hosts {
			h.dead = true // no more than the attempt is driven
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
		for _, f := range w.faults {
			t.Fatalf("seed %d: %s", seed, f)
		}
		completed += len(w.owners)
	}
	if completed < 500 {
		t.Errorf("%d attempts of 4000 promoted, want more to learn from", completed)
	}
}

// elect raises term n at the instances, promotes the one that is chosen and
// points the others at it.
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

func countRecord(i *instance, id int) int {
	n := 0
	for _, r := range i.log {
		if r.id == id {
			n++
		}
	}
	return n
}

// One entry host loses its own links to the primary, or to everything. The
// others work on; a promotion would interrupt all users' writes for nothing.
func TestBrokenLinkOfOneHostPromotesNothing(t *testing.T) {
	for _, all := range []bool{false, true} {
		w := newWorld(1, 3)
		w.runUntil(2 * time.Second)
		n := len(w.owners)
		k := w.hosts[0].name
		if !all {
			k += " " + w.primary().name
		}
		w.cuts[k] = true
		w.runUntil(30 * time.Second)
		if len(w.owners) != n {
			t.Errorf("all links %t: %d terms had a primary, want %d", all, len(w.owners), n)
		}
	}
}

// For ten minutes one message in twenty is lost and some instance stands still
// for 200 ms every second. Users would notice a promotion as a gap.
func TestNoFalsePromotion(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, 3)
		w.runUntil(2 * time.Second)
		n := len(w.owners)
		w.loss = 0.05
		for s := 2 * time.Second; s < 600*time.Second; s += time.Second {
			i := w.instances[w.rng.IntN(3)]
			i.paused = true
			w.runUntil(s + 200*time.Millisecond)
			i.resume()
			w.runUntil(s + time.Second)
			w.writes = nil
			w.hosts[0].nextWrite, w.hosts[1].nextWrite, w.hosts[2].nextWrite = ended*1000, ended*1000, ended*1000
		}
		if len(w.owners) != n {
			t.Errorf("seed %d: %d false promotions", seed, len(w.owners)-n)
		}
	}
}

// The primary and one replica crash, and the replica that is left is far behind.
// Promoting it would lose saved lines: writes stop instead, and the view says why.
func TestReplicaFarBehindIsTheOnlyOneLeft(t *testing.T) {
	w := newWorld(1, 3)
	w.runUntil(2 * time.Second)
	n, p := len(w.owners), w.primary()
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
	if len(w.owners) != n || v.Confirmed || v.Obstacle != observer.ObstacleNoMajority {
		t.Errorf("%d promotions, confirmed %t, obstacle %q, want none with %q", len(w.owners)-n, v.Confirmed, v.Obstacle, observer.ObstacleNoMajority)
	}
	w.heal()
	w.runUntil(25 * time.Second)
	for _, f := range check(w) {
		t.Error(f)
	}
}

// The primary is lost for good in one way or another. A majority is there, so
// writes must go on, at another server where the old one can't be confirmed.
func TestWritesGoOnWithoutThePrimary(t *testing.T) {
	const within = 2500 * time.Millisecond
	for _, f := range faults[:8] {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := newWorld(seed, 3)
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

// The model must have something to check: writes of each outcome, and a promotion
// for each fault that takes the primary away, but none for a host's own.
func TestModelReachesEachOutcome(t *testing.T) {
	told := map[recorder.Outcome]int{}
	for k := range faults {
		w := newWorld(uint64(k), 3)
		w.after(time.Second, func() { w.after(2*time.Second, faults[k].begin(w, 1)) })
		w.runUntil(healed)
		w.heal()
		w.runUntil(ended)
		for _, x := range w.writes {
			told[x.told]++
		}
		lost, own := strings.HasPrefix(faults[k].name, "primary "), strings.HasPrefix(faults[k].name, "host's ")
		if n := len(w.owners); lost && n < 2 || own && n > 1 {
			t.Errorf("%s: %d terms had a primary", faults[k].name, n)
		}
		for _, f := range check(w) {
			t.Errorf("%s: %s", faults[k].name, f)
		}
	}
	t.Logf("told %v", told)
	if told[recorder.Ran] == 0 || told[recorder.NotRun] == 0 || told[recorder.Unknown] == 0 {
		t.Errorf("told %v, want some of each", told)
	}
}
