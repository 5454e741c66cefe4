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

// learnAll takes in what from says of members.
func (g *Gossiper) learnAll(now time.Duration, l []declarer.Member, from string) {
	for _, m := range l {
		g.learn(now, m, from)
	}
}

// learn takes in one record and queues it for all neighbours but its source.
func (g *Gossiper) learn(now time.Duration, m declarer.Member, from string) {
	if m.Host == g.Self.Host && m != g.Self {
		m = g.contradict(m)
	}
	r := g.members[m.Host]
	if r != nil && !m.Supersedes(r.Member) {
		return
	}
	g.members[m.Host] = &record{Member: m, since: now}
	g.arranged = false
	g.version++
	for h, n := range g.links {
		if h != from || m.Host == g.Self.Host {
			n.news[m.Host] = repeats
		}
	}
}

// contradict answers what others say of this host with a higher incarnation,
// where what they say would win over what the host says itself.
func (g *Gossiper) contradict(m declarer.Member) declarer.Member {
	same := m.Incarnation == g.Self.Incarnation
	if m.Supersedes(g.Self) || (same && m.Address != g.Self.Address) {
		g.Self.Incarnation = max(g.Self.Incarnation, m.Incarnation) + 1
	}
	return g.Self
}

// Leave says that this host finishes its work and takes nothing new.
func (g *Gossiper) Leave(now time.Duration) []Action {
	return g.say(now, declarer.Leaving)
}

// Depart says goodbye. The host's own word needs no second observer.
func (g *Gossiper) Depart(now time.Duration) []Action {
	return g.say(now, declarer.Dead)
}

func (g *Gossiper) say(now time.Duration, s declarer.State) []Action {
	g.Self.State = s
	g.learn(now, g.Self, "")
	return g.flush()
}

// forgetShare of ForgetAfter passes between looks for members to forget.
const forgetShare = 16

// forget drops dead members after a while. Until then their records keep a
// late message from bringing them back.
func (g *Gossiper) forget(now time.Duration) {
	if now < g.nextForget {
		return
	}
	g.nextForget = now + g.ForgetAfter/forgetShare
	for h, r := range g.members {
		if r.State == declarer.Dead && h != g.Self.Host && now-r.since > g.ForgetAfter {
			delete(g.members, h)
			g.version++
		}
	}
}

// liveIn returns the members of a zone that aren't dead, by name. Leaving ones
// still exchange heartbeats.
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

// digest sums up all members. It goes into each heartbeat, so it is computed
// once for each change.
func (g *Gossiper) digest() uint64 {
	if g.sumVersion != g.version {
		g.sumVersion = g.version
		g.sum = g.digestOf(g.isMember)
	}
	return g.sum
}

func (g *Gossiper) isMember(*record) bool {
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

// digests sums up the members by zone.
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

// SyncRequest returns what a Sync action sends.
func (g *Gossiper) SyncRequest() declarer.SyncRequest {
	return declarer.SyncRequest{Self: g.Self, Digests: g.digests()}
}

// AnswerSync serves another host's SyncRequest.
func (g *Gossiper) AnswerSync(now time.Duration, q declarer.SyncRequest) (declarer.SyncAnswer, []Action) {
	// What is known of the asker goes into the answer, so it is looked up
	// before the asker's own record replaces it.
	known := g.members[q.Self.Host]
	g.learn(now, q.Self, "")
	g.arrange(now)
	var a declarer.SyncAnswer
	z := g.differing(q.Digests)
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

// differing returns the zones of which the asker knows something else.
func (g *Gossiper) differing(asker []declarer.ZoneDigest) []string {
	var l []string
	for _, d := range g.digests() {
		if !slices.Contains(asker, d) {
			l = append(l, d.AvailabilityZone)
		}
	}
	return l
}

// ApplySyncAnswer takes in the answer to a Sync.
func (g *Gossiper) ApplySyncAnswer(now time.Duration, from string, a declarer.SyncAnswer) []Action {
	g.learnAll(now, a.Members, from)
	g.learnZones(now, a.Zones, from)
	g.arrange(now)
	return g.flush()
}

func byZoneAndHost(a, b declarer.Member) int {
	if c := cmp.Compare(a.AvailabilityZone, b.AvailabilityZone); c != 0 {
		return c
	}
	return cmp.Compare(a.Host, b.Host)
}

// byZone cuts members, which are in the order of their zones, into zones.
func byZone(l []declarer.Member) [][]declarer.Member {
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

// Version changes whenever View would return other members.
func (g *Gossiper) Version() uint64 {
	return g.version
}

// View returns what is known now. What follows from the members alone is
// worked out once for each change of them.
func (g *Gossiper) View(now time.Duration) declarer.View {
	if g.viewVersion != g.version {
		g.viewVersion = g.version
		g.lastView = g.describe()
	}
	v := g.lastView
	v.Self = g.Self
	v.Zones = slices.Clone(v.Zones)
	for i := range v.Zones {
		g.age(now, &v.Zones[i])
	}
	return v
}

// describe lists the members, and the zones without what changes with time.
func (g *Gossiper) describe() declarer.View {
	v := declarer.View{Members: make([]declarer.Member, 0, len(g.members))}
	for _, r := range g.members {
		v.Members = append(v.Members, r.Member)
	}
	slices.SortFunc(v.Members, byZoneAndHost)
	for _, m := range byZone(v.Members) {
		v.Zones = append(v.Zones, describeZone(m))
	}
	return v
}

// Find returns what is known of a host.
func (g *Gossiper) Find(host string) (declarer.Member, bool) {
	r := g.members[host]
	if r == nil {
		return declarer.Member{}, false
	}
	return r.Member, true
}

// relays returns who speaks for a zone.
func (g *Gossiper) relays(zone string) []string {
	return firstRelays(zone, g.liveIn(zone))
}

func firstRelays(zone string, hosts []string) []string {
	l := arranger.Rank(zone, hosts)
	return l[:min(len(l), arranger.RelaysPerZone)]
}
