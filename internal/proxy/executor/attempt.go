package executor

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

// attempt serves one statement: it chooses a server, sends the statement, and tries another server
// only if the statement certainly had no effect.
type attempt struct {
	session *Session
	admission
	request *request
	// arrived is when the statement, or the begin of its transaction, arrived, on the
	// blackboard's clock.
	arrived  time.Duration
	began    time.Time
	deadline time.Time
	// primaryOnly restricts the statement to the primary.
	primaryOnly bool
	// begin is the verb that opens a transaction before the statement, VerbUnknown for none.
	begin declarer.Verb

	retries retrier.Statement
	// server is the last one that a connection was leased to.
	server string
	// primary is set if the chosen server was the group's primary.
	primary bool
	// reason explains the choice of the server or the refusal.
	reason string
	// ownerMoves counts the calls of moveToNextOwner that returned true.
	ownerMoves int
	// waited is the time spent waiting for leases.
	waited time.Duration
	answer declarer.Answer
	// unconfirmed is set if the server wasn't confirmed as the primary after a read.
	unconfirmed bool
	// mayHaveRun is set if a server has run the statement, or may have, without an answer that could be
	// used.
	mayHaveRun bool
	// deposed is set if the server refused the confirmation because it isn't the primary.
	deposed bool
	// beginPosition is the end of the server's log when it began the proxy's transaction.
	beginPosition marker.Mark
}

func (s *Session) newAttempt(m admission, q *request) *attempt {
	now := time.Now()
	b := s.RetryBudgets.group(m.route.Group)
	b.CountRequest()
	t := s.statementTimeout(m.route, now)
	return &attempt{
		session: s, admission: m, request: q, arrived: s.Board.Time(), began: now, deadline: now.Add(t),
		retries: retrier.Statement{Deadline: t, Budget: b, KeepReserve: m.importance.Level() > 0},
	}
}

// runAutocommit serves a statement outside of a transaction.
func (s *Session) runAutocommit(m admission, q *request) error {
	a := s.newAttempt(m, q)
	a.primaryOnly = q.Writes || s.readsPrimary(&m.route)
	l, code, text := a.tryServers()
	if l != nil {
		l.Release(false)
	}
	a.report(code)
	if code != declarer.CodeNone && text != "" {
		return s.Caller.Fail(code, text, declarer.StateIdle)
	}
	return s.Caller.Forward(&a.answer, declarer.StateIdle)
}

// tryServers tries servers until one has answered. It returns the lease that the statement ran on.
// If there is no answer to forward, it returns an error code and text of this proxy.
func (a *attempt) tryServers() (*connpooler.Lease, declarer.Code, string) {
	if text := a.refuseBeyondLimit(); text != "" {
		return nil, declarer.CodeBusy, text
	}
	a.retries.SingleServer = a.primaryOnly
	for {
		changed := a.session.Board.Changed()
		l, next := a.acquire()
		if l != nil {
			v := a.try(l)
			switch {
			case v.retry:
				next = v.nextStep
			case v.text != "":
				return nil, v.code, v.text
			default:
				return l, v.code, ""
			}
		}
		switch next.Action {
		case retrier.ActionRefuse:
			a.uncount()
			return nil, declarer.CodeBusy, a.refusalText(next)
		case retrier.ActionWait:
			a.waitForChange(changed, next.Delay)
		}
	}
}

// refusalText says that the statement has not run and when to retry it.
func (a *attempt) refusalText(s retrier.Step) string {
	t := "not run: " + a.reason
	if s.RetryAfter > 0 {
		t += ", retry after " + strconv.FormatInt(s.RetryAfter.Milliseconds(), 10) + " ms"
	}
	return t
}

