package applier

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// Next returns the next step at now. It depends on nothing but what was seen,
// so another operator can go on where this one was interrupted.
func (o *Operator) Next(now time.Duration) Step {
	switch {
	case !o.headKnown:
		return Step{Action: ReadHead}
	case o.acceptedSeen:
		return o.afterAcceptance(now)
	case o.head.Staged != nil && o.head.Staged.ID == o.ID:
		return o.whileStaged(now)
	case o.stagedSeen:
		return o.done(Result{Outcome: Withdrawn, Reason: o.withdrawal(), Entry: o.staged})
	case o.head.Staged != nil:
		return o.done(Result{Outcome: Conflict, Reason: "another configuration is being applied", Entry: *o.head.Staged})
	case o.Mode != Apply:
		return o.done(Result{Outcome: NothingStaged, Reason: "nothing is staged", Entry: o.head.Latest()})
	case o.abort:
		return o.giveUp()
	}
	return o.stage()
}

func (o *Operator) done(r Result) Step {
	r.Zones = o.Zones()
	return Step{Action: Done, Result: r}
}

// withdrawal says why the staged revision isn't there any more.
func (o *Operator) withdrawal() string {
	if o.reason != "" {
		return o.reason
	}
	return "withdrawn by another operator"
}

// giveUp ends before anything was staged. A put that is still under way could
// stage the revision after all, so the head is written once more: the put then
// finds another version than the one it was based on.
func (o *Operator) giveUp() Step {
	if o.hasDoubtful && o.doubtful == o.headVersion {
		h := o.head
		h.Highest = encoder.NextRevision(o.head)
		return o.putHead(h)
	}
	return o.done(Result{Outcome: Withdrawn, Reason: o.reason, Entry: o.Entry})
}

func (o *Operator) putHead(h encoder.Head) Step {
	return Step{Action: PutHead, Head: h, Version: o.headVersion}
}

// stage puts the file forward, unless the configuration has moved on since the
// file was edited.
func (o *Operator) stage() Step {
	if o.CheckBase && o.head.Accepted != o.Base {
		return o.done(Result{Outcome: Conflict, Reason: "another configuration came into force since the file was edited", Entry: o.head.Latest()})
	}
	e := o.Entry
	e.ID = o.ID
	e.From = o.head.Accepted
	e.Revision = encoder.NextRevision(o.head)
	h := o.head
	h.Highest = e.Revision
	h.Staged = &e
	h.Change = nil
	return o.putHead(h)
}

// whileStaged stores the file, gathers acknowledgements and accepts.
func (o *Operator) whileStaged(now time.Duration) Step {
	if o.Mode == Withdraw {
		o.giveBack("withdrawn")
	}
	if o.abort {
		return o.withdraw()
	}
	if o.left {
		return o.done(Result{Outcome: LeftStaged, Reason: o.reason, Entry: o.staged})
	}
	if !o.bodyStored {
		return o.storeBody()
	}
	if !o.holdersKnown || o.holdersSent < o.stagedAt {
		return Step{Action: ReadHolders}
	}
	if h, ok := o.refusal(); ok {
		o.giveBack("host " + h.Host + " refused it: " + h.Reason)
		return o.withdraw()
	}
	missing := o.missing(o.acknowledged)
	switch {
	case len(missing) == 0:
		return o.accept()
	case now-o.listedAt >= o.lapse():
		return o.withoutMissing(missing, now)
	}
	return Step{Action: Wait}
}

// withoutMissing goes on without the hosts whose lease has run out. A revision
// that no host at all has acknowledged isn't accepted, or it would be in force
// nowhere.
//
// The revision must have been staged for the whole lapse since the hosts' objects
// were listed first, and still when they were listed last. Had it been withdrawn in between, a host could have
// been confirmed since, and would not notice that it lost its object.
func (o *Operator) withoutMissing(missing []encoder.Holder, now time.Duration) Step {
	if !o.headLater || o.headSent < o.listedAt+o.lapse() {
		return Step{Action: ReadHead}
	}
	if s, ok := o.free(missing, now); ok {
		return s
	}
	if len(missing) == len(o.active()) {
		return Step{Action: Wait}
	}
	o.lapsed = starts(missing)
	return o.accept()
}

func (o *Operator) withdraw() Step {
	h := o.head
	h.Staged, h.Change = nil, nil
	return o.putHead(h)
}

func (o *Operator) storeBody() Step {
	if !o.slotRead {
		return Step{Action: ReadBody, Revision: o.staged.Revision}
	}
	if !o.HasFile {
		o.giveBack("its operator stopped before storing the file")
		return o.withdraw()
	}
	return Step{Action: PutBody, Revision: o.staged.Revision, Version: o.slotVersion}
}

func (o *Operator) accept() Step {
	h := o.head
	h.Accepted = o.staged.Revision
	h.Staged, h.Change = nil, nil
	h.History = slices.Insert(slices.Clone(h.History), 0, *o.head.Staged)
	if len(h.History) > encoder.RevisionSlots-1 {
		h.History = h.History[:encoder.RevisionSlots-1]
	}
	return o.putHead(h)
}

// afterAcceptance waits until every host has told that it decides by the
// revision, or until those that don't are known to be cut off.
func (o *Operator) afterAcceptance(now time.Duration) Step {
	if !o.holdersKnown || o.holdersSent < o.acceptedAt {
		return Step{Action: ReadHolders}
	}
	missing := o.missing(o.told)
	if len(missing) == 0 {
		return o.done(Result{Outcome: InForce, Entry: o.staged})
	}
	if o.abort || o.left {
		return o.done(Result{Outcome: Accepted, Reason: o.reason, Entry: o.staged, Missing: missing})
	}
	if now-o.acceptedAt < o.lapse() && !o.allLapsed(missing) {
		return Step{Action: Wait}
	}
	return o.done(Result{Outcome: Accepted, Reason: "some hosts don't answer", Entry: o.staged, Missing: missing})
}
