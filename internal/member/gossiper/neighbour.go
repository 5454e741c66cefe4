package gossiper

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// neighbour is a host to which this host sends heartbeats, or which sends heartbeats to this host.
type neighbour struct {
	// target reports whether this host sends heartbeats to the neighbour.
	target bool
	// period is the time between heartbeats, in either direction.
	period time.Duration
	// next is the time at which the next heartbeat to a target is due.
	next time.Duration
	// receivedAt is the time of the last message from the neighbour.
	receivedAt time.Duration
	// updates holds the number of times that a member's record still has to be sent, by host.
	updates map[string]int
	// counters holds the zone counters that were sent to or received from the neighbour.
	counters map[string]uint64
}

// Heartbeats are less frequent in large zones and between zones, to limit control traffic.
const (
	// largeZoneSize is the number of members from which a zone counts as large, because the number
	// of neighbours of each member grows with the zone.
	largeZoneSize = 17
	// slowdownFactor multiplies the period of heartbeats.
	slowdownFactor = 2
)

// period returns the time between heartbeats with h, given the size of this host's zone. Both ends
// compute the same period, so a host knows when to expect heartbeats.
func (g *Gossiper) period(h string, size int) time.Duration {
	if size >= largeZoneSize || g.isZoneTarget(h) {
		return slowdownFactor * g.Interval
	}
	return g.Interval
}

// isSilent reports whether no message of a neighbour has arrived for SuspectAfter, scaled by the
// neighbour's period.
func (g *Gossiper) isSilent(now time.Duration, n *neighbour) bool {
	return now-n.receivedAt > g.SuspectAfter*(n.period/g.Interval)
}

// connect replaces the neighbours by the hosts in want and keeps the state of those that stay. The
// value in want is true for targets, and false for hosts that are only sources.
func (g *Gossiper) connect(now time.Duration, want map[string]bool) {
	for h := range g.neighbours {
		if _, ok := want[h]; !ok {
			delete(g.neighbours, h)
		}
	}
	for h, target := range want {
		n := g.neighbours[h]
		if n == nil {
			n = &neighbour{receivedAt: now, updates: map[string]int{}, counters: map[string]uint64{}}
			// A new neighbour may not have this host's record yet.
			n.updates[g.Self.Host] = updateTransmissions
			g.neighbours[h] = n
		}
		n.target = target
	}
}

// neighbourHosts returns the hosts of all neighbours, sorted by name.
func (g *Gossiper) neighbourHosts() []string {
	l := make([]string, 0, len(g.neighbours))
	for h := range g.neighbours {
		l = append(l, h)
	}
	slices.Sort(l)
	return l
}

// hasUnsent reports whether an update has never been sent to the neighbour.
func (n *neighbour) hasUnsent() bool {
	for _, c := range n.updates {
		if c == updateTransmissions {
			return true
		}
	}
	return false
}

// takeUpdates returns up to maximumUpdates records that still have to be sent, those that were sent
// least often first, and counts them as sent.
func (n *neighbour) takeUpdates(members map[string]*record) []declarer.Member {
	h := make([]string, 0, len(n.updates))
	for x := range n.updates {
		h = append(h, x)
	}
	slices.SortFunc(h, n.compareRemaining)
	var l []declarer.Member
	for _, x := range h {
		if len(l) == maximumUpdates {
			break
		}
		if r := members[x]; r != nil {
			l = append(l, r.Member)
		}
		n.markSent(x)
	}
	return l
}

func (n *neighbour) compareRemaining(a, b string) int {
	if c := n.updates[b] - n.updates[a]; c != 0 {
		return c
	}
	return compareStrings(a, b)
}

func (n *neighbour) markSent(host string) {
	n.updates[host]--
	if n.updates[host] <= 0 {
		delete(n.updates, host)
	}
}

// takeZoneBeats returns up to maximumZones zone counters that the neighbour doesn't have yet, and
// records them as sent.
func (n *neighbour) takeZoneBeats(zones map[string]*zone) []declarer.ZoneBeat {
	var l []declarer.ZoneBeat
	for name, z := range zones {
		if z.counter > n.counters[name] {
			l = append(l, declarer.ZoneBeat{AvailabilityZone: name, Counter: z.counter})
		}
	}
	slices.SortFunc(l, byName)
	l = l[:min(len(l), maximumZones)]
	for _, b := range l {
		n.counters[b.AvailabilityZone] = b.Counter
	}
	return l
}

func byName(a, b declarer.ZoneBeat) int {
	return compareStrings(a.AvailabilityZone, b.AvailabilityZone)
}
