package reporter

import (
	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Mismatches counts the answers of backend servers that aren't those of the statements that they came for,
// and logs them up to a rate. Its exported fields are set before use.
type Mismatches struct {
	Log     log.Interface
	Metrics *Metrics

	lines lineLimiter
}

// Record records one.
func (r *Mismatches) Record(m declarer.Mismatch) {
	r.Metrics.Mismatch(m.Reason)
	skipped, ok := r.lines.admit()
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
