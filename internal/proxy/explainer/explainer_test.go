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

// story reads the logs of a directory and compares the request's story with the golden
// file beside them.
func story(t *testing.T, directory, request string) string {
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

// The three stories of docs/OPERATIONS.md, from lines of a real play: an adviser's read
// refused under load, a booking whose outcome nobody knew after its primary was lost, and
// a read that came slowly since its availability zone was cut off from the primary. The
// story must name the cause.
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
			got := story(t, directory, c.request)
			for _, want := range c.cause {
				if !strings.Contains(got, want) {
					t.Errorf("the story doesn't tell %q", want)
				}
			}
		})
	}
}

func lines(l ...string) []File {
	return []File{{Host: "h1", Lines: strings.NewReader(strings.Join(l, "\n"))}}
}

// A request has no line: its story would be empty, and an engineer would take that for
// nothing having happened.
func TestMissingRequestIsSaid(t *testing.T) {
	_, err := Explain("x", lines(`{"time":"2026-12-03T06:00:00Z","message":"statement","request":"y"}`))
	if !errors.Is(err, ErrRequestNotFound) {
		t.Errorf("error %v", err)
	}
}

// The host that replaced the primary isn't among the files.
func TestHoleIsSaid(t *testing.T) {
	s, err := Explain("x", lines(
		`12.5 front-1 {"time":"2026-12-03T06:00:01Z","message":"statement","request":"x","database-group":"g","outcome":"unknown","server":"i-1"}`,
		`not a line of ours`,
		`{"time":"2026-12-03T06:09:00Z","message":"promotion done","database-group":"g"}`,
	))
	if err != nil || len(s.Steps) != 1 || len(s.Gaps) != 1 || !strings.Contains(s.Gaps[0], "i-1") {
		t.Errorf("story %+v, %v", s, err)
	}
}
