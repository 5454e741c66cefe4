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

// observeSpare is the part of a route's staleness at which the primary is asked anew, so
// that reads don't have to wait for its position.
const observeSpare = 2

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
	b := s.Budgets.group(r.Group)
	b.Count()
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
	return s.Caller.Pass(&a.answer, declarer.StateIdle)
}

// place tries servers until one has answered. It returns the lease that the statement
// ran on, and an error of ours with its text, where there is no answer to pass on.
func (a *attempt) place() (*connpooler.Lease, declarer.Code, string) {
	a.retries.Fixed = a.leads
	for {
		changed := a.session.Board.Changed()
		l, next := a.acquire()
		if l != nil {
			var code declarer.Code
			var text string
			var again bool
			next, again, code, text = a.try(l)
			if !again && text != "" {
				return nil, code, text
			}
			if !again {
				return l, code, ""
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
		return nil, a.retries.Unknown(a.elapsed(), unknownPause)
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
		return nil, a.refused(id, retrier.CauseCapacity, r.RetryAfter)
	}
	return nil, a.refused(id, retrier.CauseUnreachable, 0)
}

// leaderless reports whether no primary is known that answers.
func (a *attempt) leaderless() bool {
	lost := true
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		if p := g.Primary(); p != nil {
			lost = p.FailingSince != 0 && a.session.Board.Time()-p.FailingSince > failingFor
		}
	})
	return lost
}

// failingFor is how long a primary may fail before reads that need its position are
// refused soon. Most failures of that length end with a promotion.
const failingFor = 300 * time.Millisecond

// unknownPause bounds the wait for news where the position that a read needs isn't known.
const unknownPause = 100 * time.Millisecond

// objectiveShare is the part of a route's objective that may go by until a connection is
// given. The rest is for the statement, and for the others of its operation.
const objectiveShare = 4

// ask is what the statement wants of a pool.
func (a *attempt) ask() connpooler.Ask {
	k := connpooler.Ask{Deadline: a.deadline, Class: a.class(), Team: a.route.Database}
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

// choose returns the server to try, empty if there is none now, and false if it isn't
// known what a server must have.
func (a *attempt) choose() (string, bool) {
	id := ""
	if a.leads {
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
			if s := g.Primary(); s != nil {
				id = s.ID
			}
		})
		a.primary = true
		a.why = "primary"
		if id == "" {
			a.why = "no primary is known"
		}
		return id, true
	}
	need, ok := a.need()
	if !ok {
		a.why = "no recent position of the primary is known"
		return "", false
	}
	a.request.After = need
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		s, d := g.Read(need, a.retries.Excluded(), rand.Uint64(), a.session.Board.Time())
		a.why = d.Why.String()
		if s != nil {
			id = s.ID
			a.primary = s == g.Primary()
		}
	})
	return id, true
}

// need returns the position that the read's server must have. If no proof is recent
// enough, the primary is asked first.
func (a *attempt) need() (marker.Mark, bool) {
	m, ok, old := a.known()
	if old {
		a.session.Observer.Observe(a.route.Group, !ok, a.deadline)
	}
	if !ok {
		m, ok, _ = a.known()
	}
	return m, ok
}

// known returns what need does from what is known, and whether the primary should be
// asked anew.
func (a *attempt) known() (need marker.Mark, ok, old bool) {
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		need, ok = g.Need(a.arrived, a.route.MaximumStaleness)
		if ok && a.route.Kind == declarer.KindOwnWrites {
			need = marker.Max(need, g.Lift(a.session.own(a.route.Group)))
		}
		l, known := g.Latest()
		old = !known || a.session.Board.Time()-l.Asked > a.route.MaximumStaleness/observeSpare
	})
	return need, ok, old
}

