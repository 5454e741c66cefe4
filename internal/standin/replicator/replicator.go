// Package replicator keeps one stand-in backend server's log, terms and tables in memory.
package replicator

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Errors of the store.
const (
	// ErrReadOnly is returned for a write on a server that is not primary, or whose role changed
	// since the transaction began.
	ErrReadOnly = errors.ConstError("backend server accepts no writes")
	// ErrTermRefused is returned for a control call or a replication stream whose term does not
	// match the accepted term or the server's role.
	ErrTermRefused = errors.ConstError("term refused")
	// ErrDeadlock is returned to the transaction whose lock request would complete a cycle of
	// waiting transactions.
	ErrDeadlock = errors.ConstError("deadlock detected")
	// ErrDiverged is returned for records that do not continue the log.
	ErrDiverged = errors.ConstError("records do not continue the log")
)

// PrimaryServer holds the name and the network address of the primary that a replica follows.
type PrimaryServer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Store holds the state of one backend server that survives a simulated crash: log, tables, role and
// accepted term.
type Store struct {
	// Name is the backend server's name in its group.
	Name string
	// SystemIdentifier is shared by the servers of a group; zero if the server does not report it.
	SystemIdentifier uint64

	mutex     sync.RWMutex
	ready     bool
	role      controller.Role
	term      marker.Term
	followed  PrimaryServer
	leaving   bool
	epoch     uint64
	log       []Record
	dropped   []Record
	tables    map[string]*table
	sequence  uint64
	rowNumber uint64
	changed   chan struct{}

	// contact repeats followed and term for readers that must not wait for mutex.
	contact primaryContact

	lockMutex sync.Mutex
	locks     map[string]*Transaction
}

// setUp initializes the store on first use; the caller holds the mutex.
func (s *Store) setUp() {
	if s.ready {
		return
	}
	s.ready = true
	s.tables = map[string]*table{}
	s.locks = map[string]*Transaction{}
	s.changed = make(chan struct{})
	s.contact.reset(time.Now())
	if s.role == "" {
		s.role = controller.RoleReplica
	}
}

// lock locks the mutex for writing and initializes the store on first use.
func (s *Store) lock() {
	s.mutex.Lock()
	s.setUp()
}

// notifyChanged wakes all waiters on Changed; the caller holds the mutex.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of log, role or followed primary.
func (s *Store) Changed() <-chan struct{} {
	s.lock()
	defer s.mutex.Unlock()
	return s.changed
}

// last returns the mark of the last entry; the caller holds the mutex.
func (s *Store) last() marker.Mark {
	if len(s.log) == 0 {
		return marker.Mark{}
	}
	return s.log[len(s.log)-1].Mark
}

// Last returns the mark of the log's last entry.
func (s *Store) Last() marker.Mark {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.last()
}

// Status returns the state that the server reports at now.
func (s *Store) Status(now time.Time) controller.Status {
	s.lock()
	defer s.mutex.Unlock()
	return s.status(now)
}

func (s *Store) status(now time.Time) controller.Status {
	t := controller.Status{
		BackendServer:     s.Name,
		Role:              s.role,
		Term:              s.term,
		Last:              s.last(),
		Following:         s.followed.Name,
		Leaving:           s.leaving,
		WriteTransactions: s.countWriteTransactions(),
	}
	if s.role != controller.RolePrimary {
		t.SinceLastContact = s.contact.sinceContact(now)
	}
	h := s.history()
	if len(h) > 0 {
		t.TermStart = h[len(h)-1].First
	}
	if len(h) > 1 {
		t.PreviousTerm = h[len(h)-2].Term
	}
	return t
}

// countWriteTransactions counts the open transactions that hold locks, which are those that write.
func (s *Store) countWriteTransactions() int {
	s.lockMutex.Lock()
	defer s.lockMutex.Unlock()
	m := map[*Transaction]bool{}
	for _, t := range s.locks {
		m[t] = true
	}
	return len(m)
}

// Start makes an empty server the primary of term t, as the platform does for a new group.
func (s *Store) Start(t marker.Term) {
	s.lock()
	defer s.mutex.Unlock()
	s.term = t
	s.becomePrimary()
}

