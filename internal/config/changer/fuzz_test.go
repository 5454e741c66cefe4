package changer_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// FuzzApply looks for changes that end the process, and for changes that lead to a
// file other than its text says. data is a change without its compression, which
// the fuzzer would seldom get through.
func FuzzApply(f *testing.F) {
	a, b := files(f)
	c, err := changer.Make(a, b)
	if err != nil {
		f.Fatal(err)
	}
	p, err := changer.Unpacked(a, c)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p, false)
	f.Add(c, true)
	f.Fuzz(func(t *testing.T, data []byte, packed bool) {
		if !packed {
			if data, err = changer.Packed(a, data); err != nil {
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
