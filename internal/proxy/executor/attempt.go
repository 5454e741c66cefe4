package executor

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/keeper"
	"github.com/cuminwick/cuminwick/internal/proxy/viewer"
)

const (
	// pause is waited before a statement is tried again that found all busy.
	pause = 10 * time.Millisecond
	// observeSpare is the part of a route's staleness at which the primary is asked
	// anew, so that reads don't have to wait for its position.
	observeSpare = 2
	// leaderlessHold is how long a statement waits where no primary is known. That a
	// promotion is over shows within a few milliseconds; one that has only begun takes
	// longer than most statements have, so that waiting on would end in a refusal all
	// the same, and late. Over five plays of two days with lost primaries, waiting to
	// the deadline earned 0.532 and 0.809 of what was owed, this 0.558 and 0.813.
	leaderlessHold = 150 * time.Millisecond
	// tries bounds how often one statement is sent.
	tries = 8
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

	excluded []string
	sent     int
	server   string
	primary  bool
	why      string
	waited   time.Duration
	answer   declarer.Answer
	// unproved says that the server wasn't seen to lead after it had read.
	unproved bool
	// deposed says that it refused the proof since it doesn't lead.
	deposed bool
	// opened is the end of the server's log when it began a transaction for us.
	opened marker.Mark
}

