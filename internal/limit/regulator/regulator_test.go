package regulator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests that are sent to a server without capacity, which sheds them, instead of
// waiting in the host's queue: the limit settles where the server starts to refuse.
func TestLimitSettlesBelowRefusals(t *testing.T) {
	const capacity = 18
	r := Regulator{Minimum: 4, Maximum: 28}
	now := time.Duration(0)
	refused, sent := 0, 0
	for i := range 20000 {
		now += time.Millisecond
		sent++
		// Of n concurrent requests the server accepts those within its capacity.
		if n := r.Limit(); i%n >= capacity {
			refused++
			r.Refused(n, now)
		} else {
			r.Accepted(n)
		}
	}
	if refused*100 > 3*sent {
		t.Errorf("%d of %d refused", refused, sent)
	}
	if l := r.Limit(); l < capacity*7/10 || l > capacity+1 {
		t.Errorf("limit %d, the server has a capacity of %d", l, capacity)
	}
}

func TestUnusedLimitStays(t *testing.T) {
	r := Regulator{Minimum: 4, Maximum: 28}
	r.Refused(20, time.Second)
	before := r.Limit()
	for range 1000 {
		r.Accepted(2)
	}
	if r.Limit() != before {
		t.Errorf("limit %d, was %d", r.Limit(), before)
	}
}

func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Regulator{Minimum: rapid.IntRange(1, 8).Draw(t, "least"), Maximum: rapid.IntRange(8, 64).Draw(t, "most")}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "refused") {
				r.Refused(rapid.IntRange(0, 64).Draw(t, "running"), now)
			} else {
				r.Accepted(rapid.IntRange(0, 64).Draw(t, "running"))
			}
			if l := r.Limit(); l < r.Minimum || l > r.Maximum {
				t.Fatalf("limit %d of %d to %d", l, r.Minimum, r.Maximum)
			}
		}
	})
}

// Guards against a limit that stays too high after the host's share of a server has shrunk.
func TestLimitFollowsLowerMaximum(t *testing.T) {
	r := Regulator{Minimum: 1, Maximum: 16}
	r.Refused(16, time.Second)
	r.Maximum = 4
	if l := r.Limit(); l != 4 {
		t.Errorf("limit %d, want 4", l)
	}
}