// try sends the statement on l. It reports whether it had no effect, and what to do next
// then; the lease is given back.
func (a *attempt) try(l *connpooler.Lease) (next retrier.Step, again bool, code declarer.Code, text string) {
	a.retries.Sent()
	asked := a.session.Board.Time()
	sent := time.Now()
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.Began(a.server) })
	err := a.exchange(l)
	took := time.Since(sent)
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.Ended(a.server) })
	if r, ok := errors.AsType[*connpooler.Refusal](err); ok {
		l.Release(false)
		a.why = r.Error()
		return a.refused(a.server, retrier.CauseCapacity, r.RetryAfter), true, declarer.CodeNone, ""
	}
	if err != nil {
		return a.broken(l, err)
	}
	if !a.answer.Code.OfOwner() {
		a.learn(asked, took)
	}
	if a.answer.Code.NotRun() {
		l.Release(false)
		return a.turnedAway(), true, declarer.CodeNone, ""
	}
	if a.unproved {
		// The server answered, and may not have led any more right after: what it read may
		// lack a commit that a new primary has acknowledged.
		l.Release(false)
		if a.deposed {
			a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.Refused(a.server) })
		}
		return a.refused(a.server, retrier.CauseDeposed, 0), true, declarer.CodeNone, ""
	}
	return retrier.Step{}, false, a.answer.Code, ""
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
		e.add(declarer.Request{Verb: a.begin, After: a.beginAfter()})
		if err := e.run(&a.answer); err != nil || a.answer.Code != declarer.CodeNone {
			return err
		}
		a.opened = a.answer.Position
	}
	q := a.request.Request
	if a.begin != declarer.VerbUnknown {
		q.After = marker.Mark{}
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
	return a.request.After
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

// learn notes on the blackboard what the answer shows.
func (a *attempt) learn(asked, took time.Duration) {
	m := a.answer.Position
	ran := a.answer.Code == declarer.CodeNone
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) {
		g.Answered(a.server, a.session.Board.Time(), took, m)
		if ran && !a.leads {
			g.CaughtUp(a.server)
		}
	})
	switch {
	case !ran || a.unproved || !a.leads:
	case a.request.Writes && a.begin == declarer.VerbUnknown:
		a.session.committed(a.route.Group, m)
		a.session.Board.Led(a.route.Group, a.server, asked, m)
	default:
		a.session.Board.Led(a.route.Group, a.server, asked, a.opened)
	}
}

// turnedAway notes why the server didn't run the statement, and decides what to do next.
func (a *attempt) turnedAway() retrier.Step {
	x := a.answer
	a.why = "turned away: " + x.Detail
	a.answer = declarer.Answer{Body: x.Body[:0]}
	switch x.Code {
	case declarer.CodeReadOnly:
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.Refused(a.server) })
		return a.refused(a.server, retrier.CauseDeposed, 0)
	case declarer.CodeLagging:
		a.lagging()
		return a.refused(a.server, retrier.CauseBehind, 0)
	case declarer.CodeNoLease:
		return a.refused(a.server, retrier.CauseCapacity, x.RetryAfter)
	case declarer.CodeNoServer:
		return a.refused(a.server, retrier.CauseUnreachable, 0)
	}
	return a.refused(a.server, retrier.CauseBusy, 0)
}

// lagging notes for others that the server is behind, unless it only lacks the session's
// own commit of a moment ago: each replica does for a few milliseconds.
func (a *attempt) lagging() {
	if a.request.After == a.session.own(a.route.Group) {
		return
	}
	a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.Lagged(a.server, a.session.Board.Time()) })
}

// broken judges an exchange without an answer.
func (a *attempt) broken(l *connpooler.Lease, err error) (next retrier.Step, again bool, code declarer.Code, text string) {
	timeout := errors.Is(err, connpooler.ErrTimeout)
	l.Release(!timeout)
	if !timeout {
		a.session.Board.Do(a.route.Group, func(g *grouptracker.Group) { g.Failed(a.server, a.session.Board.Time(), a.session.Board.Time()) })
	}
	a.why = err.Error()
	switch {
	case a.request.Writes && a.begin == declarer.VerbUnknown:
		return next, false, declarer.CodeUnknown, "the server's answer didn't come; whether the write ran isn't known"
	case a.begin != declarer.VerbUnknown && timeout:
		return next, false, declarer.CodeAborted, "no answer in time; the transaction is rolled back"
	case timeout:
		return next, false, declarer.CodeTimeout, "no answer in time"
	}
	// A read, or a transaction that was never asked to commit, may run again.
	a.answer = declarer.Answer{Body: a.answer.Body[:0]}
	return a.refused(a.server, retrier.CauseUnreachable, 0), true, declarer.CodeNone, ""
}

func (a *attempt) report(c declarer.Code) {
	a.session.Reporter.Statement(&Report{
		Group: a.route.Group, Database: a.route.Database, Statement: a.request.ID, Verb: a.request.verb,
		Server: a.server, Primary: a.primary, Code: c, Why: a.why, Attempts: a.retries.Tries(),
		Need: a.request.After, Version: a.session.version(),
		Wait: a.waited, Took: time.Since(a.began),
	})
}
