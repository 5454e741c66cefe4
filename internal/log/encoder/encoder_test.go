package encoder

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func sampleDecision() *Decision {
	return &Decision{
		Kind: "route", Request: 7, Session: 3, DatabaseGroup: "kalkul-1", Team: "costing",
		Rule: "past-submissions", Chosen: "kalkul-1-b", Reason: "fresh enough, shortest wait",
		PassedOver: []PassedOver{{Name: "kalkul-1-a", Reason: "queue of 12"}, {Name: "kalkul-1-c", Reason: "silent"}},
	}
}

// captureOutput calls f with a logger for e and returns the output after Run has ended.
func captureOutput(t *testing.T, e *Encoder, f func(*log.Logger)) string {
	t.Helper()
	var b bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		c, stop := context.WithCancel(t.Context())
		e.Writer = &b
		go e.Run(c)
		f(&log.Logger{Handler: e, Level: log.DebugLevel})
		synctest.Wait()
		stop()
		synctest.Wait()
	})
	return b.String()
}

// checkGolden compares got with a golden file.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	name = filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(name, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	w, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(w), got); d != "" {
		t.Errorf("lines differ (-want +got):\n%s", d)
	}
}

// sampleStatements returns a statement that ran and one that was refused.
func sampleStatements() []Statement {
	return []Statement{
		{Request: "a1", Database: "daka41cu10", DatabaseGroup: "huvo11a", Operation: "read", Outcome: "ran", Server: "i-1", Role: "replica", RequiredPosition: "1/9", Attempts: 1, Configuration: 4, Wait: 20 * time.Microsecond, Elapsed: 3 * time.Millisecond},
		{Request: "a2", Database: "daka41cu10", DatabaseGroup: "huvo11a", Customer: "miny420", Operation: "write", Outcome: "not-run", Code: "busy", Reason: "server i-1: queue-full", Configuration: 4, Elapsed: time.Millisecond},
	}
}

// Guards against lines of statements that change where nothing is ranked.
func TestStatementLines(t *testing.T) {
	checkGolden(t, "statements.golden", captureOutput(t, &Encoder{QueueBytes: 1 << 16}, func(l *log.Logger) {
		for _, s := range sampleStatements() {
			l.Handler.(*Encoder).LogStatement(&s)
		}
	}))
}

// Guards against a missing importance of the most important statements, which is zero.
func TestRankedStatementLines(t *testing.T) {
	checkGolden(t, "ranked.golden", captureOutput(t, &Encoder{QueueBytes: 1 << 16}, func(l *log.Logger) {
		for i, s := range sampleStatements() {
			s.Ranked, s.Importance = true, uint8(17*i)
			l.Handler.(*Encoder).LogStatement(&s)
		}
	}))
}

func TestLines(t *testing.T) {
	got := captureOutput(t, &Encoder{QueueBytes: 1 << 16}, func(l *log.Logger) {
		e := wrapper.Wrap(errors.New("refused"), "dial", "kalkul-1-a")
		LogError(l, errors.Annotate(e, "serve request"), "request failed")
		l.WithFields(log.Fields{"wait": 3 * time.Millisecond, "count": 4, "open": true, "list": []int{1}}).Warn("quoted \"text\"\nšč")
		l.Handler.(*Encoder).LogDecision(sampleDecision())
		l.Handler.(*Encoder).LogDecision(&Decision{Kind: "route", Request: 8, Reason: "queue full"})
	})
	for _, l := range bytes.Split(bytes.TrimSpace([]byte(got)), []byte("\n")) {
		if !json.Valid(l) {
			t.Errorf("line isn't JSON: %s", l)
		}
	}
	if *update {
		os.WriteFile("testdata/lines.golden", []byte(got), 0o644)
	}
	w, err := os.ReadFile("testdata/lines.golden")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(w), got); d != "" {
		t.Errorf("lines differ (-want +got):\n%s", d)
	}
}

func TestSamplingKeepsRefusals(t *testing.T) {
	got := captureOutput(t, &Encoder{QueueBytes: 1 << 16, SampleDebug: 10, SampleDecisions: 5}, func(l *log.Logger) {
		for range 20 {
			l.Debug("detail")
			l.Handler.(*Encoder).LogDecision(sampleDecision())
			l.Handler.(*Encoder).LogDecision(&Decision{Kind: "route", Reason: "queue full"})
		}
	})
	if n := bytes.Count([]byte(got), []byte("\n")); n != 2+4+20 {
		t.Errorf("%d lines, want 2 debug, 4 decisions and 20 refusals", n)
	}
}

// Guards against requests that block because the output does: here it is a pipe whose reader has
// stopped. When the reader resumes, the log must report how many lines are missing.
func TestStuckOutputDropsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		e := &Encoder{Writer: w, QueueBytes: 1 << 10}
		c, stop := context.WithCancel(t.Context())
		go e.Run(c)
		e.LogDecision(sampleDecision())
		synctest.Wait()
		for range 100 {
			e.LogDecision(sampleDecision())
		}
		if e.Dropped() == 0 {
			t.Error("no lines were dropped while the output was blocked")
		}
		stop()
		var b bytes.Buffer
		go func() { io.Copy(&b, r) }()
		synctest.Wait()
		w.Close()
		synctest.Wait()
		if !bytes.Contains(b.Bytes(), []byte("log lines dropped")) {
			t.Errorf("the output doesn't report dropped lines:\n%s", b.String())
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	e := &Encoder{Writer: io.Discard, QueueBytes: 4 << 20}
	go e.Run(b.Context())
	d := sampleDecision()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			e.LogDecision(d)
		}
	})
	b.ReportMetric(float64(e.Dropped())/float64(b.N), "dropped/op")
}

func BenchmarkDecideSampledOut(b *testing.B) {
	e := &Encoder{Writer: io.Discard, QueueBytes: 4 << 20, SampleDecisions: 1000}
	go e.Run(b.Context())
	d := sampleDecision()
	b.ReportAllocs()
	for b.Loop() {
		e.LogDecision(d)
	}
}
