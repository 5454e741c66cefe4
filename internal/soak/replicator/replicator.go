// Package replicator stands in for one database group: backend servers that replicate
// asynchronously, record the writes that a promotion rolled back, and record each statement that
// violates a guarantee where it runs.
package replicator

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Record is one committed write.
type Record struct {
	// Term is the term of the primary that ran the write.
	Term uint64
	// ID is the id of the statement.
	ID    string
	Item  string
	Value int
	// Data is the text that was written; Value is the number at its beginning.
	Data string
}

// Server is one server of the group. The group's mutex guards its fields.
type Server struct {
	ID   string
	Zone string

	// address is set once its responder listens.
	address string
	term    uint64
	log     []Record
	// paused is the term of the server's pause, zero if it receives.
	paused uint64
	// down, mute, deaf and repeating are the current faults, see ServerFault.
	down, mute, deaf, repeating bool
}

// Group is a database group. Its exported fields are set before use.
type Group struct {
	Name string
	// Lag is the delay of replication.
	Lag time.Duration
	// PromoteTime is how long a promotion takes.
	PromoteTime time.Duration
	// StatementTime is the run time of a statement.
	StatementTime time.Duration
	// Synchronous is how many replicas must have a write before it is acknowledged. If it isn't zero, each
	// replica receives after a while of its own.
	Synchronous int
	// Unfenced is set if orders with a lower token than one before are carried out.
	Unfenced bool
	// Seed decides which answers are repeated, Repetition how.
	Seed       uint64
	Repetition Repetition
	// OddErrors makes the texts of errors hold odd bytes.
	OddErrors bool
	// Customer returns the customer of a session, whose name its connections must have. It is nil if
	// callers are not identified.
	Customer func(session string) string

	mu      sync.Mutex
	servers []*Server
	primary *Server
	// demoted is set if the primary has lost the lead and no other server has it yet.
	demoted bool
	// changed wakes writes that wait for replicas.
	changed *sync.Cond
	// acknowledged holds the ids of the writes that were acknowledged with synchronous replicas.
	acknowledged map[string]bool
	// token is the highest fencing token of the promotions so far; lower ones are refused.
	token uint64
	// holders holds the host that has ordered with each token, newestOrder the highest token.
	holders     map[uint64]string
	newestOrder uint64
	// commits counts by id how often each write took effect.
	commits map[string]int
	// dropped holds the ids of the writes that a promotion rolled back.
	dropped    map[string]bool
	violations []string
	// runs holds by id when each caller's statement ran.
	runs map[string]Run
	// operations holds by customer when each operation ran: a statement outside a transaction, or the
	// first one of a transaction.
	operations map[string][]time.Time
	// executions are the runs of all statements, numbers the last number that number returned.
	executions []*Execution
	numbers    int
	answers    AnswerCount
}

// ErrPromotionRefused is returned for a promotion of an unknown server, of one that is down, or with
// an outdated fencing token.
const ErrPromotionRefused = errors.ConstError("promotion refused")

// Add adds a server. The first one is the primary.
func (g *Group) Add(id, zone string) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &Server{ID: id, Zone: zone, term: 1}
	if g.primary == nil {
		g.primary = s
		g.commits, g.dropped, g.acknowledged = make(map[string]int), make(map[string]bool), make(map[string]bool)
		g.runs = make(map[string]Run)
		g.changed = sync.NewCond(&g.mu)
	}
	g.servers = append(g.servers, s)
	return s
}

// Servers returns all servers.
func (g *Group) Servers() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.servers)
}

// Address returns the server's address, empty before its responder has listened.
func (g *Group) Address(s *Server) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.address
}

func (g *Group) setAddress(s *Server, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.address = address
}

// Primary returns the current primary.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// ServerFault is the faults of a server; the zero value is none.
type ServerFault struct {
	// Down is a server that does not run, Mute one that accepts statements and answers none, Deaf a
	// replica that receives no replication, Repeats one that sends some answers twice.
	Down, Mute, Deaf, Repeats bool
}

// SetFault replaces the faults of a server; the zero value ends them.
func (g *Group) SetFault(s *Server, x ServerFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x.Down {
		s.paused = 0
	}
	s.down, s.mute, s.deaf, s.repeating = x.Down, x.Mute, x.Deaf, x.Repeats
	g.changed.Broadcast()
}

// leads reports whether the server is the primary. The caller holds the mutex.
func (g *Group) leads(s *Server) bool { return g.primary == s && !g.demoted }

