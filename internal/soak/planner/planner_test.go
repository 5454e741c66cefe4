package planner

import (
	"slices"
	"testing"
	"time"
)

// A failed soak is reproduced by its seed, so a seed must always give the same plan. Each kind of
// fault must occur within some seeds, or the soak would not cover it.
func TestPlan(t *testing.T) {
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		p := Plan(seed, 10*time.Second)
		if !slices.Equal(p, Plan(seed, 10*time.Second)) {
			t.Fatalf("seed %d gives different plans", seed)
		}
		if len(p) < 3 {
			t.Errorf("seed %d has %d faults, want at least 3", seed, len(p))
		}
		for _, f := range p {
			seen[f.Kind] = true
			if f.At < firstFault || f.Duration < minimumDuration || f.Duration > maximumDuration {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if len(seen) != int(kindCount) {
		t.Errorf("%d of %d kinds of fault in 50 seeds", len(seen), kindCount)
	}
}

func TestPromotions(t *testing.T) {
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		p := Promotions(seed, 10*time.Second)
		if !slices.Equal(p, Promotions(seed, 10*time.Second)) {
			t.Fatalf("seed %d gives different plans", seed)
		}
		for _, f := range p {
			seen[f.Kind] = true
			if f.Kind < KindServerRefuses || f.At < firstFault || f.Duration < minimumDuration || f.Duration > maximumDuration {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	if n := int(kindEnd - KindServerRefuses); len(seen) != n {
		t.Errorf("%d of %d kinds of fault in 50 seeds", len(seen), n)
	}
}
