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

// trio is a group whose server a reports the lead.
func trio() *Group {
	g := &Group{Name: "db", Zone: "z-a", Region: "r", Regions: map[string]string{"z-a": "r", "z-b": "r", "z-c": "far"}}
	g.SetServers(listed("a", 1), 0)
	return g
}

// listed is the platform's list, in which leader reports the lead since the revision.
func listed(leader string, revision uint64) []declarer.Server {
	var l []declarer.Server
	for _, id := range []string{"a", "b", "c"} {
		s := declarer.Server{ID: id, Group: "db", AvailabilityZone: "z-" + id, Slots: 2, Revision: 1}
		if id == leader {
			s.Primary, s.Revision = true, revision
		}
		l = append(l, s)
	}
	return l
}

func primaryOf(g *Group) string {
	if p := g.Primary(); p != nil {
		return p.ID
	}
	return ""
}

func TestPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(g *Group)
		want    string
	}{
		"as reported":                    {func(*Group) {}, "a"},
		"refused a write":                {func(g *Group) { g.RecordNotLeading("a") }, ""},
		"another reports":                {func(g *Group) { g.SetServers(listed("b", 9), 0) }, "b"},
		"another proved a later term":    {func(g *Group) { g.ConfirmLeadership("b", 1, mark(2, 5)) }, "b"},
		"an earlier term proves nothing": {func(g *Group) { g.ConfirmLeadership("a", 1, mark(3, 5)); g.ConfirmLeadership("b", 2, mark(2, 9)) }, "a"},
		"refused, then reports anew": {func(g *Group) {
			g.RecordNotLeading("a")
			g.SetServers(listed("b", 9), 0)
			g.SetServers(listed("a", 12), 0)
		}, "a"},
		"a late report doesn't undo a proof": {func(g *Group) {
			g.ConfirmLeadership("b", 1, mark(2, 5))
			g.SetServers(listed("a", 1), 0)
		}, "b"},
		"none listed": {func(g *Group) { g.SetServers(nil, 0) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := trio()
			c.happens(g)
			if got := primaryOf(g); got != c.want {
				t.Errorf("primary %q, want %q", got, c.want)
			}
		})
	}
}

// A primary is lost with commits that no replica had. A session that made one of them
// needs a position that no server will ever have; its reads would be refused for good.
func TestLiftLeavesRolledBackPositions(t *testing.T) {
	g := trio()
	g.ConfirmLeadership("a", 10, mark(1, 50))
	if got := g.ToNewestTerm(mark(1, 50)); got != mark(1, 50) {
		t.Errorf("lifted to %s within the term", got)
	}
	g.ConfirmLeadership("b", 20, mark(2, 40))
	if got := g.ToNewestTerm(mark(1, 50)); got != mark(2, 40) {
		t.Errorf("lifted to %s, want the start of the new term", got)
	}
	if got := g.ToNewestTerm(marker.Mark{}); !got.IsZero() {
		t.Errorf("nothing lifted to %s", got)
	}
}

// A read that may be a second old must not be shown what was known before that.
func TestNeedFollowsAge(t *testing.T) {
	g := trio()
	if _, ok := g.RequiredPosition(time.Minute, time.Second); ok {
		t.Error("a need is known before any proof")
	}
	g.ConfirmLeadership("a", 10*time.Second, mark(1, 5))
	g.ConfirmLeadership("a", 11*time.Second, mark(1, 9))
	if m, ok := g.RequiredPosition(10500*time.Millisecond, time.Second); !ok || m != mark(1, 5) {
		t.Errorf("need %s %t, want the older proof", m, ok)
	}
	if m, ok := g.RequiredPosition(11500*time.Millisecond, time.Second); !ok || m != mark(1, 9) {
		t.Errorf("need %s %t, want the newer proof", m, ok)
	}
	if m, ok := g.RequiredPosition(12500*time.Millisecond, time.Second); ok {
		t.Errorf("need %s from a proof that is too old", m)
	}
}

func TestRead(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(g *Group)
		want    string
	}{
		"nearest replica":                   {func(*Group) {}, "b"},
		"lagging is left out":               {func(g *Group) { g.RecordLag("b", time.Second) }, "c"},
		"unreachable is left out":           {func(g *Group) { g.RecordFailure("b", time.Second, time.Second) }, "c"},
		"all replicas lag":                  {func(g *Group) { g.RecordLag("b", time.Second); g.RecordLag("c", time.Second) }, "a"},
		"leaving is left out":               {func(g *Group) { l := listed("a", 1); l[1].Draining = true; g.SetServers(l, 0) }, "c"},
		"started again, nothing of before":  {func(g *Group) { g.RecordLag("b", time.Second); l := listed("a", 1); l[1].Boot = 7; g.SetServers(l, 0) }, "b"},
		"without a primary, any with a log": {func(g *Group) { g.RecordNotLeading("a") }, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			g := trio()
			c.happens(g)
			s, d := g.ChooseReadServer(mark(1, 5), nil, 0, time.Second+time.Millisecond)
			if s == nil || s.ID != c.want {
				t.Errorf("chosen %v, %s, want %s", s, d.Reason, c.want)
			}
		})
	}
}
