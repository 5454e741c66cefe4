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

// attempt serves one statement: it looks for a server, sends, and looks for another
// one while that is certain to have had no effect.
type attempt struct {
	session  *Session
	route    declarer.Route
	request  *request
	arrived  time.Duration
	began    time.Time
	deadline time.Time
	// leads says that only the primary will do.
	leads bool
	// begin opens a transaction before the statement, VerbUnknown for none.
	begin declarer.Verb

	retries retrier.Statement
	server  string
	primary bool
	why     string
	waited  time.Duration
	answer  declarer.Answer
	// unproved says that the server wasn't seen to lead after it had read.
	unproved bool
	// deposed says that it refused the proof since it doesn't lead.
	deposed bool
	// opened is the end of the server's log when it began a transaction for us.
	opened marker.Mark
}

func (s *Session) newAttempt(r declarer.Route, q *request) *attempt {
	now := time.Now()
	b := s.RetryBudgets.group(r.Group)
	b.CountRequest()
	return &attempt{
		session: s, route: r, request: q, arrived: s.Board.Time(), began: now, deadline: now.Add(r.Timeout),
		retries: retrier.Statement{Deadline: r.Timeout, Budget: b},
	}
}

// alone serves a statement outside of a transaction.
func (s *Session) alone(r declarer.Route, q *request) error {
	a := s.newAttempt(r, q)
	a.leads = q.Writes || r.Kind == declarer.KindPrimary
	l, code, text := a.place()
	if l != nil {
		l.Release(false)
	}
	a.report(code)
	if code != declarer.CodeNone && text != "" {
		return s.Caller.Fail(code, text, declarer.StateIdle)
	}
	return s.Caller.Forward(&a.answer, declarer.StateIdle)
}

// place tries servers until one has answered. It returns the lease that the statement
// ran on, and an error of ours with its text, where there is no answer to pass on.
func (a *attempt) place() (*connpooler.Lease, declarer.Code, string) {
	a.retries.SingleServer = a.leads
	for {
		changed := a.session.Board.Changed()
		l, next := a.acquire()
		if l != nil {
			v := a.try(l)
			switch {
			case v.again:
				next = v.next
			case v.text != "":
				return nil, v.code, v.text
			default:
				return l, v.code, ""
			}
		}
		switch next.Action {
		case retrier.ActionRefuse:
			return nil, declarer.CodeBusy, a.refusal(next)
		case retrier.ActionWait:
			a.wait(changed, next.Delay)
		}
	}
}

// refusal tells the caller that the statement has not run, and when to come back.
func (a *attempt) refusal(s retrier.Step) string {
	t := "not run: " + a.why
	if s.RetryAfter > 0 {
		t += ", retry after " + strconv.FormatInt(s.RetryAfter.Milliseconds(), 10) + " ms"
	}
	return t
}

// acquire finds a server and leases a connection to it. Without a lease it returns what
// to do next.
func (a *attempt) acquire() (*connpooler.Lease, retrier.Step) {
	id, ok := a.choose()
	switch {
	case !ok && a.leaderless():
		// A position would have to come from a primary that doesn't answer.
		return nil, a.retries.Exhausted(a.elapsed(), rand.Uint64())
	case !ok:
		return nil, a.retries.ServersUnknown(a.elapsed(), unknownPause)
	case id == "":
		return nil, a.retries.Exhausted(a.elapsed(), rand.Uint64())
	}
	p := a.session.Pools.Pool(id)
	if p == nil {
		return nil, a.refused(id, retrier.CauseUnreachable, 0)
	}
	began := time.Now()
	l, err := p.Acquire(a.ask())
	a.waited += time.Since(began)
	if err == nil {
		a.server = id
		return l, retrier.Step{}
	}
	a.why = err.Error()
	if r, ok := errors.AsType[*connpooler.Refusal](err); ok {
		return nil, a.refused(id, retrier.CauseQueueTooLong, r.RetryAfter)
	}
	return nil, a.refused(id, retrier.CauseUnreachable, 0)
}

// unknownPause bounds the wait for news where the position that a read needs isn't known.
const unknownPause = 100 * time.Millisecond

// objectiveShare is the part of a route's objective that may go by until a connection is
// given. The rest is for the statement, and for the others of its operation.
const objectiveShare = 4

// ask is what the statement wants of a pool.
func (a *attempt) ask() connpooler.AcquireRequest {
	k := connpooler.AcquireRequest{Deadline: a.deadline, Class: a.class(), Team: a.route.Database}
	if a.route.Objective > 0 {
		k.Objective = a.began.Add(a.route.Objective / objectiveShare)
	}
	return k
}

func (a *attempt) elapsed() time.Duration { return time.Since(a.began) }

