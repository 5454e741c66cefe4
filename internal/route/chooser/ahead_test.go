package chooser

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/indexer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

func TestCanSpeculate(t *testing.T) {
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
		{"requests queued", Decision{Index: 1}, l(Candidate{Queued: 1}), false},
		{"behind", Decision{Index: 1, WaitForMark: true}, l(Candidate{}), false},
		{"primary", Decision{}, l(Candidate{}), false},
		{"refused", Decision{Refused: true, Index: -1}, l(Candidate{}), false},
		{"answer may lack a majority", Decision{Index: 1}, append(l(Candidate{}), Candidate{}, Candidate{}), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := CanSpeculate(&tt.d, tt.l); got != tt.want {
				t.Errorf("CanSpeculate = %t", got)
			}
		})
	}
}

// Points in time of a speculative read, at each of which a server may be polled.
const (
	_ = iota // arrived
	polledBefore
	read
	moments
)

// runConcurrentEvents runs writes, replication and promotions between two moments of a read of
// session i.
func (w *simulation) runConcurrentEvents(i int) {
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

// readSpeculatively runs one speculative read of session i through host h and checks its answer. Each
// server is polled for the read index at a random moment from the arrival on.
func (w *simulation) readSpeculatively(h, i int) {
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
	var answer []marker.Mark
	for m := range moments {
		for j := range w.servers {
			if moment[j] == m {
				polled = append(polled, w.servers[j].last())
			}
		}
		positions[m] = s.last()
		if m == read {
			answer = slices.Clone(s.log)
		}
		w.runConcurrentEvents(i)
	}
	n, ok := indexer.Index(servers, polled)
	before := positions[polledBefore]
	if rapid.Bool().Draw(w.t, "not polled before") {
		before = marker.Mark{}
	}
	if !ok || !SpeculationValid(q.Mark, n, l[d.Index].Last, before) {
		return
	}
	after := s.last()
	if MustAwaitMajority(after, &l[d.Index], servers) && !w.heldByMajority(after) {
		return
	}
	w.speculativeAnswers++
	for _, m := range u.required {
		if !slices.Contains(answer, m) {
			w.t.Fatalf("server %d returned %v, lacks %v that the session wrote or read", d.Index, answer, m)
		}
	}
	for _, a := range w.acked[:arrived] {
		if !slices.Contains(answer, a.Mark) {
			w.t.Fatalf("server %d returned %v, lacks %v, acknowledged before the read arrived", d.Index, answer, a.Mark)
		}
	}
	u.required = append(u.required[:0], answer...)
	u.tracker.Raise("g", after)
}

// Guards against speculative reads that miss acknowledged writes: a replica applies a write after the
// read ran and before its position was polled, or is promoted in between, and the read index arrives
// last. A user would miss a record that was saved before the page was requested.
func TestReadsAheadShowAllThatWasAcknowledged(t *testing.T) {
	answers := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range 60 {
			w.step()
			w.readSpeculatively(rapid.IntRange(0, hosts-1).Draw(t, "speculative host"), rapid.IntRange(0, sessions-1).Draw(t, "speculative session"))
		}
		answers += w.speculativeAnswers
	})
	if answers < 100 {
		t.Errorf("only %d reads were answered, too few for the test to be meaningful", answers)
	}
}
