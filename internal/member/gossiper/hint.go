package gossiper

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// hints holds the hosts that the platform's host list names. The list may be out of date, so a hint
// only causes an attempt to sync with the host.
type hints struct {
	hosts []string
	// cursor counts the hosts that were considered; modulo the length it is the next index.
	cursor int
	// next is the time of the next attempt.
	next time.Duration
}

// Times between attempts to sync with a host that is known only from hints.
const (
	hintInterval = 10 * time.Second
	// hintIntervalAlone applies while this host has no neighbours.
	hintIntervalAlone = time.Second
)

// SetHints replaces the hosts that may be entry hosts although they aren't known as live members.
func (g *Gossiper) SetHints(hosts []string) {
	g.hints.hosts = hosts
}

// tryHint requests a sync with the next hinted host that isn't known to be live. This reunites two
// halves of a fleet that have declared each other dead.
func (g *Gossiper) tryHint(now time.Duration) []Action {
	if now < g.hints.next || len(g.hints.hosts) == 0 {
		return nil
	}
	g.hints.next = now + g.hintInterval()
	for range g.hints.hosts {
		h := g.hints.hosts[g.hints.cursor%len(g.hints.hosts)]
		g.hints.cursor++
		if g.isUnknownOrDead(h) {
			return []Action{{Kind: Sync, To: h}}
		}
	}
	return nil
}

func (g *Gossiper) hintInterval() time.Duration {
	if len(g.neighbours) == 0 {
		return hintIntervalAlone
	}
	return hintInterval
}

// isUnknownOrDead reports whether another host isn't a member or is recorded as dead.
func (g *Gossiper) isUnknownOrDead(host string) bool {
	if host == g.Self.Host {
		return false
	}
	r := g.members[host]
	return r == nil || r.State == declarer.Dead
}
