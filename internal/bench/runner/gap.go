package runner

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// longestGap returns the longest time without an acknowledged write in a group
// that ends after from and at until at the latest.
func longestGap(l []checker.Request, group string, from, until time.Duration) time.Duration {
	var e []time.Duration
	for i := range l {
		r := &l[i]
		if r.Group == group && r.Kind.Writes() && r.Outcome == checker.Ran {
			e = append(e, r.End)
		}
	}
	e = append(e, until)
	slices.Sort(e)
	var last, gap time.Duration
	for _, t := range e {
		if t > until {
			break
		}
		if t > from {
			gap = max(gap, t-last)
		}
		last = t
	}
	return gap
}
