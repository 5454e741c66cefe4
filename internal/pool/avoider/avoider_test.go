package avoider_test

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/pool/avoider"
)

// An entry host dies and many requests would go to it. The first one waits in
// vain; without memory each of them would, and callers would see a stall.
func TestOneRequestTriesAgainAfterPause(t *testing.T) {
	a := avoider.Avoider{FirstPause: time.Second, MaximumPause: 16 * time.Second}
	now := time.Unix(1000, 0)
	if !a.Admit("h", now) || a.Avoided("h", now) {
		t.Fatal("a host without failures is avoided")
	}
	pauses := []time.Duration{1, 2, 4, 8, 16, 16}
	for i, p := range pauses {
		a.RecordFailure("h", now)
		end := now.Add(p * time.Second)
		if a.Admit("h", end.Add(-time.Millisecond)) || !a.Avoided("h", end.Add(-time.Millisecond)) {
			t.Fatalf("admitted in the pause after failure %d", i+1)
		}
		if !a.Admit("h", end) || a.Admit("h", end) {
			t.Fatalf("not exactly one admitted after the pause of failure %d", i+1)
		}
		now = end.Add(time.Second)
	}
	a.RecordAnswer("h")
	for range 2 {
		if !a.Admit("h", now) {
			t.Error("avoided after an answer")
		}
	}
}
