package avoider_test

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/pool/avoider"
)

// Guards against stalls when an entry host fails: the first request waits for it until the timeout,
// and without the Avoider every further request would as well.
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
			t.Fatalf("request admitted during the pause after failure %d", i+1)
		}
		if !a.Admit("h", end) || a.Admit("h", end) {
			t.Fatalf("want exactly one request admitted after the pause of failure %d", i+1)
		}
		now = end.Add(time.Second)
	}
	a.RecordAnswer("h")
	for range 2 {
		if !a.Admit("h", now) {
			t.Error("a host is avoided after it responded")
		}
	}
}
