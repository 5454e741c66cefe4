package differ_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/differ"
	"github.com/cuminwick/cuminwick/internal/config/parser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func parse(t *testing.T, name string) declarer.File {
	t.Helper()
	r, err := parser.ParseFile(name)
	if err != nil || len(r.Faults) > 0 {
		t.Fatal(err, r.Faults)
	}
	return r.File
}

func TestDiff(t *testing.T) {
	a := parse(t, "testdata/before.yaml")
	b := parse(t, "testdata/after.yaml")
	if l := differ.Diff(a, a); len(l) > 0 {
		t.Errorf("changes from a file to itself: %v", l)
	}
	var s strings.Builder
	for _, c := range differ.Diff(a, b) {
		s.WriteString(c.String() + "\n")
	}
	if strings.Contains(s.String(), "SCRAM") {
		t.Error("changes contain a verifier")
	}
	const name = "testdata/diff.golden"
	if *update {
		if err := os.WriteFile(name, []byte(s.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), s.String()); d != "" {
		t.Error(d)
	}
}
