// Package adopter is the state machine by which an entry host determines its configuration revision
// in force and whether that revision is confirmed.
package adopter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// DefaultLease is how long a host's revision is confirmed, counted from when the host sent the call
// by which the platform or a confirmed peer confirmed it.
const DefaultLease = 12 * time.Second

// Standing is the confirmation status of a host's revision in force.
type Standing string

// Standings of a revision.
const (
	// Confirmed means that, until the lease expires, no other revision can be accepted without this
	// host's acknowledgement.
	Confirmed Standing = "confirmed"
	// Changing means that another revision is staged or accepted and may come into force at any
	// time.
	Changing Standing = "changing"
	// Unconfirmed means that the lease has expired or the host isn't registered, so another revision
	// may be in force elsewhere.
	Unconfirmed Standing = "unconfirmed"
)

// State holds what a host has observed of the configuration's revisions. It reads no clock: times
// are on the host's own monotonic clock.
type State struct {
	// Lease is how long a confirmation lasts, DefaultLease if unset.
	Lease time.Duration
	// DeferredActivation says that requests are handled by a new InForce only some time after it has
	// changed, when the caller reports that by MarkActivated.
	DeferredActivation bool
	// InForce is the revision in force on this host; it never decreases.
	InForce declarer.Revision
	// Target is the highest revision that the host has observed to be accepted.
	Target declarer.Revision
	// Staged is the revision that may be accepted next, zero if none.
	Staged declarer.Revision
	// Version is the version of the latest head observed.
	Version accessor.Version

	// activated is the highest revision passed to MarkActivated.
	activated declarer.Revision
	// ready holds the revisions above InForce whose file the host has.
	ready map[declarer.Revision]bool
	// refused is the staged revision that can't be put in force here, reason why, and
	// reportedRefused the refused revision that the platform holds.
	refused         declarer.Revision
	reason          string
	reportedRefused declarer.Revision
	// acknowledged is the highest revision that the platform holds as ready on this host.
	acknowledged declarer.Revision
	// reported is the revision that the platform holds as in force on this host.
	reported   declarer.Revision
	registered bool
	// registrar identifies the relay whose object registers the host, empty for the host's own
	// object.
	registrar string
	// registrationAskedAt is when the call that registered the host was sent.
	registrationAskedAt time.Duration
	// confirmedAt is when the call was sent that last confirmed the head.
	confirmedAt  time.Duration
	wasConfirmed bool
	// registrationCheckedAt is when the registration was last checked; only a confirmation requested
	// after it counts.
	registrationCheckedAt time.Duration
	// head is the head of version Version, which answered a call sent at headSentAt. hasHead says
	// that there is one.
	head       encoder.Head
	headSentAt time.Duration
	hasHead    bool
}

func (s *State) lease() time.Duration {
	if s.Lease <= 0 {
		return DefaultLease
	}
	return s.Lease
}

// ObserveHead records the head h of version v, which answered a call to the platform sent at sent;
// now is the time of the answer. A head older than Version is ignored.
func (s *State) ObserveHead(h encoder.Head, v accessor.Version, sent, now time.Duration) {
	if v < s.Version {
		return
	}
	s.checkExpiry(now)
	s.storeHead(h, v, sent)
	s.Version = v
	s.Target = max(s.Target, h.Accepted)
	s.observeStaged(h)
	s.confirm(sent)
	s.moveUp()
}

// checkExpiry drops the registration if the lease has expired by now. An operator may have continued
// without this host since, so the registration must be checked before it counts again. A registration
// that wasn't confirmed within a lease is dropped too: meanwhile a revision may have been staged and
// withdrawn without the host observing it, and its entry removed.
func (s *State) checkExpiry(now time.Duration) {
	if s.wasConfirmed && now >= s.confirmedAt+s.lease() {
		s.registered = false
	}
	if s.confirmedAt < s.registrationCheckedAt && now >= s.registrationAskedAt+s.lease() {
		s.registered = false
	}
}

// observeStaged records which revision is staged. If the previous one was accepted or withdrawn
// without this host's acknowledgement, the operator may not have waited for the host and have removed
// it from its object, so the registration is dropped.
func (s *State) observeStaged(h encoder.Head) {
	var r declarer.Revision
	if h.Staged != nil {
		r = h.Staged.Revision
	}
	if s.Staged != 0 && s.Staged != r && s.acknowledged < s.Staged {
		s.registered = false
	}
	s.Staged = r
}

// confirm extends the confirmation to a call sent at sent. The answer to an earlier call doesn't
// shorten it.
func (s *State) confirm(sent time.Duration) {
	if !s.wasConfirmed || sent > s.confirmedAt {
		s.confirmedAt = sent
	}
	s.wasConfirmed = true
}

// ObserveAccepted records that r is in force on a peer and so was accepted. It reports whether r or a
// later revision is in force on this host now.
func (s *State) ObserveAccepted(r declarer.Revision) bool {
	s.Target = max(s.Target, r)
	s.moveUp()
	return s.InForce >= r
}

