package promoter_test

import (
	"testing"
	"time"
)

// pauseReplicasAndHost pauses both replicas and one entry host for up to 1.2 s each, as on a
// machine with overloaded processors.
func pauseReplicasAndHost(w *simulation) {
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

// stopWrites makes the hosts write nothing, so that the simulation doesn't grow over long runs.
func stopWrites(w *simulation) {
	w.writes = nil
	for _, h := range w.hosts {
		h.nextWrite = endAt * 1000
	}
}

// Guards against false promotions after pauses of entry hosts and replicas. For ten minutes they
// are paused for up to 1.2 s at a time and one message in twenty is lost, while the primary is
// healthy. A host that resumes finds only old answers, due to its own pause; a promotion would
// interrupt writes.
func TestPausesCauseNoPromotion(t *testing.T) {
	for seed := range uint64(5) {
		w := newSimulation(seed, 3)
		w.runUntil(2 * time.Second)
		n := len(w.primaryOfTerm)
		w.loss, w.simultaneous = 0.05, true // no host delays its promotion
		for s := 4 * time.Second; s < 600*time.Second; s += 2 * time.Second {
			stopWrites(w)
			pauseReplicasAndHost(w)
			w.runUntil(s)
		}
		if len(w.primaryOfTerm) != n {
			t.Errorf("seed %d: %d false promotions", seed, len(w.primaryOfTerm)-n)
		}
	}
}
