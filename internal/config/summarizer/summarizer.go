// Package summarizer is the state machine by which a relay collects the reports of the hosts of its
// zone, decides when to write them to its object, and which of them it may confirm to the hosts.
package summarizer

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

const (
	// MaximumGatherDelay bounds how long a changed report waits for those of other hosts, so that one
	// write of the object contains them all.
	MaximumGatherDelay = 50 * time.Millisecond
	// activeInterval is the maximum time since the last question of a host for which a write is
	// delayed. It is longer than the time between two questions of a host at rest.
	activeInterval = 5 * time.Second
)

// State holds a relay's state of the hosts that report through it, its members. It reads no clock; the
// caller passes times of one monotonic clock. The caller has at most one put of the relay's object
// outstanding at a time.
type State struct {
	// Self is the relay's own host and incarnation, which is never a member.
	Self encoder.HostReport

	members []member
	// lastBegunPut and lastStoredPut are the numbers of the last put that was begun, and of the last
	// one that the platform is known to have stored. Puts are numbered from 1.
	lastBegunPut, lastStoredPut uint64
	dirty                       bool
	dirtySince                  time.Duration
}

// member is one incarnation of a host that reports through the relay.
type member struct {
	// reported is the report of the host, putReport the one in the last put that was begun, if inPut is
	// set, and storedReport the one in the object, if isStored is set.
	reported, putReport, storedReport encoder.HostReport
	inPut, isStored                   bool
	// registeringPut is the number of the put that must be stored before the relay may confirm the
	// registration to the host.
	registeringPut uint64
	// sequence is the sequence number of the host's last report.
	sequence uint64
	// activeAt is when the host's last question arrived.
	activeAt time.Duration
}

// AddReport records a host's report. A host that isn't registered here is confirmed only once the
// object was written after its report: an operator may have removed the host from the object
// meanwhile, which this relay detects only at its next put.
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
	if !registered && x.registeringPut <= s.lastBegunPut {
		x.registeringPut = s.lastBegunPut + 1
	}
	if x.registeringPut > s.lastBegunPut || !x.isStored || !x.reported.SameContent(x.storedReport) {
		s.markDirty(now)
	}
}

// MarkActive records that a member sent a question, so that writes wait for its report.
func (s *State) MarkActive(m encoder.HostReport, now time.Duration) {
	if i := s.find(m); i >= 0 {
		s.members[i].activeAt = now
	}
}

// RemoveMember removes a host that has stopped or is registered elsewhere. A host with a report of the
// same or a later sequence number stays, because it relies on being in the object.
func (s *State) RemoveMember(m encoder.HostReport, sequence uint64, now time.Duration) {
	i := s.find(m)
	if i < 0 || sequence <= s.members[i].sequence {
		return
	}
	s.members = slices.Delete(s.members, i, i+1)
	s.markDirty(now)
}

// MemberRemoved reports whether the stored object is known not to contain m.
func (s *State) MemberRemoved(m encoder.HostReport) bool {
	return s.find(m) < 0 && !s.dirty && s.lastStoredPut == s.lastBegunPut
}

func (s *State) markDirty(now time.Duration) {
	if !s.dirty {
		s.dirtySince = now
	}
	s.dirty = true
}

// Due reports whether the object should be written now. If not, it returns the maximum time to wait,
// or zero if there is nothing to write. ready and inForce are the revisions that the relay itself is
// ready for and has in force; ownDue says that its own report has changed.
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

// lagging reports whether a recently active member is behind the relay itself, so that it is expected
// to report soon.
func (s *State) lagging(ready, inForce declarer.Revision, now time.Duration) bool {
	return slices.ContainsFunc(s.members, func(x member) bool {
		if now-x.activeAt >= activeInterval || x.reported.Refused == ready && ready != 0 {
			return false
		}
		return max(x.reported.Ready, x.reported.InForce) < ready || x.reported.InForce < inForce
	})
}

// BeginPut begins a put of the object and returns the members' reports that it must contain.
func (s *State) BeginPut() []encoder.HostReport {
	s.lastBegunPut++
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

// CompletePut records that the platform stored the put that was begun last. It reports whether that put
// registered a host.
func (s *State) CompletePut() bool {
	registered := false
	for i := range s.members {
		x := &s.members[i]
		registered = registered || x.inPut && x.registeringPut > s.lastStoredPut && x.registeringPut <= s.lastBegunPut
		x.storedReport, x.isStored = x.putReport, x.inPut
	}
	s.lastStoredPut = s.lastBegunPut
	return registered
}

// ReadBack records the members that the object contains, after a put of unknown outcome or before the
// first put. Members that the object lacks were removed by an operator and will register again, so
// they are dropped, except those that have asked to be registered by a later put.
func (s *State) ReadBack(l []encoder.HostReport, now time.Duration) {
	s.members = slices.DeleteFunc(s.members, func(x member) bool {
		return x.registeringPut <= s.lastStoredPut && !slices.ContainsFunc(l, x.reported.SameIncarnation)
	})
	for i := range s.members {
		s.members[i].isStored, s.members[i].inPut = false, false
	}
	for _, m := range l {
		if m.SameIncarnation(s.Self) {
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

// Reset records that the relay has lost its object. No host is registered here until it reports again.
func (s *State) Reset() {
	s.members = nil
	s.dirty = false
}

// Held returns the report of m that the object is known to contain, false if m isn't known to be
// registered here.
func (s *State) Held(m encoder.HostReport) (encoder.HostReport, bool) {
	i := s.find(m)
	if i < 0 || !s.members[i].isStored || s.members[i].registeringPut > s.lastStoredPut {
		return encoder.HostReport{}, false
	}
	return s.members[i].storedReport, true
}

// CanAnswer reports whether the report m can be answered: the object contains it or a later one, or
// the host isn't a member, so the object won't contain it.
func (s *State) CanAnswer(m encoder.HostReport) bool {
	h, ok := s.Held(m)
	if !ok {
		return s.find(m) < 0
	}
	return h.Ready >= m.Ready && h.InForce >= m.InForce && h.Refused >= m.Refused
}

// Members returns the number of hosts that report through this relay.
func (s *State) Members() int {
	return len(s.members)
}

func (s *State) find(m encoder.HostReport) int {
	return slices.IndexFunc(s.members, func(x member) bool { return x.reported.SameIncarnation(m) })
}
