// Package grouptracker decides what an entry host believes of one database group: who
// leads it, which servers may be used, and how fresh a read must be.
package grouptracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
	"github.com/cuminwick/cuminwick/internal/route/historian"
)

const (
	// slotsUnknown stands for the slots of a server that doesn't tell them.
	slotsUnknown = 1
	// firstBehind and longestBehind bound how long a replica that lagged is left
	// alone: a lag of tens of milliseconds is usual, one of seconds is a fault.
	firstBehind   = 30 * time.Millisecond
	longestBehind = 500 * time.Millisecond
	// unreachableFor is how long a server is passed over after a failed
	// connection; the next attempt then shows whether it is back.
	unreachableFor = 300 * time.Millisecond
	// historyAge is the longest age that a route may allow.
	historyAge = 30 * time.Second
	// serviceTime is assumed until a server has answered, and smoothing is the
	// weight of a new sample, as one part in this many.
	serviceTime = 8 * time.Millisecond
	smoothing   = 16
)

// Server is what is believed of one backend server.
type Server struct {
	declarer.Server
	// DrainingSince is when the server was first seen to be leaving.
	DrainingSince time.Duration
	// FailingSince is when the first of an unbroken row of failures was seen,
	// zero if its last answer came after that.
	FailingSince time.Duration
	// FailedAt is the last failure.
	FailedAt time.Duration
	// ConnectionRefusedSince is when connections were first refused in an unbroken row of
	// failures, zero if none was: no process listens there.
	ConnectionRefusedSince time.Duration
	// AnsweredAt is its last answer to this host.
	AnsweredAt time.Duration
	// NotLeading says that it refused a write and hasn't reported a new lead since.
	NotLeading bool
	// LastPosition is the longest log that it was seen to have in its last term.
	LastPosition marker.Mark
	// ServiceTime is the smoothed time of a statement.
	ServiceTime time.Duration
	// InFlight is how many statements this host has under way at it.
	InFlight int

	behindUntil time.Duration
	behindFor   time.Duration
}

// Group is what is believed of one database group. Its fields are set before use;
// it belongs to one goroutine at a time. Times are on a clock that counts the time
// in which the host stood still: a view that is seconds old after a pause would
// otherwise pass for fresh and let stale reads through.
type Group struct {
	Name string
	// Region is where this host is, Regions tells where the zones are.
	Region  string
	Regions map[string]string
	// Zone is this host's.
	Zone    string
	Chooser chooser.Chooser

	servers []*Server
	primary string
	history historian.Historian
	// begun is the first mark seen under the newest term.
	begun marker.Mark
	// proved is the newest report of a lead that was known when the primary proved
	// that it leads.
	proved uint64
}

