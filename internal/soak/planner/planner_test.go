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

// Hosts must be stopped in series and several at once, or the soak of stops would not cover it.
func TestStops(t *testing.T) {
	atOnce := 0
	for seed := range uint64(50) {
		p := Stops(seed, 10*time.Second)
		if !slices.Equal(p, Stops(seed, 10*time.Second)) {
			t.Fatalf("seed %d gives different plans", seed)
		}
		var last time.Duration
		stops := 0
		for _, f := range p {
			if f.Kind != KindStop {
				continue
			}
			stops++
			if last > 0 && f.At-last < 500*time.Millisecond {
				atOnce++
			}
			last = f.At
		}
		if stops < 4 || len(p) != stops*(2+stalls) {
			t.Errorf("seed %d has %d stops of %d faults", seed, stops, len(p))
		}
	}
	if atOnce < 50 {
		t.Errorf("%d stops at once in 50 seeds", atOnce)
	}
}

// Some servers must answer twice and some must not, or the soak would not tell them apart.
func TestRepetitions(t *testing.T) {
	for seed := range uint64(50) {
		p := Repetitions(seed, 10*time.Second, 6)
		if !slices.Equal(p, Repetitions(seed, 10*time.Second, 6)) {
			t.Fatalf("seed %d gives different plans", seed)
		}
		targets := make(map[int]bool)
		for _, f := range p {
			targets[f.Target] = true
			if f.At+f.Duration != 10*time.Second || f.Duration < 5*time.Second {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
		if len(targets) != 4 || len(p) != 4 {
			t.Errorf("seed %d: %d of 6 servers", seed, len(targets))
		}
	}
}

// Hosts must be cut off across the end of an outage, or the soak of outages would not cover it.
func TestOutages(t *testing.T) {
	const hosts = 6
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		p := Outages(seed, 20*time.Second, hosts)
		if !slices.Equal(p, Outages(seed, 20*time.Second, hosts)) {
			t.Fatalf("seed %d gives different plans", seed)
		}
		var end time.Duration
		cuts := 0
		for _, f := range p {
			seen[f.Kind] = true
			switch f.Kind {
			case KindStoreSilent, KindStoreBusy, KindStoreReset:
				end, cuts = f.At+f.Duration, 0
			case KindStoreCut:
				cuts++
				if f.At >= end || f.At+f.Duration < end || cuts > hosts/3 {
					t.Errorf("seed %d: %v, outage until %v", seed, f, end)
				}
			}
		}
	}
	if len(seen) != 6 {
		t.Errorf("%d kinds of fault in 50 seeds, want 6", len(seen))
	}
}
