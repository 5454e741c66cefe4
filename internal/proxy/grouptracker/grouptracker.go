// Package grouptracker keeps the state of one database group as an entry host has observed it:
// which server is the primary, which servers are usable, and which position a read requires.
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
	// defaultSlots is assumed for a server that doesn't report its slots.
	defaultSlots = 1
	// initialLagBackoff and maximumLagBackoff bound how long a lagging replica gets no reads: a
	// lag of tens of milliseconds is usual, one of seconds is a fault.
	initialLagBackoff = 30 * time.Millisecond
	maximumLagBackoff = 500 * time.Millisecond
	// unreachableBackoff is how long a server gets no reads after a failed connection. The next
	// attempt then shows whether it is reachable.
	unreachableBackoff = 300 * time.Millisecond
	// maximumHistoryAge is the longest staleness that a route may allow.
	maximumHistoryAge = 30 * time.Second
	// initialServiceTime is assumed until a server has answered. A new sample changes the smoothed
	// service time by one part in smoothingDivisor.
	initialServiceTime = 8 * time.Millisecond
	smoothingDivisor   = 16
)

// Server is the observed state of one backend server. Its times are on the clock of its Group.
type Server struct {
	declarer.Server
	// DrainingSince is when the server was first listed as draining.
	DrainingSince time.Duration
	// FailingSince is when the current series of failures began, zero if the server has answered
	// since its last failure.
	FailingSince time.Duration
	// FailedAt is the time of the last failure.
	FailedAt time.Duration
	// ConnectionRefusedSince is when a connection was first refused in the current series of
	// failures, zero if none was. A refusal means that no process listens there.
	ConnectionRefusedSince time.Duration
	// AnsweredAt is the time of the server's last answer to this host.
	AnsweredAt time.Duration
	// NotLeading is set when the server refuses a write because it isn't the primary, and cleared
	// when it newly reports leadership or a later answer confirms it.
	NotLeading bool
	// LastPosition is the end of the longest log observed on the server in its last observed term.
	LastPosition marker.Mark
	// ServiceTime is the smoothed duration of a statement.
	ServiceTime time.Duration
	// InFlight is the number of statements that this host has sent to the server and that aren't
	// answered.
	InFlight int

	// The server counts as lagging until lagBackoffUntil. lagBackoff is the last such period, zero
	// after the server has caught up.
	lagBackoffUntil time.Duration
	lagBackoff      time.Duration
}

// Group is the observed state of one database group. Its exported fields are set before use. It
// isn't safe for concurrent use. Times are on a clock that includes the time in which the host was
// paused: otherwise a state that is seconds old after a pause would count as fresh and allow stale
// reads.
type Group struct {
	Name string
	// Region is this host's. Regions gives the region of each availability zone.
	Region  string
	Regions map[string]string
	// Zone is this host's availability zone.
	Zone    string
	Chooser chooser.Chooser
	// Drained holds the ids of the servers that operators drain. It may be replaced at any time.
	Drained map[string]bool

	servers []*Server
	primary string
	history historian.Historian
	// newestTermStart is the first position observed in the newest term.
	newestTermStart marker.Mark
	// confirmedRevision is the newest revision of a server's report that was listed when the
	// primary's leadership was last confirmed. Reports up to it don't replace the primary.
	confirmedRevision uint64
	// absences holds by id the servers whose entries have lapsed.
	absences map[string]*absence
	// departed holds by id the servers that have left after they drained, or whose commits others have.
	departed map[string]bool
}

