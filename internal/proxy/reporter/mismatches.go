package reporter

import (
	"sync"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// mismatchLinesPerSecond and mismatchLinesBurst bound the log lines about mismatched answers.
	mismatchLinesPerSecond = 2
	mismatchLinesBurst     = 20
)

// Mismatches counts the answers of backend servers that aren't those of the statements that they came for,
// and logs them up to a rate. Its exported fields are set before use.
type Mismatches struct {
	Log     log.Interface
	Metrics *Metrics

	once  sync.Once
	lines *rate.Limiter

	mu sync.Mutex
	// skipped is how many have not been logged since the last line.
	skipped int
}

// Record records one.
func (r *Mismatches) Record(m declarer.Mismatch) {
	r.Metrics.Mismatch(m.Reason)
	skipped, ok := r.admit()
	if !ok {
		return
	}
	f := log.Fields{
		"server": m.Server, "database-group": m.Group, "reason": m.Reason.String(), "expected": m.Expected,
		"received": m.Received, "pending": m.Pending, "connection-age": m.Age.String(), "since-sent": m.Rest.String(),
	}
	if m.Repeats > 0 {
		f["repeats-after"] = m.Repeats.String()
	}
	if skipped > 0 {
		f["not-logged"] = skipped
	}
	r.Log.WithFields(f).Warn("mismatched answer")
}

// admit reports whether the next line is logged, and how many were not logged before it.
func (r *Mismatches) admit() (skipped int, ok bool) {
	r.once.Do(func() { r.lines = rate.NewLimiter(mismatchLinesPerSecond, mismatchLinesBurst) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lines.Allow() {
		r.skipped++
		return 0, false
	}
	skipped, r.skipped = r.skipped, 0
	return skipped, true
}
