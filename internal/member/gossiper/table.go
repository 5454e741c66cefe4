package gossiper

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

func compareStrings(a, b string) int {
	return strings.Compare(a, b)
}

// mergeMembers merges member records that the host from sent.
func (g *Gossiper) mergeMembers(now time.Duration, l []declarer.Member, from string) {
	for _, m := range l {
		g.mergeMember(now, m, from)
	}
}

// mergeMember stores a record if it supersedes the known one, and queues it for all neighbours
// except its sender. A record of this host that differs from Self goes through refute first.
func (g *Gossiper) mergeMember(now time.Duration, m declarer.Member, from string) {
	if m.Host == g.Self.Host && m != g.Self {
		m = g.refute(m)
	}
	r := g.members[m.Host]
	if r != nil && !m.Supersedes(r.Member) {
		return
	}
	g.members[m.Host] = &record{Member: m, mergedAt: now}
	g.arranged = false
	g.version++
	for h, n := range g.neighbours {
		if h != from || m.Host == g.Self.Host {
			n.updates[m.Host] = updateTransmissions
		}
	}
}

// refute returns this host's own record. It raises the incarnation if the received record m of this
// host would supersede the own one, or has another address at the same incarnation.
func (g *Gossiper) refute(m declarer.Member) declarer.Member {
	same := m.Incarnation == g.Self.Incarnation
	if m.Supersedes(g.Self) || (same && m.Address != g.Self.Address) {
		g.Self.Incarnation = max(g.Self.Incarnation, m.Incarnation) + 1
	}
	return g.Self
}

// Leave announces that this host finishes its transactions and accepts no new work.
func (g *Gossiper) Leave(now time.Duration) []Action {
	return g.announce(now, declarer.Leaving)
}

// Depart announces that this host ends, by setting its own state to Dead. Others accept that
// without a second observer.
func (g *Gossiper) Depart(now time.Duration) []Action {
	return g.announce(now, declarer.Dead)
}

func (g *Gossiper) announce(now time.Duration, s declarer.State) []Action {
	g.Self.State = s
	g.mergeMember(now, g.Self, "")
	return g.flush()
}

// forgetChecks is the number of times per ForgetAfter that forget looks for members to remove.
const forgetChecks = 16

// forget removes members that have been dead for ForgetAfter. Until then their records prevent a
// delayed message from adding them again as live.
func (g *Gossiper) forget(now time.Duration) {
	if now < g.nextForget {
		return
	}
	g.nextForget = now + g.ForgetAfter/forgetChecks
	for h, r := range g.members {
		if r.State == declarer.Dead && h != g.Self.Host && now-r.mergedAt > g.ForgetAfter {
			delete(g.members, h)
			g.version++
		}
	}
}

// liveIn returns the names of a zone's members that aren't dead, sorted. Leaving ones are included
// because they still exchange heartbeats.
func (g *Gossiper) liveIn(zone string) []string {
	var l []string
	for h, r := range g.members {
		if r.AvailabilityZone == zone && r.State != declarer.Dead {
			l = append(l, h)
		}
	}
	slices.Sort(l)
	return l
}

// digest returns the combined digest of all members that aren't dead. Each heartbeat contains it,
// so it is computed once per change of the members.
func (g *Gossiper) digest() uint64 {
	if g.sumVersion != g.version {
		g.sumVersion = g.version
		g.sum = g.digestOf(g.includeAll)
	}
	return g.sum
}

func (g *Gossiper) includeAll(*record) bool {
	return true
}

func (g *Gossiper) digestOf(include func(*record) bool) uint64 {
	var d uint64
	for _, r := range g.members {
		if r.State != declarer.Dead && include(r) {
			d ^= r.Digest()
		}
	}
	return d
}

// digests returns the combined digest of each zone's members that aren't dead.
func (g *Gossiper) digests() []declarer.ZoneDigest {
	var l []declarer.ZoneDigest
	for _, z := range g.zoneNames() {
		l = append(l, declarer.ZoneDigest{AvailabilityZone: z, Digest: g.zoneDigest(z)})
	}
	return l
}

func (g *Gossiper) zoneDigest(zone string) uint64 {
	return g.digestOf(func(r *record) bool { return r.AvailabilityZone == zone })
}

func (g *Gossiper) zoneNames() []string {
	var l []string
	for _, r := range g.members {
		if !slices.Contains(l, r.AvailabilityZone) {
			l = append(l, r.AvailabilityZone)
		}
	}
	slices.Sort(l)
	return l
}

