package reporter

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func newSampleResult(t *testing.T) *Result {
	t.Helper()
	l := []checker.Request{
		{Name: "a", Kind: checker.Note, Start: 0, End: 10 * time.Millisecond, Outcome: checker.Ran},
		{Name: "b", Kind: checker.Read, Start: 10 * time.Millisecond, End: 30 * time.Millisecond, Outcome: checker.Ran},
		{Name: "c", Kind: checker.Save, Start: 300 * time.Millisecond, End: 310 * time.Millisecond, Outcome: checker.Cancelled, Code: "57014"},
		{Name: "d", Kind: checker.Save, Start: 300 * time.Millisecond, End: 320 * time.Millisecond, Outcome: checker.Unknown, ConnectionLost: true},
		{Name: "e", Kind: checker.Save, Start: 300 * time.Millisecond, End: 320 * time.Millisecond, Outcome: checker.NotRun, Code: "53300"},
	}
	r := &Result{
		Scenario:         "primary-crash",
		Deployment:       "kalkul-db",
		Policy:           "cuminwick",
		Seed:             7,
		LoadPercent:      40,
		DurationSeconds:  0.5,
		Reads:            4,
		ReplicaReadShare: 0.75,
		Violations:       checker.Violations{LostWrites: 1},
		Examples:         []string{"note a is gone"},
		Faults:           []Event{{At: 250 * time.Millisecond, Name: "primary-crash"}},
	}
	r.CountApplies([]checker.Apply{{Outcome: checker.ApplyInForce}, {Outcome: checker.ApplyRefused}, {Outcome: checker.ApplyRefused}, {Outcome: checker.ApplyUnknown}})
	if err := r.Summarise(l); err != nil {
		t.Fatal(err)
	}
	var err error
	r.Series, err = NewSeries(l, []Sample{{}, {At: 100 * time.Millisecond, PrimaryReads: 1, ReplicaReads: 3}}, 500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestGoldenFiles(t *testing.T) {
	r := newSampleResult(t)
	if !r.Failed() {
		t.Error("a run with a lost write is not reported as failed")
	}
	var table, object, page bytes.Buffer
	q := newSampleResult(t)
	q.Seed, q.FailoverGapSeconds, q.ReplicaReadShare = 8, 0.5, 0.25
	s := NewSweep([]*Result{r, q})
	if s.FailoverGapSeconds != (Spread{Median: 0.25, Worst: 0.5}) || s.ReplicaReadShare != (Spread{Median: 0.5, Worst: 0.25}) {
		t.Errorf("%+v", s)
	}
	var sweep bytes.Buffer
	for _, err := range []error{r.WriteTable(&table), r.WriteJSON(&object), r.WritePage(&page), s.WriteTable(&sweep)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	for name, b := range map[string][]byte{"table.txt": table.Bytes(), "result.json": object.Bytes(), "page.html": page.Bytes(), "sweep.txt": sweep.Bytes()} {
		t.Run(name, func(t *testing.T) { compareGolden(t, name, b) })
	}
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	f := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(f, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(f)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), string(got)); d != "" {
		t.Error(d)
	}
}

// Guards against requests that are wrongly counted as settled or unknown, after callers disconnected or
// received an unknown outcome. A request must count as unknown unless its caller received its outcome or
// its idempotency key has one.
func TestCountUnknownByCause(t *testing.T) {
	l := []checker.Request{
		{Kind: checker.Read, Outcome: checker.Unknown},
		{Kind: checker.Save, Outcome: checker.Unknown},
		{Kind: checker.Save, Outcome: checker.Unknown, Code: "40003"},
		{Kind: checker.Note, Outcome: checker.Unknown, ConnectionLost: true, Keyed: true},
		{Kind: checker.Note, Outcome: checker.Unknown, Code: "40003", Keyed: true, KeyOutcome: checker.NotRun},
		{Kind: checker.Note, Outcome: checker.Unknown, Keyed: true, KeyOutcome: checker.Ran},
		{Kind: checker.Note, Outcome: checker.Cancelled, Code: "57014", Keyed: true, KeyOutcome: checker.NotRun},
	}
	var r Result
	if err := r.Summarise(l); err != nil {
		t.Fatal(err)
	}
	want := Result{
		Outcomes: Outcomes{Ran: 1, NotRun: 1, Unknown: 4, Cancelled: 1},
		UnknownCauses: map[string]int{
			"caller-left, read": 1, "caller-left, write without key": 1,
			"told, write without key": 1, "connection-lost, write with key": 1,
		},
		SettledByKey: map[string]int{"told, write with key": 1, "caller-left, write with key": 1},
	}
	got := Result{Outcomes: r.Outcomes, UnknownCauses: r.UnknownCauses, SettledByKey: r.SettledByKey}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
