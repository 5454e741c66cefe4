package gossiper

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// observation is the result of one observer's probe.
type observation int

// Results of a probe.
const (
	// pending means that the observer hasn't answered yet.
	pending observation = iota
	reachable
	unreachable
)

// suspicion is the state of the check whether a silent source is dead. A host whose own network is
// faulty receives no messages at all and must not declare all others dead. So a second observer is
// asked as well, and both probe over new connections, because an old connection may have failed by
// itself.
type suspicion struct {
	// incarnation is the one of the suspected member.
	incarnation uint64
	// askedAt is the time of the last round of probes.
	askedAt time.Duration
	// attempt counts the rounds of probes.
	attempt int
	// own is the result of this host's probe, other that of the second observer.
	own   observation
	other observation
}

// retryIntervals is the number of intervals after which open suspicions are probed again.
const retryIntervals = 4

// suspect opens a suspicion for each silent source and repeats the probes of open suspicions.
func (g *Gossiper) suspect(now time.Duration) []Action {
	var l []Action
	for _, h := range g.sources {
		n := g.neighbours[h]
		if n == nil || !g.isSilent(now, n) {
			continue
		}
		s := g.suspicions[h]
		switch {
		case s == nil:
			s = &suspicion{incarnation: g.members[h].Incarnation}
			g.suspicions[h] = s
		case now-s.askedAt < retryIntervals*g.Interval:
			continue
		}
		l = append(l, g.requestObservations(now, h, s)...)
	}
	return l
}

// requestObservations makes this host and the next one of the other observers probe h.
func (g *Gossiper) requestObservations(now time.Duration, h string, s *suspicion) []Action {
	s.askedAt = now
	s.other = pending
	m := g.members[h].Member
	l := []Action{{Kind: Probe, To: h, Subject: m}}
	if o := g.otherObservers(h); len(o) > 0 {
		l = append(l, Action{Kind: Observe, To: o[s.attempt%len(o)], Subject: m})
	}
	s.attempt++
	return l
}

// otherObservers returns the hosts that can serve as second observer of h: the hosts that observe it
// too, then the rest of the zone, then relays of other zones. Suspected hosts are left out.
func (g *Gossiper) otherObservers(h string) []string {
	z := g.liveIn(g.Self.AvailabilityZone)
	l := arranger.Observers(arranger.Ring(z), h)
	l = append(l, z...)
	for _, o := range g.populatedZones() {
		l = append(l, g.relays(o)...)
	}
	var r []string
	for _, x := range l {
		if x == g.Self.Host || x == h || slices.Contains(r, x) || g.suspicions[x] != nil {
			continue
		}
		r = append(r, x)
	}
	return r
}

// RecordObservation processes the result of a Probe (observer is this host) or of an Observe. It
// isn't called if the observer couldn't be asked, because that says nothing about the subject.
func (g *Gossiper) RecordObservation(now time.Duration, subject declarer.Member, observer string, isReachable bool) []Action {
	s := g.suspicions[subject.Host]
	if s == nil || s.incarnation != subject.Incarnation {
		return nil
	}
	w := unreachable
	if isReachable {
		w = reachable
	}
	if observer == g.Self.Host {
		s.own = w
	} else {
		s.other = w
	}
	return g.conclude(now, subject, s)
}

// conclude ends a suspicion if the member answered this host, or declares it dead if neither this
// host nor the second observer reached it.
func (g *Gossiper) conclude(now time.Duration, m declarer.Member, s *suspicion) []Action {
	if s.own == reachable {
		delete(g.suspicions, m.Host)
		if n := g.neighbours[m.Host]; n != nil {
			n.receivedAt = now
		}
		return nil
	}
	if s.own == pending || s.other != unreachable {
		return nil
	}
	delete(g.suspicions, m.Host)
	m.State = declarer.Dead
	g.mergeMember(now, m, "")
	g.arrange(now)
	return g.flush()
}

// clearSuspicions drops the suspicions of hosts that this host doesn't observe.
func (g *Gossiper) clearSuspicions() {
	for h := range g.suspicions {
		if !slices.Contains(g.sources, h) {
			delete(g.suspicions, h)
		}
	}
}

// unreachableHosts returns the live members of this host's zone that it can't reach. If it reaches
// none of its sources, the host is isolated, and all other hosts of the zone count as unreachable
// although it doesn't observe them.
func (g *Gossiper) unreachableHosts() []string {
	var l []string
	for h, s := range g.suspicions {
		if s.own == unreachable {
			l = append(l, h)
		}
	}
	if len(l) > 0 && len(l) == len(g.sources) {
		l = g.liveIn(g.Self.AvailabilityZone)
		l = slices.DeleteFunc(l, g.isSelf)
	}
	slices.Sort(l)
	return l
}

func (g *Gossiper) isSelf(host string) bool {
	return host == g.Self.Host
}
