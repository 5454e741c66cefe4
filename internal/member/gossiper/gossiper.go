// Package gossiper implements gossip membership and failure detection of entry hosts without I/O.
package gossiper

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// Gossiper holds one host's membership state. It opens no connection and reads no clock: each
// method is given the time since an arbitrary start and returns the actions that the caller has to
// carry out. It isn't safe for concurrent use.
type Gossiper struct {
	// Self is this host's record; its state and incarnation change after Start.
	Self declarer.Member
	// Interval is the time between heartbeats to one neighbour. It is doubled in large zones and
	// between zones.
	Interval time.Duration
	// SuspectAfter is the time without a message after which a neighbour with the period Interval
	// is suspected to be dead.
	SuspectAfter time.Duration
	// ZoneInterval is the time between increments of a zone's counter.
	ZoneInterval time.Duration
	// ForgetAfter is the time for which the record of a dead member is kept.
	ForgetAfter time.Duration

	// members, neighbours and suspicions are keyed by host, zones by availability zone.
	members    map[string]*record
	zones      map[string]*zone
	neighbours map[string]*neighbour
	// sources are the members that this host observes.
	sources []string
	// suspicions holds the sources whose death isn't confirmed or refuted yet.
	suspicions map[string]*suspicion
	// zoneTargets holds the host to which this relay sends heartbeats, by zone. skips counts the
	// hosts that were passed over there because they didn't answer.
	zoneTargets map[string]string
	skips       map[string]int
	// arranged is false if the members have changed since the neighbours were chosen.
	arranged     bool
	nextZoneBeat time.Duration
	hints        hints
	nextForget   time.Duration
	// version counts the changes of members.
	version uint64
	// sum is the digest of all members, computed at sumVersion.
	sum        uint64
	sumVersion uint64
	// lastView caches the result of buildView, computed at viewVersion.
	lastView    declarer.View
	viewVersion uint64
}

// record holds a member with what is needed to keep it in sync.
type record struct {
	declarer.Member
	// mergedAt is the time at which this version of the member was received.
	mergedAt time.Duration
	// mismatches counts consecutive messages of the member whose digest differed from this host's.
	mismatches int
	// syncedAt is the time of the last sync that mismatches caused.
	syncedAt time.Duration
}

