// Package retrier decides whether and when a request is retried, within a retry budget.
package retrier

import "sync"

// Outcome is the outcome of the previous run of a request.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeUnknown means that the request may have taken effect.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request had no effect.
	OutcomeNotRun
	// OutcomeRan means that the request took effect.
	OutcomeRan
)

// Defaults of a Budget.
const (
	// DefaultShare is the default of Budget.Share.
	DefaultShare = 0.1
	// DefaultBurst is the default of Budget.Burst, in retries.
	DefaultBurst = 10
)

// Budget limits retries to a share of the traffic. Without it, requests that fail under overload are
// retried, and the retries sustain the overload. Its exported fields are set before use, zero fields
// take their defaults. A Budget is safe for concurrent use.
type Budget struct {
	// Share is the maximum number of retries per first run in the long term.
	Share float64
	// Burst is the maximum number of retries that the budget accumulates, and the number that it
	// starts with.
	Burst float64

	mu sync.Mutex
	// spent is the number of retries of Burst that are used and haven't been earned back.
	spent float64
}

// CountRequest counts the first run of a request, which adds Share retries to the budget.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-orDefault(b.Share, DefaultShare))
}

// Allow reports whether a request whose run ended with o may be run again, and takes one retry from
// the budget if so. A request of unknown outcome may only be run again if it is repeatable, as a read
// is.
func (b *Budget) Allow(o Outcome, repeatable bool) bool { return b.allow(o, repeatable, 1) }

// reserveShare is the part of Burst that AllowBeyondReserve leaves.
const reserveShare = 0.25

// AllowBeyondReserve is Allow for a request that must leave the last quarter of Burst to more important
// ones: these have retries left after others have used up theirs.
func (b *Budget) AllowBeyondReserve(o Outcome, repeatable bool) bool {
	return b.allow(o, repeatable, 1-reserveShare)
}

// allow is Allow with a part of Burst as the limit.
func (b *Budget) allow(o Outcome, repeatable bool, part float64) bool {
	if o == OutcomeRan || o == OutcomeUnknown && !repeatable {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > part*orDefault(b.Burst, DefaultBurst) {
		return false
	}
	b.spent++
	return true
}

// HasReserve reports whether at least half of Burst is left. A caller checks it before it takes a path
// that may need a retry and that has an alternative.
func (b *Budget) HasReserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent*2 <= orDefault(b.Burst, DefaultBurst)
}

// orDefault returns d if v is zero, else v.
func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
