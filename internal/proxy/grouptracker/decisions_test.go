package grouptracker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against choices of servers that change in a deployment whose operators request nothing.
func TestGoldenDecisions(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	g := newTestGroup()
	now := time.Second
	var b strings.Builder
	for range 300 {
		now += time.Duration(r.IntN(150)) * time.Millisecond
		id := []string{"a", "b", "c"}[r.IntN(3)]
		switch r.IntN(8) {
		case 0:
			g.RecordLag(id, now)
		case 1:
			g.RecordFailure(id, now, now)
		case 2:
			g.StatementStarted(id)
		case 3:
			g.StatementEnded(id)
		case 4:
			g.SetServers(list(id, uint64(now)), now)
		default:
			g.RecordAnswer(id, now, time.Duration(r.IntN(20))*time.Millisecond, mark(1, 5))
		}
		var excluded []string
		if r.IntN(4) == 0 {
			excluded = append(excluded, id)
		}
		s, d := g.ChooseReadServer(mark(1, 5), excluded, r.Uint64(), now)
		chosen := "-"
		if s != nil {
			chosen = s.ID
		}
		fmt.Fprintf(&b, "%s %s %s\n", now, chosen, d.Reason)
	}
	p := filepath.Join("testdata", "decisions.golden")
	if *update {
		if err := os.WriteFile(p, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), b.String()); d != "" {
		t.Error(d)
	}
}

// BenchmarkChooseReadServer measures a choice where operators request nothing.
func BenchmarkChooseReadServer(b *testing.B) {
	g := newTestGroup()
	b.ReportAllocs()
	for b.Loop() {
		g.ChooseReadServer(mark(1, 5), nil, 1, time.Second)
	}
}
