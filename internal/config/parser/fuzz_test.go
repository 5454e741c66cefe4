package parser_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"

	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/parser"
)

// FuzzParse looks for files that crash the process, and for files without faults that
// can't be packed and unpacked or that have faults once defaults are filled in.
func FuzzParse(f *testing.F) {
	l, err := filepath.Glob("testdata/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, n := range append(l, "../../../configuration.example.yaml") {
		b, err := os.ReadFile(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := parser.Parse("fuzz", data)
		if len(r.Faults) > 0 {
			return
		}
		c := defaulter.Fill(r.File)
		p, d, err := encoder.Pack(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := encoder.Unpack(encoder.Body{Digest: d, Packed: p}); err != nil {
			t.Fatal(err)
		}
		b, err := yaml.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if s := parser.Parse("again", b); len(s.Faults) > 0 {
			t.Fatalf("faults after filling in defaults: %v\n%s", s.Faults, b)
		}
	})
}