func (s *Session) newAttempt(r declarer.Route, q *request) *attempt {
	now := time.Now()
	return &attempt{session: s, route: r, request: q, arrived: s.Board.Time(), began: now, deadline: now.Add(r.Timeout)}
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
func (a *attempt) place() (*keeper.Lease, declarer.Code, string) {
	for {
		l, err := a.acquire()
		if err != nil {
			return nil, declarer.CodeBusy, err.Error()
		}
		if l == nil {
			continue
		}
		again, code, text := a.try(l)
		if !again {
			if text != "" {
				return nil, code, text
			}
			return l, code, ""
		}
		if a.sent >= tries || !time.Now().Before(a.deadline) {
			return nil, declarer.CodeBusy, "not run: no server took the statement in time"
		}
	}
}

// errNotPlaced is a statement that no server was found for; it did not run.
const errNotPlaced = errors.ConstError("not run: no server for it in time")

// acquire finds a server and leases a connection to it. Neither a lease nor an error
// means that there is something new to choose from.
func (a *attempt) acquire() (*keeper.Lease, error) {
	changed := a.session.Board.Changed()
	id := a.choose()
	if id == "" {
		return nil, a.wait(changed)
	}
	p := a.session.Pools.Pool(id)
	if p == nil {
		a.exclude(id)
		return nil, a.late()
	}
	began := time.Now()
	l, err := p.Acquire(keeper.Ask{Deadline: a.deadline, Class: a.class(), Team: a.route.Database})
	a.waited += time.Since(began)
	if err != nil {
		a.why = err.Error()
		a.exclude(id)
		return nil, a.late()
	}
	a.server = id
	return l, nil
}

func (a *attempt) class() admitter.Class {
	if a.request.Writes {
		return admitter.ClassWrite
	}
	return admitter.ClassRead
}

// exclude leaves the server out of the next choice. The primary is the only one that
// takes writes, so it is tried again.
func (a *attempt) exclude(id string) {
	if !a.leads && !slices.Contains(a.excluded, id) {
		a.excluded = append(a.excluded, id)
		return
	}
	time.Sleep(pause)
}

func (a *attempt) late() error {
	if !time.Now().Before(a.deadline) {
		return errors.Annotatef(errNotPlaced, "%s", a.why)
	}
	return nil
}

// wait waits for news of the group's servers.
func (a *attempt) wait(changed <-chan struct{}) error {
	a.excluded = nil
	t := time.NewTimer(min(time.Until(a.deadline), 10*pause))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
	if a.leads && time.Since(a.began) > leaderlessHold {
		return errNoPrimary
	}
	return a.late()
}

// errNoPrimary tells the caller when to come back: about when a promotion that has begun
// will be over.
const errNoPrimary = errors.ConstError("not run: no primary is known, come back in 1 s")

// choose returns the server to try, empty if there is none now.
func (a *attempt) choose() string {
	id := ""
	if a.leads {
		a.session.Board.Do(a.route.Group, func(g *viewer.Group) {
			if s := g.Primary(); s != nil {
				id = s.ID
			}
		})
		a.primary = true
		a.why = "primary"
		if id == "" {
			a.why = "no primary is known"
		}
		return id
	}
	need, ok := a.need()
	if !ok {
		a.why = "no recent position of the primary is known"
		return ""
	}
	a.request.After = need
	a.session.Board.Do(a.route.Group, func(g *viewer.Group) {
		s, d := g.Read(need, a.excluded, rand.Uint64(), a.session.Board.Time())
		a.why = d.Why.String()
		if s != nil {
			id = s.ID
			a.primary = s == g.Primary()
		}
	})
	return id
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
	a.session.Board.Do(a.route.Group, func(g *viewer.Group) {
		need, ok = g.Need(a.arrived, a.route.MaximumStaleness)
		if ok && a.route.Kind == declarer.KindOwnWrites {
			need = marker.Max(need, g.Lift(a.session.own(a.route.Group)))
		}
		l, known := g.Latest()
		old = !known || a.session.Board.Time()-l.Asked > a.route.MaximumStaleness/observeSpare
	})
	return need, ok, old
}

// try sends the statement on l. It reports whether it is to be tried again; then it
// had no effect and the lease is given back.
func (a *attempt) try(l *keeper.Lease) (again bool, code declarer.Code, text string) {
	a.sent++
	asked := a.session.Board.Time()
	sent := time.Now()
	a.session.Board.Do(a.route.Group, func(g *viewer.Group) { g.Began(a.server) })
	err := a.exchange(l)
	took := time.Since(sent)
	a.session.Board.Do(a.route.Group, func(g *viewer.Group) { g.Ended(a.server) })
	if err != nil {
		return a.broken(l, err)
	}
	if a.answer.Code != declarer.CodeNoLease {
		a.learn(asked, took)
	}
	if a.answer.Code.NotRun() {
		l.Release(false)
		a.turnedAway()
		return true, declarer.CodeNone, ""
	}
	if a.unproved {
		// The server answered, and may not have led any more right after: what it read may
		// lack a commit that a new primary has acknowledged.
		l.Release(false)
		if a.deposed {
			a.session.Board.Do(a.route.Group, func(g *viewer.Group) { g.Refused(a.server) })
		}
		return true, declarer.CodeNone, ""
	}
	return false, a.answer.Code, ""
}

// exchange sends what is to be sent, and reads the answers. What opens a transaction
// is awaited before the statement goes out: if it were refused, a statement that
// followed at once would run outside of the transaction.
func (a *attempt) exchange(l *keeper.Lease) error {
	a.unproved = false
	e := &exchange{lease: l, deadline: a.deadline}
	e.dress(a.session, a.request)
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
	a.session.Board.Do(a.route.Group, func(g *viewer.Group) {
		g.Answered(a.server, a.session.Board.Time(), took, m)
		if ran && !a.leads {
			g.Caught(a.server)
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

// turnedAway notes why the server didn't run the statement.
func (a *attempt) turnedAway() {
	c := a.answer.Code
	a.why = "turned away: " + a.answer.Detail
	a.answer = declarer.Answer{Body: a.answer.Body[:0]}
	switch c {
	case declarer.CodeReadOnly:
		a.session.Board.Do(a.route.Group, func(g *viewer.Group) { g.Refused(a.server) })
	case declarer.CodeLagging:
		a.lagging()
	default:
		a.exclude(a.server)
	}
}

// lagging leaves the server out. Only where it lacks what any read by age needs, it
// is left out for others too: a session's own commit of a moment ago is missing at
// each replica for a few milliseconds.
func (a *attempt) lagging() {
	own := a.request.After == a.session.own(a.route.Group)
	a.session.Board.Do(a.route.Group, func(g *viewer.Group) {
		if !own {
			g.Lagged(a.server, a.session.Board.Time())
		}
	})
	a.exclude(a.server)
}

// broken judges an exchange without an answer.
func (a *attempt) broken(l *keeper.Lease, err error) (again bool, code declarer.Code, text string) {
	timeout := errors.Is(err, keeper.ErrTimeout)
	l.Release(!timeout)
	if !timeout {
		a.session.Board.Do(a.route.Group, func(g *viewer.Group) { g.Failed(a.server, a.session.Board.Time(), a.session.Board.Time()) })
	}
	a.why = err.Error()
	switch {
	case a.request.Writes && a.begin == declarer.VerbUnknown:
		return false, declarer.CodeUnknown, "the server's answer didn't come; whether the write ran isn't known"
	case a.begin != declarer.VerbUnknown && timeout:
		return false, declarer.CodeAborted, "no answer in time; the transaction is rolled back"
	case timeout:
		return false, declarer.CodeTimeout, "no answer in time"
	}
	// A read, or a transaction that was never asked to commit, may run again.
	a.answer = declarer.Answer{Body: a.answer.Body[:0]}
	a.exclude(a.server)
	return true, declarer.CodeNone, ""
}

func (a *attempt) report(c declarer.Code) {
	a.session.Reporter.Statement(&Report{
		Group: a.route.Group, Database: a.route.Database, Statement: a.request.ID, Verb: a.request.verb,
		Server: a.server, Primary: a.primary, Code: c, Why: a.why, Attempts: a.sent,
		Need: a.request.After, Version: a.session.version(),
		Wait: a.waited, Took: time.Since(a.began),
	})
}
