package chooser

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/route/historian"
	"github.com/cuminwick/cuminwick/internal/session/tracker"
)

const (
	servers  = 3
	hosts    = 2
	sessions = 3
	age      = 50 * ms
)

// fakeServer is a log of marks; each record is one write.
type fakeServer struct {
	role    controller.Role
	term    marker.Term
	follows int
	stopped bool
	log     []marker.Mark
}

func (s *fakeServer) last() marker.Mark {
	if len(s.log) == 0 {
		return marker.Mark{}
	}
	return s.log[len(s.log)-1]
}

// fakeSession is a session. Each of its reads must return the records in required.
type fakeSession struct {
	tracker  tracker.Tracker
	required []marker.Mark
}

// simulation models one group, entry hosts with outdated observations, and sessions that change hosts.
type simulation struct {
	t                  *rapid.T
	now                time.Duration
	servers            [servers]fakeServer
	primary            int
	confirmed          bool
	known              [hosts][]Candidate
	history            [hosts]historian.Historian
	sessions           [sessions]fakeSession
	acked              []historian.Observation
	answers            int
	speculativeAnswers int
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, confirmed: true}
	for i := range w.servers {
		w.servers[i] = fakeServer{role: controller.RoleReplica, term: 1}
	}
	w.servers[0].role = controller.RolePrimary
	for h := range w.known {
		w.known[h] = make([]Candidate, servers)
		w.history[h].MaximumAge = age
		for i := range servers {
			w.observe(h, i)
		}
	}
	return w
}

// observe updates the observation of server i at host h.
func (w *simulation) observe(h, i int) {
	s := &w.servers[i]
	w.known[h][i] = Candidate{
		Role: s.role, Confirmed: i == w.primary && w.confirmed, Last: s.last(), Observed: w.now,
		CatchUpRate: 1000, Slots: 2, ServiceTime: ms,
		Busy: rapid.IntRange(0, 40).Draw(w.t, "busy"),
	}
	if i == w.primary && w.confirmed {
		w.history[h].Add(historian.Observation{PolledAt: w.now, Mark: s.last()})
	}
}

// replicate copies the next record to i from the primary that i follows. It does nothing if that
// primary isn't of the term that i has accepted.
func (w *simulation) replicate(i int) {
	s := &w.servers[i]
	p := &w.servers[s.follows]
	if s.role != controller.RoleReplica || s.stopped || p.term != s.term || len(p.log) <= len(s.log) {
		return
	}
	s.log = append(s.log, p.log[len(s.log)])
	w.confirm()
}

// confirm marks the new primary as confirmed once a majority holds its term-start record.
func (w *simulation) confirm() {
	p := &w.servers[w.primary]
	w.confirmed = w.confirmed || p.last().Term == p.term && w.heldByMajority(p.last())
}

// heldByMajority reports whether a majority holds the record m.
func (w *simulation) heldByMajority(m marker.Mark) bool {
	n := 0
	for i := range w.servers {
		if slices.Contains(w.servers[i].log, m) {
			n++
		}
	}
	return n > servers/2
}

// write appends a record at server i if its role is primary and, in the case of the current primary, it
// is confirmed. The write is acknowledged only if a majority then holds it.
func (w *simulation) write(i int, u *fakeSession, acknowledge bool) {
	p := &w.servers[i]
	if p.role != controller.RolePrimary || i == w.primary && !w.confirmed {
		return
	}
	m := marker.Mark{Term: p.term, Position: marker.Position(len(p.log) + 1)}
	p.log = append(p.log, m)
	for j := range w.servers {
		for acknowledge && w.servers[j].follows == i && len(w.servers[j].log) < len(p.log) {
			n := len(w.servers[j].log)
			w.replicate(j)
			if len(w.servers[j].log) == n {
				break
			}
		}
	}
	if acknowledge && w.heldByMajority(m) {
		u.required = append(u.required, m)
		u.tracker.Raise("g", m)
		w.acked = append(w.acked, historian.Observation{PolledAt: w.now, Mark: m})
	}
}

