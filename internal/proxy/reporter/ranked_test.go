package reporter

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// Guards against statements that are counted for another priority than that of their route, as the
// importance contains the customer's, and against series of a deployment that ranks nothing.
func TestRankedStatementsAreCountedByPriority(t *testing.T) {
	m := newTestMetrics()
	m.statement(&executor.Report{Verb: declarer.VerbRead}, outcomes[declarer.CodeNone])
	names := []string{"cuminwick_ranked_statements_total", "cuminwick_ranked_wait_seconds"}
	if n, err := testutil.GatherAndCount(m.Registry, names...); err != nil || n != 0 {
		t.Errorf("%d series without a ranked configuration, %v", n, err)
	}
	for _, r := range []executor.Report{
		{Importance: 7, Ranked: true, Wait: time.Millisecond},
		{Importance: 8, Ranked: true},
		{Importance: 15, Ranked: true, Code: declarer.CodeBusy},
		{Importance: 63, Ranked: true, Code: declarer.CodeBusy},
	} {
		m.statement(&r, outcomes[r.Code])
	}
	want := `# HELP cuminwick_ranked_statements_total Statements under a configuration that ranks them, by the priority of their route and outcome.
# TYPE cuminwick_ranked_statements_total counter
cuminwick_ranked_statements_total{outcome="not-run",priority="1"} 1
cuminwick_ranked_statements_total{outcome="not-run",priority="7"} 1
cuminwick_ranked_statements_total{outcome="ran",priority="0"} 1
cuminwick_ranked_statements_total{outcome="ran",priority="1"} 1
`
	if err := testutil.GatherAndCompare(m.Registry, strings.NewReader(want), names[0]); err != nil {
		t.Error(err)
	}
	if n, err := testutil.GatherAndCount(m.Registry, names[1]); err != nil || n != 3 {
		t.Errorf("waits of %d priorities, %v; want 3", n, err)
	}
}

// Guards against lines of refused statements without their importance.
func TestLineOfRankedStatement(t *testing.T) {
	s := reportAll(t, &Reporter{Metrics: newTestMetrics()},
		executor.Report{Statement: "a1", Code: declarer.CodeBusy, Importance: 17, Ranked: true},
		executor.Report{Statement: "a2", Code: declarer.CodeBusy},
	)
	first, second, _ := strings.Cut(s, "\n")
	if !strings.Contains(first, `"importance":17`) || strings.Contains(second, "importance") {
		t.Errorf("lines %q and %q", first, second)
	}
}

// BenchmarkStatement reports a refused statement, whose line is always written.
func BenchmarkStatement(b *testing.B) {
	for name, ranked := range map[string]bool{"ranked": true, "not ranked": false} {
		b.Run(name, func(b *testing.B) {
			e := &encoder.Encoder{Writer: io.Discard, QueueBytes: 4 << 20}
			go e.Run(b.Context())
			o := &Reporter{Lines: e, Metrics: newTestMetrics()}
			r := &executor.Report{Statement: "x", Verb: declarer.VerbRead, Code: declarer.CodeBusy, Group: "g", Customer: "miny420", Ranked: ranked}
			b.ReportAllocs()
			for b.Loop() {
				o.Statement(r)
			}
		})
	}
}
