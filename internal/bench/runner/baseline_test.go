package runner

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// maximumStickyRuns limits the number of runs until one finds a violation. On a machine that is busy with
// other tests, one run may make too few requests to find any.
const maximumStickyRuns = 10

// Guards against a checker that misses read-your-writes violations; a count of zero for cuminwick would
// then be meaningless. With the sticky-sessions baseline, sessions switch before each request between
// entry hosts that exchange no marks, while one replica of each group lags. A caller saves, switches
// the host, and reads the earlier value.
func TestStickySessionsLoseTheirWrites(t *testing.T) {
	for n := range uint64(maximumStickyRuns) {
		v := measureSticky(t, 1+n)
		found := v.ReadYourWrites > 0
		v.ReadYourWrites = 0
		if v.Total() > 0 {
			t.Fatalf("other violations: %+v", v)
		}
		if found {
			return
		}
	}
	t.Error("no session read less than it had written")
}

func measureSticky(t *testing.T, seed uint64) checker.Violations {
	r, _ := prepare(t, "replica-lag", "sticky-sessions")
	r.Seed = seed
	// Twice as long as other runs, so that a busy machine finds violations, too.
	r.Duration *= 2
	l := &r.Load
	l.SwitchHostShare, l.CancelShare = 1, 0
	l.Reviews, l.Saves = 0, l.Reads
	o, err := r.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d requests, %+v, %v", seed, o.Requests, o.Violations, o.Examples)
	return o.Violations
}
