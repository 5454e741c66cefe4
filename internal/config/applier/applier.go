// Package applier is the state machine of an operator's run that applies, resumes or withdraws a
// configuration revision.
package applier

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// DefaultAcknowledgementTimeout is how long an operator waits for a host's acknowledgement
// before it assumes that the host's lease has expired. The operator and the host measure on their
// own clocks; the extra tenth allows for clocks that run at different rates.
const DefaultAcknowledgementTimeout = adopter.DefaultLease + adopter.DefaultLease/10

// headReadInterval is the minimum time between two reads of the head while an operator waits.
const headReadInterval = time.Second

// Mode is the kind of an operator's run.
type Mode string

// Modes of an operator.
const (
	// Apply stages a file and puts it in force.
	Apply Mode = "apply"
	// Resume continues with the revision that another operator staged.
	Resume Mode = "resume"
	// Withdraw removes the staged revision, whichever operator staged it.
	Withdraw Mode = "withdraw"
)

// Action is the next step of an operator.
type Action string

// Actions of an operator. After each one the caller passes the result to the Observe or Invalidate
// method for it and calls Next again.
const (
	// ReadHead reads the head object.
	ReadHead Action = "read-head"
	// PutHead writes Step.Head at Step.Version.
	PutHead Action = "put-head"
	// ReadBody reads the slot of Step.Revision.
	ReadBody Action = "read-body"
	// PutBody writes the file into the slot of Step.Revision at Step.Version.
	PutBody Action = "put-body"
	// ReadHolders lists the hosts' objects, and also reads the host list if Step.Hosts is set.
	ReadHolders Action = "read-holders"
	// RetireHolder marks the object Step.Holder as retired.
	RetireHolder Action = "retire-holder"
	// PutHolder writes the object Step.Holder unchanged.
	PutHolder Action = "put-holder"
	// Wait pauses briefly before the next step.
	Wait Action = "wait"
	// Done ends the run with Step.Result.
	Done Action = "done"
)

// Step is an action with its arguments. Each field other than Action is set only for the actions
// that name it.
type Step struct {
	Action   Action
	Head     encoder.Head
	Version  accessor.Version
	Revision declarer.Revision
	Holder   HolderObject
	Hosts    bool
	Result   Result
}

// HolderObject is one host's object and its version, as listed from the platform.
type HolderObject struct {
	Name    string
	Version accessor.Version
	Holder  encoder.Holder
}

// Operator holds one run of an operator's command: its request and what it has observed so far.
// It reads no clock; the caller passes times of one monotonic clock.
type Operator struct {
	Mode Mode
	// ID identifies this run's changes, so that they are recognised after an answer was lost.
	ID string
	// Entry describes what is to be staged. Operator assigns its Revision, ID and From.
	Entry encoder.Entry
	// Base is the revision that the file was edited from. If CheckBase is set and Base isn't the
	// accepted revision, the run ends with Conflict.
	Base      declarer.Revision
	CheckBase bool
	// HasFile says that the caller has the file and can put it into its slot.
	HasFile bool
	// AcknowledgementTimeout is how long to wait for hosts, DefaultAcknowledgementTimeout if unset.
	AcknowledgementTimeout time.Duration

	head        encoder.Head
	headVersion accessor.Version
	headKnown   bool
	headSent    time.Duration
	// headAfterHolders says that the head was read after the hosts' objects.
	headAfterHolders bool
	// uncertainPutBase is the head version that a put of unknown outcome was based on, if
	// hasUncertainPut is set.
	uncertainPutBase accessor.Version
	hasUncertainPut  bool

	stagedSeen bool
	stagedAt   time.Duration
	// holdersFirstListedAt is when the first listing of the hosts' objects was requested, if
	// holdersListed is set. They are listed only once the revision is staged.
	holdersFirstListedAt time.Duration
	holdersListed        bool
	acceptedSeen         bool
	acceptedAt           time.Duration
	staged               encoder.Entry

	bodyStored  bool
	slotRead    bool
	slotVersion accessor.Version

	holders      []HolderObject
	holdersSent  time.Duration
	holdersKnown bool
	listedHosts  map[string]bool
	// timedOut holds the hosts that didn't acknowledge within the acknowledgement timeout.
	timedOut map[hostIncarnation]bool
	// unacknowledgedSince holds, for each entry without an acknowledgement, when the first listing
	// that showed it so was requested.
	unacknowledgedSince map[unacknowledgedEntry]time.Duration

	// abort ends the run by withdrawing the revision, leaveStaged by leaving it staged. reason is
	// the cause of either.
	abort       bool
	leaveStaged bool
	reason      string
}

