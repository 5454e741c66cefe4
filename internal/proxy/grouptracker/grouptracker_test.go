package grouptracker

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

func mark(t, p uint64) marker.Mark {
	return marker.Mark{Term: marker.Term(t), Position: marker.Position(p)}
}

// newTestGroup returns a group whose server a reports leadership.
func newTestGroup() *Group {
	g := &Group{Name: "db", Zone: "z-a", Region: "r", Regions: map[string]string{"z-a": "r", "z-b": "r", "z-c": "far"}}
	g.SetServers(list("a", 1), 0)
	return g
}

// list returns the platform's list, in which the server primary reports leadership since
// the revision.
func list(primary string, revision uint64) []declarer.Server {
	var l []declarer.Server
	for _, id := range []string{"a", "b", "c"} {
		s := declarer.Server{ID: id, Group: "db", AvailabilityZone: "z-" + id, Slots: 2, Revision: 1}
		if id == primary {
			s.Primary, s.Revision = true, revision
		}
		l = append(l, s)
	}
	return l
}

func primaryID(g *Group) string {
	if p := g.Primary(); p != nil {
		return p.ID
	}
	return ""
}

func TestPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		events func(g *Group)
		want   string
	}{
		"as reported":                                {func(*Group) {}, "a"},
		"refused a write":                            {func(g *Group) { g.RecordNotLeading("a") }, ""},
		"another reports leadership":                 {func(g *Group) { g.SetServers(list("b", 9), 0) }, "b"},
		"another confirmed in a later term":          {func(g *Group) { g.ConfirmLeadership("b", 1, mark(2, 5)) }, "b"},
		"confirmation of an earlier term is ignored": {func(g *Group) { g.ConfirmLeadership("a", 1, mark(3, 5)); g.ConfirmLeadership("b", 2, mark(2, 9)) }, "a"},
		"refused a write, then reports leadership again": {func(g *Group) {
			g.RecordNotLeading("a")
			g.SetServers(list("b", 9), 0)
			g.SetServers(list("a", 12), 0)
		}, "a"},
		"late report doesn't override a confirmation": {func(g *Group) {
			g.ConfirmLeadership("b", 1, mark(2, 5))
			g.SetServers(list("a", 1), 0)
		}, "b"},
		"no servers listed": {func(g *Group) { g.SetServers(nil, 0) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGroup()
			c.events(g)
			if got := primaryID(g); got != c.want {
				t.Errorf("primary %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against reads that are refused forever after a failover. The lost primary had commits
// that no replica had, and a session that made one requires a position that no server will ever
// reach.
func TestToNewestTermReplacesRolledBackPositions(t *testing.T) {
	g := newTestGroup()
	g.ConfirmLeadership("a", 10, mark(1, 50))
	if got := g.ToNewestTerm(mark(1, 50)); got != mark(1, 50) {
		t.Errorf("changed to %s within the term", got)
	}
	g.ConfirmLeadership("b", 20, mark(2, 40))
	if got := g.ToNewestTerm(mark(1, 50)); got != mark(2, 40) {
		t.Errorf("changed to %s, want the start of the new term", got)
	}
	if got := g.ToNewestTerm(marker.Mark{}); !got.IsZero() {
		t.Errorf("zero position changed to %s", got)
	}
}

// Guards against reads that miss data older than their allowed age: a read that may be a second
// old requires the position that was confirmed at that time.
func TestRequiredPositionFollowsAge(t *testing.T) {
	g := newTestGroup()
	if _, ok := g.RequiredPosition(time.Minute, time.Second); ok {
		t.Error("a position is known before any confirmation")
	}
	g.ConfirmLeadership("a", 10*time.Second, mark(1, 5))
	g.ConfirmLeadership("a", 11*time.Second, mark(1, 9))
	if m, ok := g.RequiredPosition(10500*time.Millisecond, time.Second); !ok || m != mark(1, 5) {
		t.Errorf("position %s %t, want the older confirmation", m, ok)
	}
	if m, ok := g.RequiredPosition(11500*time.Millisecond, time.Second); !ok || m != mark(1, 9) {
		t.Errorf("position %s %t, want the newer confirmation", m, ok)
	}
	if m, ok := g.RequiredPosition(12500*time.Millisecond, time.Second); ok {
		t.Errorf("position %s from a confirmation that is too old", m)
	}
}

func TestChooseReadServer(t *testing.T) {
	for name, c := range map[string]struct {
		events func(g *Group)
		want   string
	}{
		"nearest replica":                 {func(*Group) {}, "b"},
		"lagging replica is skipped":      {func(g *Group) { g.RecordLag("b", time.Second) }, "c"},
		"unreachable replica is skipped":  {func(g *Group) { g.RecordFailure("b", time.Second, time.Second) }, "c"},
		"all replicas lag":                {func(g *Group) { g.RecordLag("b", time.Second); g.RecordLag("c", time.Second) }, "a"},
		"draining replica is skipped":     {func(g *Group) { l := list("a", 1); l[1].Draining = true; g.SetServers(l, 0) }, "c"},
		"restarted replica is used again": {func(g *Group) { g.RecordLag("b", time.Second); l := list("a", 1); l[1].Boot = 7; g.SetServers(l, 0) }, "b"},
		"no primary, any server":          {func(g *Group) { g.RecordNotLeading("a") }, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGroup()
			c.events(g)
			s, d := g.ChooseReadServer(mark(1, 5), nil, 0, time.Second+time.Millisecond)
			if s == nil || s.ID != c.want {
				t.Errorf("chosen %v, %s, want %s", s, d.Reason, c.want)
			}
		})
	}
}

// Guards against a position of another host that counts for more than it shows: it is old, so it must
// neither bring a replaced primary back nor count as newer than it is.
func TestAddedPositionDoesNotChooseThePrimary(t *testing.T) {
	g := newTestGroup()
	g.SetServers(list("b", 9), 0)
	g.AddPosition(10*time.Second, mark(1, 7))
	if p := primaryID(g); p != "b" {
		t.Errorf("primary %q after a position of another host, want b", p)
	}
	if m, ok := g.RequiredPosition(11*time.Second, 2*time.Second); !ok || m != mark(1, 7) {
		t.Errorf("required %v, %v for data up to 2 s old", m, ok)
	}
	if _, ok := g.RequiredPosition(11*time.Second, 500*time.Millisecond); ok {
		t.Error("a position of a second ago shows data to be half a second old")
	}
	g.ConfirmLeadership("b", 12*time.Second, mark(2, 9))
	g.AddPosition(13*time.Second, mark(1, 8))
	if m, _ := g.RequiredPosition(14*time.Second, 3*time.Second); m != mark(2, 9) {
		t.Errorf("required %v, want the first position of the newest term", m)
	}
	if o, ok := g.EarliestPosition(12500 * time.Millisecond); ok {
		t.Errorf("position %v of an earlier term was added", o)
	}
}