// SetServers replaces the list of servers by what the platform lists now.
func (g *Group) SetServers(l []declarer.Server, now time.Duration) {
	var s []*Server
	for _, d := range l {
		s = append(s, g.merge(d, now))
	}
	slices.SortFunc(s, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	g.servers = s
	g.follow()
}

func (g *Group) merge(d declarer.Server, now time.Duration) *Server {
	o := g.Find(d.ID)
	if o == nil || o.Boot != d.Boot || o.Address != d.Address {
		// A server that started again holds nothing of before.
		o = &Server{ServiceTime: serviceTime}
	}
	if d.Draining && !o.Draining {
		o.DrainingSince = now
	}
	if d.Primary && !o.Primary {
		o.NotLeading = false
	}
	o.Server = d
	return o
}

// follow takes the server that reported the lead last for the primary, unless
// another one has proved since that it leads.
func (g *Group) follow() {
	best := g.reported()
	p := g.Find(g.primary)
	if p != nil && !p.NotLeading && (best == nil || best.Revision <= g.proved) {
		return
	}
	g.primary = ""
	if best != nil {
		g.primary = best.ID
	}
}

// reported returns the server that reported the lead last, nil if none does.
func (g *Group) reported() *Server {
	var best *Server
	for _, s := range g.servers {
		if s.Primary && !s.NotLeading && (best == nil || s.Revision > best.Revision) {
			best = s
		}
	}
	return best
}

// Find returns the server, nil if it isn't listed.
func (g *Group) Find(id string) *Server {
	for _, s := range g.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Servers returns what is believed of all servers, ordered by id.
func (g *Group) Servers() []*Server { return g.servers }

// Primary returns the server that is believed to lead and so takes writes, nil if none is.
func (g *Group) Primary() *Server { return g.Find(g.primary) }

// ConfirmLeadership notes a proof that the server led the group at some time after asked, when
// its log ended at m.
func (g *Group) ConfirmLeadership(id string, asked time.Duration, m marker.Mark) {
	s := g.Find(id)
	if s == nil || m.IsZero() {
		return
	}
	latest, known := g.history.Latest()
	if known && m.Term < latest.Mark.Term {
		return
	}
	if !known || m.Term > latest.Mark.Term {
		g.begun = m
	}
	g.history.MaximumAge = historyAge
	g.history.Add(historian.Observation{PolledAt: asked, Mark: m})
	s.NotLeading = false
	g.primary = id
	for _, o := range g.servers {
		g.proved = max(g.proved, o.Revision)
	}
}

// RecordNotLeading notes that the server refused a write since it doesn't lead.
func (g *Group) RecordNotLeading(id string) {
	if s := g.Find(id); s != nil {
		s.NotLeading = true
		g.follow()
	}
}

// RecordAnswer notes an answer of the server after took, with its log's end if m isn't zero.
func (g *Group) RecordAnswer(id string, now, took time.Duration, m marker.Mark) {
	s := g.Find(id)
	if s == nil {
		return
	}
	s.FailingSince, s.ConnectionRefusedSince = 0, 0
	s.AnsweredAt = now
	if took > 0 {
		s.ServiceTime += (took - s.ServiceTime) / smoothing
	}
	if !m.IsZero() && (m.Term != s.LastPosition.Term || m.Covers(s.LastPosition)) {
		s.LastPosition = m
	}
}

// RecordCaughtUp notes that the server's log had what a read by age needed.
func (g *Group) RecordCaughtUp(id string) {
	if s := g.Find(id); s != nil {
		s.behindFor = 0
	}
}

// RecordLag notes that the server's log lacked what a read by age needed.
func (g *Group) RecordLag(id string, now time.Duration) {
	s := g.Find(id)
	if s == nil {
		return
	}
	s.behindFor = min(max(firstBehind, 2*s.behindFor), longestBehind)
	s.behindUntil = now + s.behindFor
}

// RecordFailure notes that the server didn't take a connection, or broke one off, in an attempt
// that began at since.
func (g *Group) RecordFailure(id string, since, now time.Duration) {
	s := g.Find(id)
	if s == nil {
		return
	}
	if s.FailingSince == 0 {
		s.FailingSince = max(since, s.AnsweredAt)
	}
	s.FailedAt = now
}

// RecordConnectionRefused notes that the server's host refused a connection to it.
func (g *Group) RecordConnectionRefused(id string, since, now time.Duration) {
	g.RecordFailure(id, since, now)
	if s := g.Find(id); s != nil && s.ConnectionRefusedSince == 0 {
		s.ConnectionRefusedSince = now
	}
}

// StatementStarted and Ended count the statements that this host has under way.
func (g *Group) StatementStarted(id string) { g.count(id, 1) }

// StatementEnded is the counterpart of Began.
func (g *Group) StatementEnded(id string) { g.count(id, -1) }

func (g *Group) count(id string, n int) {
	if s := g.Find(id); s != nil {
		s.InFlight = max(0, s.InFlight+n)
	}
}

// LatestConfirmation returns the newest proof of a lead.
func (g *Group) LatestConfirmation() (historian.Observation, bool) { return g.history.Latest() }

// ToNewestTerm returns m in terms of the newest log: of an earlier term it is the first mark
// of the newest one, whose log holds all of the earlier that lasts. The mark itself
// may have been rolled back, and no server would ever reach it.
func (g *Group) ToNewestTerm(m marker.Mark) marker.Mark {
	if !m.IsZero() && m.Term < g.begun.Term {
		return g.begun
	}
	return m
}

// RequiredPosition returns the mark that shows data to be at most age old for a request that
// came at arrived, and false if no proof of a lead is recent enough.
func (g *Group) RequiredPosition(arrived, age time.Duration) (marker.Mark, bool) {
	m, ok := g.history.RequiredMark(arrived, age)
	return g.ToNewestTerm(m), ok
}

// ChooseReadServer decides which server runs a read that needs the mark. excluded names the
// servers that were tried before.
func (g *Group) ChooseReadServer(need marker.Mark, excluded []string, draw uint64, now time.Duration) (*Server, chooser.Decision) {
	q := chooser.Request{HasMark: true, Mark: need, StaleAllowed: true, HasAgeMark: true, AgeMark: need, Random: draw, Now: now}
	l := make([]chooser.Candidate, 0, chooser.MaximumCandidates)
	for i, s := range g.servers[:min(len(g.servers), chooser.MaximumCandidates)] {
		if slices.Contains(excluded, s.ID) {
			q.Excluded |= 1 << i
		}
		l = append(l, g.candidate(s, need, now))
	}
	d := g.Chooser.Choose(&q, l)
	if d.Refused {
		return nil, d
	}
	return g.servers[d.Index], d
}

// candidate describes s to the chooser. Its log counts as long enough unless the
// server said otherwise a moment ago: the position goes along with the read, and a
// server that lacks it says so at once without using a slot.
func (g *Group) candidate(s *Server, need marker.Mark, now time.Duration) chooser.Candidate {
	c := chooser.Candidate{
		Name:         s.ID,
		Role:         controller.RoleReplica,
		Unreachable:  s.FailingSince != 0 && now-s.FailedAt < unreachableFor,
		Leaving:      s.Draining,
		LeavingSince: s.DrainingSince,
		Last:         need,
		Observed:     now,
		Busy:         s.InFlight,
		Slots:        max(s.Slots, slotsUnknown),
		ServiceTime:  s.ServiceTime,
		RoundTrip:    g.distance(s),
		OtherRegion:  g.Regions[s.AvailabilityZone] != g.Region,
	}
	if s.ID == g.primary {
		c.Role = controller.RolePrimary
		c.Confirmed = true
		return c
	}
	if now < s.behindUntil {
		c.Last = marker.Mark{Term: need.Term}
	}
	return c
}

// Distances of servers, for want of a measurement: those of the same zone go first.
const (
	distanceZone   = 400 * time.Microsecond
	distanceRegion = 2 * time.Millisecond
	distanceFar    = 16 * time.Millisecond
)

func (g *Group) distance(s *Server) time.Duration {
	switch {
	case s.AvailabilityZone == g.Zone:
		return distanceZone
	case g.Regions[s.AvailabilityZone] == g.Region:
		return distanceRegion
	default:
		return distanceFar
	}
}