// Promote makes the server the primary of the next term, with the log that it has after PromoteTime.
// It does nothing if the server is the primary already. It returns ErrPromotionRefused if the server is
// unknown or down, or if a higher token was used before.
func (g *Group) Promote(id string, token uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.servers, func(s *Server) bool { return s.ID == id })
	if i < 0 || g.servers[i].down || token < g.token && !g.Unfenced {
		return errors.Annotatef(ErrPromotionRefused, "%s with token %d after %d", id, token, g.token)
	}
	g.token = max(g.token, token)
	if !g.leads(g.servers[i]) {
		time.AfterFunc(g.PromoteTime, (&takeover{group: g, server: g.servers[i]}).run)
	}
	return nil
}

// RecordOrder checks an order on its arrival: no two holders may order with the same token, and where lower tokens
// aren't refused, none may come.
func (g *Group) RecordOrder(holder string, token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holders == nil {
		g.holders = make(map[uint64]string)
	}
	if h, ok := g.holders[token]; ok && h != holder {
		g.violations = append(g.violations, fmt.Sprintf("%s and %s order with token %d", h, holder, token))
	}
	g.holders[token] = holder
	if g.Unfenced && token < g.newestOrder {
		g.violations = append(g.violations, fmt.Sprintf("%s orders with token %d after %d", holder, token, g.newestOrder))
	}
	g.newestOrder = max(g.newestOrder, token)
}

// takeover is a promotion that has been accepted.
type takeover struct {
	group  *Group
	server *Server
}

func (t *takeover) run() {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	if !t.server.down && !t.group.leads(t.server) {
		t.group.setPrimary(t.server)
	}
}

// setPrimary makes s the primary. Writes that s does not have are rolled back on all servers. The
// caller holds the mutex.
func (g *Group) setPrimary(s *Server) {
	term := g.primary.term + 1
	has := make(map[string]bool, len(s.log))
	for _, r := range s.log {
		has[r.ID] = true
	}
	for _, o := range g.servers {
		for _, r := range o.log {
			if !has[r.ID] {
				g.dropped[r.ID] = true
			}
		}
		o.log, o.paused = commonPrefix(o.log, s.log), 0
	}
	for id := range g.acknowledged {
		if !has[id] {
			g.recordViolation("lost: %s leads term %d without %s, which was acknowledged", s.ID, term, id)
			delete(g.acknowledged, id)
		}
	}
	s.term = term
	g.primary, g.demoted = s, false
	g.changed.Broadcast()
}

// commonPrefix returns the longest prefix of l that is also a prefix of k.
func commonPrefix(l, k []Record) []Record {
	n := 0
	for n < len(l) && n < len(k) && l[n] == k[n] {
		n++
	}
	return l[:n:n]
}

// recordViolation records a guarantee that was violated at a server. The caller holds the mutex.
func (g *Group) recordViolation(format string, a ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, a...))
}

// Truth is the actual state of the group, with which the checker compares the callers' history.
type Truth struct {
	// Log is the primary's log.
	Log []Record
	// Commits counts by id how often each write took effect.
	Commits map[string]int
	// Dropped holds the ids of the writes that a promotion rolled back.
	Dropped map[string]bool
	// Violations describes the guarantees that were violated at a server.
	Violations []string
	// Runs holds by id when each caller's statement last ran.
	Runs map[string]Run
	// Executions are the runs of all statements, those of entry hosts too.
	Executions []Execution
	// Synchronous is set if no acknowledged write may be rolled back.
	Synchronous bool
}

// Run is the time between a server's receipt of a statement and its answer.
type Run struct {
	Began, Ended time.Time
}

// Truth returns a copy of the group's state.
func (g *Group) Truth() Truth {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := Truth{Log: slices.Clone(g.primary.log), Commits: make(map[string]int), Dropped: make(map[string]bool), Violations: slices.Clone(g.violations), Synchronous: g.Synchronous > 0, Runs: maps.Clone(g.runs)}
	for _, e := range g.executions {
		t.Executions = append(t.Executions, *e)
	}
	for k, v := range g.commits {
		t.Commits[k] = v
	}
	for k := range g.dropped {
		t.Dropped[k] = true
	}
	return t
}

// entry is a server's entry in the store.
type entry struct {
	Backend  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Role     string `json:"db_role"`
	Sequence uint64 `json:"sequence"`
}

// Entry returns the server's entry for the store, and false while the server is down.
func (g *Group) Entry(s *Server) (any, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if g.leads(s) {
		role = "primary"
	}
	return entry{Backend: g.Name, Address: s.address, Zone: s.Zone, Capacity: slots, State: "ready", Role: role, Sequence: 1}, !s.down
}
