package grouptracker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drained(ids ...string) map[string]bool {
	m := make(map[string]bool)
	for _, id := range ids {
		m[id] = true
	}
	return m
}

// Guards against reads at a server that operators drain while another one can run them, and against reads
// that are refused because all that can run them are drained.
func TestDrainedServers(t *testing.T) {
	fail := func(ids ...string) func(*Group) {
		return func(g *Group) {
			for _, id := range ids {
				g.RecordFailure(id, time.Second, time.Second)
			}
		}
	}
	for name, c := range map[string]struct {
		drained  map[string]bool
		excluded []string
		events   func(g *Group)
		want     string
	}{
		"a replica":                        {drained("b"), nil, fail(), "c"},
		"all replicas":                     {drained("b", "c"), nil, fail(), "a"},
		"all replicas, the primary failed": {drained("b", "c"), nil, fail("a"), "b"},
		"all servers":                      {drained("a", "b", "c"), nil, fail(), "b"},
		"all servers, one failed":          {drained("a", "b", "c"), nil, fail("b"), "c"},
		"the primary":                      {drained("a"), nil, fail("b"), "c"},
		"the primary, others failed":       {drained("a"), nil, fail("b", "c"), "a"},
		"the primary, others lag":          {drained("a"), nil, func(g *Group) { g.RecordLag("b", time.Second); g.RecordLag("c", time.Second) }, "a"},
		"a replica, the other lags":        {drained("b"), nil, func(g *Group) { g.RecordLag("c", time.Second) }, "a"},
		"others refused for now":           {drained("b"), []string{"a", "c"}, fail(), ""},
		"one refused, one can run it":      {drained("b"), []string{"c"}, fail(), "a"},
		"others failed, one refused":       {drained("b"), []string{"c"}, fail("a", "c"), "b"},
		"a server of no group":             {drained("x"), nil, fail(), "b"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGroup()
			g.Drained = c.drained
			c.events(g)
			got := ""
			s, d := g.ChooseReadServer(mark(1, 5), c.excluded, 0, time.Second+time.Millisecond)
			if s != nil {
				got = s.ID
			}
			if got != c.want {
				t.Errorf("chosen %q, %s, want %q", got, d.Reason, c.want)
			}
		})
	}
}

// Guards against a host that closes its idle connections to a server that its group can't do without.
func TestIsReplaceable(t *testing.T) {
	for name, c := range map[string]struct {
		drained map[string]bool
		id      string
		want    bool
	}{
		"not drained":      {drained("c"), "b", false},
		"drained":          {drained("b"), "b", true},
		"drained with all": {drained("a", "b", "c"), "b", false},
		"the primary":      {drained("a"), "a", false},
		"not listed":       {drained("x"), "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGroup()
			g.Drained = c.drained
			if got := g.IsReplaceable(c.id); got != c.want {
				t.Errorf("replaceable %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against decisions that change where operators drain nothing, or only servers of other groups.
func TestDecisionsWithoutDrainedServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, other := newTestGroup(), newTestGroup()
		other.Drained = drained("x")
		now := time.Second
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			event := rapid.IntRange(0, 5).Draw(t, "event")
			for _, g := range []*Group{plain, other} {
				switch event {
				case 0:
					g.RecordLag(id, now)
				case 1:
					g.RecordFailure(id, now, now)
				case 2:
					g.RecordAnswer(id, now, 5*time.Millisecond, mark(1, 5))
				case 3:
					g.StatementStarted(id)
				case 4:
					g.SetServers(list(id, uint64(now)), now)
				}
			}
			draw := rapid.Uint64().Draw(t, "draw")
			excluded := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "excluded")
			_, d := plain.ChooseReadServer(mark(1, 5), excluded, draw, now)
			_, e := other.ChooseReadServer(mark(1, 5), excluded, draw, now)
			if d != e {
				t.Fatalf("decision %+v, with names that match nothing %+v", d, e)
			}
		}
	})
}
