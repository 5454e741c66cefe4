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

func split(t interface{ Fatal(...any) }, f declarer.File) *changer.Document {
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

// normal is f as it is read back from the platform.
func normal(t rapid.TB, f declarer.File) *declarer.File {
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

// A change that left out, doubled or swapped one entry would have hosts decide by
// different files under one revision: callers would be routed or refused otherwise
// at one host than at another. Here files with doubled names, changed orders and empty
// or missing lists are made out of each other.
func TestChangeMakesTheVeryFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := drawFile(t), drawFile(t)
		a, b := split(t, *normal(t, x)), split(t, y)
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
		if s := cmp.Diff(normal(t, y), d.File); s != "" {
			t.Fatal(s)
		}
	})
}

// A change comes to a host that holds another base, or with another digest than the
// head names. The host must notice and take the whole file, whatever the change makes.
func TestChangeOfAnotherBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, other := split(t, drawFile(t)), split(t, drawFile(t)), split(t, drawFile(t))
		c, err := changer.Make(a, b)
		if err != nil {
			t.Fatal(err)
		}
		d, err := changer.Apply(other, c, b.Digest)
		if err == nil && string(d.Text()) != string(b.Text()) {
			t.Fatalf("another file: %s", d.Text())
		}
		if other.Digest == b.Digest {
			return
		}
		if _, err := changer.Apply(a, c, other.Digest); !errors.Is(err, changer.ErrMismatch) {
			t.Fatalf("took another digest: %v", err)
		}
	})
}

// A change by a host that doesn't keep to the format leaves the entries' boundaries
// elsewhere than the file does. The text and its digest would be right, and the
// host would decide by a file that lacks an entry.
func TestEntriesKeepTheirBoundaries(t *testing.T) {
	g := []declarer.DatabaseGroup{{Name: "a"}, {Name: "b"}}
	a, b := split(t, declarer.File{}), split(t, declarer.File{DatabaseGroups: g})
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
		c, err := changer.Packed(a, p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Apply(a, c, b.Digest); !errors.Is(err, changer.ErrMalformed) {
			t.Errorf("%v: %v", l, err)
		}
	}
}

// A short change asks for a file larger than any that may be stored.
func TestChangeThatAsksForTooMuch(t *testing.T) {
	a := split(t, declarer.File{DatabaseGroups: []declarer.DatabaseGroup{{Name: strings.Repeat("a", 1<<20)}}})
	l := make([]map[int]any, 40)
	for i := range l {
		l[i] = map[int]any{2: 1}
	}
	for _, x := range []any{map[int]any{1: l}, map[int]any{1: []map[int]any{{3: make([]byte, encoder.MaximumFileBytes)}}}} {
		p, err := cbor.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		c, err := changer.Packed(a, p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := changer.Apply(a, c, ""); !errors.Is(err, changer.ErrMalformed) {
			t.Errorf("change of %d bytes: %v", len(c), err)
		}
	}
}

func files(t testing.TB) (a, b *changer.Document) {
	t.Helper()
	r, err := parser.ParseFile("../differ/testdata/before.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := parser.ParseFile("../differ/testdata/after.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return split(t, r.File), split(t, s.File)
}

// The format is what hosts of different versions have in common: the golden file's
// change must also be read by later versions.
func TestFormat(t *testing.T) {
	a, b := files(t)
	c, err := changer.Make(a, b)
	if err != nil {
		t.Fatal(err)
	}
	p, err := changer.Unpacked(a, c)
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
