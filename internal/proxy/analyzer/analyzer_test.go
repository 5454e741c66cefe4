package analyzer

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against a summary that changes where nothing is ranked, and, where statements are ranked, against
// losses that are counted for another priority than that of their route, as the importance contains the
// customer's.
func TestSummary(t *testing.T) {
	for log, golden := range map[string]string{"host.log": "summary.golden", "ranked.log": "ranked.golden"} {
		t.Run(log, func(t *testing.T) { checkSummary(t, log, golden) })
	}
}

// checkSummary compares the table of a log with a golden file.
func checkSummary(t *testing.T, log, golden string) {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", log))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Analyze(Options{}, []io.Reader{f})
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	golden = filepath.Join("testdata", golden)
	if *update {
		if err := os.WriteFile(golden, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

// Guards against a new field in the JSON of a deployment that ranks nothing.
func TestSummaryWithoutRanking(t *testing.T) {
	log := `{"time":"2026-12-03T06:00:00Z","message":"statement","outcome":"not-run","customer":"miny420","took":"2ms"}`
	s, err := Analyze(Options{}, []io.Reader{strings.NewReader(log)})
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(s)
	if err != nil || strings.Contains(string(b), "priorities") || strings.Contains(string(b), "customers") {
		t.Errorf("%s, %v", b, err)
	}
}

func TestSummaryOfOneGroup(t *testing.T) {
	f, err := os.Open(filepath.Join("testdata", "host.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Analyze(Options{Group: "cards", Window: time.Second}, []io.Reader{f})
	if err != nil {
		t.Fatal(err)
	}
	if s.Lost != 1 || len(s.Groups) != 1 || len(s.Groups[0].Windows) != 1 || s.Causes[0].Reason != "read *: no answer in time" {
		t.Errorf("summary %+v", s)
	}
}

func TestNoStatements(t *testing.T) {
	if _, err := Analyze(Options{}, []io.Reader{strings.NewReader("{}\n")}); !errors.Is(err, ErrNoStatement) {
		t.Errorf("error %v", err)
	}
}

// Guards against lines that are skipped silently, and against a line without a time, which would
// make the table begin in the year one.
func TestUnreadableLinesAreCounted(t *testing.T) {
	log := `{"time":"2026-12-03T06:00:00Z","message":"statement","outcome":"not-run","took":"2ms"}
{"time":"2026-12-03T06:00:00Z","message":"statement","outcome":"not-run","took":"long"}
{"message":"statement","outcome":"not-run","took":"2ms"}
{"time":"2026-12-03T06:00:00Z","message":"statement","outcome":"not-run","took":"2ms","attempts":-1}
{"time":"2026-12-03T06:00:00Z","message":"started","took":7}
{"time":"2026-12-03T06:00:0`
	s, err := Analyze(Options{}, []io.Reader{strings.NewReader(log)})
	if err != nil || s.Lost != 1 || s.Unreadable != 4 {
		t.Fatalf("summary %+v, %v, want 1 lost and 4 unreadable", s, err)
	}
	var b bytes.Buffer
	if err := s.Write(&b); err != nil || !strings.Contains(b.String(), "4 lines can't be read") {
		t.Errorf("%v, table\n%s", err, b.String())
	}
}

// Guards against a table that exhausts the memory: a short window over a long time makes too many
// rows.
func TestTooShortWindowIsRefused(t *testing.T) {
	log := `{"time":"2026-12-03T06:00:00Z","message":"statement","outcome":"not-run","took":"2ms"}
{"time":"2026-12-03T06:00:01Z","message":"statement","outcome":"not-run","took":"2ms"}`
	if _, err := Analyze(Options{Window: time.Nanosecond}, []io.Reader{strings.NewReader(log)}); !errors.Is(err, ErrTooManyWindows) {
		t.Errorf("error %v", err)
	}
}

// Guards against statements that aren't counted because they were held longer than a histogram
// records.
func TestLongHeldStatementIsCounted(t *testing.T) {
	log := `{"time":"2026-12-03T06:00:00Z","message":"statement","outcome":"unknown","took":"25h"}`
	s, err := Analyze(Options{}, []io.Reader{strings.NewReader(log)})
	if err != nil || len(s.Causes) != 1 || s.Causes[0].Lost != 1 {
		t.Errorf("summary %+v, %v", s, err)
	}
}

// Guards against statements that operators held back and that are listed as a cause for each customer, or
// without the customer.
func TestSummaryOfHeldStatements(t *testing.T) {
	const line = `{"time":"2026-10-01T04:28:41.200000Z","level":"info","message":"statement","request":"a","database-group":"books","operation":"read","outcome":"not-run","code":"held","why":"customer NAME is held by the operator","held":"customer NAME","attempts":0,"took":"0us"}` + "\n"
	f := strings.NewReader(strings.ReplaceAll(line, "NAME", "one") + strings.ReplaceAll(line, "NAME", "other") + strings.ReplaceAll(line, "NAME", "other"))
	s, err := Analyze(Options{}, []io.Reader{f})
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Causes) != 1 || s.Causes[0].Lost != 3 || s.Causes[0].Code != "held" {
		t.Errorf("causes %+v", s.Causes)
	}
	var b bytes.Buffer
	if err := s.Write(&b); err != nil || !strings.Contains(b.String(), "held:  customer other 2  customer one 1\n") {
		t.Errorf("%s, %v", b.String(), err)
	}
}
