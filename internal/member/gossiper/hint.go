package gossiper

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// hints are hosts that the platform's host list or the settings name. They
// lag, so a hint only makes this host try to talk to another one.
type hints struct {
	hosts  []string
	cursor int
	next   time.Duration
}

// Times between attempts to reach a host that is only hinted at.
const (
	hintInterval      = 10 * time.Second
	hintIntervalAlone = time.Second
)

// SetHints replaces the hosts that are hinted at.
func (g *Gossiper) SetHints(hosts []string) {
	g.hints.hosts = hosts
}

// follow tries the next host that is hinted at and isn't known to be live. So
// halves of a fleet that took each other for dead find together again.
func (g *Gossiper) follow(now time.Duration) []Action {
	if now < g.hints.next || len(g.hints.hosts) == 0 {
		return nil
	}
	g.hints.next = now + g.hintInterval()
	for range g.hints.hosts {
		h := g.hints.hosts[g.hints.cursor%len(g.hints.hosts)]
		g.hints.cursor++
		if g.isStrange(h) {
			return []Action{{Kind: Sync, To: h}}
		}
	}
	return nil
}

func (g *Gossiper) hintInterval() time.Duration {
	if len(g.links) == 0 {
		return hintIntervalAlone
	}
	return hintInterval
}

// isStrange reports whether a host isn't known, or is taken for dead.
func (g *Gossiper) isStrange(host string) bool {
	if host == g.Self.Host {
		return false
	}
	r := g.members[host]
	return r == nil || r.State == declarer.Dead
}
