package reporter

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against a log that is flooded by one server, and against mismatches that are neither logged nor
// counted.
func TestMismatchesAreCountedAndLoggedUpToARate(t *testing.T) {
	h := memory.New()
	m := NewMetrics(Gauges{})
	r := &Mismatches{Log: &log.Logger{Handler: h, Level: log.InfoLevel}, Metrics: m}
	x := declarer.Mismatch{Server: "i-1", Reason: declarer.MismatchRepeated, Expected: "READ a1", Received: "ROW x", Repeats: time.Second}
	for range 1000 {
		r.Record(x)
	}
	if n := testutil.ToFloat64(m.mismatches.WithLabelValues("repeated")); n != 1000 {
		t.Errorf("%v counted", n)
	}
	if n := len(h.Entries); n < linesBurst || n > 2*linesBurst {
		t.Errorf("%d lines", n)
	}
	f := h.Entries[0].Fields
	if f["server"] != "i-1" || f["reason"] != "repeated" || f["expected"] != "READ a1" || f["repeats-after"] != "1s" {
		t.Errorf("fields %v", f)
	}
}
