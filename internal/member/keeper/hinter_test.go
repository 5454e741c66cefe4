package keeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Hosts that start together, as after a power cut, read the host list together. If
// each waited equally long they would go on to call the platform all at once.
func TestReadsOfTheHostListAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "interval"))
		a := rapid.Float64Range(0, 0.999).Draw(t, "random")
		if x := spread(d, a); x < d*3/4 || x > d*5/4 {
			t.Fatalf("%v is spread to %v", d, x)
		}
		if spread(d, 0) >= spread(d, 0.999) {
			t.Fatalf("%v isn't spread", d)
		}
	})
}
