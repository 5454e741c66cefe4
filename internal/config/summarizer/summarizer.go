// Package summarizer decides what a relay writes for the hosts of its zone and what
// it may tell them about it.
package summarizer

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

const (
	// MaximumGatherDelay is how long a change waits for those of other hosts, so that one
	// write of the object holds them all.
	MaximumGatherDelay = 50 * time.Millisecond
	// activeInterval is how long ago a host was heard of at most to be waited for. It is
	// above the time between two questions of a host at rest.
	activeInterval = 5 * time.Second
)

// State is what a relay knows of the hosts that report through it. It reads no
// clock. The relay's object is written by one put after the other.
type State struct {
	// Self is the relay's own host and incarnation, which is no member of its own.
	Self encoder.HostReport

	members []member
	// beganPuts and storedPuts number the last put that was begun, and the last one
	// that the platform is known to have taken.
	beganPuts, storedPuts uint64
	dirty                 bool
	dirtySince            time.Duration
}

// member is one start of a host.
type member struct {
	// reported is what the host reported, putReport what the putReport under way holds, and storedReport
	// what the object holds.
	reported, putReport, storedReport encoder.HostReport
	inPut, isStored                   bool
	// registeringPut is the put that must have been stored before the host may be told
	// that it is registered.
	registeringPut uint64
	// sequence numbers the host's last question.
	sequence uint64
	activeAt time.Duration
}

// AddReport takes in a host's report. A host that isn't registered here counts only
// once the object was written after it asked: an operator may have taken it out
// of the object meanwhile, which this relay learns by its next put.
func (s *State) AddReport(m encoder.HostReport, sequence uint64, registered bool, now time.Duration) {
	i := s.find(m)
	if i < 0 {
		s.members = append(s.members, member{reported: m})
		i = len(s.members) - 1
		registered = false
	}
	x := &s.members[i]
	x.reported = x.reported.Merge(m)
	x.sequence = max(x.sequence, sequence)
	x.activeAt = now
	if !registered && x.registeringPut <= s.beganPuts {
		x.registeringPut = s.beganPuts + 1
	}
	if x.registeringPut > s.beganPuts || !x.isStored || !x.reported.Says(x.storedReport) {
		s.markDirty(now)
	}
}

// MarkActive takes in that a host was heard of, so that it is waited for.
func (s *State) MarkActive(m encoder.HostReport, now time.Duration) {
	if i := s.find(m); i >= 0 {
		s.members[i].activeAt = now
	}
}

// RemoveMember takes out a host that has stopped or is registered elsewhere. One that has
// asked again since, by sequence, stays: it counts on being in the object.
func (s *State) RemoveMember(m encoder.HostReport, sequence uint64, now time.Duration) {
	i := s.find(m)
	if i < 0 || sequence <= s.members[i].sequence {
		return
	}
	s.members = slices.Delete(s.members, i, i+1)
	s.markDirty(now)
}

// MemberRemoved reports whether the object as stored doesn't hold m any more.
func (s *State) MemberRemoved(m encoder.HostReport) bool {
	return s.find(m) < 0 && !s.dirty && s.storedPuts == s.beganPuts
}

func (s *State) markDirty(now time.Duration) {
	if !s.dirty {
		s.dirtySince = now
	}
	s.dirty = true
}

// Due reports whether the object should be written now for the hosts' sake, or
// else how long to wait at most; zero if there is nothing to write. The relay
// itself is ready for ready and decides by inForce; ownDue says that its own report
// has changed.
func (s *State) Due(ready, inForce declarer.Revision, ownDue bool, now time.Duration) (bool, time.Duration) {
	if ownDue {
		s.markDirty(now)
	}
	if !s.dirty {
		return false, 0
	}
	w := s.dirtySince + MaximumGatherDelay - now
	if w <= 0 || !s.lagging(ready, inForce, now) {
		return true, 0
	}
	return false, w
}

// lagging reports whether a host that was heard of lately is expected to report
// soon, because the relay itself is further.
func (s *State) lagging(ready, inForce declarer.Revision, now time.Duration) bool {
	return slices.ContainsFunc(s.members, func(x member) bool {
		if now-x.activeAt >= activeInterval || x.reported.Refused == ready && ready != 0 {
			return false
		}
		return max(x.reported.Ready, x.reported.InForce) < ready || x.reported.InForce < inForce
	})
}

// BeginPut starts a put and returns the members that it has to hold.
func (s *State) BeginPut() []encoder.HostReport {
	s.beganPuts++
	s.dirty = false
	var l []encoder.HostReport
	for i := range s.members {
		x := &s.members[i]
		x.putReport = x.reported
		x.inPut = true
		l = append(l, x.putReport)
	}
	return l
}

// CompletePut takes in that the platform took the put that was begun last. It reports
// whether that put registered a host.
func (s *State) CompletePut() bool {
	fresh := false
	for i := range s.members {
		x := &s.members[i]
		fresh = fresh || x.inPut && x.registeringPut > s.storedPuts && x.registeringPut <= s.beganPuts
		x.storedReport, x.isStored = x.putReport, x.inPut
	}
	s.storedPuts = s.beganPuts
	return fresh
}

// ReadBack takes in which members the object holds, after a put that may have
// failed or before the first one. Members that aren't in it any more were taken
// out by an operator and know it; those that have asked since remain to be put.
func (s *State) ReadBack(l []encoder.HostReport, now time.Duration) {
	s.members = slices.DeleteFunc(s.members, func(x member) bool {
		return x.registeringPut <= s.storedPuts && !slices.ContainsFunc(l, x.reported.Is)
	})
	for i := range s.members {
		s.members[i].isStored, s.members[i].inPut = false, false
	}
	for _, m := range l {
		if m.Is(s.Self) {
			continue
		}
		i := s.find(m)
		if i < 0 {
			s.members = append(s.members, member{reported: m})
			i = len(s.members) - 1
		}
		x := &s.members[i]
		x.reported = x.reported.Merge(m)
		x.storedReport, x.isStored = m, true
	}
	s.markDirty(now)
}

// Reset takes in that the object isn't this relay's any more. No host is
// registered here until it asks again.
func (s *State) Reset() {
	s.members = nil
	s.dirty = false
}

// Held returns what the object is known to hold of m, false if that can't be said.
func (s *State) Held(m encoder.HostReport) (encoder.HostReport, bool) {
	i := s.find(m)
	if i < 0 || !s.members[i].isStored || s.members[i].registeringPut > s.storedPuts {
		return encoder.HostReport{}, false
	}
	return s.members[i].storedReport, true
}

// CanAnswer reports whether m may be told: either its last report is held, or it
// isn't to be expected any more.
func (s *State) CanAnswer(m encoder.HostReport) bool {
	h, ok := s.Held(m)
	if !ok {
		return s.find(m) < 0
	}
	return h.Ready >= m.Ready && h.InForce >= m.InForce && h.Refused >= m.Refused
}

// Members returns how many hosts report through this relay.
func (s *State) Members() int {
	return len(s.members)
}

func (s *State) find(m encoder.HostReport) int {
	return slices.IndexFunc(s.members, func(x member) bool { return x.reported.Is(m) })
}
