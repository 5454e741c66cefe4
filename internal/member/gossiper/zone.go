package gossiper

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// zone is the last sign of life of an availability zone.
type zone struct {
	counter uint64
	heard   time.Duration
}

// cutOffIntervals of silence make a zone count as cut off.
const cutOffIntervals = 4

// zoneTargets returns whom a relay speaks to in other zones: the relay of the
// same rank in the zones 1, 2, 4, ... places ahead on the ring of zones. Where
// that one doesn't answer the next host in rank is tried, as nobody here can
// tell that it is dead.
func (g *Gossiper) zoneTargets() []string {
	g.speaks = map[string]string{}
	k := slices.Index(g.relays(g.Self.AvailabilityZone), g.Self.Host)
	if k < 0 {
		return nil
	}
	var l []string
	r := arranger.Ring(g.populated())
	for _, z := range arranger.Targets(r, g.Self.AvailabilityZone) {
		x := arranger.Rank(z, g.liveIn(z))
		h := x[(k+g.skips[z])%len(x)]
		g.speaks[z] = h
		l = append(l, h)
	}
	return l
}

// skip turns to the next host of each zone whose present one doesn't answer.
func (g *Gossiper) skip(now time.Duration) {
	for z, h := range g.speaks {
		if n := g.links[h]; n != nil && g.isSilent(now, n) {
			g.skips[z]++
			g.arranged = false
			n.heard = now
		}
	}
}

// reply answers a relay of another zone, so that it knows that it is heard.
func (g *Gossiper) reply(from string, m declarer.Message) []Action {
	if !m.ReplyRequested {
		return nil
	}
	return []Action{{Kind: Send, To: from, Message: declarer.Message{Digest: g.digest()}}}
}

func (g *Gossiper) isZoneTarget(host string) bool {
	for _, h := range g.speaks {
		if h == host {
			return true
		}
	}
	return false
}

// populated returns the zones that have a member.
func (g *Gossiper) populated() []string {
	var l []string
	for _, z := range g.zoneNames() {
		if len(g.liveIn(z)) > 0 {
			l = append(l, z)
		}
	}
	return l
}

// beatZone counts up if this host is its zone's first relay.
func (g *Gossiper) beatZone(now time.Duration) {
	if now < g.nextZone {
		return
	}
	g.nextZone = now + g.ZoneInterval
	z := g.Self.AvailabilityZone
	if r := g.relays(z); len(r) > 0 && r[0] == g.Self.Host {
		g.learnZone(now, declarer.ZoneBeat{AvailabilityZone: z, Counter: g.counter(z) + 1})
	}
}

func (g *Gossiper) counter(zone string) uint64 {
	if z := g.zones[zone]; z != nil {
		return z.counter
	}
	return 0
}

// learnZones takes in signs of life, which from has already.
func (g *Gossiper) learnZones(now time.Duration, l []declarer.ZoneBeat, from string) {
	for _, b := range l {
		g.learnZone(now, b)
		if n := g.links[from]; n != nil {
			n.zones[b.AvailabilityZone] = max(n.zones[b.AvailabilityZone], b.Counter)
		}
	}
}

func (g *Gossiper) learnZone(now time.Duration, b declarer.ZoneBeat) {
	z := g.zones[b.AvailabilityZone]
	if z == nil {
		z = &zone{}
		g.zones[b.AvailabilityZone] = z
	}
	if b.Counter > z.counter {
		z.counter = b.Counter
		z.heard = now
	}
}

// describeZone sums up the members of one zone.
func describeZone(members []declarer.Member) declarer.Zone {
	z := declarer.Zone{Name: members[0].AvailabilityZone, Region: members[0].Region}
	var l []string
	for _, m := range members {
		if m.State == declarer.Live {
			z.Live++
		}
		if m.State != declarer.Dead {
			l = append(l, m.Host)
		}
	}
	z.Relays = firstRelays(z.Name, l)
	return z
}

// age sets what changes with time.
func (g *Gossiper) age(now time.Duration, z *declarer.Zone) {
	if z.Name == g.Self.AvailabilityZone {
		z.Unreachable = g.unheard()
		return
	}
	if b := g.zones[z.Name]; b != nil {
		z.SinceHeartbeat = now - b.heard
	}
	z.CutOff = z.SinceHeartbeat > cutOffIntervals*g.ZoneInterval
}
