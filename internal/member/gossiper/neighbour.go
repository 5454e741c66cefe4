package gossiper

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// neighbour is a host with which heartbeats are exchanged, in either direction.
type neighbour struct {
	// target says that heartbeats are sent there.
	target bool
	// period is the time between heartbeats, in either direction; next is when
	// the next one is due.
	period time.Duration
	next   time.Duration
	heard  time.Duration
	// news counts how often each host's record is still to be sent.
	news map[string]int
	// zones holds the counters that were sent.
	zones map[string]uint64
}

// Sizes from which heartbeats are spaced out, to keep control traffic bounded.
const (
	// largeZone members have so many neighbours each that the period doubles.
	largeZone = 17
	// slowdown is by how much.
	slowdown = 2
)

// period returns the time between heartbeats with h. All hosts of a zone work
// out the same.
func (g *Gossiper) period(h string, size int) time.Duration {
	if size >= largeZone || g.isZoneTarget(h) {
		return slowdown * g.Interval
	}
	return g.Interval
}

// isSilent reports whether a neighbour's heartbeats have been missing for too long.
func (g *Gossiper) isSilent(now time.Duration, n *neighbour) bool {
	return now-n.heard > g.SuspectAfter*(n.period/g.Interval)
}

// connect makes the links equal to want, which tells targets from sources.
func (g *Gossiper) connect(now time.Duration, want map[string]bool) {
	for h := range g.links {
		if _, ok := want[h]; !ok {
			delete(g.links, h)
		}
	}
	for h, target := range want {
		n := g.links[h]
		if n == nil {
			n = &neighbour{heard: now, news: map[string]int{}, zones: map[string]uint64{}}
			// A new neighbour may not know this host yet.
			n.news[g.Self.Host] = repeats
			g.links[h] = n
		}
		n.target = target
	}
}

// neighbours returns the links' hosts in a fixed order.
func (g *Gossiper) neighbours() []string {
	l := make([]string, 0, len(g.links))
	for h := range g.links {
		l = append(l, h)
	}
	slices.Sort(l)
	return l
}

// fresh reports whether some news has never been sent to the neighbour.
func (n *neighbour) fresh() bool {
	for _, c := range n.news {
		if c == repeats {
			return true
		}
	}
	return false
}

// take removes some news from what is still to be sent, the least sent first.
func (n *neighbour) take(members map[string]*record) []declarer.Member {
	h := make([]string, 0, len(n.news))
	for x := range n.news {
		h = append(h, x)
	}
	slices.SortFunc(h, n.byNeed)
	var l []declarer.Member
	for _, x := range h {
		if len(l) == maximumUpdates {
			break
		}
		if r := members[x]; r != nil {
			l = append(l, r.Member)
		}
		n.sent(x)
	}
	return l
}

func (n *neighbour) byNeed(a, b string) int {
	if c := n.news[b] - n.news[a]; c != 0 {
		return c
	}
	return compareStrings(a, b)
}

func (n *neighbour) sent(host string) {
	n.news[host]--
	if n.news[host] <= 0 {
		delete(n.news, host)
	}
}

// beats returns the signs of life that the neighbour hasn't got yet.
func (n *neighbour) beats(zones map[string]*zone) []declarer.ZoneBeat {
	var l []declarer.ZoneBeat
	for name, z := range zones {
		if z.counter > n.zones[name] {
			l = append(l, declarer.ZoneBeat{AvailabilityZone: name, Counter: z.counter})
		}
	}
	slices.SortFunc(l, byName)
	l = l[:min(len(l), maximumZones)]
	for _, b := range l {
		n.zones[b.AvailabilityZone] = b.Counter
	}
	return l
}

func byName(a, b declarer.ZoneBeat) int {
	return compareStrings(a.AvailabilityZone, b.AvailabilityZone)
}
