package connpooler

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Connection is one to a backend server.
type Connection interface {
	// Send writes all of r at once; after an error the server may have got any of it.
	Send(r []declarer.Request, deadline time.Time) error
	// Receive reads the next answer. It can be called again after a timeout.
	Receive(a *declarer.Answer, deadline time.Time) error
	// PendingAnswers returns how many answers are still to come.
	PendingAnswers() int
	// Ended reports whether the server has closed the connection.
	Ended() bool
	Close()
}

// BorrowedConnection is a connection that belongs to another host for each use.
type BorrowedConnection interface {
	// Borrow begins a use, with what is sent next.
	Borrow(a AcquireRequest)
	// Return ends it, whatever state the connection is in.
	Return() error
}

// Lease is one connection lent to one session. It belongs to one goroutine.
type Lease struct {
	Connection
	// Values are those set on the connection, by name.
	Values map[string]string
	// Prepared are the names of statements that the connection knows.
	Prepared map[string]struct{}
	// State is where the connection stood after the last answer.
	State declarer.State

	pool  *Pool
	entry *admitter.Entry
	used  time.Time
}

// Release gives the connection back. One with an answer still to come, or inside a
// transaction, is brought in order first; a broken one is closed.
func (l *Lease) Release(broken bool) {
	p := l.pool
	b, borrowed := l.Connection.(BorrowedConnection)
	switch {
	case borrowed:
		// Its owner puts it in order; an answer still to come would be the next use's.
		p.finish(l, broken || l.PendingAnswers() > 0 || b.Return() != nil)
	case broken:
		p.finish(l, true)
	case l.PendingAnswers() > 0 || l.State != declarer.StateIdle:
		p.suspend(l)
		go l.run()
	default:
		p.finish(l, false)
	}
}

// borrow begins a use of a connection that belongs to another host. What is set up on it
// is that host's to know.
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

// run waits for what is owed, and rolls back what is open.
func (l *Lease) run() {
	l.pool.restore(l, l.recover() != nil)
}

func (l *Lease) recover() error {
	t := time.Now().Add(recoverFor)
	var a declarer.Answer
	for l.PendingAnswers() > 0 {
		if err := l.Receive(&a, t); err != nil {
			return err
		}
		l.State = a.State
		a = declarer.Answer{Body: a.Body[:0]}
	}
	if l.State == declarer.StateIdle {
		return nil
	}
	if err := l.Send([]declarer.Request{{Verb: declarer.VerbRollback}}, t); err != nil {
		return err
	}
	if err := l.Receive(&a, t); err != nil {
		return err
	}
	l.State = a.State
	if a.State != declarer.StateIdle {
		return errors.Errorf("server %s: still in a transaction after a rollback", l.pool.Server.ID)
	}
	return nil
}
