package changer_test

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/parser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

func newDocument(t interface{ Fatal(...any) }, f declarer.File) *changer.Document {
	d, err := changer.NewDocument(&f)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func drawFile(t *rapid.T) declarer.File {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "", "<&>\u2028", "\xff"})
	group := rapid.Custom(func(t *rapid.T) declarer.DatabaseGroup {
		return declarer.DatabaseGroup{Name: name.Draw(t, "name"), Service: name.Draw(t, "service"), BackendServers: []declarer.BackendServer{{Name: name.Draw(t, "server")}}}
	})
	rule := rapid.Custom(func(t *rapid.T) declarer.RoutingRule { return declarer.RoutingRule{Name: name.Draw(t, "name")} })
	team := rapid.Custom(func(t *rapid.T) declarer.Team {
		return declarer.Team{Name: name.Draw(t, "name"), Share: rapid.IntRange(0, 2).Draw(t, "share")}
	})
	f := declarer.File{
		DatabaseGroups: rapid.SliceOfN(group, 0, 8).Draw(t, "groups"),
		RoutingRules:   rapid.SliceOfN(rule, 0, 8).Draw(t, "rules"),
		Teams:          rapid.SliceOfN(team, 0, 8).Draw(t, "teams"),
		Limits:         declarer.Limits{QueueLength: rapid.IntRange(0, 2).Draw(t, "queue"), RetryShare: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "share")},
	}
	if rapid.IntRange(0, 9).Draw(t, "nil") == 0 {
		f.DatabaseGroups = nil
	}
	return f
}

// storedFile returns f as it is read back from the platform.
func storedFile(t rapid.TB, f declarer.File) *declarer.File {
	p, d, err := encoder.Pack(f)
	if err != nil {
		t.Fatal(err)
	}
	g, err := encoder.Unpack(encoder.Body{Digest: d, Packed: p})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against changes that omit, duplicate or swap an entry. Hosts would then decide
// by different files under one revision, and one host would route or refuse requests
// differently from another. Random files with duplicate names, changed orders and empty
// or missing lists are made from each other.
func TestChangeReproducesFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := drawFile(t), drawFile(t)
		a, b := newDocument(t, *storedFile(t, x)), newDocument(t, y)
		c, err := changer.Make(a, b)
		if err != nil {
			t.Fatal(err)
		}
		d, err := changer.Apply(a, c, b.Digest)
		if err != nil {
			t.Fatal(err)
		}
		want, _ := json.Marshal(y)
		_, digest, _ := encoder.Pack(y)
		if s := cmp.Diff(string(want), string(d.Text())); s != "" || d.Digest != digest {
			t.Fatalf("digest %s, want %s: %s", d.Digest, digest, s)
		}
		if s := cmp.Diff(storedFile(t, y), d.File); s != "" {
			t.Fatal(s)
		}
	})
}

// Guards against accepting a change on the wrong base or for the wrong digest. A host
// may receive a change that was made from another base than the one it holds, or whose
// result has another digest than the head states. Apply must then fail rather than return
// another file, so that the host fetches the whole file.
func TestChangeFromAnotherBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, other := newDocument(t, drawFile(t)), newDocument(t, drawFile(t)), newDocument(t, drawFile(t))
		c, err := changer.Make(a, b)
		if err != nil {
			t.Fatal(err)
		}
		d, err := changer.Apply(other, c, b.Digest)
		if err == nil && string(d.Text()) != string(b.Text()) {
			t.Fatalf("change on another base produced another file: %s", d.Text())
		}
		if other.Digest == b.Digest {
			return
		}
		if _, err := changer.Apply(a, c, other.Digest); !errors.Is(err, changer.ErrMismatch) {
			t.Fatalf("change accepted for another digest: %v", err)
		}
	})
}

// Guards against a change whose entries don't each hold exactly one value. A faulty host
// could put two entries into one text: the whole text and its digest would be right, but
// the host would decode, and decide by, a file that lacks an entry.
func TestEntryBoundaries(t *testing.T) {
	g := []declarer.DatabaseGroup{{Name: "a"}, {Name: "b"}}
	a, b := newDocument(t, declarer.File{}), newDocument(t, declarer.File{DatabaseGroups: g})
	x, _ := json.Marshal(g[0])
	y, _ := json.Marshal(g[1])
	for _, l := range [][]map[int]any{
		{{3: append(append(x, ','), y...)}},
		{{3: append(append(x, ' '), y...)}},
		{{3: []byte{}}},
		{{3: x}, {3: append(y, '}')}},
		{{1: -1, 2: 1}}, {{1: 1 << 62, 2: 1 << 62}}, {{2: -1}}, {{1: 0, 2: 1}},
	} {
		p, err := cbor.Marshal(map[int]any{1: l})
		if err != nil {
			t.Fatal(err)
		}
		c, err := changer.PackChange(a, p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Apply(a, c, b.Digest); !errors.Is(err, changer.ErrMalformed) {
			t.Errorf("entries %v: error %v, want ErrMalformed", l, err)
		}
	}
}

// Guards against running out of memory: a short change can request a file larger than any
// that may be stored, by repeating a large entry or by compressing well.
func TestOversizedChange(t *testing.T) {
	a := newDocument(t, declarer.File{DatabaseGroups: []declarer.DatabaseGroup{{Name: strings.Repeat("a", 1<<20)}}})
	l := make([]map[int]any, 40)
	for i := range l {
		l[i] = map[int]any{2: 1}
	}
	for _, x := range []any{map[int]any{1: l}, map[int]any{1: []map[int]any{{3: make([]byte, encoder.MaximumFileBytes)}}}} {
		p, err := cbor.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		c, err := changer.PackChange(a, p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Apply(a, c, ""); !errors.Is(err, changer.ErrMalformed) {
			t.Errorf("change of %d bytes: error %v, want ErrMalformed", len(c), err)
		}
	}
}

func exampleDocuments(t testing.TB) (a, b *changer.Document) {
	t.Helper()
	r, err := parser.ParseFile("../differ/testdata/before.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := parser.ParseFile("../differ/testdata/after.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return newDocument(t, r.File), newDocument(t, s.File)
}

// Guards against an incompatible change of the format, by which hosts of different
// versions exchange changes: the change in the golden file must stay readable.
func TestFormat(t *testing.T) {
	a, b := exampleDocuments(t)
	c, err := changer.Make(a, b)
	if err != nil {
		t.Fatal(err)
	}
	p, err := changer.UnpackChange(a, c)
	if err != nil {
		t.Fatal(err)
	}
	s, err := cbor.Diagnose(p)
	if err != nil {
		t.Fatal(err)
	}
	const name = "testdata/change.golden"
	got := fmt.Sprintf("%s\n%x\n", s, c)
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
	x, err := hex.DecodeString(strings.Fields(string(want))[len(strings.Fields(string(want)))-1])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := changer.Apply(a, x, b.Digest); err != nil {
		t.Error(err)
	}
}
