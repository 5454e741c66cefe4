// Package adopter decides which revision an entry host decides by and what it may say of it.
package adopter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// DefaultLease is how long a host calls its revision confirmed after it sent
// the call by which the platform or a confirmed peer confirmed it.
const DefaultLease = 12 * time.Second

// Standing is what a host may say of the revision that it decides by.
type Standing string

// Standings of a revision.
const (
	// Confirmed means that no other revision can have been accepted without
	// this host's acknowledgement, as long as its lease lasts.
	Confirmed Standing = "confirmed"
	// Changing means that another revision is staged or accepted and may come
	// into force at any moment.
	Changing Standing = "changing"
	// Unconfirmed means that the lease has run out; another revision may be in force.
	Unconfirmed Standing = "unconfirmed"
)

// State is all that a host knows about revisions. It reads no clock: times are
// on the host's own clock that only moves forward.
type State struct {
	// Lease is how long a confirmation lasts, DefaultLease if unset.
	Lease time.Duration
	// DeferredActivation says that whatever decides requests takes up InForce some time after
	// it has changed, and then tells Decided.
	DeferredActivation bool
	// InForce is the revision that requests are decided by; it never goes down.
	InForce declarer.Revision
	// Target is the highest revision known to be accepted.
	Target declarer.Revision
	// Staged is the revision that may be accepted next, zero if none.
	Staged declarer.Revision
	// Version is the version of the latest head seen.
	Version accessor.Version

	// decided is the revision that Decided told of.
	decided declarer.Revision
	// ready holds the revisions above InForce whose file is at hand.
	ready map[declarer.Revision]bool
	// refused is the staged revision that can't be put in force here.
	refused     declarer.Revision
	reason      string
	toldRefused declarer.Revision
	// acknowledged is the highest revision whose readiness the platform holds.
	acknowledged declarer.Revision
	// reported is the revision in force that the platform holds.
	reported   declarer.Revision
	registered bool
	// registrar is who holds the registration, empty for the host's own object.
	registrar string
	// askedFrom is when the call was sent that registered the host.
	askedFrom time.Duration
	// confirmed is when the call was sent that confirmed the head last.
	confirmed    time.Duration
	hasConfirmed bool
	// renewFrom is when the registration was last checked; only a confirmation
	// that was asked for after it counts.
	renewFrom time.Duration
	// head is what the platform showed as Version, in answer to a call that was
	// sent at seen.
	head    encoder.Head
	seen    time.Duration
	hasSeen bool
}

func (s *State) lease() time.Duration {
	if s.Lease <= 0 {
		return DefaultLease
	}
	return s.Lease
}

// ObserveHead takes in the head as the platform showed it in answer to a call that was
// sent at sent; now is the time of the answer.
func (s *State) ObserveHead(h encoder.Head, v accessor.Version, sent, now time.Duration) {
	if v < s.Version {
		return
	}
	s.lapse(now)
	s.keep(h, v, sent)
	s.Version = v
	s.Target = max(s.Target, h.Accepted)
	s.stage(h)
	s.confirm(sent)
	s.moveUp()
}

// lapse notes that the lease ran out. An operator may have gone on without
// this host since, so its registration must be checked before it counts again.
// One that no confirmation followed in time is as old: a stage may have begun and
// ended since that cost the host its registration, and that it never saw.
func (s *State) lapse(now time.Duration) {
	if s.hasConfirmed && now >= s.confirmed+s.lease() {
		s.registered = false
	}
	if s.confirmed < s.renewFrom && now >= s.askedFrom+s.lease() {
		s.registered = false
	}
}

// stage notes which revision is staged. A stage that ended without this host's
// acknowledgement may have ended without waiting for it.
func (s *State) stage(h encoder.Head) {
	var r declarer.Revision
	if h.Staged != nil {
		r = h.Staged.Revision
	}
	if s.Staged != 0 && s.Staged != r && s.acknowledged < s.Staged {
		s.registered = false
	}
	s.Staged = r
}

// confirm moves the confirmation up; a call that waited long doesn't undo a
// later one.
func (s *State) confirm(sent time.Duration) {
	if !s.hasConfirmed || sent > s.confirmed {
		s.confirmed = sent
	}
	s.hasConfirmed = true
}

// ObserveAccepted takes in that a peer decides by r, so r has been accepted. It reports
// whether this host decides by r or a later revision now.
func (s *State) ObserveAccepted(r declarer.Revision) bool {
	s.Target = max(s.Target, r)
	s.moveUp()
	return s.InForce >= r
}

