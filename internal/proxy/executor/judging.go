package executor

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

// recordAnswer updates the blackboard with what the answer shows: that the server answers, its log
// position, and its leadership.
func (a *attempt) recordAnswer(asked, took time.Duration) {
	m := a.answer.Position
	ran := a.answer.Code == declarer.CodeNone
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		g.RecordAnswer(a.server, a.session.Board.Time(), took, m)
		if ran && !a.primaryOnly {
			g.RecordCaughtUp(a.server)
		}
	})
	switch {
	case !ran || a.unconfirmed || !a.primaryOnly:
	case a.request.Writes && a.begin == declarer.VerbUnknown:
		a.session.recordCommit(a.route.Group, m)
		a.session.Board.RecordLeadership(a.route.Group, a.server, asked, m)
	default:
		a.session.Board.RecordLeadership(a.route.Group, a.server, asked, a.beginPosition)
	}
}

// handleNotRun records why the server didn't run the statement, and decides the next step.
func (a *attempt) handleNotRun() retrier.Step {
	x := a.answer
	a.reason = "turned away: " + x.Detail
	a.answer = declarer.Answer{Body: x.Body[:0]}
	switch x.Code {
	case declarer.CodeReadOnly:
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordNotLeading(a.server) })
		return a.afterRefusal(a.server, retrier.CauseNotPrimary, 0)
	case declarer.CodeLagging:
		a.recordLag()
		return a.afterRefusal(a.server, retrier.CauseBehind, 0)
	case declarer.CodeNoLease:
		return a.afterRefusal(a.server, retrier.CauseQueueTooLong, x.RetryAfter)
	case declarer.CodeServerUnreachable:
		return a.afterRefusal(a.server, retrier.CauseUnreachable, 0)
	}
	return a.afterRefusal(a.server, retrier.CauseBusy, 0)
}

// recordLag records that the server lags, unless it only lacks the session's own last commit:
// every replica lacks a new commit for a few milliseconds.
func (a *attempt) recordLag() {
	if a.request.RequiredPosition == a.session.lastCommitIn(a.route.Group) {
		return
	}
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordLag(a.server, a.session.Board.Time()) })
}

// handleBrokenExchange decides the result of an exchange that got no answer.
func (a *attempt) handleBrokenExchange(l *connpooler.Lease, err error) tryResult {
	timeout := errors.Is(err, connpooler.ErrTimeout)
	l.Release(!timeout)
	if !timeout && !errors.Is(err, connpooler.ErrOutOfStep) {
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordFailure(a.server, a.session.Board.Time(), a.session.Board.Time()) })
	}
	a.reason = err.Error()
	a.mayHaveRun = true
	switch {
	case a.request.Writes && a.begin == declarer.VerbUnknown:
		return tryResult{code: declarer.CodeOutcomeUnknown, text: "the server's answer didn't come; whether the write ran isn't known"}
	case a.begin != declarer.VerbUnknown && timeout:
		return tryResult{code: declarer.CodeAborted, text: "no answer in time; the transaction is rolled back"}
	case timeout:
		return tryResult{code: declarer.CodeTimeout, text: "no answer in time"}
	}
	// A read, or a transaction without a commit request, is safe to run again.
	a.answer = declarer.Answer{Body: a.answer.Body[:0]}
	return retryWith(a.afterRefusal(a.server, retrier.CauseUnreachable, 0))
}
