package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Replicate copies to each replica the log that the primary had before Lag, until done is closed.
func (g *Group) Replicate(done <-chan struct{}) {
	t := time.NewTicker(g.Lag)
	defer t.Stop()
	r := rand.New(rand.NewPCG(uint64(len(g.servers)), 0))
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
				if s != l && !s.down && !s.deaf && s.paused == 0 && (g.Synchronous == 0 || r.IntN(3) == 0) {
					s.term, s.log = term, slices.Clone(l.log[:min(n, len(l.log))])
				}
			}
			g.changed.Broadcast()
		}
		g.mu.Unlock()
	}
}

// awaitReplicas waits until enough replicas have the primary's log of length n, and returns false if the
// server crashes or loses the lead before. The caller holds the mutex.
func (g *Group) awaitReplicas(s *Server, n int) bool {
	for term := s.term; g.Synchronous > 0; g.changed.Wait() {
		if s.down || !g.leads(s) || s.term != term {
			return false
		}
		have := 0
		for _, o := range g.servers {
			if o != s && o.term == term && len(o.log) >= n {
				have++
			}
		}
		if have >= g.Synchronous {
			return true
		}
	}
	return true
}

// command carries out a command about the replication, with a term that must be above the newest one. The
// caller holds the mutex.
func (g *Group) command(s *Server, x statement) {
	var term uint64
	_, _ = fmt.Sscan(x.argument, &term)
	newer := term > g.primary.term
	switch {
	case x.keyword == "DEMOTE" && newer && g.leads(s):
		g.demoted = true
	case x.keyword == "PAUSE" && newer && !g.leads(s):
		s.paused = term
	case x.keyword == "RESUME":
		s.paused = 0
	}
	g.changed.Broadcast()
}
