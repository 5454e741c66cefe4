package reporter

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// stuckWriter is a standard output that is not read.
type stuckWriter struct{ release chan struct{} }

func (s stuckWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func newTestMetrics() *Metrics {
	age := func() time.Duration { return 1500 * time.Millisecond }
	return NewMetrics(Gauges{
		Sessions: func() int { return 3 }, Configuration: func() uint64 { return 7 }, DroppedLogLines: func() uint64 { return 0 },
		Age: func(blackboard.Section) time.Duration { return age() }, PositionAge: age, GroupsWithoutPrimary: func() int { return 2 },
		Strength: func() int { return 20 }, OwnedSlots: func() int { return 16 }, TimerDelay: func() time.Duration { return 25 * time.Millisecond },
	})
}

// The log collector stops reading. Callers must not wait for it, memory must stay bounded, and
// dropped lines must be counted, because a gap in the log could pass for a time without failures.
func TestStuckOutputDoesNotBlockCallers(t *testing.T) {
	s := stuckWriter{release: make(chan struct{})}
	e := &encoder.Encoder{Writer: s, QueueBytes: 8 << 10}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- e.Run(ctx) }()
	o := &Reporter{Lines: e, Metrics: newTestMetrics()}
	const n = 20000
	for range n {
		o.Statement(&executor.Report{Statement: "x", Verb: declarer.VerbWrite, Code: declarer.CodeBusy, Group: "g"})
	}
	if e.Dropped() < n/2 {
		t.Errorf("%d of %d lines counted as dropped", e.Dropped(), n)
	}
	if got := testutil.ToFloat64(o.Metrics.statements.WithLabelValues("write", "not-run", "busy")); got != n {
		t.Errorf("%v statements counted, want %d", got, n)
	}
	close(s.release)
	cancel()
	<-done
}

// reportAll reports the statements, and returns the log lines.
func reportAll(t *testing.T, o *Reporter, l ...executor.Report) string {
	t.Helper()
	var b strings.Builder
	e := &encoder.Encoder{Writer: &b, QueueBytes: 1 << 20}
	o.Lines = e
	for _, r := range l {
		o.Statement(&r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := e.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestSampling(t *testing.T) {
	o := &Reporter{Metrics: newTestMetrics(), Sample: 1 << 40}
	s := reportAll(t, o,
		executor.Report{Statement: "ran-1", Verb: declarer.VerbRead, Server: "i-1", Elapsed: time.Millisecond},
		executor.Report{Statement: "lost-1", Verb: declarer.VerbWrite, Server: "i-1", Primary: true, Code: declarer.CodeOutcomeUnknown},
	)
	if strings.Contains(s, "ran-1") || !strings.Contains(s, `"request":"lost-1"`) || !strings.Contains(s, `"outcome":"unknown"`) {
		t.Errorf("lines %q", s)
	}
}

// Guards against refusals on behalf of an operator that look like those of an overload.
func TestHeldStatements(t *testing.T) {
	o := &Reporter{Metrics: newTestMetrics()}
	lines := reportAll(t, o,
		executor.Report{Statement: "x", Verb: declarer.VerbRead, Code: declarer.CodeBusy, Customer: "a", Held: executor.Hold{Kind: executor.HoldCustomer, Name: "a"}},
		executor.Report{Statement: "y", Verb: declarer.VerbWrite, Code: declarer.CodeBusy, Held: executor.Hold{Kind: executor.HoldRoute, Name: "r"}},
	)
	for _, l := range [][]string{{"read", "customer", "a"}, {"write", "route", "r"}} {
		if got := testutil.ToFloat64(o.Metrics.held.WithLabelValues(l[1], l[2])); got != 1 {
			t.Errorf("%v refused as held: %v", l, got)
		}
		if got := testutil.ToFloat64(o.Metrics.statements.WithLabelValues(l[0], "not-run", "held")); got != 1 {
			t.Errorf("%v counted by code: %v", l, got)
		}
		if want := `"held":"` + l[1] + " " + l[2] + `"`; !strings.Contains(lines, want) || strings.Contains(lines, "busy") {
			t.Errorf("lines %s lack %s", lines, want)
		}
	}
}

// Guards against transactions held at their begin that metrics and losses count under an empty operation, and
// against lines that change for begins that are refused otherwise.
func TestHeldTransactions(t *testing.T) {
	o := &Reporter{Metrics: newTestMetrics()}
	var reports []executor.Report
	for _, v := range []declarer.Verb{declarer.VerbBegin, declarer.VerbBeginRead} {
		reports = append(reports,
			executor.Report{Statement: "x", Verb: v, Code: declarer.CodeBusy, Held: executor.Hold{Kind: executor.HoldRoute, Name: "r"}},
			executor.Report{Statement: "y", Verb: v, Code: declarer.CodeUnauthorized},
		)
	}
	lines := reportAll(t, o, reports...)
	if n := testutil.ToFloat64(o.Metrics.statements.WithLabelValues("begin", "not-run", "held")); n != 2 {
		t.Errorf("%v held transactions counted, want 2", n)
	}
	for _, l := range strings.Split(strings.TrimSpace(lines), "\n") {
		if strings.Contains(l, `"operation":"begin"`) != strings.Contains(l, `"code":"held"`) {
			t.Errorf("line %s", l)
		}
	}
}

func TestMetricNames(t *testing.T) {
	m := newTestMetrics()
	m.Promotion("primary-absent", "done")
	m.PlatformLost("servers")
	m.NotAdmitted(2)
	if n := testutil.ToFloat64(m.unadmitted.WithLabelValues("2")); n != 1 {
		t.Errorf("%v requests not admitted, want 1", n)
	}
	m.PlatformCall("GET", "servers", "answered")
	m.Phase("order-to-lead", time.Second)
	m.statement(&executor.Report{Verb: declarer.VerbRead, Server: "i-1", Ranked: true}, outcomes[declarer.CodeNone])
	n, err := testutil.GatherAndCount(m.Registry)
	if err != nil || n < 18 {
		t.Errorf("%d metrics, %v", n, err)
	}
	if p, err := testutil.GatherAndLint(m.Registry); err != nil || len(p) > 0 {
		t.Errorf("%v, %v", p, err)
	}
}

// Guards against a host whose strength, load or delay can't be seen from outside.
func TestStrengthIsMeasured(t *testing.T) {
	want := `
# HELP cuminwick_host_strength Slots of backend servers whose connections the host declares it can own, 0 if unknown.
# TYPE cuminwick_host_strength gauge
cuminwick_host_strength 20
# HELP cuminwick_owned_slots Slots of the backend servers whose connections the host owns.
# TYPE cuminwick_owned_slots gauge
cuminwick_owned_slots 16
# HELP cuminwick_timer_delay_seconds Smoothed delay of the host's timers.
# TYPE cuminwick_timer_delay_seconds gauge
cuminwick_timer_delay_seconds 0.025
`
	err := testutil.GatherAndCompare(newTestMetrics().Registry, strings.NewReader(want), "cuminwick_host_strength", "cuminwick_owned_slots", "cuminwick_timer_delay_seconds")
	if err != nil {
		t.Error(err)
	}
}
