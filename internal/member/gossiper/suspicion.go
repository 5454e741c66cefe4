package gossiper

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// word is what one observer says.
type word int

// Words of an observer.
const (
	// none hasn't come yet.
	none word = iota
	heard
	unheard
)

// suspicion is the question whether a silent source is dead. A host whose own
// network is faulty hears nobody; it must not have everybody else taken for
// dead. So a second observer is asked, and both connect afresh, because an old
// connection may have gone silent by itself.
type suspicion struct {
	incarnation uint64
	asked       time.Duration
	attempt     int
	own         word
	other       word
}

// retryIntervals pass before the question is asked anew.
const retryIntervals = 4

// suspect opens suspicions of silent sources and repeats open questions.
func (g *Gossiper) suspect(now time.Duration) []Action {
	var l []Action
	for _, h := range g.sources {
		n := g.links[h]
		if n == nil || !g.isSilent(now, n) {
			continue
		}
		s := g.suspicions[h]
		switch {
		case s == nil:
			s = &suspicion{incarnation: g.members[h].Incarnation}
			g.suspicions[h] = s
		case now-s.asked < retryIntervals*g.Interval:
			continue
		}
		l = append(l, g.ask(now, h, s)...)
	}
	return l
}

// ask has this host and the next of the other observers connect to h.
func (g *Gossiper) ask(now time.Duration, h string, s *suspicion) []Action {
	s.asked = now
	s.other = none
	m := g.members[h].Member
	l := []Action{{Kind: Probe, To: h, Subject: m}}
	if o := g.otherObservers(h); len(o) > 0 {
		l = append(l, Action{Kind: Observe, To: o[s.attempt%len(o)], Subject: m})
	}
	s.attempt++
	return l
}

// otherObservers returns who else may be asked about h: those that observe it
// too, then the rest of the zone, then relays of other zones.
func (g *Gossiper) otherObservers(h string) []string {
	z := g.liveIn(g.Self.AvailabilityZone)
	l := arranger.Observers(arranger.Ring(z), h)
	l = append(l, z...)
	for _, o := range g.populated() {
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

// RecordObservation takes the result of a Probe (observer is this host) or of an
// Observe. An observer that couldn't be asked has no word: it isn't called.
func (g *Gossiper) RecordObservation(now time.Duration, subject declarer.Member, observer string, isHeard bool) []Action {
	s := g.suspicions[subject.Host]
	if s == nil || s.incarnation != subject.Incarnation {
		return nil
	}
	w := unheard
	if isHeard {
		w = heard
	}
	if observer == g.Self.Host {
		s.own = w
	} else {
		s.other = w
	}
	return g.conclude(now, subject, s)
}

func (g *Gossiper) conclude(now time.Duration, m declarer.Member, s *suspicion) []Action {
	if s.own == heard {
		delete(g.suspicions, m.Host)
		if n := g.links[m.Host]; n != nil {
			n.heard = now
		}
		return nil
	}
	if s.own == none || s.other != unheard {
		return nil
	}
	delete(g.suspicions, m.Host)
	m.State = declarer.Dead
	g.learn(now, m, "")
	g.arrange(now)
	return g.flush()
}

// clearSuspicions drops those of hosts that aren't observed.
func (g *Gossiper) clearSuspicions() {
	for h := range g.suspicions {
		if !slices.Contains(g.sources, h) {
			delete(g.suspicions, h)
		}
	}
}

// unheard returns live members of this host's zone that it can't reach. A host
// that hears none of those it observes is alone: the rest of its zone, which it
// doesn't observe, is out of reach as well.
func (g *Gossiper) unheard() []string {
	var l []string
	for h, s := range g.suspicions {
		if s.own == unheard {
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
