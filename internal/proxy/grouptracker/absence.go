package grouptracker

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// forgetAfter is how long a server whose entry has lapsed counts as a server of a group that replicates
// asynchronously. Such a group may go on without the server's commits.
const forgetAfter = 30 * time.Second

// crashedAfter is how long a draining server must have failed when its entry disappears to count as crashed. The
// entry of one that leaves as planned disappears when it ends, that of a crashed one after several heartbeats.
const crashedAfter = time.Second

// absence is a server that isn't listed any more though it hasn't left as planned. It may still hold commits that
// no listed replica has.
type absence struct {
	since time.Duration
	// end is the first position of the primary that was observed after since, zero for none. All
	// commits that the server holds are before it.
	end marker.Mark
	// coveredBy holds the replicas that have reached end.
	coveredBy map[string]bool
	// drained is set if the server was to leave. A group that replicates asynchronously doesn't wait for it.
	drained bool
}

// recordAbsences records which of the servers so far are missing from the new list.
func (g *Group) recordAbsences(listed []*Server, now time.Duration) {
	for _, s := range listed {
		delete(g.absences, s.ID)
		if g.Find(s.ID) == nil {
			delete(g.departed, s.ID) // it is back, and not only on an old list
		}
	}
	for _, o := range g.servers {
		switch {
		case slices.ContainsFunc(listed, func(s *Server) bool { return s.ID == o.ID }):
		case g.departed[o.ID]:
		case o.Draining && (o.FailingSince == 0 || now-o.FailingSince < crashedAfter):
			g.addDeparted(o.ID)
		default:
			g.addAbsence(o.ID, now)
			g.absences[o.ID].drained = o.Draining
		}
	}
}

// observeAbsences records a position of the primary after asked.
func (g *Group) observeAbsences(asked time.Duration, m marker.Mark) {
	for _, a := range g.absences {
		if a.end.IsZero() && asked > a.since {
			a.end = m
		}
	}
}

// coverAbsences records that the replica's log ends at m.
func (g *Group) coverAbsences(id string, m marker.Mark) {
	if id == g.primary || m.IsZero() {
		return
	}
	for _, a := range g.absences {
		if !a.end.IsZero() && m.Covers(a.end) {
			a.coveredBy[id] = true
		}
	}
}

// RecordMembers records which servers the platform lists now, and which may hold commits as recorded by any host.
// Those of them that are neither listed nor known here count as absent from now on. Servers that were recorded
// before, and are no longer, have left as far as another host knows.
func (g *Group) RecordMembers(listed, recorded, before []string, now time.Duration) {
	for _, id := range listed {
		delete(g.absences, id)
		delete(g.departed, id)
	}
	for _, id := range before {
		if !slices.Contains(recorded, id) && !slices.Contains(listed, id) {
			g.addDeparted(id)
		}
	}
	for _, id := range recorded {
		if g.absences[id] == nil && !g.departed[id] && g.Find(id) == nil && !slices.Contains(listed, id) {
			g.addAbsence(id, now)
		}
	}
}

func (g *Group) addDeparted(id string) {
	if g.departed == nil {
		g.departed = make(map[string]bool)
	}
	g.departed[id] = true
	delete(g.absences, id)
}

// Departed reports whether the server has left as planned, or others have its commits.
func (g *Group) Departed(id string) bool { return g.departed[id] }

func (g *Group) addAbsence(id string, now time.Duration) {
	if g.absences == nil {
		g.absences = make(map[string]*absence)
	}
	g.absences[id] = &absence{since: now, coveredBy: make(map[string]bool)}
}

// Absent returns how many servers that aren't listed may hold commits that are to survive.
func (g *Group) Absent(synchronous int, now time.Duration) int {
	return len(g.AbsentServers(synchronous, now))
}

// AbsentServers returns the ids of the servers that aren't listed and may hold commits that are to survive, in
// no order. A commit is acknowledged once as many replicas have it as synchronous says. A server no longer counts
// once so many listed replicas have all of its commits, or after forgetAfter if replication is asynchronous.
func (g *Group) AbsentServers(synchronous int, now time.Duration) []string {
	var l []string
	for id, a := range g.absences {
		if synchronous > 0 && len(a.coveredBy) < synchronous || synchronous == 0 && !a.drained && now-a.since < forgetAfter {
			l = append(l, id)
		}
	}
	return l
}
