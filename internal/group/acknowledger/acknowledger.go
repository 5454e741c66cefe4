// Package acknowledger decides when a commit may be acknowledged to its caller.
package acknowledger

import (
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// CommitState is the state of one commit as far as it is known.
type CommitState string

// States of a commit.
const (
	// Waiting: fewer than a majority of the instances have reported it, and no later term is
	// confirmed.
	Waiting CommitState = "waiting"
	// Acknowledged: a majority of the instances held it under its term, so every later primary
	// has it.
	Acknowledged CommitState = "acknowledged"
	// Superseded: a later term is confirmed without it, so it did not run and never will.
	Superseded CommitState = "superseded"
	// Undetermined: a later term is confirmed, and the positions do not show whether that term
	// has the commit. The commit's idempotency key may show it.
	Undetermined CommitState = "undetermined"
)

// maximumTerms is how many terms of one instance are kept. Waiting commits of older terms become
// undetermined, which is correct without their terms' positions.
const maximumTerms = 8

// TermProgress is the part of one term that one instance has reported to hold.
type TermProgress struct {
	Term marker.Term
	// Position is the highest reported position under Term.
	Position marker.Position
	// TermStart is the position of the term-start record.
	TermStart marker.Position
	// PreviousTerm is the term of the record before TermStart, zero if it is not known.
	PreviousTerm marker.Term
}

// instanceProgress is the progress of one instance in its latest terms.
type instanceProgress struct {
	terms []TermProgress
}

// ReplicationTracker records which log positions the instances of one group have reported. A report
// counts permanently: an instance drops a record later only if no majority had reported it. The zero
// value with Instances set is ready for use.
type ReplicationTracker struct {
	// Instances is how many instances the group has.
	Instances int

	progress map[string]*instanceProgress
}

// Observe records the positions in one instance's status.
func (l *ReplicationTracker) Observe(s controller.Status) {
	if l.progress == nil {
		l.progress = make(map[string]*instanceProgress)
	}
	a := l.progress[s.BackendServer]
	if a == nil {
		a = &instanceProgress{}
		l.progress[s.BackendServer] = a
	}
	a.observe(s)
}

// Forget removes the reports under an instance's name, for a server that is not that instance.
func (l *ReplicationTracker) Forget(instance string) {
	delete(l.progress, instance)
}

func (a *instanceProgress) observe(s controller.Status) {
	a.record(TermProgress{Term: s.Last.Term, Position: s.Last.Position, TermStart: s.TermStart, PreviousTerm: s.PreviousTerm})
}

func (a *instanceProgress) record(h TermProgress) {
	for i := range a.terms {
		if a.terms[i].Term == h.Term {
			a.terms[i].Position = max(a.terms[i].Position, h.Position)
			return
		}
	}
	a.terms = appendBounded(a.terms, h)
}

// appendBounded appends v and removes the oldest element beyond maximumTerms.
func appendBounded[T any](s []T, v T) []T {
	s = append(s, v)
	if len(s) > maximumTerms {
		s = s[1:]
	}
	return s
}

// Decide returns the state of a commit at or before m, where m is a position that was read after the
// commit and may belong to another commit. A later term that begins at or before m proves nothing,
// since the commit itself may be earlier and part of that term. To report it as superseded could
// be wrong, and running the write again would apply it twice.
func (l *ReplicationTracker) Decide(m marker.Mark) CommitState {
	return l.decide(m, false)
}

// DecideExact returns the state of the commit at m itself.
func (l *ReplicationTracker) DecideExact(m marker.Mark) CommitState {
	return l.decide(m, true)
}

func (l *ReplicationTracker) decide(m marker.Mark, exact bool) CommitState {
	if l.holders(m) >= observer.Majority(l.Instances) {
		return Acknowledged
	}
	v := Waiting
	for _, a := range l.progress {
		for _, h := range a.terms {
			if h.Term <= m.Term || !l.Confirmed(h.Term) {
				continue
			}
			if w := decideByLaterTerm(m, h, exact); w != Undetermined {
				return w
			}
			v = Undetermined
		}
	}
	return v
}

// holders counts the instances that have reported the record at m under its term.
func (l *ReplicationTracker) holders(m marker.Mark) int {
	n := 0
	for _, a := range l.progress {
		if a.held(m) {
			n++
		}
	}
	return n
}

// Held reports whether the server has reported the record at m under its term.
func (l *ReplicationTracker) Held(server string, m marker.Mark) bool {
	a := l.progress[server]
	return a != nil && a.held(m)
}

func (a *instanceProgress) held(m marker.Mark) bool {
	for _, h := range a.terms {
		if (marker.Mark{Term: h.Term, Position: h.Position}).Holds(m) {
			return true
		}
	}
	return false
}

// Confirmed reports whether a majority has reported records of term t, and so holds its term-start
// record. Every later log then begins with the log up to that record.
func (l *ReplicationTracker) Confirmed(t marker.Term) bool {
	n := 0
	for _, a := range l.progress {
		for _, h := range a.terms {
			if h.Term == t {
				n++
			}
		}
	}
	return n >= observer.Majority(l.Instances)
}

// decideByLaterTerm returns the state of the commit at m by the confirmed later term of h. All logs
// that contain the term are equal up to its start.
func decideByLaterTerm(m marker.Mark, h TermProgress, exact bool) CommitState {
	switch {
	case exact && m.Position >= h.TermStart:
		return Superseded // the position permanently belongs to a record of a later term
	case h.PreviousTerm == m.Term && m.Position < h.TermStart:
		return Acknowledged // the log has the commit's term without a gap up to the later term's start
	case h.PreviousTerm != 0 && h.PreviousTerm < m.Term:
		return Superseded // terms only increase along a log, so it has no record of the commit's term
	}
	return Undetermined
}
