// Package gossiper decides what an entry host tells others about members, and whom it takes for dead.
package gossiper

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// Gossiper is the state of the decisions. It opens no connection and reads no
// clock: each step is given the time since some start, and returns what to do.
// It isn't safe for use from several goroutines.
type Gossiper struct {
	// Self is this host.
	Self declarer.Member
	// Interval is the time between heartbeats to one neighbour.
	Interval time.Duration
	// SuspectAfter is the silence after which a member is suspected.
	SuspectAfter time.Duration
	// ZoneInterval is the time between signs of life of a zone.
	ZoneInterval time.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter time.Duration

	members map[string]*record
	zones   map[string]*zone
	links   map[string]*neighbour
	// sources are the members that this host observes.
	sources []string
	// suspicions are open questions about sources.
	suspicions map[string]*suspicion
	// speaks holds this relay's target in other zones, skips how many hosts
	// there were passed over.
	speaks map[string]string
	skips  map[string]int
	// arranged is false while the neighbours don't follow from the members.
	arranged   bool
	nextZone   time.Duration
	hints      hints
	nextForget time.Duration
	version    uint64
	// sum is the digest of all members at sumVersion.
	sum        uint64
	sumVersion uint64
	// lastView is what View last worked out, at viewVersion.
	lastView    declarer.View
	viewVersion uint64
}

// record is a member.
type record struct {
	declarer.Member
	// since is when this record was learnt.
	since time.Duration
	// differs counts messages in a row whose digest differed from this host's.
	differs int
	synced  time.Duration
}

// Action is something to be done by the plumbing.
type Action struct {
	Kind ActionKind
	// To is the host to which it is done.
	To string
	// Subject is the host that is asked about.
	Subject declarer.Member
	Message declarer.Message
}

// ActionKind says what to do.
type ActionKind int

// Kinds of action.
const (
	// Send sends Message to To in a datagram.
	Send ActionKind = iota
	// Sync calls To with SyncRequest and hands the answer to ApplySyncAnswer.
	Sync
	// Probe connects to Subject afresh and hands the result to RecordObservation.
	Probe
	// Observe has To probe Subject and hands the result to RecordObservation.
	Observe
)

// Bounds of what goes into messages.
const (
	// maximumUpdates keeps a message within a datagram.
	maximumUpdates = 8
	// maximumZones keeps a message within a datagram.
	maximumZones = 12
	// repeats is how often each piece of news is sent to a neighbour, as
	// datagrams may be lost.
	repeats = 2
	// syncAfter is how many messages in a row must differ.
	syncAfter = 3
)

// Start takes this host in; it is called once, before all other steps.
func (g *Gossiper) Start(now time.Duration) {
	g.members = map[string]*record{}
	g.zones = map[string]*zone{}
	g.links = map[string]*neighbour{}
	g.suspicions = map[string]*suspicion{}
	g.skips = map[string]int{}
	g.nextZone = now
	g.learn(now, g.Self, "")
}

// Tick does what is due. It is called several times in an Interval.
func (g *Gossiper) Tick(now time.Duration) []Action {
	g.forget(now)
	g.skip(now)
	g.arrange(now)
	l := g.suspect(now)
	g.beatZone(now)
	l = append(l, g.follow(now)...)
	for _, h := range g.neighbours() {
		n := g.links[h]
		if n.target && now >= n.next {
			n.next = now + n.period
			l = append(l, g.heartbeat(h, true))
		}
	}
	return append(l, g.flush()...)
}

// Receive takes a message of the host from, at its incarnation.
func (g *Gossiper) Receive(now time.Duration, from string, incarnation uint64, m declarer.Message) []Action {
	if r := g.members[from]; r != nil && incarnation < r.Incarnation {
		return g.correct(from, r)
	}
	if n := g.links[from]; n != nil {
		n.heard = now
	}
	delete(g.suspicions, from)
	g.learnAll(now, m.Updates, from)
	g.learnZones(now, m.Zones, from)
	g.arrange(now)
	l := g.flush()
	if r := g.members[from]; r != nil && r.State == declarer.Dead && incarnation <= r.Incarnation {
		l = append(l, g.correct(from, r)...)
	}
	l = append(l, g.reply(from, m)...)
	return append(l, g.compare(now, from, m)...)
}

// correct tells a host what is known of it, so that it can contradict: one
// that was taken for dead or that started with a clock set back.
func (g *Gossiper) correct(host string, r *record) []Action {
	m := declarer.Message{Digest: g.digest(), Updates: []declarer.Member{r.Member}}
	return []Action{{Kind: Send, To: host, Message: m}}
}

// compare asks for all that differs, where a host's digest keeps differing
// although all news has had time to arrive.
func (g *Gossiper) compare(now time.Duration, from string, m declarer.Message) []Action {
	r := g.members[from]
	if r == nil {
		return nil
	}
	if m.Digest == g.digest() {
		r.differs = 0
		return nil
	}
	r.differs++
	if r.differs < syncAfter || now < r.synced+2*g.Interval {
		return nil
	}
	r.differs = 0
	r.synced = now
	return []Action{{Kind: Sync, To: from}}
}

// heartbeat makes the message for n; only regular ones carry signs of life of
// zones, so that those don't cross the fleet more often than needed.
func (g *Gossiper) heartbeat(host string, regular bool) Action {
	n := g.links[host]
	m := declarer.Message{Digest: g.digest(), Updates: n.take(g.members)}
	if regular {
		m.Zones = n.beats(g.zones)
		m.ReplyRequested = g.isZoneTarget(host)
	}
	return Action{Kind: Send, To: host, Message: m}
}

// flush sends fresh news at once, to reach all hosts before the next heartbeats.
func (g *Gossiper) flush() []Action {
	var l []Action
	for _, h := range g.neighbours() {
		if g.links[h].fresh() {
			l = append(l, g.heartbeat(h, false))
		}
	}
	return l
}

// arrange chooses the neighbours anew after the members changed.
func (g *Gossiper) arrange(now time.Duration) {
	if g.arranged {
		return
	}
	g.arranged = true
	r := arranger.Ring(g.liveIn(g.Self.AvailabilityZone))
	g.sources = arranger.Sources(r, g.Self.Host)
	t := arranger.Targets(r, g.Self.Host)
	t = append(t, g.zoneTargets()...)
	want := map[string]bool{}
	for _, h := range g.sources {
		want[h] = false
	}
	for _, h := range t {
		want[h] = true
	}
	delete(want, g.Self.Host)
	g.connect(now, want)
	for h, n := range g.links {
		n.period = g.period(h, len(r))
	}
	g.clearSuspicions()
}
