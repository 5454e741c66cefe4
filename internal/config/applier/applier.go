// Package applier decides an operator's next step while a configuration is applied.
package applier

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// DefaultAcknowledgementTimeout is how long an operator waits for a host's acknowledgement
// before it takes the host's lease to have run out. Both are durations, each on
// its own clock: the tenth on top allows for clocks that run at different rates.
const DefaultAcknowledgementTimeout = adopter.DefaultLease + adopter.DefaultLease/10

// headInterval is how often a waiting operator reads the head.
const headInterval = time.Second

// Mode is what the operator asks for.
type Mode string

// Modes of an operator.
const (
	// Apply stages a file and brings it into force.
	Apply Mode = "apply"
	// Resume goes on with what another operator staged.
	Resume Mode = "resume"
	// Withdraw takes back what is staged, whoever staged it.
	Withdraw Mode = "withdraw"
)

// Action is the next step of an operator.
type Action string

// Actions of an operator; after each the answer is taken in and Next is asked again.
const (
	// ReadHead reads the head object.
	ReadHead Action = "read-head"
	// PutHead writes Step.Head at Step.Version.
	PutHead Action = "put-head"
	// ReadBody reads the slot of Step.Revision.
	ReadBody Action = "read-body"
	// PutBody writes the file into the slot of Step.Revision at Step.Version.
	PutBody Action = "put-body"
	// ReadHolders lists the hosts' objects, and the host list if Step.Hosts is set.
	ReadHolders Action = "read-holders"
	// RetireHolder marks the object Step.Holder as retired.
	RetireHolder Action = "retire-holder"
	// PutHolder writes the object Step.Holder as it is.
	PutHolder Action = "put-holder"
	// Wait waits for a moment.
	Wait Action = "wait"
	// Done ends with Step.Result.
	Done Action = "done"
)

// Step is an action with what it needs.
type Step struct {
	Action   Action
	Head     encoder.Head
	Version  accessor.Version
	Revision declarer.Revision
	Holder   HolderObject
	Hosts    bool
	Result   Result
}

// HolderObject is one host's object as listed.
type HolderObject struct {
	Name    string
	Version accessor.Version
	Holder  encoder.Holder
}

// Operator is one run of an operator's command: what it asks for and what it
// has seen so far. It reads no clock; times are on its own monotonic clock.
type Operator struct {
	Mode Mode
	// ID tells this run's changes from all others, also after a lost answer.
	ID string
	// Entry describes what is to be staged; its revision is chosen here.
	Entry encoder.Entry
	// Base is the revision that the file was edited from, checked if CheckBase is set.
	Base      declarer.Revision
	CheckBase bool
	// HasFile says that the file is at hand and can be put into its slot.
	HasFile bool
	// AcknowledgementTimeout is how long to wait for hosts, DefaultLapse if unset.
	AcknowledgementTimeout time.Duration

	head        encoder.Head
	headVersion accessor.Version
	headKnown   bool
	headSent    time.Duration
	// headLater says that the head was read after the holders.
	headLater bool
	// doubtful is the head version that a put without an answer was based on.
	doubtful    accessor.Version
	hasDoubtful bool

	stagedSeen bool
	stagedAt   time.Duration
	// listedAt is when the hosts' objects were asked for first after stagedAt.
	listedAt     time.Duration
	hasListed    bool
	acceptedSeen bool
	acceptedAt   time.Duration
	staged       encoder.Entry

	bodyStored  bool
	slotRead    bool
	slotVersion accessor.Version

	holders      []HolderObject
	holdersSent  time.Duration
	holdersKnown bool
	hosts        map[string]bool
	// lapsed holds the hosts that didn't acknowledge before the lapse.
	lapsed map[start]bool
	// silent tells since when an entry was listed without an acknowledgement.
	silent map[silence]time.Duration

	// abort asks for the revision to be withdrawn, left for it to be left staged.
	abort  bool
	left   bool
	reason string
}

// Abort asks for what this run has staged to be withdrawn; an accepted revision
// stays. What another operator has staged, and this one resumed, stays staged.
func (o *Operator) Abort(reason string) {
	if o.Mode == Resume {
		o.left = true
		o.reason = reason
		return
	}
	o.giveBack(reason)
}

// giveBack makes the run withdraw its revision, for the first reason given.
func (o *Operator) giveBack(reason string) {
	if o.abort {
		return
	}
	o.abort = true
	o.reason = reason
}

// ObserveHead takes in the head that answered a call sent at sent; now is the time
// of the answer.
func (o *Operator) ObserveHead(h encoder.Head, v accessor.Version, sent, now time.Duration) {
	o.head = h
	o.headVersion = v
	o.headKnown = true
	o.headSent = sent
	o.headLater = true
	o.adopt()
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

// adopt takes over a run that another operator began, where asked to or where
// it brings the very same file.
func (o *Operator) adopt() {
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

// InvalidateHead takes in that a call for the head failed, so that a put may
// have taken effect, or may yet.
func (o *Operator) InvalidateHead(put bool) {
	if put {
		o.doubtful = o.headVersion
		o.hasDoubtful = true
	}
	o.headKnown = false
}

// ObserveBody takes in what lies in the slot: whether it is the staged file, and
// the slot's version.
func (o *Operator) ObserveBody(same bool, v accessor.Version) {
	o.bodyStored = same
	o.slotRead = true
	o.slotVersion = v
	if !same {
		// The slot may be written only by the one whose revision is still staged
		// after the slot was read. A run that was paused between the two would
		// otherwise overwrite a later revision that uses the same slot.
		o.headKnown = false
	}
}

// ObserveBodyPut takes in the answer to a put of the file.
func (o *Operator) ObserveBodyPut(ok bool) {
	o.bodyStored = ok
	if !ok {
		o.slotRead = false
	}
}

// ObserveHolders takes in the hosts' objects and the names in the host list, nil if
// that wasn't read; sent is when the list was asked for.
func (o *Operator) ObserveHolders(l []HolderObject, hosts map[string]bool, sent time.Duration) {
	o.holders = l
	o.holdersSent = sent
	o.holdersKnown = true
	o.headLater = false
	if hosts != nil {
		o.hosts = hosts
	}
	o.listen(l, sent)
}

// InvalidateHolders takes in that listing or retiring failed.
func (o *Operator) InvalidateHolders() {
	o.holdersKnown = false
}

// ObserveWait takes in that a wait is over: what hosts say may have changed. The
// head is read again only now and then, to notice a withdrawal by another
// operator; putting it is safe in any case.
func (o *Operator) ObserveWait(now time.Duration) {
	o.holdersKnown = false
	if now-o.headSent >= headInterval {
		o.headKnown = false
	}
}

// Revision returns the revision that this run is about, zero before it is staged.
func (o *Operator) Revision() declarer.Revision {
	return o.staged.Revision
}

// Accepted reports whether the revision is known to be accepted.
func (o *Operator) Accepted() bool {
	return o.acceptedSeen
}

func (o *Operator) lapse() time.Duration {
	if o.AcknowledgementTimeout <= 0 {
		return DefaultAcknowledgementTimeout
	}
	return o.AcknowledgementTimeout
}
