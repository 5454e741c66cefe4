package changer_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// FuzzApply looks for changes that crash the process, and for changes that produce a file
// other than the one that its text encodes. data is an uncompressed change, unless packed
// is set, because the fuzzer seldom produces valid compressed data.
func FuzzApply(f *testing.F) {
	a, b := exampleDocuments(f)
	c, err := changer.Make(a, b)
	if err != nil {
		f.Fatal(err)
	}
	p, err := changer.UnpackChange(a, c)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p, false)
	f.Add(c, true)
	f.Fuzz(func(t *testing.T, data []byte, packed bool) {
		if !packed {
			if data, err = changer.PackChange(a, data); err != nil {
				t.Fatal(err)
			}
		}
		d, err := changer.Apply(a, data, b.Digest)
		if err != nil {
			return
		}
		var g declarer.File
		if err := json.Unmarshal(d.Text(), &g); err != nil {
			t.Fatal(err)
		}
		if s := cmp.Diff(&g, d.File); s != "" || string(d.Text()) != string(b.Text()) {
			t.Fatal(s)
		}
	})
}
