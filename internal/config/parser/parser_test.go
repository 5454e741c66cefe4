package parser_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/config/concealer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/config/parser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestParse(t *testing.T) {
	l, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(l) == 0 {
		t.Fatalf("no test files: %v", err)
	}
	for _, f := range l {
		t.Run(filepath.Base(f), func(t *testing.T) {
			r, err := parser.ParseFile(f)
			if err != nil {
				t.Fatal(err)
			}
			got := "faults:\n" + r.Faults.Error() + "\nwarnings:\n" + r.Warnings.Error() + "\n"
			golden(t, strings.TrimSuffix(f, ".yaml")+".golden", got)
		})
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Error(d)
	}
}

func TestExampleHasNoFault(t *testing.T) {
	r, err := parser.ParseFile("../../../configuration.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Faults)+len(r.Warnings) > 0 {
		t.Fatalf("faults %v, warnings %v", r.Faults, r.Warnings)
	}
	f := defaulter.Fill(r.File)
	if n := f.DatabaseGroups[0].BackendServers[1].ReservedConnections; n != defaulter.ReservedConnections {
		t.Errorf("%d reserved connections, want the default", n)
	}
	if d := cmp.Diff(f, defaulter.Fill(f)); d != "" {
		t.Errorf("filling in defaults twice changes the file: %s", d)
	}
	b, err := yaml.Marshal(concealer.Hide(f))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(b), "SCRAM") {
		t.Error("hidden file contains a verifier")
	}
	if r := parser.Parse("x", b); len(r.Faults) != 2 {
		t.Errorf("hidden verifiers without a base: faults %v, want two", r.Faults)
	}
	if d := cmp.Diff(parser.Result{File: f}, parser.ParseWithBase("x", b, f)); d != "" {
		t.Errorf("file with hidden verifiers differs after parsing it with its base: %s", d)
	}
}