// Claim is the confirmation that a confirmed host gives a peer that can't reach the platform.
type Claim struct {
	Revision declarer.Revision `json:"revision" cbor:"1,keyasint"`
	// Remaining is how long the sender's own lease still lasts.
	Remaining time.Duration `json:"remaining" cbor:"2,keyasint"`
}

// Claim returns this host's claim for peers, false unless its revision is confirmed.
func (s *State) Claim(now time.Duration) (Claim, bool) {
	if s.Standing(now) != Confirmed {
		return Claim{}, false
	}
	return Claim{Revision: s.InForce, Remaining: s.confirmedAt + s.lease() - now}, true
}

// Renew extends the lease by a peer's claim that answered a question sent at sent. The lease ends no
// later than the peer's, whatever the two clocks show, because the question was sent before the peer
// measured Remaining.
func (s *State) Renew(c Claim, sent, now time.Duration) {
	s.checkExpiry(now)
	s.ObserveAccepted(c.Revision)
	if c.Revision < s.InForce {
		return
	}
	s.confirm(sent + c.Remaining - s.lease())
}

// MarkFetched records that the host has the file of r.
func (s *State) MarkFetched(r declarer.Revision) {
	if r <= s.InForce {
		return
	}
	if s.ready == nil {
		s.ready = map[declarer.Revision]bool{}
	}
	s.ready[r] = true
	s.moveUp()
}

// MarkRefused records that the file of r can't be put in force here, and why.
func (s *State) MarkRefused(r declarer.Revision, reason string) {
	s.refused = r
	s.reason = reason
}

// moveUp puts Target in force if the host has its file. It never puts a lower revision in force.
func (s *State) moveUp() {
	if s.Target > s.InForce && s.ready[s.Target] {
		s.InForce = s.Target
		if s.acknowledged < s.InForce {
			// It was accepted without this host, which may have been removed from its object.
			s.registered = false
		}
	}
	for r := range s.ready {
		if r <= s.InForce {
			delete(s.ready, r)
		}
	}
}

// Wanted returns the revision whose file the host needs next, zero if none.
func (s *State) Wanted() declarer.Revision {
	switch {
	case s.Target > s.InForce:
		return s.Target
	case s.Staged > s.InForce && !s.ready[s.Staged] && s.refused != s.Staged:
		return s.Staged
	}
	return 0
}

// Standing returns the confirmation status of InForce at now.
func (s *State) Standing(now time.Duration) Standing {
	switch {
	case !s.wasConfirmed || now >= s.confirmedAt+s.lease():
		return Unconfirmed
	case s.Target > s.InForce || s.Staged > s.InForce:
		return Changing
	case !s.registered || s.confirmedAt < s.registrationCheckedAt:
		return Unconfirmed
	}
	return Confirmed
}

// Report is what a host reports to the platform about itself, with the meanings that the fields have
// in encoder.Holder.
type Report struct {
	Ready   declarer.Revision
	Refused declarer.Revision
	Reason  string
	InForce declarer.Revision
}

// Report returns the host's current report and whether it is due: the host isn't registered, or the
// platform holds another report.
func (s *State) Report() (Report, bool) {
	r := Report{Ready: s.acknowledged, InForce: s.activeRevision()}
	if s.Staged != 0 && s.ready[s.Staged] {
		r.Ready = s.Staged
	}
	if s.Staged != 0 && s.refused == s.Staged {
		r.Refused = s.refused
		r.Reason = s.reason
	}
	due := !s.registered || r.Ready != s.acknowledged || r.InForce != s.reported || r.Refused != s.reportedRefused && r.Refused != 0
	return r, due
}

// MarkActivated records that requests are handled by r from now on; see DeferredActivation.
func (s *State) MarkActivated(r declarer.Revision) {
	s.activated = max(s.activated, r)
}

// activeRevision returns the revision that requests are already handled by. If the host reported
// InForce before its activation, the operator would be told that the revision is in force everywhere
// while requests here are still handled by the previous one.
func (s *State) activeRevision() declarer.Revision {
	if s.DeferredActivation {
		return min(s.activated, s.InForce)
	}
	return s.InForce
}

// MarkUnregistered records that no object on the platform is known to register this host.
func (s *State) MarkUnregistered() {
	s.registered = false
}

// RevisionCheck says how the receiver of a message with a revision proceeds.
type RevisionCheck string

// Results of CheckRevision.
const (
	// Handle means that both hosts have the same revision in force.
	Handle RevisionCheck = "handle"
	// MoveUp means that the receiver has to put the sender's revision in force first.
	MoveUp RevisionCheck = "move-up"
	// Outdated means that the receiver did nothing, and the sender has to put the receiver's
	// revision in force and handle the request again.
	Outdated RevisionCheck = "outdated"
)

// CheckRevision compares the revision theirs of a message with the revision mine in force on its
// receiver. A message handled under another revision would have one request handled by two
// configurations.
func CheckRevision(mine, theirs declarer.Revision) RevisionCheck {
	switch {
	case theirs > mine:
		return MoveUp
	case theirs < mine:
		return Outdated
	}
	return Handle
}
