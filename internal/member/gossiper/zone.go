package gossiper

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// zone is the heartbeat state of an availability zone.
type zone struct {
	// counter is the highest counter that was received.
	counter uint64
	// receivedAt is the time at which counter last increased.
	receivedAt time.Duration
}

// cutOffIntervals is the number of intervals without a new counter after which a zone is reported as
// cut off.
const cutOffIntervals = 4

// chooseZoneTargets returns the hosts of other zones to which this host sends heartbeats if it is a
// relay: the relay of the same rank in the zones 1, 2, 4, ... places ahead on the ring of zones. If
// that relay doesn't answer, the next host in rank is used instead, because no host of this zone
// observes it and could declare it dead.
func (g *Gossiper) chooseZoneTargets() []string {
	g.zoneTargets = map[string]string{}
	k := slices.Index(g.relays(g.Self.AvailabilityZone), g.Self.Host)
	if k < 0 {
		return nil
	}
	var l []string
	r := arranger.Ring(g.populatedZones())
	for _, z := range arranger.Targets(r, g.Self.AvailabilityZone) {
		x := arranger.Rank(z, g.liveIn(z))
		h := x[(k+g.skips[z])%len(x)]
		g.zoneTargets[z] = h
		l = append(l, h)
	}
	return l
}

// skipSilentTargets selects the next host in each zone whose current target doesn't answer.
func (g *Gossiper) skipSilentTargets(now time.Duration) {
	for z, h := range g.zoneTargets {
		if n := g.neighbours[h]; n != nil && g.isSilent(now, n) {
			g.skips[z]++
			g.arranged = false
			n.receivedAt = now
		}
	}
}

// reply returns the reply to a heartbeat of another zone's relay, which shows the relay that its
// target is alive.
func (g *Gossiper) reply(from string, m declarer.Message) []Action {
	if !m.ReplyRequested {
		return nil
	}
	return []Action{{Kind: Send, To: from, Message: declarer.Message{Digest: g.digest()}}}
}

func (g *Gossiper) isZoneTarget(host string) bool {
	for _, h := range g.zoneTargets {
		if h == host {
			return true
		}
	}
	return false
}

// populatedZones returns the zones with at least one member that isn't dead.
func (g *Gossiper) populatedZones() []string {
	var l []string
	for _, z := range g.zoneNames() {
		if len(g.liveIn(z)) > 0 {
			l = append(l, z)
		}
	}
	return l
}

// incrementZoneCounter increments the counter of this host's zone every ZoneInterval if the host is
// the zone's first relay.
func (g *Gossiper) incrementZoneCounter(now time.Duration) {
	if now < g.nextZoneBeat {
		return
	}
	g.nextZoneBeat = now + g.ZoneInterval
	z := g.Self.AvailabilityZone
	if r := g.relays(z); len(r) > 0 && r[0] == g.Self.Host {
		g.mergeZoneBeat(now, declarer.ZoneBeat{AvailabilityZone: z, Counter: g.zoneCounter(z) + 1})
	}
}

func (g *Gossiper) zoneCounter(zone string) uint64 {
	if z := g.zones[zone]; z != nil {
		return z.counter
	}
	return 0
}

// mergeZoneBeats merges zone counters that the host from sent, and records that it has them.
func (g *Gossiper) mergeZoneBeats(now time.Duration, l []declarer.ZoneBeat, from string) {
	for _, b := range l {
		g.mergeZoneBeat(now, b)
		if n := g.neighbours[from]; n != nil {
			n.counters[b.AvailabilityZone] = max(n.counters[b.AvailabilityZone], b.Counter)
		}
	}
}

func (g *Gossiper) mergeZoneBeat(now time.Duration, b declarer.ZoneBeat) {
	z := g.zones[b.AvailabilityZone]
	if z == nil {
		z = &zone{}
		g.zones[b.AvailabilityZone] = z
	}
	if b.Counter > z.counter {
		z.counter = b.Counter
		z.receivedAt = now
	}
}

// summarizeZone returns the parts of a zone's description that depend only on its members, of which
// there is at least one.
func summarizeZone(members []declarer.Member) declarer.Zone {
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

// setZoneStatus sets the parts of a zone's description that change with time.
func (g *Gossiper) setZoneStatus(now time.Duration, z *declarer.Zone) {
	if z.Name == g.Self.AvailabilityZone {
		z.Unreachable = g.unreachableHosts()
		return
	}
	if b := g.zones[z.Name]; b != nil {
		z.SinceHeartbeat = now - b.receivedAt
	}
	z.CutOff = z.SinceHeartbeat > cutOffIntervals*g.ZoneInterval
}