// acquire chooses a server and leases a connection to it. Without a lease it returns the next
// step.
func (a *attempt) acquire() (*connpooler.Lease, retrier.Step) {
	id, ok := a.chooseServer()
	switch {
	case !ok && a.primaryUnavailable():
		// The missing position could only come from a primary that doesn't answer.
		return nil, a.retries.Exhausted(a.elapsed(), rand.Uint64())
	case !ok:
		return nil, a.retries.ServersUnknown(a.elapsed(), unknownPositionWait)
	case id == "":
		return nil, a.retries.Exhausted(a.elapsed(), rand.Uint64())
	}
	p := a.session.Pools.Pool(id)
	if p == nil {
		return nil, a.afterRefusal(id, retrier.CauseUnreachable, 0)
	}
	began := time.Now()
	l, err := p.Acquire(a.leaseOptions())
	a.waited += time.Since(began)
	if err == nil {
		a.server = id
		return l, retrier.Step{}
	}
	a.reason = err.Error()
	if r, ok := errors.AsType[*connpooler.Refusal](err); ok {
		return nil, a.afterRefusal(id, retrier.CauseQueueTooLong, r.RetryAfter)
	}
	if a.moveToNextOwner(id, p) {
		return nil, retrier.Step{}
	}
	return nil, a.afterRefusal(id, retrier.CauseUnreachable, 0)
}

// maximumOwnerMoves bounds the owners of a server's connections that one statement asks at once.
const maximumOwnerMoves = 3

// moveToNextOwner reports whether the server's connections are borrowed from another host by now than
// through the pool that couldn't reach its owner. That says nothing about the server, so that the statement
// needn't wait.
func (a *attempt) moveToNextOwner(id string, p *connpooler.Pool) bool {
	if !p.OnDemand || a.ownerMoves == maximumOwnerMoves || a.session.Pools.Pool(id) == p {
		return false
	}
	a.ownerMoves++
	return true
}

// unknownPositionWait bounds the wait for a change on the blackboard while the position that a
// read requires is unknown.
const unknownPositionWait = 100 * time.Millisecond

// objectiveDivisor bounds the wait for a connection to a part of the route's objective, one in
// this many. The rest is left for the statement and for the others of the caller's operation.
const objectiveDivisor = 4

// leaseOptions returns the terms on which the statement asks the pool for a connection.
func (a *attempt) leaseOptions() connpooler.AcquireRequest {
	k := connpooler.AcquireRequest{Deadline: a.deadline, Class: a.class(), Importance: a.importance, Ranked: a.ranked, Customer: a.customer, Team: a.team()}
	if a.route.Objective > 0 {
		k.Objective = a.began.Add(a.route.Objective / objectiveDivisor)
	}
	return k
}

// team returns the name that the statement's share of a server is charged to: the customer's, or the
// database's if callers need no key.
func (a *attempt) team() string {
	if a.customer != "" {
		return a.customer
	}
	return a.route.Database
}

func (a *attempt) elapsed() time.Duration { return time.Since(a.began) }

// afterRefusal decides the next step after the server didn't run the statement.
func (a *attempt) afterRefusal(server string, c retrier.Cause, retryAfter time.Duration) retrier.Step {
	return a.retries.Refused(server, c, retryAfter, a.elapsed(), rand.Uint64())
}

func (a *attempt) class() admitter.Class {
	if a.request.Writes {
		return admitter.ClassWrite
	}
	return admitter.ClassRead
}