// Claim is what a confirmed host passes on to a peer that can't reach the platform.
type Claim struct {
	Revision declarer.Revision `json:"revision" cbor:"1,keyasint"`
	// Remaining is how long the sender's own confirmation lasts.
	Remaining time.Duration `json:"remaining" cbor:"2,keyasint"`
}

// Claim returns what this host may pass on, false unless it is confirmed.
func (s *State) Claim(now time.Duration) (Claim, bool) {
	if s.Standing(now) != Confirmed {
		return Claim{}, false
	}
	return Claim{Revision: s.InForce, Remaining: s.confirmed + s.lease() - now}, true
}

// Renew takes in a peer's claim that answered a question sent at sent. The
// confirmation ends no later than the peer's, whatever the two clocks show,
// because the question was sent before the peer measured what remains.
func (s *State) Renew(c Claim, sent, now time.Duration) {
	s.lapse(now)
	s.ObserveAccepted(c.Revision)
	if c.Revision < s.InForce {
		return
	}
	s.confirm(sent + c.Remaining - s.lease())
}

// MarkFetched takes in that the file of r is at hand.
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

// MarkRefused takes in that the file of r can't be put in force here.
func (s *State) MarkRefused(r declarer.Revision, reason string) {
	s.refused = r
	s.reason = reason
}

// moveUp puts the target in force once its file is at hand; never a lower one.
func (s *State) moveUp() {
	if s.Target > s.InForce && s.ready[s.Target] {
		s.InForce = s.Target
		if s.acknowledged < s.InForce {
			// It was accepted without this host, which may have lost its object.
			s.registered = false
		}
	}
	for r := range s.ready {
		if r <= s.InForce {
			delete(s.ready, r)
		}
	}
}

// Wanted returns the revision whose file is needed next, zero if none.
func (s *State) Wanted() declarer.Revision {
	switch {
	case s.Target > s.InForce:
		return s.Target
	case s.Staged > s.InForce && !s.ready[s.Staged] && s.refused != s.Staged:
		return s.Staged
	}
	return 0
}

// Standing returns what the host may say of its revision at now.
func (s *State) Standing(now time.Duration) Standing {
	switch {
	case !s.hasConfirmed || now >= s.confirmed+s.lease():
		return Unconfirmed
	case s.Target > s.InForce || s.Staged > s.InForce:
		return Changing
	case !s.registered || s.confirmed < s.renewFrom:
		return Unconfirmed
	}
	return Confirmed
}

// Report is what a host tells the platform about itself.
type Report struct {
	Ready   declarer.Revision
	Refused declarer.Revision
	Reason  string
	InForce declarer.Revision
}

// Report returns what the host has to tell, and whether it differs from what
// the platform holds.
func (s *State) Report() (Report, bool) {
	r := Report{Ready: s.acknowledged, InForce: s.decides()}
	if s.Staged != 0 && s.ready[s.Staged] {
		r.Ready = s.Staged
	}
	if s.Staged != 0 && s.refused == s.Staged {
		r.Refused = s.refused
		r.Reason = s.reason
	}
	due := !s.registered || r.Ready != s.acknowledged || r.InForce != s.reported || r.Refused != s.toldRefused && r.Refused != 0
	return r, due
}

// MarkActivated takes in that requests are decided by r from now on.
func (s *State) MarkActivated(r declarer.Revision) {
	s.decided = max(s.decided, r)
}

// decides returns the revision that requests are decided by already. To report one
// that is only about to be taken up would tell its operator that it is in force
// everywhere while callers here are still served by the one before.
func (s *State) decides() declarer.Revision {
	if s.DeferredActivation {
		return min(s.decided, s.InForce)
	}
	return s.InForce
}

// MarkUnregistered takes in that the platform doesn't hold this host's object any more.
func (s *State) MarkUnregistered() {
	s.registered = false
}

// RevisionCheck is what becomes of a message that bears a revision.
type RevisionCheck string

// Verdicts on a message.
const (
	// Handle means that both sides decide by the same revision.
	Handle RevisionCheck = "handle"
	// MoveUp means that the receiver has to move up first.
	MoveUp RevisionCheck = "move-up"
	// Outdated means that the sender has to move up and decide again; nothing was done.
	Outdated RevisionCheck = "outdated"
)

// CheckRevision decides on a message that was decided under theirs, at a host that
// decides by mine. Handling it under another revision would decide one request
// by two configurations.
func CheckRevision(mine, theirs declarer.Revision) RevisionCheck {
	switch {
	case theirs > mine:
		return MoveUp
	case theirs < mine:
		return Outdated
	}
	return Handle
}
