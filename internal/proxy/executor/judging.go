package executor

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

// learn notes on the blackboard what the answer shows.
func (a *attempt) learn(asked, took time.Duration) {
	m := a.answer.Position
	ran := a.answer.Code == declarer.CodeNone
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		g.RecordAnswer(a.server, a.session.Board.Time(), took, m)
		if ran && !a.leads {
			g.RecordCaughtUp(a.server)
		}
	})
	switch {
	case !ran || a.unproved || !a.leads:
	case a.request.Writes && a.begin == declarer.VerbUnknown:
		a.session.committed(a.route.Group, m)
		a.session.Board.RecordLeadership(a.route.Group, a.server, asked, m)
	default:
		a.session.Board.RecordLeadership(a.route.Group, a.server, asked, a.opened)
	}
}

// turnedAway notes why the server didn't run the statement, and decides what to do next.
func (a *attempt) turnedAway() retrier.Step {
	x := a.answer
	a.why = "turned away: " + x.Detail
	a.answer = declarer.Answer{Body: x.Body[:0]}
	switch x.Code {
	case declarer.CodeReadOnly:
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordNotLeading(a.server) })
		return a.refused(a.server, retrier.CauseNotPrimary, 0)
	case declarer.CodeLagging:
		a.lagging()
		return a.refused(a.server, retrier.CauseBehind, 0)
	case declarer.CodeNoLease:
		return a.refused(a.server, retrier.CauseQueueTooLong, x.RetryAfter)
	case declarer.CodeServerUnreachable:
		return a.refused(a.server, retrier.CauseUnreachable, 0)
	}
	return a.refused(a.server, retrier.CauseBusy, 0)
}

// lagging notes for others that the server is behind, unless it only lacks the session's
// own commit of a moment ago: each replica does for a few milliseconds.
func (a *attempt) lagging() {
	if a.request.RequiredPosition == a.session.own(a.route.Group) {
		return
	}
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordLag(a.server, a.session.Board.Time()) })
}

// broken judges an exchange without an answer.
func (a *attempt) broken(l *connpooler.Lease, err error) verdict {
	timeout := errors.Is(err, connpooler.ErrTimeout)
	l.Release(!timeout)
	if !timeout {
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordFailure(a.server, a.session.Board.Time(), a.session.Board.Time()) })
	}
	a.why = err.Error()
	switch {
	case a.request.Writes && a.begin == declarer.VerbUnknown:
		return verdict{code: declarer.CodeOutcomeUnknown, text: "the server's answer didn't come; whether the write ran isn't known"}
	case a.begin != declarer.VerbUnknown && timeout:
		return verdict{code: declarer.CodeAborted, text: "no answer in time; the transaction is rolled back"}
	case timeout:
		return verdict{code: declarer.CodeTimeout, text: "no answer in time"}
	}
	// A read, or a transaction that was never asked to commit, may run again.
	a.answer = declarer.Answer{Body: a.answer.Body[:0]}
	return again(a.refused(a.server, retrier.CauseUnreachable, 0))
}
