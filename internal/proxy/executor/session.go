// Package executor runs the statements of one caller's session on the backend servers.
package executor

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/customer/identifier"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/session/tracker"
)

const (
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 10 * time.Second
	// defaultStatementTimeout applies to routes that declare no timeout.
	defaultStatementTimeout = 5 * time.Second
)

// Session serves one caller. Its exported fields are set before Run.
type Session struct {
	Caller       Caller
	Board        *blackboard.Board
	Pools        Pools
	Reporter     Reporter
	Observer     *Observer
	RetryBudgets *RetryBudgets
	KeyWaits     *KeyWaits
	// Limiter, if not nil, keeps the limits of customers.
	Limiter Limiter
	// Ready reports whether the host has what it needs to serve, such as a configuration.
	Ready func() bool
	// KeysConfirmed, if not nil, reports whether the configuration was confirmed recently enough to
	// accept its customers' keys.
	KeysConfirmed func() bool
	// StopTimes, if not nil, returns the times of the host's planned stop, false unless it is stopping.
	StopTimes func() (StopTimes, bool)
	// OnEnd, if not nil, is called when the session has ended.
	OnEnd func(SessionEnd)

	// database is the one that the caller named at the start, key the digest of the key that it sent.
	database string
	key      identifier.Digest
	// values are the session's settings by name, prepared its prepared statements by the caller's
	// name.
	values   map[string]setting
	prepared map[string]preparedStatement
	// stateBytes is the size of the entries of values and prepared, see entryBytes.
	stateBytes int
	// commits holds the position of the session's last commit in each group: a changed route may lead
	// the session to another group and back. untrackedCommits is set once the session has committed in
	// more groups than it holds positions of.
	commits          tracker.Tracker
	untrackedCommits bool
	// openTransaction is nil outside of a transaction.
	openTransaction *transaction
	// endError is why the session ends, nil before.
	endError error

	stopping atomic.Bool

	mu sync.Mutex
	// idleSince is since when the session has waited for its caller outside of a transaction, also before its start;
	// zero while it doesn't.
	idleSince time.Time
}

// Run serves the caller until the session ends.
func (s *Session) Run() {
	defer s.Caller.Close()
	defer s.reportEnd()
	defer s.explainEnd()
	if !s.start() {
		return
	}
	for s.step() {
	}
	s.rollBackOpenTransaction()
}

// start answers the caller's startup message and reports whether the session may begin.
func (s *Session) start() bool {
	s.startWaiting()
	d, key, err := s.Caller.Start(time.Now().Add(startupTimeout))
	s.endWaiting()
	if err != nil {
		s.endError = err
		return false
	}
	s.database, s.key = d, identifier.DigestOf(key)
	if s.stopping.Load() {
		return s.refuseStart(declarer.CodeBusy, stoppingText)
	}
	if !s.awaitReady() {
		return s.refuseStart(declarer.CodeBusy, "the host isn't ready yet")
	}
	if code := s.admitStart(); code != declarer.CodeNone {
		return s.refuseStart(code, s.refusalText(code))
	}
	return s.answered(s.Caller.Ready())
}

// refuseStart refuses the session. It returns false, as the session doesn't begin.
func (s *Session) refuseStart(c declarer.Code, text string) bool {
	s.endError = errors.Annotatef(errRefused, "%s", text)
	_ = s.Caller.Refuse(c, text)
	return false
}

const (
	// readyTimeout is how long a new caller waits for the host to receive its configuration.
	readyTimeout      = 1500 * time.Millisecond
	readyPollInterval = 20 * time.Millisecond
)

func (s *Session) awaitReady() bool {
	for end := time.Now().Add(readyTimeout); !s.Ready(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(readyPollInterval)
	}
	return true
}

