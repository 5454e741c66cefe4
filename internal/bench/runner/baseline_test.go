package runner

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// stickyRounds bounds the runs until one finds a violation. A machine that is busy
// with other tests makes so few requests in one run that none may be among them.
const stickyRounds = 10

// Sessions move before each request between entry hosts that tell each other
// nothing, while one replica of each group stands still. A caller saves, moves,
// and reads what was there before. A run must find this in the baseline,
// otherwise its zero for cuminwick would mean nothing.
func TestStickySessionsLoseTheirWrites(t *testing.T) {
	for n := range uint64(stickyRounds) {
		v := measureSticky(t, 1+n)
		found := v.ReadYourWrites > 0
		v.ReadYourWrites = 0
		if v.Total() > 0 {
			t.Fatalf("other promises were broken: %+v", v)
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
	// Twice as long as other runs, so that a starved machine finds some, too.
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
