// Package replicator stands in for one database group: servers that replicate
// asynchronously, keep what a lost lead dropped, and note each statement that breaks a
// promise at the place where it runs.
package replicator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Record is one committed write.
type Record struct {
	Term  uint64
	ID    string
	Item  string
	Value int
}

// Server is one server of the group. Its fields are the group's to guard.
type Server struct {
	ID   string
	Zone string

	// address is set once its responder listens.
	address string
	term    uint64
	log     []Record
	// down doesn't run, mute answers no statement, deaf receives nothing.
	down, mute, deaf bool
}

// Group is a database group. Its exported fields are set before use.
type Group struct {
	Name string
	// Lag is how long a commit takes to a replica, PromoteTime a promotion.
	Lag         time.Duration
	PromoteTime time.Duration

	mu      sync.Mutex
	servers []*Server
	primary *Server
	// token is the highest fencing token that was seen.
	token uint64
	// commits counts how often each write took effect, dropped are those that a promotion
	// rolled back.
	commits map[string]int
	dropped map[string]bool
	broken  []string
}

// ErrPromotionRefused is an order that can't be carried out.
const ErrPromotionRefused = errors.ConstError("promotion refused")

// Add makes a server; the first one leads.
func (g *Group) Add(id, zone string) *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &Server{ID: id, Zone: zone, term: 1}
	if g.primary == nil {
		g.primary = s
		g.commits, g.dropped = make(map[string]int), make(map[string]bool)
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

func (g *Group) address(s *Server) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.address
}

func (g *Group) locate(s *Server, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.address = address
}

// Primary returns the server that leads.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// ServerFault is what is wrong with a server.
type ServerFault struct {
	Down, Mute, Deaf bool
}

// SetFault sets what is wrong with a server, the zero value for nothing.
func (g *Group) SetFault(s *Server, x ServerFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.down, s.mute, s.deaf = x.Down, x.Mute, x.Deaf
}

// Promote has the server lead the next term with the log that it has then.
func (g *Group) Promote(id string, token uint64) error {
	g.mu.Lock()
	i := slices.IndexFunc(g.servers, func(s *Server) bool { return s.ID == id })
	if i < 0 || g.servers[i].down || token < g.token {
		g.mu.Unlock()
		return errors.Annotatef(ErrPromotionRefused, "%s with token %d after %d", id, token, g.token)
	}
	g.token = token
	s := g.servers[i]
	same := s == g.primary
	g.mu.Unlock()
	if same {
		return nil
	}
	time.Sleep(g.PromoteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lead(s)
	return nil
}

// lead makes s the leader. What it lacks is dropped. The mutex is held.
func (g *Group) lead(s *Server) {
	term := g.primary.term + 1
	for _, o := range g.servers {
		for _, r := range o.log {
			if !slices.Contains(s.log, r) {
				g.dropped[r.ID] = true
			}
		}
		o.log = common(o.log, s.log)
	}
	s.term = term
	g.primary = s
}

// common returns the part of l that is at the start of k as well.
func common(l, k []Record) []Record {
	n := 0
	for n < len(l) && n < len(k) && l[n] == k[n] {
		n++
	}
	return l[:n:n]
}

// Replicate gives each replica what the leader had a lag ago, until done is closed.
func (g *Group) Replicate(done <-chan struct{}) {
	t := time.NewTicker(g.Lag)
	defer t.Stop()
	for {
		g.mu.Lock()
		term, n, l := g.primary.term, len(g.primary.log), g.primary
		g.mu.Unlock()
		select {
		case <-done:
			return
		case <-t.C:
		}
		g.mu.Lock()
		if l == g.primary && term == l.term && !l.down {
			for _, s := range g.servers {
				if s != l && !s.down && !s.deaf {
					s.term, s.log = term, slices.Clone(l.log[:min(n, len(l.log))])
				}
			}
		}
		g.mu.Unlock()
	}
}

// note writes down a promise that was broken at a server. The mutex is held.
func (g *Group) note(format string, a ...any) {
	g.broken = append(g.broken, fmt.Sprintf(format, a...))
}

// Truth is what the group holds and did.
type Truth struct {
	// Log is the leader's.
	Log []Record
	// Commits counts how often each write took effect.
	Commits map[string]int
	// Dropped are the writes that a promotion rolled back.
	Dropped map[string]bool
	// Violations are the promises that were broken at a server.
	Violations []string
}

// Truth returns a copy of what the group holds.
func (g *Group) Truth() Truth {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := Truth{Log: slices.Clone(g.primary.log), Commits: make(map[string]int), Dropped: make(map[string]bool), Violations: slices.Clone(g.broken)}
	for k, v := range g.commits {
		t.Commits[k] = v
	}
	for k := range g.dropped {
		t.Dropped[k] = true
	}
	return t
}

// entry is what a server says of itself in the store.
type entry struct {
	Backend  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Role     string `json:"db_role"`
	Sequence uint64 `json:"sequence"`
}

// Entry returns the server's entry in the store, false while it is down.
func (g *Group) Entry(s *Server) (any, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if s == g.primary {
		role = "primary"
	}
	return entry{Backend: g.Name, Address: s.address, Zone: s.Zone, Capacity: slots, State: "ready", Role: role, Sequence: 1}, !s.down
}
