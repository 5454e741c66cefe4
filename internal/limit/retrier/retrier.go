// Package retrier decides whether a request may be run again, within a budget.
package retrier

import "sync"

// Outcome is how the first run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeUnknown may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun certainly had no effect.
	OutcomeNotRun
	// OutcomeRan took effect.
	OutcomeRan
)

// Defaults of a Budget.
const (
	DefaultShare = 0.1
	DefaultBurst = 10
)

// Budget bounds retries to a share of the traffic. Without it, an overload makes
// requests fail, their retries add to the overload, and it never ends. Its
// exported fields are set before use; it may be used by many goroutines.
type Budget struct {
	// Share is the largest part of the traffic that may be retries.
	Share float64
	// Burst is how many retries may be saved up, and how many there are at first.
	Burst float64

	mu    sync.Mutex
	spent float64
}

// CountRequest counts a first run, which earns a part of a retry.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-orDefault(b.Share, DefaultShare))
}

// Allow reports whether a request whose run ended with o may be run again, and
// takes one retry from the budget if so. A request of unknown outcome is only
// repeated if it is repeatable, as a read is.
func (b *Budget) Allow(o Outcome, repeatable bool) bool {
	if o == OutcomeRan || o == OutcomeUnknown && !repeatable {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > orDefault(b.Burst, DefaultBurst) {
		return false
	}
	b.spent++
	return true
}

// HasReserve reports whether at least half of the saved-up retries are left, for
// requests that go a way on which they may need one and have another.
func (b *Budget) HasReserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent*2 <= orDefault(b.Burst, DefaultBurst)
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