// Action is an operation that the caller of a Gossiper has to carry out.
type Action struct {
	Kind ActionKind
	// To is the host that is contacted.
	To string
	// Subject is the member that is probed, set for Probe and Observe.
	Subject declarer.Member
	// Message is set for Send.
	Message declarer.Message
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of action.
const (
	// Send sends Message to To in a datagram.
	Send ActionKind = iota
	// Sync calls To with SyncRequest and passes the answer to ApplySyncAnswer.
	Sync
	// Probe opens a new connection to Subject and passes the result to RecordObservation.
	Probe
	// Observe asks To to probe Subject and passes the result to RecordObservation.
	Observe
)

// Limits of gossip messages.
const (
	// maximumUpdates is the maximum number of members in a message, so that it fits into a
	// datagram.
	maximumUpdates = 8
	// maximumZones is the maximum number of zone counters in a message, so that it fits into a
	// datagram.
	maximumZones = 12
	// updateTransmissions is the number of times that each update is sent to a neighbour, because
	// datagrams may be lost.
	updateTransmissions = 2
	// syncAfterMismatches is the number of consecutive messages with a different digest after which
	// a sync is requested.
	syncAfterMismatches = 3
)

// Start adds Self to the members. It is called once, before all other methods.
func (g *Gossiper) Start(now time.Duration) {
	g.members = map[string]*record{}
	g.zones = map[string]*zone{}
	g.neighbours = map[string]*neighbour{}
	g.suspicions = map[string]*suspicion{}
	g.skips = map[string]int{}
	g.nextZoneBeat = now
	g.mergeMember(now, g.Self, "")
}

// Tick returns the actions that are due. It is called several times per Interval.
func (g *Gossiper) Tick(now time.Duration) []Action {
	g.forget(now)
	g.skipSilentTargets(now)
	g.arrange(now)
	l := g.suspect(now)
	g.incrementZoneCounter(now)
	l = append(l, g.tryHint(now)...)
	for _, h := range g.neighbourHosts() {
		n := g.neighbours[h]
		if n.target && now >= n.next {
			n.next = now + n.period
			l = append(l, g.heartbeat(h, true))
		}
	}
	return append(l, g.flush()...)
}

// Receive processes a message from the given host, which sent it with the given incarnation.
func (g *Gossiper) Receive(now time.Duration, from string, incarnation uint64, m declarer.Message) []Action {
	if r := g.members[from]; r != nil && incarnation < r.Incarnation {
		return g.correct(from, r)
	}
	if n := g.neighbours[from]; n != nil {
		n.receivedAt = now
	}
	delete(g.suspicions, from)
	g.mergeMembers(now, m.Updates, from)
	g.mergeZoneBeats(now, m.Zones, from)
	g.arrange(now)
	l := g.flush()
	if r := g.members[from]; r != nil && r.State == declarer.Dead && incarnation <= r.Incarnation {
		l = append(l, g.correct(from, r)...)
	}
	l = append(l, g.reply(from, m)...)
	return append(l, g.compareDigest(now, from, m)...)
}

// correct sends a host its own record, so that it can refute it. It applies to a host that was
// declared dead, or that restarted with its clock set back and so with a lower incarnation.
func (g *Gossiper) correct(host string, r *record) []Action {
	m := declarer.Message{Digest: g.digest(), Updates: []declarer.Member{r.Member}}
	return []Action{{Kind: Send, To: host, Message: m}}
}

// compareDigest requests a sync with a host whose digest keeps differing from this host's although
// all updates have had time to arrive.
func (g *Gossiper) compareDigest(now time.Duration, from string, m declarer.Message) []Action {
	r := g.members[from]
	if r == nil {
		return nil
	}
	if m.Digest == g.digest() {
		r.mismatches = 0
		return nil
	}
	r.mismatches++
	if r.mismatches < syncAfterMismatches || now < r.syncedAt+2*g.Interval {
		return nil
	}
	r.mismatches = 0
	r.syncedAt = now
	return []Action{{Kind: Sync, To: from}}
}

// heartbeat returns the message for a neighbour. Only regular heartbeats carry zone counters;
// messages sent ahead of time for an update don't, to limit the traffic.
func (g *Gossiper) heartbeat(host string, regular bool) Action {
	n := g.neighbours[host]
	m := declarer.Message{Digest: g.digest(), Updates: n.takeUpdates(g.members)}
	if regular {
		m.Zones = n.takeZoneBeats(g.zones)
		m.ReplyRequested = g.isZoneTarget(host)
	}
	return Action{Kind: Send, To: host, Message: m}
}

// flush sends updates immediately to the neighbours that haven't received them yet, so that they
// reach all hosts before the next regular heartbeats.
func (g *Gossiper) flush() []Action {
	var l []Action
	for _, h := range g.neighbourHosts() {
		if g.neighbours[h].hasUnsent() {
			l = append(l, g.heartbeat(h, false))
		}
	}
	return l
}

// arrange chooses the neighbours again if the members have changed.
func (g *Gossiper) arrange(now time.Duration) {
	if g.arranged {
		return
	}
	g.arranged = true
	r := arranger.Ring(g.liveIn(g.Self.AvailabilityZone))
	g.sources = arranger.Sources(r, g.Self.Host)
	t := arranger.Targets(r, g.Self.Host)
	t = append(t, g.chooseZoneTargets()...)
	want := map[string]bool{}
	for _, h := range g.sources {
		want[h] = false
	}
	for _, h := range t {
		want[h] = true
	}
	delete(want, g.Self.Host)
	g.connect(now, want)
	for h, n := range g.neighbours {
		n.period = g.period(h, len(r))
	}
	g.clearSuspicions()
}
