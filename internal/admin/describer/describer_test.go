package describer_test

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/admin/describer"
	"github.com/cuminwick/cuminwick/internal/admin/handler"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// documentFile is the committed document.
const documentFile = "../../../docs/openapi.json"

// A change of the routes or their types leaves the committed document outdated unless it is
// generated again.
func TestCommittedDocumentMatchesRoutes(t *testing.T) {
	got, err := describer.Describe()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(documentFile, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(documentFile)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), string(got)); d != "" {
		t.Errorf("run make golden: %s", d)
	}
	var d describer.Document
	if err := json.Unmarshal(want, &d); err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, r := range handler.Routes() {
		if _, ok := d.Paths[r.Path][strings.ToLower(r.Method)]; !ok {
			t.Errorf("%s %s isn't described", r.Method, r.Path)
		}
	}
	for _, p := range d.Paths {
		n += len(p)
	}
	if n != len(handler.Routes()) {
		t.Errorf("%d operations described, %d exist", n, len(handler.Routes()))
	}
	checkReferences(t, want, d)
}

// checkReferences checks that each reference in the document is to a schema in it.
func checkReferences(t *testing.T, b []byte, d describer.Document) {
	t.Helper()
	for _, s := range strings.Split(string(b), `"$ref": "`)[1:] {
		r, _, _ := strings.Cut(s, `"`)
		n, ok := strings.CutPrefix(r, "#/components/schemas/")
		if _, found := d.Components.Schemas[n]; !ok || !found {
			t.Errorf("reference %s is to no schema of the document", r)
		}
	}
}