// SyncRequest returns the request that a Sync action sends.
func (g *Gossiper) SyncRequest() declarer.SyncRequest {
	return declarer.SyncRequest{Self: g.Self, Digests: g.digests()}
}

// AnswerSync merges the record of the host that sent the SyncRequest and returns the answer to it.
func (g *Gossiper) AnswerSync(now time.Duration, q declarer.SyncRequest) (declarer.SyncAnswer, []Action) {
	// The answer contains the record of the requester if it supersedes the requester's own one, so
	// it is looked up before mergeMember may replace it.
	known := g.members[q.Self.Host]
	g.mergeMember(now, q.Self, "")
	g.arrange(now)
	var a declarer.SyncAnswer
	z := g.differingZones(q.Digests)
	for h, r := range g.members {
		if h != q.Self.Host && slices.Contains(z, r.AvailabilityZone) {
			a.Members = append(a.Members, r.Member)
		}
	}
	if known != nil && known.Supersedes(q.Self) {
		a.Members = append(a.Members, known.Member)
	}
	for n, z := range g.zones {
		a.Zones = append(a.Zones, declarer.ZoneBeat{AvailabilityZone: n, Counter: z.counter})
	}
	slices.SortFunc(a.Members, byZoneAndHost)
	return a, g.flush()
}

// differingZones returns the zones whose digest differs from the requester's.
func (g *Gossiper) differingZones(requester []declarer.ZoneDigest) []string {
	var l []string
	for _, d := range g.digests() {
		if !slices.Contains(requester, d) {
			l = append(l, d.AvailabilityZone)
		}
	}
	return l
}

// ApplySyncAnswer merges the answer to a Sync from the host from.
func (g *Gossiper) ApplySyncAnswer(now time.Duration, from string, a declarer.SyncAnswer) []Action {
	g.mergeMembers(now, a.Members, from)
	g.mergeZoneBeats(now, a.Zones, from)
	g.arrange(now)
	return g.flush()
}

func byZoneAndHost(a, b declarer.Member) int {
	if c := cmp.Compare(a.AvailabilityZone, b.AvailabilityZone); c != 0 {
		return c
	}
	return cmp.Compare(a.Host, b.Host)
}

// groupByZone splits members, which are sorted by zone, into one slice per zone.
func groupByZone(l []declarer.Member) [][]declarer.Member {
	var z [][]declarer.Member
	for b := 0; b < len(l); {
		e := b
		for e < len(l) && l[e].AvailabilityZone == l[b].AvailabilityZone {
			e++
		}
		z = append(z, l[b:e])
		b = e
	}
	return z
}

// Version returns a number that increases with each change of the members.
func (g *Gossiper) Version() uint64 {
	return g.version
}

// View returns the current view. The parts that depend only on the members are computed once per
// change of the members.
func (g *Gossiper) View(now time.Duration) declarer.View {
	if g.viewVersion != g.version {
		g.viewVersion = g.version
		g.lastView = g.buildView()
	}
	v := g.lastView
	v.Self = g.Self
	v.Zones = slices.Clone(v.Zones)
	for i := range v.Zones {
		g.setZoneStatus(now, &v.Zones[i])
	}
	return v
}

// buildView returns the parts of the view that depend only on the members.
func (g *Gossiper) buildView() declarer.View {
	v := declarer.View{Members: make([]declarer.Member, 0, len(g.members))}
	for _, r := range g.members {
		v.Members = append(v.Members, r.Member)
	}
	slices.SortFunc(v.Members, byZoneAndHost)
	for _, m := range groupByZone(v.Members) {
		v.Zones = append(v.Zones, summarizeZone(m))
	}
	return v
}

// Find returns the record of a host and whether there is one.
func (g *Gossiper) Find(host string) (declarer.Member, bool) {
	r := g.members[host]
	if r == nil {
		return declarer.Member{}, false
	}
	return r.Member, true
}

// relays returns the hosts that exchange heartbeats with other zones on behalf of a zone, in order
// of rank.
func (g *Gossiper) relays(zone string) []string {
	return firstRelays(zone, g.liveIn(zone))
}

func firstRelays(zone string, hosts []string) []string {
	l := arranger.Rank(zone, hosts)
	return l[:min(len(l), arranger.RelaysPerZone)]
}