// SetServers replaces the server list by the platform's current one.
func (g *Group) SetServers(l []declarer.Server, now time.Duration) {
	var s []*Server
	for _, d := range l {
		s = append(s, g.mergeServer(d, now))
	}
	slices.SortFunc(s, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	g.recordAbsences(s, now)
	g.servers = s
	g.updatePrimary()
}

func (g *Group) mergeServer(d declarer.Server, now time.Duration) *Server {
	o := g.Find(d.ID)
	if o == nil || o.Boot != d.Boot || o.Address != d.Address {
		// After a restart nothing observed before applies.
		o = &Server{ServiceTime: initialServiceTime}
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

// updatePrimary selects the server with the newest report of leadership as the primary, unless
// another server's leadership has been confirmed since.
func (g *Group) updatePrimary() {
	best := g.reportedPrimary()
	p := g.Find(g.primary)
	if p != nil && !p.NotLeading && (best == nil || best.Revision <= g.confirmedRevision) {
		return
	}
	g.primary = ""
	if best != nil {
		g.primary = best.ID
	}
}

// reportedPrimary returns the server with the newest report of leadership, nil if there is none.
func (g *Group) reportedPrimary() *Server {
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

// Servers returns all servers, ordered by id.
func (g *Group) Servers() []*Server { return g.servers }

// Primary returns the server that is assumed to be the primary and takes writes, nil if there is
// none.
func (g *Group) Primary() *Server { return g.Find(g.primary) }

// ConfirmLeadership records that the server was the primary at some time after asked, when its log
// ended at m. Confirmations of an earlier term than the newest are ignored.
func (g *Group) ConfirmLeadership(id string, asked time.Duration, m marker.Mark) {
	s := g.Find(id)
	if s == nil || !g.addPosition(asked, m) {
		return
	}
	s.NotLeading = false
	g.primary = id
	g.observeAbsences(asked, m)
	for _, o := range g.servers {
		g.confirmedRevision = max(g.confirmedRevision, o.Revision)
	}
}

// RecordNotLeading records that the server refused a write because it isn't the primary.
func (g *Group) RecordNotLeading(id string) {
	if s := g.Find(id); s != nil {
		s.NotLeading = true
		g.updatePrimary()
	}
}

// RecordAnswer records an answer of the server that took the given time, zero if unknown, and the
// end of its log if m isn't zero.
func (g *Group) RecordAnswer(id string, now, took time.Duration, m marker.Mark) {
	s := g.Find(id)
	if s == nil {
		return
	}
	s.FailingSince, s.ConnectionRefusedSince = 0, 0
	s.AnsweredAt = now
	if took > 0 {
		s.ServiceTime += (took - s.ServiceTime) / smoothingDivisor
	}
	if !m.IsZero() && (m.Term != s.LastPosition.Term || m.Covers(s.LastPosition)) {
		s.LastPosition = m
	}
	g.coverAbsences(id, m)
}

// RecordCaughtUp records that the server had the position that a read with bounded staleness
// required.
func (g *Group) RecordCaughtUp(id string) {
	if s := g.Find(id); s != nil {
		s.lagBackoff = 0
	}
}

// RecordLag records that the server lacked the position that a read with bounded staleness
// required. Each repetition doubles the period in which it counts as lagging.
func (g *Group) RecordLag(id string, now time.Duration) {
	s := g.Find(id)
	if s == nil {
		return
	}
	s.lagBackoff = min(max(initialLagBackoff, 2*s.lagBackoff), maximumLagBackoff)
	s.lagBackoffUntil = now + s.lagBackoff
}

// RecordFailure records that the server didn't accept a connection, or closed one, in an attempt
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

// RecordConnectionRefused records a failure in which the server's machine refused the connection.
func (g *Group) RecordConnectionRefused(id string, since, now time.Duration) {
	g.RecordFailure(id, since, now)
	if s := g.Find(id); s != nil && s.ConnectionRefusedSince == 0 {
		s.ConnectionRefusedSince = now
	}
}

// StatementStarted counts a statement that this host sends to the server.
func (g *Group) StatementStarted(id string) { g.addInFlight(id, 1) }

// StatementEnded is called once for each StatementStarted.
func (g *Group) StatementEnded(id string) { g.addInFlight(id, -1) }

func (g *Group) addInFlight(id string, n int) {
	if s := g.Find(id); s != nil {
		s.InFlight = max(0, s.InFlight+n)
	}
}

// AddPosition records a position that the server had as the primary at some time after asked, as
// another host has observed it. It proves nothing about who the primary is now. It is ignored if it is
// of an earlier term than the newest, or older than the latest confirmation.
func (g *Group) AddPosition(asked time.Duration, m marker.Mark) {
	g.addPosition(asked, m)
}

// addPosition records a position of the primary, and reports whether it is known and of no earlier term
// than the newest.
func (g *Group) addPosition(asked time.Duration, m marker.Mark) bool {
	latest, known := g.history.Latest()
	if m.IsZero() || known && m.Term < latest.Mark.Term {
		return false
	}
	if !known || m.Term > latest.Mark.Term {
		g.newestTermStart = m
	}
	g.history.MaximumAge = maximumHistoryAge
	g.history.Add(historian.Observation{PolledAt: asked, Mark: m})
	return true
}

// EarliestPosition returns the earliest recorded position that the primary had after since, false if
// there is none.
func (g *Group) EarliestPosition(since time.Duration) (historian.Observation, bool) {
	return g.history.Earliest(since)
}

// LatestConfirmation returns the newest confirmation of leadership, false if there is none.
func (g *Group) LatestConfirmation() (historian.Observation, bool) { return g.history.Latest() }

// ToNewestTerm returns m, or the first position of the newest term if m is of an earlier term. The
// log of the newest term holds all earlier commits that survived. The position m itself may have
// been rolled back, and then no server would ever reach it.
func (g *Group) ToNewestTerm(m marker.Mark) marker.Mark {
	if !m.IsZero() && m.Term < g.newestTermStart.Term {
		return g.newestTermStart
	}
	return m
}

// RequiredPosition returns the position that shows data to be at most age old for a request that
// arrived at arrived, and false if no confirmation of leadership is recent enough.
func (g *Group) RequiredPosition(arrived, age time.Duration) (marker.Mark, bool) {
	m, ok := g.history.RequiredMark(arrived, age)
	return g.ToNewestTerm(m), ok
}

// ChooseReadServer chooses the server for a read that requires the position need. It returns nil
// and the reason if there is none. excluded are the ids of servers not to be chosen now.
func (g *Group) ChooseReadServer(need marker.Mark, excluded []string, draw uint64, now time.Duration) (*Server, chooser.Decision) {
	q := chooser.Request{HasMark: true, Mark: need, StaleAllowed: true, HasAgeMark: true, AgeMark: need, Random: draw, Now: now}
	l := make([]chooser.Candidate, 0, chooser.MaximumCandidates)
	for i, s := range g.servers[:min(len(g.servers), chooser.MaximumCandidates)] {
		if slices.Contains(excluded, s.ID) {
			q.Excluded |= 1 << i
		}
		l = append(l, g.candidate(s, need, now))
	}
	d := g.choose(&q, l)
	if d.Refused {
		return nil, d
	}
	return g.servers[d.Index], d
}

// candidate describes s to the chooser. A replica counts as having the position unless it reported
// a lag recently: the position is sent with the read, and a server that lacks it refuses at once
// without using a slot.
func (g *Group) candidate(s *Server, need marker.Mark, now time.Duration) chooser.Candidate {
	c := chooser.Candidate{
		Name:         s.ID,
		Role:         controller.RoleReplica,
		Unreachable:  s.FailingSince != 0 && now-s.FailedAt < unreachableBackoff,
		Leaving:      s.Draining,
		LeavingSince: s.DrainingSince,
		Last:         need,
		Observed:     now,
		Busy:         s.InFlight,
		Slots:        max(s.Slots, defaultSlots),
		ServiceTime:  s.ServiceTime,
		RoundTrip:    g.estimateRoundTrip(s),
		OtherRegion:  g.Regions[s.AvailabilityZone] != g.Region,
	}
	if s.ID == g.primary {
		c.Role = controller.RolePrimary
		c.Confirmed = true
		return c
	}
	if now < s.lagBackoffUntil {
		c.Last = marker.Mark{Term: need.Term}
	}
	return c
}

// Assumed round trips, as none is measured. Servers in the same availability zone are preferred.
const (
	roundTripZone        = 400 * time.Microsecond
	roundTripRegion      = 2 * time.Millisecond
	roundTripOtherRegion = 16 * time.Millisecond
)

func (g *Group) estimateRoundTrip(s *Server) time.Duration {
	switch {
	case s.AvailabilityZone == g.Zone:
		return roundTripZone
	case g.Regions[s.AvailabilityZone] == g.Region:
		return roundTripRegion
	default:
		return roundTripOtherRegion
	}
}
