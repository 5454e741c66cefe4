package planner

import (
	"slices"
	"testing"
	"time"
)

// A failure is found again by its seed, and no kind of fault is left out over many seeds.
func TestPlan(t *testing.T) {
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		p := Plan(seed, 10*time.Second)
		if !slices.Equal(p, Plan(seed, 10*time.Second)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		if len(p) < 3 {
			t.Errorf("seed %d has %d faults", seed, len(p))
		}
		for _, f := range p {
			seen[f.Kind] = true
			if f.At < quiet || f.Duration < shortest || f.Duration > longest {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if len(seen) != int(kinds) {
		t.Errorf("%d of %d kinds of fault in 50 seeds", len(seen), kinds)
	}
}