// waitForChange waits for a change of the primary or of the server list, for d at most.
func (a *attempt) waitForChange(changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

// tryResult is the result of sending a statement once.
type tryResult struct {
	// retry is set if the statement had no effect. The lease has been released, and nextStep
	// follows.
	retry    bool
	nextStep retrier.Step
	// code and text are the error for the caller. If text is empty, there is an answer to forward
	// and the lease is still held.
	code declarer.Code
	text string
}

func retryWith(s retrier.Step) tryResult { return tryResult{retry: true, nextStep: s} }

// try sends the statement on l.
func (a *attempt) try(l *connpooler.Lease) tryResult {
	a.retries.CountTry()
	asked := a.session.Board.Time()
	sent := time.Now()
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.StatementStarted(a.server) })
	err := a.exchange(l)
	took := time.Since(sent)
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.StatementEnded(a.server) })
	if r, ok := errors.AsType[*connpooler.Refusal](err); ok {
		l.Release(false)
		a.reason = r.Error()
		return retryWith(a.afterRefusal(a.server, retrier.CauseQueueTooLong, r.RetryAfter))
	}
	if errors.Is(err, connpooler.ErrNotSent) {
		l.Release(true)
		a.reason = err.Error()
		return retryWith(a.afterRefusal(a.server, retrier.CauseNotSent, 0))
	}
	if err != nil {
		return a.handleBrokenExchange(l, err)
	}
	if !a.answer.Code.FromOwner() {
		a.recordAnswer(asked, took)
	}
	if a.answer.Code.NotRun() {
		l.Release(false)
		return retryWith(a.handleNotRun())
	}
	if a.unconfirmed {
		// The server may have lost leadership before it read, so the result may lack a commit that
		// a new primary has acknowledged.
		a.mayHaveRun = true
		l.Release(false)
		if a.deposed {
			a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordNotLeading(a.server) })
		}
		return retryWith(a.afterRefusal(a.server, retrier.CauseNotPrimary, 0))
	}
	return tryResult{code: a.answer.Code}
}

// exchange sends the statement with what precedes it, and reads the answers. The statement is sent
// only after the answer to the begin has arrived: if the begin were refused, a statement sent
// along with it would run outside of the transaction.
func (a *attempt) exchange(l *connpooler.Lease) error {
	a.unconfirmed = false
	e := &exchange{lease: l, deadline: a.deadline}
	if a.begin == declarer.VerbUnknown {
		if err := e.acquirePermit(a.leaseOptions()); err != nil {
			return err
		}
	}
	e.addSetup(a.session, a.request)
	if a.begin != declarer.VerbUnknown {
		e.add(declarer.Request{Verb: a.begin, RequiredPosition: a.beginAfter()})
		if err := e.run(&a.answer); err != nil || a.answer.Code != declarer.CodeNone {
			return err
		}
		a.beginPosition = a.answer.Position
	}
	q := a.request.Request
	if a.begin != declarer.VerbUnknown {
		q.RequiredPosition = marker.Mark{}
		if err := e.acquirePermit(a.leaseOptions()); err != nil {
			return err
		}
	}
	e.add(q)
	if a.primaryOnly && !a.request.Writes && a.begin == declarer.VerbUnknown {
		return a.confirmLeadership(e)
	}
	return e.run(&a.answer)
}

// beginAfter returns the position that a read-only transaction requires of its server. A
// transaction on the primary requires none, as a server that isn't the primary refuses to begin
// it.
func (a *attempt) beginAfter() marker.Mark {
	if a.begin == declarer.VerbBegin {
		return marker.Mark{}
	}
	return a.request.RequiredPosition
}

// confirmLeadership sends an empty transaction right after the read, which only the primary
// begins. Its success shows that the server was still the primary when it read. If it were sent
// before the read, the server could lose leadership between the two.
func (a *attempt) confirmLeadership(e *exchange) error {
	e.add(declarer.Request{Verb: declarer.VerbBegin})
	e.add(declarer.Request{Verb: declarer.VerbRollback})
	var begun, ended declarer.Answer
	if err := e.run(&a.answer, &begun, &ended); err != nil {
		return err
	}
	a.beginPosition = begun.Position
	a.unconfirmed = begun.Code != declarer.CodeNone || ended.Code != declarer.CodeNone
	a.deposed = begun.Code == declarer.CodeReadOnly
	return nil
}

func (a *attempt) report(c declarer.Code) {
	a.session.Reporter.Statement(&Report{
		Group: a.route.Group, Database: a.route.Database, Customer: a.customer, Statement: a.request.ID, Verb: a.request.verb,
		Server: a.server, Primary: a.primary, Code: c, Reason: a.reason, Attempts: a.retries.Tries(),
		RequiredPosition: a.request.RequiredPosition, Version: a.session.version(),
		Importance: a.importance, Ranked: a.ranked,
		Wait: a.waited, Elapsed: time.Since(a.began),
	})
}
