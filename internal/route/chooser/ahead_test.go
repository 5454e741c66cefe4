package chooser

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/indexer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

func TestRunsAhead(t *testing.T) {
	at := func(p marker.Position) marker.Mark { return marker.Mark{Term: 1, Position: p} }
	l := func(c Candidate) []Candidate {
		c.Role, c.Slots, c.Last = controller.RoleReplica, 2, at(9)
		return []Candidate{{Role: controller.RolePrimary, Confirmed: true, Slots: 2, Last: at(9)}, c, {Role: controller.RoleReplica, Unreachable: true}}
	}
	tests := []struct {
		name string
		d    Decision
		l    []Candidate
		want bool
	}{
		{"caught up, slot free", Decision{Index: 1}, l(Candidate{Busy: 1}), true},
		{"no slot free", Decision{Index: 1}, l(Candidate{Busy: 2}), false},
		{"others queue", Decision{Index: 1}, l(Candidate{Queued: 1}), false},
		{"behind", Decision{Index: 1, WaitForMark: true}, l(Candidate{}), false},
		{"primary", Decision{}, l(Candidate{}), false},
		{"refused", Decision{Refused: true, Index: -1}, l(Candidate{}), false},
		{"may show what no majority holds", Decision{Index: 1}, append(l(Candidate{}), Candidate{}, Candidate{}), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := CanSpeculate(&tt.d, tt.l); got != tt.want {
				t.Errorf("RunsAhead = %t", got)
			}
		})
	}
}

// Moments of a read that runs ahead, at each of which a server may be polled.
const (
	_ = iota // arrived
	asked
	read
	moments
)

// meanwhile is what others do between two moments of a read of session i.
func (w *world) meanwhile(i int) {
	o := &w.sessions[(i+1)%sessions]
	for range rapid.IntRange(0, 4).Draw(w.t, "events") {
		s := rapid.IntRange(0, servers-1).Draw(w.t, "server")
		switch k := rapid.IntRange(0, 20).Draw(w.t, "event"); {
		case k < 9:
			w.write(s, o, k < 7)
		case k < 18:
			w.replicate(s)
		case k < 19:
			w.promote(s)
		case w.servers[s].term < w.servers[w.primary].term:
			w.follow(s)
		}
	}
}

// readAhead runs one read of session i through host h ahead of its read index,
// for which each server is polled at any moment from the arrival on.
func (w *world) readAhead(h, i int) {
	u := &w.sessions[i]
	l := slices.Clone(w.known[h])
	q := Request{Now: w.now, Random: rapid.Uint64().Draw(w.t, "draw"), ReadIndex: ExpectedReadIndex(l), HasReadIndex: true}
	q.Mark, q.HasMark = u.tracker.Get("g")
	d := new(Chooser).Choose(&q, l)
	if !CanSpeculate(&d, l) {
		return
	}
	arrived := len(w.acked)
	s := &w.servers[d.Index]
	var moment [servers]int
	for j := range moment {
		moment[j] = rapid.IntRange(0, moments-1).Draw(w.t, "poll")
	}
	var polled []marker.Mark
	var positions [moments]marker.Mark
	var shown []marker.Mark
	for m := range moments {
		for j := range w.servers {
			if moment[j] == m {
				polled = append(polled, w.servers[j].last())
			}
		}
		positions[m] = s.last()
		if m == read {
			shown = slices.Clone(s.log)
		}
		w.meanwhile(i)
	}
	n, ok := indexer.Index(servers, polled)
	before := positions[asked]
	if rapid.Bool().Draw(w.t, "not asked before") {
		before = marker.Mark{}
	}
	if !ok || !SpeculationValid(q.Mark, n, l[d.Index].Last, before) {
		return
	}
	after := s.last()
	if MustAwaitMajority(after, &l[d.Index], servers) && !w.held(after) {
		return
	}
	w.ahead++
	for _, m := range u.must {
		if !slices.Contains(shown, m) {
			w.t.Fatalf("server %d shows %v, lacks %v that the session wrote or read", d.Index, shown, m)
		}
	}
	for _, a := range w.acked[:arrived] {
		if !slices.Contains(shown, a.Mark) {
			w.t.Fatalf("server %d shows %v, lacks %v, acknowledged before the read came", d.Index, shown, a.Mark)
		}
	}
	u.must = append(u.must[:0], shown...)
	u.tracker.Raise("g", after)
}

// A replica applies a write after a read ran at it and before its position was
// asked, or is promoted in between, and the read's index comes last. A costing
// officer would miss a line that was acknowledged before the page was asked for.
func TestReadsAheadShowAllThatWasAcknowledged(t *testing.T) {
	answers := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 60 {
			w.step()
			w.readAhead(rapid.IntRange(0, hosts-1).Draw(t, "ahead host"), rapid.IntRange(0, sessions-1).Draw(t, "ahead session"))
		}
		answers += w.ahead
	})
	if answers < 100 {
		t.Errorf("only %d reads were answered, the test shows nothing", answers)
	}
}
