package describer_test

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/config/describer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// name is the path of the committed schema, which operators use in their editors.
const name = "../../../docs/configuration.schema.json"

func TestCommittedSchemaIsCurrent(t *testing.T) {
	got, err := describer.Schema()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(name, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), string(got)); d != "" {
		t.Errorf("committed schema is outdated, run make golden: %s", d)
	}
	for _, k := range []string{"database-groups", "when-unconfirmed", "idle-in-transaction-timeout", "verifier"} {
		if !bytes.Contains(got, []byte(`"`+k+`"`)) {
			t.Errorf("schema lacks %s", k)
		}
	}
}