// version returns the version of the configuration in force, zero if there is none.
func (s *Session) version() uint64 {
	if c := s.Board.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// step serves one statement and reports whether the session continues.
func (s *Session) step() bool {
	x, err := s.next()
	if err == nil {
		return s.answered(s.serve(x))
	}
	if s.openTransaction != nil && s.expireTransaction(err) {
		return true
	}
	s.endError = err
	return false
}

// next waits for the caller's next statement. A stopping session ends here if no transaction is
// open, so that no statement is interrupted.
func (s *Session) next() (declarer.Statement, error) {
	var deadline time.Time
	if s.openTransaction != nil && s.openTransaction.lease != nil {
		deadline = time.Now().Add(s.Board.IdleTransactionTimeout())
	}
	s.startWaiting()
	defer s.endWaiting()
	if s.stopping.Load() && s.openTransaction == nil {
		return declarer.Statement{}, errStopped
	}
	return s.Caller.Next(deadline)
}

const errStopped = errors.ConstError("session stopped")

// expireTransaction rolls back a transaction whose caller was idle for too long, and reports
// whether the session continues. The caller receives the error with its next statement.
func (s *Session) expireTransaction(err error) bool {
	if !errors.Is(err, ErrDeadline) || s.stopping.Load() {
		return false
	}
	s.openTransaction.abort()
	return true
}

// ErrDeadline is returned by Caller.Next when the deadline has passed.
const ErrDeadline = errors.ConstError("caller sent nothing in time")

// rollBackOpenTransaction rolls back the transaction that is open when the session ends.
func (s *Session) rollBackOpenTransaction() {
	if s.openTransaction != nil {
		s.openTransaction.abort()
	}
}

// serve answers one statement. An error ends the session.
func (s *Session) serve(x declarer.Statement) error {
	if s.openTransaction != nil && s.openTransaction.failed && x.Verb != declarer.VerbCommit && x.Verb != declarer.VerbRollback {
		return s.Caller.Fail(declarer.CodeMalformed, "the transaction has failed", declarer.StateFailed)
	}
	switch x.Verb {
	case declarer.VerbSet:
		return s.set(x)
	case declarer.VerbPrepare:
		return s.prepare(x)
	case declarer.VerbDeallocate:
		return s.deallocate(x)
	case declarer.VerbBegin, declarer.VerbBeginRead:
		return s.begin(x)
	case declarer.VerbRollback:
		return s.rollback()
	case declarer.VerbCommit:
		return s.commit(x)
	case declarer.VerbRead, declarer.VerbWrite, declarer.VerbExecute:
		return s.run(x)
	}
	return s.fail(declarer.CodeMalformed, "statement not understood")
}

// state returns the transaction state that is reported to the caller.
func (s *Session) state() declarer.State {
	switch {
	case s.openTransaction == nil:
		return declarer.StateIdle
	case s.openTransaction.failed:
		return declarer.StateFailed
	}
	return declarer.StateTransaction
}

// fail answers with an error of this proxy, and rolls back an open transaction.
func (s *Session) fail(c declarer.Code, text string) error {
	if s.openTransaction != nil {
		s.openTransaction.abort()
	}
	return s.Caller.Fail(c, text, s.state())
}

func (s *Session) begin(x declarer.Statement) error {
	if s.openTransaction != nil {
		return s.fail(declarer.CodeMalformed, "a transaction is open")
	}
	m, code := s.admit()
	switch {
	case code != declarer.CodeNone:
		return s.refuse(x, code)
	case m.hold.Kind != HoldNone:
		return s.refuseHeld(x, m)
	}
	if t, stopping := s.stopTimes(); s.stopping.Load() || stopping && time.Now().After(t.BeginBy) {
		return s.refuseStopping(x, m)
	}
	s.openTransaction = &transaction{admission: m, arrived: s.Board.Time(), readOnly: x.Verb == declarer.VerbBeginRead}
	return s.Caller.Done(declarer.StateTransaction)
}

func (s *Session) rollback() error {
	t := s.openTransaction
	s.openTransaction = nil
	if t != nil {
		t.abort()
	}
	return s.Caller.Done(declarer.StateIdle)
}

// run serves a read or write, inside or outside of a transaction.
func (s *Session) run(x declarer.Statement) error {
	q, err := s.buildRequest(x)
	if err != nil {
		return s.fail(declarer.CodeNoSuchStatement, x.Name)
	}
	if x.Limit > 0 && q.textBytes(x) > x.Limit {
		return s.fail(declarer.CodeTooBig, "not run: the statement is too long to be sent to a server")
	}
	if s.openTransaction != nil {
		return s.runInTransaction(q)
	}
	m, code := s.admit()
	switch {
	case code != declarer.CodeNone:
		return s.refuse(x, code)
	case m.hold.Kind != HoldNone:
		return s.refuseHeld(x, m)
	}
	return s.runAutocommit(m, q)
}

// recordCommit keeps the position of the session's newest commit in the group.
func (s *Session) recordCommit(group string, m marker.Mark) {
	switch {
	case m.IsZero():
	case s.commits.CanTrack(group):
		s.commits.Raise(group, m)
	default:
		s.untrackedCommits = true
	}
}

// lastCommitIn returns the position of the session's last commit in the group, zero if there is none.
func (s *Session) lastCommitIn(group string) marker.Mark {
	m, _ := s.commits.Get(group)
	return m
}

// readsPrimary reports whether the session's reads on the route must run on the primary, also because a position
// that they require isn't known.
func (s *Session) readsPrimary(r *declarer.Route) bool {
	return r.Kind == declarer.KindPrimary ||
		r.Kind == declarer.KindReadYourWrites && s.untrackedCommits && s.lastCommitIn(r.Group).IsZero()
}
