package keeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Hosts that start together, for example after a power failure, read the host list at the same time.
// With equal intervals they would continue to call the platform at the same times.
func TestHostListReadsAreJittered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Hour)).Draw(t, "interval"))
		a := rapid.Float64Range(0, 0.999).Draw(t, "random")
		if x := jitter(d, a); x < d*3/4 || x > d*5/4 {
			t.Fatalf("jitter(%v) = %v, want at most a quarter more or less", d, x)
		}
		if jitter(d, 0) >= jitter(d, 0.999) {
			t.Fatalf("jitter(%v) doesn't depend on the random number", d)
		}
	})
}
