// Package acknowledger decides when a commit may be acknowledged to its caller.
package acknowledger

import (
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// CommitState is what is known of one commit.
type CommitState string

// Verdicts on a commit.
const (
	// Waiting: not enough instances have reported it yet.
	Waiting CommitState = "waiting"
	// Acknowledged: a majority of the instances held it under its term, so that
	// every later primary has it.
	Acknowledged CommitState = "acknowledged"
	// Superseded: a later term is confirmed without it, so that it did not run
	// and never will.
	Superseded CommitState = "superseded"
	// Undetermined: a later term is confirmed, and the positions don't tell
	// whether it has the commit. Its idempotency key may.
	Undetermined CommitState = "undetermined"
)

// keptTerms is how many terms of one instance a ledger remembers. Commits of
// older terms that still wait become undetermined, which is true of them.
const keptTerms = 8

// TermProgress is what one instance was seen to hold of one term.
type TermProgress struct {
	Term marker.Term
	// Position is the highest position seen under Term.
	Position marker.Position
	// Start is the position of the term-start record.
	Start marker.Position
	// Previous is the term of the record before Start, zero if it isn't known.
	Previous marker.Term
}

// account is what a ledger remembers of one instance.
type account struct {
	holdings []TermProgress
}

// ReplicationTracker remembers what the instances of one group were seen to hold. What an
// instance once reported counts for good: if it drops the record later, no
// majority had reported it. The zero ReplicationTracker with Instances set is ready.
type ReplicationTracker struct {
	// Instances is how many instances the group has.
	Instances int

	accounts map[string]*account
}

// Observe folds one instance's status into the ledger.
func (l *ReplicationTracker) Observe(s controller.Status) {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[s.BackendServer]
	if a == nil {
		a = &account{}
		l.accounts[s.BackendServer] = a
	}
	a.observe(s)
}

// Forget drops what a server reported that turned out not to be the instance so named.
func (l *ReplicationTracker) Forget(instance string) {
	delete(l.accounts, instance)
}

func (a *account) observe(s controller.Status) {
	a.hold(TermProgress{Term: s.Last.Term, Position: s.Last.Position, Start: s.TermStart, Previous: s.PreviousTerm})
}

func (a *account) hold(h TermProgress) {
	for i := range a.holdings {
		if a.holdings[i].Term == h.Term {
			a.holdings[i].Position = max(a.holdings[i].Position, h.Position)
			return
		}
	}
	a.holdings = keep(a.holdings, h)
}

// keep appends v and forgets the oldest above keptTerms.
func keep[T any](s []T, v T) []T {
	s = append(s, v)
	if len(s) > keptTerms {
		s = s[1:]
	}
	return s
}

// Decide returns the verdict on a commit at or before m, as it is known from a
// position that was read after the commit and may be another commit's. A later
// term that begins at or before m proves nothing here: the commit itself may be
// earlier and part of it. To take it for superseded would tell "not run" falsely,
// and a rerun would double the write.
func (l *ReplicationTracker) Decide(m marker.Mark) CommitState {
	return l.decide(m, false)
}

// DecideExact returns the verdict on the commit at m itself.
func (l *ReplicationTracker) DecideExact(m marker.Mark) CommitState {
	return l.decide(m, true)
}

func (l *ReplicationTracker) decide(m marker.Mark, exact bool) CommitState {
	if l.holders(m) >= observer.Majority(l.Instances) {
		return Acknowledged
	}
	v := Waiting
	for _, a := range l.accounts {
		for _, h := range a.holdings {
			if h.Term <= m.Term || !l.Confirmed(h.Term) {
				continue
			}
			if w := decideLater(m, h, exact); w != Undetermined {
				return w
			}
			v = Undetermined
		}
	}
	return v
}

// holders counts the instances that reported the record at m under its term.
func (l *ReplicationTracker) holders(m marker.Mark) int {
	n := 0
	for _, a := range l.accounts {
		if a.held(m) {
			n++
		}
	}
	return n
}

// Held reports whether the server reported the record at m under its term.
func (l *ReplicationTracker) Held(server string, m marker.Mark) bool {
	a := l.accounts[server]
	return a != nil && a.held(m)
}

func (a *account) held(m marker.Mark) bool {
	for _, h := range a.holdings {
		if (marker.Mark{Term: h.Term, Position: h.Position}).Holds(m) {
			return true
		}
	}
	return false
}

// Confirmed reports whether a majority was seen to hold records of term t, and
// so its term-start record. Every later log begins with that record's log.
func (l *ReplicationTracker) Confirmed(t marker.Term) bool {
	n := 0
	for _, a := range l.accounts {
		for _, h := range a.holdings {
			if h.Term == t {
				n++
			}
		}
	}
	return n >= observer.Majority(l.Instances)
}

// decideLater tells whether the confirmed later term that h belongs to has the
// commit at m. All logs that reach the term are equal up to its start.
func decideLater(m marker.Mark, h TermProgress, exact bool) CommitState {
	switch {
	case exact && m.Position >= h.Start:
		return Superseded // that position belongs to a later term's record for good
	case h.Previous == m.Term && m.Position < h.Start:
		return Acknowledged // the log's part of that term reaches to the start
	case h.Previous != 0 && h.Previous < m.Term:
		return Superseded // terms only grow along a log, so it has none of that term
	}
	return Undetermined
}