// becomePrimary makes the server primary of its term and writes the term-start record. The caller
// holds the mutex.
func (s *Store) becomePrimary() {
	s.role = controller.RolePrimary
	s.followed = PrimaryServer{}
	s.contact.set(s.followed, s.term)
	s.epoch++
	s.write(nil)
}

// RaiseTerm accepts term t and stops writes under lower terms. It returns ErrTermRefused if t is not
// higher than the accepted term.
func (s *Store) RaiseTerm(t marker.Term, now time.Time) (controller.Status, error) {
	s.lock()
	defer s.mutex.Unlock()
	if t <= s.term {
		return s.status(now), errors.Annotatef(ErrTermRefused, "raise to %d on %s at %d", t, s.Name, s.term)
	}
	s.acceptTerm(t, now)
	return s.status(now), nil
}

// acceptTerm accepts the higher term t: a primary becomes fenced, a replica stops following its
// primary, and transactions in progress cannot commit. The caller holds the mutex.
func (s *Store) acceptTerm(t marker.Term, now time.Time) {
	s.term = t
	s.epoch++
	if s.role == controller.RolePrimary {
		s.role = controller.RoleFenced
		s.contact.reset(now)
	}
	s.followed = PrimaryServer{}
	s.contact.set(s.followed, s.term)
	s.notifyChanged()
}

// LearnTerm fences the server if it is primary and a peer has reported the higher term t.
func (s *Store) LearnTerm(t marker.Term, now time.Time) {
	s.lock()
	defer s.mutex.Unlock()
	if t > s.term && s.role == controller.RolePrimary {
		s.acceptTerm(t, now)
	}
}

// Promote makes the server primary of its accepted term t. It returns ErrTermRefused if t is another
// term or the server follows a primary.
func (s *Store) Promote(t marker.Term, now time.Time) (controller.Status, error) {
	s.lock()
	defer s.mutex.Unlock()
	if t == s.term && s.role == controller.RolePrimary {
		return s.status(now), nil
	}
	if t != s.term || s.followed != (PrimaryServer{}) {
		return s.status(now), errors.Annotatef(ErrTermRefused, "promote to %d on %s at %d following %q", t, s.Name, s.term, s.followed.Name)
	}
	s.becomePrimary()
	return s.status(now), nil
}

// Follow makes the server a replica of l under term t. It returns ErrTermRefused if t is lower than
// the accepted term or the server itself is the primary of t.
func (s *Store) Follow(t marker.Term, l PrimaryServer, now time.Time) (controller.Status, error) {
	s.lock()
	defer s.mutex.Unlock()
	if t < s.term || (t == s.term && s.role == controller.RolePrimary) {
		return s.status(now), errors.Annotatef(ErrTermRefused, "follow %s under %d on %s at %d", l.Name, t, s.Name, s.term)
	}
	if t > s.term {
		s.acceptTerm(t, now)
	}
	s.role = controller.RoleReplica
	s.followed = l
	s.contact.set(s.followed, s.term)
	s.notifyChanged()
	return s.status(now), nil
}

// SetLeaving sets whether the status reports that the server will stop soon.
func (s *Store) SetLeaving(leaving bool) {
	s.lock()
	defer s.mutex.Unlock()
	s.leaving = leaving
}

// FollowedPrimary returns the primary that the server follows, zero if none, and the accepted term.
// It does not wait while a record is applied.
func (s *Store) FollowedPrimary() (PrimaryServer, marker.Term) {
	return s.contact.get()
}

// IsPrimary reports whether the server is primary, and returns the accepted term.
func (s *Store) IsPrimary() (bool, marker.Term) {
	s.lock()
	defer s.mutex.Unlock()
	return s.role == controller.RolePrimary, s.term
}

// NoteContact records that the primary of term t sent something at now; ignored if t is not the
// accepted term. It does not wait while a record is applied.
func (s *Store) NoteContact(t marker.Term, now time.Time) {
	s.contact.noteContact(t, now)
}

// Epoch returns the number of changes of role and log after which transactions in progress cannot
// commit.
func (s *Store) Epoch() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.epoch
}
