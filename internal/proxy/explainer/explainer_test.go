package explainer

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkTimeline reads the logs of a directory, compares the request's timeline with the golden file
// in the directory, and returns it.
func checkTimeline(t *testing.T, directory, request string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("testdata", directory, "*.log"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no logs in %s, %v", directory, err)
	}
	var l []File
	for _, n := range names {
		b, err := os.ReadFile(n)
		if err != nil {
			t.Fatal(err)
		}
		l = append(l, File{Host: strings.TrimSuffix(filepath.Base(n), ".log"), Lines: bytes.NewReader(b)})
	}
	s, err := Explain(request, l)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	golden := filepath.Join("testdata", directory, "story.golden")
	if *update {
		if err := os.WriteFile(golden, b.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got := b.String(); got != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	return b.String()
}

// The three examples of docs/OPERATIONS.md, with log lines of a real run: an adviser's read that
// was refused under load, a booking whose outcome is unknown because its primary was lost, and a
// read that was slow because its availability zone was cut off from the primary. The timeline must
// name the cause.
func TestStories(t *testing.T) {
	for directory, c := range map[string]struct {
		request string
		cause   []string
	}{
		"refused": {"d782319514706e8b", []string{"code=busy", "deadline: no connection in time", "waited=", "started host="}},
		"unknown": {"141bc760d96d8f76", []string{"outcome=unknown", "reason=primary-absent", "promotion done"}},
		"cut-off": {"e2211da69f9dfe26", []string{"outcome=not-run", "platform lost", "no server can take over answers=1"}},
	} {
		t.Run(directory, func(t *testing.T) {
			got := checkTimeline(t, directory, c.request)
			for _, want := range c.cause {
				if !strings.Contains(got, want) {
					t.Errorf("the timeline does not contain %q", want)
				}
			}
		})
	}
}

// Guards against a timeline that hides how important a refused request was.
func TestImportanceIsShown(t *testing.T) {
	got := checkTimeline(t, "ranked", "a2")
	if !strings.Contains(got, " importance=17 ") || strings.Contains(got, "request=a3") {
		t.Errorf("timeline\n%s", got)
	}
}

func lines(l ...string) []File {
	return []File{{Host: "h1", Lines: strings.NewReader(strings.Join(l, "\n"))}}
}

// Guards against an empty timeline of a request without a line, which an engineer would read as
// "nothing happened".
func TestMissingRequestIsReported(t *testing.T) {
	_, err := Explain("x", lines(`{"time":"2026-12-03T06:00:00Z","message":"statement","request":"y"}`))
	if !errors.Is(err, ErrRequestNotFound) {
		t.Errorf("error %v", err)
	}
}

// Guards against a timeline that hides missing lines: the log of the host that replaced the primary
// is not among the files.
func TestGapIsReported(t *testing.T) {
	s, err := Explain("x", lines(
		`12.5 front-1 {"time":"2026-12-03T06:00:01Z","message":"statement","request":"x","database-group":"g","outcome":"unknown","server":"i-1"}`,
		`not a line of ours`,
		`{"time":"2026-12-03T06:09:00Z","message":"promotion done","database-group":"g"}`,
	))
	if err != nil || len(s.Steps) != 1 || len(s.Gaps) != 1 || !strings.Contains(s.Gaps[0], "i-1") {
		t.Errorf("timeline %+v, error %v", s, err)
	}
}
