package promoter_test

import (
	"testing"
	"time"
)

// standStill pauses both replicas for up to 1.2 s, and an entry host about as
// long, as a machine does that is short of processors.
func standStill(w *world) {
	d := time.Duration(200+w.rng.IntN(1000)) * time.Millisecond
	w.hosts[w.rng.IntN(len(w.hosts))].until = w.now + time.Duration(w.rng.IntN(1200))*time.Millisecond
	for _, i := range w.instances {
		if i == w.primary() {
			continue
		}
		i.paused = true
		w.after(d+time.Duration(w.rng.IntN(10))*time.Millisecond, i.resume)
	}
}

// quiet keeps the model from growing over long runs: there are no writes.
func quiet(w *world) {
	w.writes = nil
	for _, h := range w.hosts {
		h.nextWrite = ended * 1000
	}
}

// For ten minutes entry hosts and replicas stand still for up to 1.2 s, and one
// message in twenty is lost, while the primary is well. A host that goes on sees a
// silence of its own making; users would notice a promotion as a gap.
func TestStandingStillPromotesNothing(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, 3)
		w.runUntil(2 * time.Second)
		n := len(w.owners)
		w.loss, w.duel = 0.05, true // no host waits for its rank
		for s := 4 * time.Second; s < 600*time.Second; s += 2 * time.Second {
			quiet(w)
			standStill(w)
			w.runUntil(s)
		}
		if len(w.owners) != n {
			t.Errorf("seed %d: %d false promotions", seed, len(w.owners)-n)
		}
	}
}
