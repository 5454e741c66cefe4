package connpooler

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Connection is a connection to a backend server.
type Connection interface {
	// Send writes all requests at once. After an error other than ErrNotSent, the server may have
	// received any part of them.
	Send(r []declarer.Request, deadline time.Time) error
	// Receive reads the next answer. It can be called again after a timeout.
	Receive(a *declarer.Answer, deadline time.Time) error
	// PendingAnswers returns how many requests haven't been answered yet.
	PendingAnswers() int
	// Ended reports whether the connection can't be used again: the server has closed it, or has sent
	// something that nobody asked for. It must not be called while answers are pending.
	Ended() bool
	Close()
}

// BorrowedConnection is implemented by a Connection that goes through another entry host, which
// owns the connections to the server and lends one of them for each use.
type BorrowedConnection interface {
	// Borrow begins a use. The request for a connection is sent together with the next Send.
	Borrow(a AcquireRequest)
	// Return ends the use, whatever state the connection is in.
	Return() error
}

// Lease is a connection that is leased to one session. It must be used by one goroutine only.
type Lease struct {
	Connection
	// Values are the session values that are set on the connection, by name.
	Values map[string]string
	// Prepared are the names of the statements that are prepared on the connection.
	Prepared map[string]struct{}
	// State is the transaction state of the connection after the last answer.
	State declarer.State
	// Unusable is set if the connection must not be used again, as Values or Prepared may be wrong.
	Unusable bool

	pool  *Pool
	entry *admitter.Entry
	// customer is the one that the connection serves, empty for the proxy itself and for
	// connections that serve all.
	customer string
	// pass is that of the present use, if its answer is counted.
	pass forecaster.Pass
	// usedAt is when the connection was opened or last released, leasedAt when it was last leased.
	usedAt, leasedAt time.Time
}

// Release returns the connection to its pool. A connection with pending answers or an open
// transaction is recovered first; a broken one is closed.
func (l *Lease) Release(broken bool) {
	p := l.pool
	broken = broken || l.Unusable
	b, borrowed := l.Connection.(BorrowedConnection)
	switch {
	case borrowed:
		// The owner recovers its connection. Pending answers would be taken for those of the
		// next use, so that the connection to the owner must be closed.
		if l.PendingAnswers() > 0 {
			p.dropUnusedSince(l.leasedAt)
		}
		p.release(l, broken || l.PendingAnswers() > 0 || l.Ended() || b.Return() != nil)
	case broken, l.PendingAnswers() == 0 && l.Ended():
		p.release(l, true)
	case l.PendingAnswers() > 0 || l.State != declarer.StateIdle:
		p.beginRecovery(l)
		go l.recoverAndReturn()
	default:
		p.release(l, false)
	}
}

// borrow begins a use if the connection is borrowed from another host. Which values and
// statements are set up on it is tracked by that host.
func (l *Lease) borrow(a AcquireRequest) {
	b, ok := l.Connection.(BorrowedConnection)
	if !ok {
		return
	}
	clear(l.Values)
	clear(l.Prepared)
	l.State = declarer.StateIdle
	b.Borrow(a)
}

// recoverAndReturn recovers the connection and returns it to the pool.
func (l *Lease) recoverAndReturn() {
	l.pool.endRecovery(l, l.recover() != nil)
}

// recover receives the pending answers and rolls back an open transaction. After an error, which may be that of a
// statement that was to set up the connection, the connection is reset.
func (l *Lease) recover() error {
	t := time.Now().Add(recoverTimeout)
	failed, err := l.receivePending(t)
	if err == nil && l.State != declarer.StateIdle {
		err = l.runIdle(declarer.VerbRollback, t)
	}
	if err == nil && failed {
		clear(l.Values)
		clear(l.Prepared)
		err = l.runIdle(declarer.VerbReset, t)
	}
	if err == nil && l.Ended() {
		err = errors.Annotatef(ErrOutOfStep, "server %s", l.pool.Server.ID)
	}
	return err
}

// receivePending receives the pending answers, and reports whether one of them was an error.
func (l *Lease) receivePending(deadline time.Time) (failed bool, err error) {
	var a declarer.Answer
	for l.PendingAnswers() > 0 {
		if err := l.Receive(&a, deadline); err != nil {
			return false, err
		}
		l.State, failed = a.State, failed || a.Code != declarer.CodeNone
		a = declarer.Answer{Body: a.Body[:0]}
	}
	return failed, nil
}

// runIdle runs a statement of the proxy, after which no transaction may be open.
func (l *Lease) runIdle(v declarer.Verb, deadline time.Time) error {
	if err := l.Send([]declarer.Request{{Verb: v}}, deadline); err != nil {
		return err
	}
	var a declarer.Answer
	if err := l.Receive(&a, deadline); err != nil {
		return err
	}
	l.State = a.State
	if a.Code != declarer.CodeNone || a.State != declarer.StateIdle {
		return errors.Errorf("server %s: statement %d of a recovery failed with code %d in state %d", l.pool.Server.ID, v, a.Code, a.State)
	}
	return nil
}