// refused decides what to do after the server didn't run the statement.
func (a *attempt) refused(server string, c retrier.Cause, retryAfter time.Duration) retrier.Step {
	return a.retries.Refused(server, c, retryAfter, a.elapsed(), rand.Uint64())
}

func (a *attempt) class() admitter.Class {
	if a.request.Writes {
		return admitter.ClassWrite
	}
	return admitter.ClassRead
}

// wait waits for news of the group's servers, for d at most.
func (a *attempt) wait(changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

// verdict is what came of one try.
type verdict struct {
	// again says that the statement had no effect and that next is to be done. The lease was
	// given back.
	again bool
	next  retrier.Step
	// code and text are for the caller. Without a text there is an answer to pass on, and the
	// lease is still held.
	code declarer.Code
	text string
}

func again(s retrier.Step) verdict { return verdict{again: true, next: s} }

// try sends the statement on l.
func (a *attempt) try(l *connpooler.Lease) verdict {
	a.retries.CountTry()
	asked := a.session.Board.Time()
	sent := time.Now()
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.StatementStarted(a.server) })
	err := a.exchange(l)
	took := time.Since(sent)
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.StatementEnded(a.server) })
	if r, ok := errors.AsType[*connpooler.Refusal](err); ok {
		l.Release(false)
		a.why = r.Error()
		return again(a.refused(a.server, retrier.CauseQueueTooLong, r.RetryAfter))
	}
	if err != nil {
		return a.broken(l, err)
	}
	if !a.answer.Code.FromOwner() {
		a.learn(asked, took)
	}
	if a.answer.Code.NotRun() {
		l.Release(false)
		return again(a.turnedAway())
	}
	if a.unproved {
		// The server answered, and may not have led any more right after: what it read may
		// lack a commit that a new primary has acknowledged.
		l.Release(false)
		if a.deposed {
			a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.RecordNotLeading(a.server) })
		}
		return again(a.refused(a.server, retrier.CauseNotPrimary, 0))
	}
	return verdict{code: a.answer.Code}
}

// exchange sends what is to be sent, and reads the answers. What opens a transaction
// is awaited before the statement goes out: if it were refused, a statement that
// followed at once would run outside of the transaction.
func (a *attempt) exchange(l *connpooler.Lease) error {
	a.unproved = false
	e := &exchange{lease: l, deadline: a.deadline}
	if a.begin == declarer.VerbUnknown {
		if err := e.wait(a.ask()); err != nil {
			return err
		}
	}
	e.setUp(a.session, a.request)
	if a.begin != declarer.VerbUnknown {
		e.add(declarer.Request{Verb: a.begin, RequiredPosition: a.beginAfter()})
		if err := e.run(&a.answer); err != nil || a.answer.Code != declarer.CodeNone {
			return err
		}
		a.opened = a.answer.Position
	}
	q := a.request.Request
	if a.begin != declarer.VerbUnknown {
		q.RequiredPosition = marker.Mark{}
		if err := e.wait(a.ask()); err != nil {
			return err
		}
	}
	e.add(q)
	if a.leads && !a.request.Writes && a.begin == declarer.VerbUnknown {
		return a.prove(e)
	}
	return e.run(&a.answer)
}

// beginAfter is the position that a transaction of reads needs. At the primary none
// is needed, as it refuses to begin where it doesn't lead.
func (a *attempt) beginAfter() marker.Mark {
	if a.begin == declarer.VerbBegin {
		return marker.Mark{}
	}
	return a.request.RequiredPosition
}

// prove sends along with the read an empty transaction, which only a leading server
// begins. It comes after the read, so that the server still led when it read; asking
// before it would leave a moment in which the lead could be lost.
func (a *attempt) prove(e *exchange) error {
	e.add(declarer.Request{Verb: declarer.VerbBegin})
	e.add(declarer.Request{Verb: declarer.VerbRollback})
	var begun, ended declarer.Answer
	if err := e.run(&a.answer, &begun, &ended); err != nil {
		return err
	}
	a.opened = begun.Position
	a.unproved = begun.Code != declarer.CodeNone
	a.deposed = begun.Code == declarer.CodeReadOnly
	return nil
}

func (a *attempt) report(c declarer.Code) {
	a.session.Reporter.Statement(&Report{
		Group: a.route.Group, Database: a.route.Database, Statement: a.request.ID, Verb: a.request.verb,
		Server: a.server, Primary: a.primary, Code: c, Reason: a.why, Attempts: a.retries.Tries(),
		RequiredPosition: a.request.RequiredPosition, Version: a.session.version(),
		Wait: a.waited, Elapsed: time.Since(a.began),
	})
}
