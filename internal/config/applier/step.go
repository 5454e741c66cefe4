package applier

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// Next returns the next step at now. It depends only on what was observed, so another operator can
// continue where this one was interrupted.
func (o *Operator) Next(now time.Duration) Step {
	switch {
	case !o.headKnown:
		return Step{Action: ReadHead}
	case o.acceptedSeen:
		return o.afterAcceptance(now)
	case o.head.Staged != nil && o.head.Staged.ID == o.ID:
		return o.whileStaged(now)
	case o.stagedSeen:
		return o.done(Result{Outcome: Withdrawn, Reason: o.withdrawalReason(), Entry: o.staged})
	case o.head.Staged != nil:
		return o.done(Result{Outcome: Conflict, Reason: "another configuration is being applied", Entry: *o.head.Staged})
	case o.Mode != Apply:
		return o.done(Result{Outcome: NothingStaged, Reason: "nothing is staged", Entry: o.head.Latest()})
	case o.abort:
		return o.abortBeforeStaging()
	}
	return o.stage()
}

func (o *Operator) done(r Result) Step {
	r.Zones = o.Zones()
	return Step{Action: Done, Result: r}
}

// withdrawalReason returns why the revision that was staged has been withdrawn.
func (o *Operator) withdrawalReason() string {
	if o.reason != "" {
		return o.reason
	}
	return "withdrawn by another operator"
}

// abortBeforeStaging ends the run before anything was staged. If a put of unknown outcome could
// still stage the revision, the head is written again first: the late put then fails because
// the version that it was based on has changed.
func (o *Operator) abortBeforeStaging() Step {
	if o.hasUncertainPut && o.uncertainPutBase == o.headVersion {
		h := o.head
		h.Highest = encoder.NextRevision(o.head)
		return o.putHead(h)
	}
	return o.done(Result{Outcome: Withdrawn, Reason: o.reason, Entry: o.Entry})
}

func (o *Operator) putHead(h encoder.Head) Step {
	return Step{Action: PutHead, Head: h, Version: o.headVersion}
}

// stage returns the put of the head that stages the revision, or a conflict if another revision
// was accepted since the file was edited.
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

// whileStaged returns the next step while the revision is staged: store the file, wait for the
// hosts' acknowledgements, then accept the revision.
func (o *Operator) whileStaged(now time.Duration) Step {
	if o.Mode == Withdraw {
		o.requestWithdrawal("withdrawn")
	}
	if o.abort {
		return o.withdraw()
	}
	if o.leaveStaged {
		return o.done(Result{Outcome: LeftStaged, Reason: o.reason, Entry: o.staged})
	}
	if !o.bodyStored {
		return o.storeBody()
	}
	if !o.holdersKnown || o.holdersSent < o.stagedAt {
		return Step{Action: ReadHolders}
	}
	if h, ok := o.refusal(); ok {
		o.requestWithdrawal("host " + h.Host + " refused it: " + h.Reason)
		return o.withdraw()
	}
	missing := o.missing(o.acknowledged)
	switch {
	case len(missing) == 0:
		return o.accept()
	case now-o.holdersFirstListedAt >= o.acknowledgementTimeout():
		return o.proceedWithoutMissing(missing, now)
	}
	return Step{Action: Wait}
}

// proceedWithoutMissing accepts the revision without the hosts whose lease has expired. A revision
// that no host has acknowledged isn't accepted, as it would be in force nowhere.
//
// The revision must have been staged without interruption from the first listing of the hosts'
// objects until after the last one, for at least the acknowledgement timeout. If it was withdrawn
// in between, a host may have been confirmed since and would not detect that it lost its object.
func (o *Operator) proceedWithoutMissing(missing []encoder.Holder, now time.Duration) Step {
	if !o.headAfterHolders || o.headSent < o.holdersFirstListedAt+o.acknowledgementTimeout() {
		return Step{Action: ReadHead}
	}
	if s, ok := o.removeGoneHosts(missing, now); ok {
		return s
	}
	if len(missing) == len(o.activeHosts()) {
		return Step{Action: Wait}
	}
	o.timedOut = incarnationsOf(missing)
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
		o.requestWithdrawal("its operator stopped before storing the file")
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

// afterAcceptance waits until every host reports the revision in force, or until the leases of
// those that don't have expired.
func (o *Operator) afterAcceptance(now time.Duration) Step {
	if !o.holdersKnown || o.holdersSent < o.acceptedAt {
		return Step{Action: ReadHolders}
	}
	missing := o.missing(o.reportedInForce)
	if len(missing) == 0 {
		return o.done(Result{Outcome: InForce, Entry: o.staged})
	}
	if o.abort || o.leaveStaged {
		return o.done(Result{Outcome: Accepted, Reason: o.reason, Entry: o.staged, Missing: missing})
	}
	if now-o.acceptedAt < o.acknowledgementTimeout() && !o.allTimedOut(missing) {
		return Step{Action: Wait}
	}
	return o.done(Result{Outcome: Accepted, Reason: "some hosts don't answer", Entry: o.staged, Missing: missing})
}