// promote raises the term at all servers but one and promotes the one with the longest log.
func (w *simulation) promote(without int) {
	best := -1
	t := w.servers[w.primary].term + 1
	for i := range w.servers {
		s := &w.servers[i]
		if i == without {
			continue
		}
		s.term = t
		if best < 0 || s.last().Compare(w.servers[best].last()) > 0 {
			best = i
		}
	}
	w.primary, w.confirmed = best, false
	p := &w.servers[best]
	p.role = controller.RolePrimary
	p.log = append(p.log, marker.Mark{Term: t, Position: marker.Position(len(p.log) + 1)})
	for i := range w.servers {
		if i != without && i != best {
			w.follow(i)
		}
	}
}

// follow makes i a replica of the primary and truncates records that the primary lacks.
func (w *simulation) follow(i int) {
	p, s := &w.servers[w.primary], &w.servers[i]
	if i == w.primary {
		return
	}
	n := 0
	for n < min(len(p.log), len(s.log)) && p.log[n] == s.log[n] {
		n++
	}
	s.role, s.term, s.follows, s.log = controller.RoleReplica, p.term, w.primary, slices.Clone(s.log[:n])
}

// read runs one read of session u through host h and checks its answer.
func (w *simulation) read(h int, u *fakeSession, staleAllowed, index bool) {
	q := Request{Now: w.now, Random: rapid.Uint64().Draw(w.t, "draw"), StaleAllowed: staleAllowed}
	q.Mark, q.HasMark = u.tracker.Get("g")
	if staleAllowed {
		q.AgeMark, q.HasAgeMark = w.history[h].RequiredMark(w.now, age)
	}
	if index && w.confirmed && NeedsReadIndex(&q) {
		q.ReadIndex, q.HasReadIndex = w.servers[w.primary].last(), true
	}
	d := new(Chooser).Choose(&q, w.known[h])
	if d.Refused {
		return
	}
	s := &w.servers[d.Index]
	if d.WaitForMark && !s.last().Covers(d.RequiredMark) {
		return
	}
	if MustAwaitMajority(s.last(), &w.known[h][d.Index], servers) && !w.heldByMajority(s.last()) {
		return
	}
	w.answers++
	for _, m := range u.required {
		if !slices.Contains(s.log, m) {
			w.t.Fatalf("server %d at %v lacks %v that the session wrote or read: %+v", d.Index, s.last(), m, d)
		}
	}
	for _, a := range w.acked {
		if !d.AgeUnknown && a.PolledAt < w.now-age && !slices.Contains(s.log, a.Mark) {
			w.t.Fatalf("server %d lacks %v, acknowledged %v ago: %+v", d.Index, a.Mark, w.now-a.PolledAt, d)
		}
	}
	u.required = append(u.required[:0], s.log...)
	u.tracker.Raise("g", s.last())
}

// Guards against sessions that miss their own writes or see data go back in time: replicas lag, stop
// and rejoin, an old primary continues after a promotion, entry hosts have outdated observations, and a
// session changes hosts, sometimes without its mark.
func TestSessionsReadTheirWritesAndNeverGoBack(t *testing.T) {
	answers := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range 150 {
			w.step()
		}
		answers += w.answers
	})
	if answers < 1000 {
		t.Errorf("only %d reads were answered, too few for the test to be meaningful", answers)
	}
}

func (w *simulation) step() {
	h := rapid.IntRange(0, hosts-1).Draw(w.t, "host")
	i := rapid.IntRange(0, servers-1).Draw(w.t, "server")
	u := &w.sessions[rapid.IntRange(0, sessions-1).Draw(w.t, "session")]
	b := rapid.Bool().Draw(w.t, "flag")
	w.now += time.Duration(rapid.IntRange(0, 20).Draw(w.t, "gap")) * ms
	switch k := rapid.IntRange(0, 40).Draw(w.t, "step"); {
	case k < 12:
		w.read(h, u, b, rapid.Bool().Draw(w.t, "index"))
	case k < 18:
		w.write(i, u, b)
	case k < 25:
		w.replicate(i)
	case k < 36:
		w.observe(h, i)
	case k == 36:
		w.servers[i].stopped = b
	case k == 37:
		w.promote(i)
	case k == 38 && w.servers[i].term < w.servers[w.primary].term:
		w.follow(i)
	case k >= 39:
		// The session moves to a host without its mark.
		u.tracker = tracker.Tracker{}
	}
}