// Abort ends the run: the revision that it has staged is withdrawn, but an accepted one stays. A
// resumed revision, which another operator staged, is left staged.
func (o *Operator) Abort(reason string) {
	if o.Mode == Resume {
		o.leaveStaged = true
		o.reason = reason
		return
	}
	o.requestWithdrawal(reason)
}

// requestWithdrawal makes the run withdraw its revision. Only the first reason is kept.
func (o *Operator) requestWithdrawal(reason string) {
	if o.abort {
		return
	}
	o.abort = true
	o.reason = reason
}

// ObserveHead records the head that was read or written by a call sent at sent; now is the time
// of the answer.
func (o *Operator) ObserveHead(h encoder.Head, v accessor.Version, sent, now time.Duration) {
	o.head = h
	o.headVersion = v
	o.headKnown = true
	o.headSent = sent
	o.headAfterHolders = true
	o.adoptRun()
	if h.Staged != nil && h.Staged.ID == o.ID && !o.stagedSeen {
		o.stagedSeen = true
		o.stagedAt = now
		o.staged = *h.Staged
	}
	if e, ok := h.Find(o.ID); ok && !o.acceptedSeen {
		o.acceptedSeen = true
		o.acceptedAt = now
		o.staged = e
	}
}

// adoptRun takes over the run of another operator if the mode asks for it or if that run applies
// the same file.
func (o *Operator) adoptRun() {
	if o.stagedSeen || o.acceptedSeen {
		return
	}
	s := o.head.Staged
	switch {
	case s != nil && (o.Mode != Apply || s.Digest == o.Entry.Digest):
		o.ID = s.ID
	case s == nil && o.Mode == Apply && o.head.Accepted != 0 && o.head.Latest().Digest == o.Entry.Digest:
		o.ID = o.head.Latest().ID
	case s == nil && o.Mode == Resume && o.head.Accepted != 0:
		o.ID = o.head.Latest().ID
	}
}

// InvalidateHead records that a call for the head failed and the head must be read again. put says
// that it was a put of unknown outcome: it may have taken effect, or may do so later.
func (o *Operator) InvalidateHead(put bool) {
	if put {
		o.uncertainPutBase = o.headVersion
		o.hasUncertainPut = true
	}
	o.headKnown = false
}

// ObserveBody records the content of the slot: whether it is the staged file, and the slot's
// version.
func (o *Operator) ObserveBody(same bool, v accessor.Version) {
	o.bodyStored = same
	o.slotRead = true
	o.slotVersion = v
	if !same {
		// An operator may write the slot only if its revision is still staged after the slot was
		// read. Otherwise a run that was paused between reading the head and the slot would
		// overwrite a later revision that uses the same slot.
		o.headKnown = false
	}
}

// ObserveBodyPut records whether a put of the file succeeded.
func (o *Operator) ObserveBodyPut(ok bool) {
	o.bodyStored = ok
	if !ok {
		o.slotRead = false
	}
}

// ObserveHolders records the hosts' objects and the names in the host list, which is nil if it
// wasn't read; sent is when the objects were requested.
func (o *Operator) ObserveHolders(l []HolderObject, hosts map[string]bool, sent time.Duration) {
	o.holders = l
	o.holdersSent = sent
	o.holdersKnown = true
	o.headAfterHolders = false
	if hosts != nil {
		o.listedHosts = hosts
	}
	o.trackUnacknowledged(l, sent)
}

// InvalidateHolders records that listing the hosts' objects failed or that one was written, so that
// they must be listed again.
func (o *Operator) InvalidateHolders() {
	o.holdersKnown = false
}

// ObserveWait records that a wait is over, so that the hosts' objects must be listed again. The
// head is read again only once per headReadInterval, to detect a withdrawal by another operator;
// puts of the head are conditional and so safe in any case.
func (o *Operator) ObserveWait(now time.Duration) {
	o.holdersKnown = false
	if now-o.headSent >= headReadInterval {
		o.headKnown = false
	}
}

// Revision returns the revision that this run stages or resumes, zero before it is staged.
func (o *Operator) Revision() declarer.Revision {
	return o.staged.Revision
}

// Accepted reports whether the run has observed that its revision was accepted.
func (o *Operator) Accepted() bool {
	return o.acceptedSeen
}

func (o *Operator) acknowledgementTimeout() time.Duration {
	if o.AcknowledgementTimeout <= 0 {
		return DefaultAcknowledgementTimeout
	}
	return o.AcknowledgementTimeout
}
