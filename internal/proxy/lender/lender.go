// Package lender lends this host's connections to a server to other entry hosts.
//
// Where a server takes fewer connections than there are entry hosts, one host owns them
// all and the others borrow: one queue in front of few slots, and no host that holds an
// idle connection while the callers of another wait.
package lender

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Kind is what a borrower does.
type Kind uint8

// Kinds of event.
const (
	// KindLend asks for a connection.
	KindLend Kind = iota
	// KindStatements are to be run on it, all sent at once.
	KindStatements
	// KindReturn gives it back.
	KindReturn
)

// Event is what a borrower sends.
type Event struct {
	Kind Kind
	// Wait is how long the borrower waits: for a connection, or for the answers.
	Wait time.Duration
	// Objective, Class and Team go with KindLend. Objective is within which the connection
	// should be lent, zero for none.
	Objective time.Duration
	Class     admitter.Class
	Team      string
	// Requests go with KindStatements.
	Requests []declarer.Request
}

// Refusal says why a borrower got no connection.
type Refusal struct {
	// Unreachable says that there is none to be had: the server can't be reached from here.
	Unreachable bool
	// RetryAfter is when there will be one, zero if that isn't known.
	RetryAfter time.Duration
	Message    string
}

// Borrower is another host that borrows.
type Borrower interface {
	Handshake(deadline time.Time) error
	// Next waits for the next event; an error ends the link.
	Next() (Event, error)
	// Answer, Done and Refuse add an answer each, which Flush sends.
	Answer(a *declarer.Answer)
	Done(s declarer.State)
	Refuse(r Refusal)
	Flush() error
}

const (
	// greetTimeout bounds the start of a link.
	greetTimeout = time.Second
	// answerTimeout bounds a server's answer, whatever time the borrower gives.
	answerTimeout = 10 * time.Second
)

// Link serves one borrower. Its exported fields are set before Run.
type Link struct {
	Borrower Borrower
	// Pool returns this host's own connections to the server, nil if it isn't listed.
	Pool func() *connpooler.Pool
	// OnAnswer is told of each answer of the server.
	OnAnswer func()
	// ActiveLeases counts the leases that are out.
	ActiveLeases *atomic.Int64

	lease *connpooler.Lease
	// use is what the borrower wanted when it asked for the lease.
	use Event
	// fresh says that nothing was run on the lease yet.
	fresh bool
	// code is CodeBusy if the server had no room for one of the last statements.
	code declarer.Code
	// refused says why there is no lease.
	refused Refusal
}

// Run serves the borrower until the link ends. What it holds then is put in order.
func (l *Link) Run() {
	defer l.giveBack(false)
	if l.Borrower.Handshake(time.Now().Add(greetTimeout)) != nil {
		return
	}
	for {
		e, err := l.Borrower.Next()
		if err != nil || !l.serve(e) {
			return
		}
	}
}

// serve reports whether the link goes on.
func (l *Link) serve(e Event) bool {
	switch e.Kind {
	case KindLend:
		l.lend(e)
		return true
	case KindReturn:
		l.giveBack(false)
		return true
	}
	if l.lease == nil {
		return l.refuse(len(e.Requests))
	}
	err := l.run(e.Requests, min(e.Wait, answerTimeout))
	if errors.Is(err, connpooler.ErrRefused) {
		l.refused = refusalOf(err)
		return l.refuse(len(e.Requests))
	}
	if err != nil {
		l.giveBack(!errors.Is(err, connpooler.ErrTimeout))
		return false
	}
	return l.Borrower.Flush() == nil
}

func (l *Link) lend(e Event) {
	l.giveBack(false)
	l.refused = Refusal{Unreachable: true, Message: "server isn't listed here"}
	p := l.Pool()
	if p == nil {
		return
	}
	var err error
	l.lease, err = p.Acquire(e.ask(time.Now()))
	if err != nil {
		l.refused = refusalOf(err)
		return
	}
	l.fresh, l.use = true, e
	l.ActiveLeases.Add(1)
}

// ask is what the borrower wants of the pool.
func (e *Event) ask(now time.Time) connpooler.AcquireRequest {
	a := connpooler.AcquireRequest{Deadline: now.Add(e.Wait), Class: e.Class, Team: e.Team}
	if e.Objective > 0 {
		a.Objective = now.Add(e.Objective)
	}
	return a
}

func (l *Link) giveBack(broken bool) {
	if l.lease != nil {
		l.lease.Release(broken)
		l.lease = nil
		l.ActiveLeases.Add(-1)
	}
	l.refused = Refusal{Unreachable: true, Message: "nothing was borrowed"}
}

// refusalOf tells the borrower why the pool gave no connection.
func refusalOf(err error) Refusal {
	r := Refusal{Message: err.Error()}
	if q, ok := errors.AsType[*connpooler.Refusal](err); ok {
		r.RetryAfter = q.RetryAfter
		return r
	}
	r.Unreachable = true
	return r
}

func (l *Link) refuse(n int) bool {
	for range n {
		l.Borrower.Refuse(l.refused)
	}
	return l.Borrower.Flush() == nil
}

// run sends the statements but for those that would set up what is there already, and
// answers each.
//
// A connpooler.Refusal says that nothing was sent.
func (l *Link) run(requests []declarer.Request, wait time.Duration) error {
	end := time.Now().Add(wait)
	if !slices.ContainsFunc(requests, func(r declarer.Request) bool { return r.ID != "" }) {
		return l.perform(requests, end)
	}
	a := l.use.ask(time.Now())
	a.Deadline = end
	if l.lease.State == declarer.StateTransaction {
		a.Class = admitter.ClassTransaction
	}
	t, err := l.lease.AcquirePermit(a)
	if err != nil {
		return err
	}
	err = l.perform(requests, end)
	t.End(l.code)
	return err
}

// perform has the statements run and answers the borrower.
func (l *Link) perform(requests []declarer.Request, end time.Time) error {
	skipped, out := l.setUp(requests)
	if len(out) > 0 {
		if err := l.lease.Send(out, end); err != nil {
			return err
		}
	}
	l.code = declarer.CodeNone
	var a declarer.Answer
	for range len(out) - count(skipped) {
		if err := l.receive(&a, end); err != nil {
			return err
		}
	}
	for _, s := range skipped {
		if s {
			l.Borrower.Done(l.lease.State)
			continue
		}
		if err := l.receive(&a, end); err != nil {
			return err
		}
		l.Borrower.Answer(&a)
	}
	return nil
}

// count returns how many statements aren't skipped.
func count(skipped []bool) int {
	n := 0
	for _, s := range skipped {
		if !s {
			n++
		}
	}
	return n
}

func (l *Link) receive(a *declarer.Answer, end time.Time) error {
	*a = declarer.Answer{Body: a.Body[:0]}
	if err := l.lease.Receive(a, end); err != nil {
		return err
	}
	l.lease.State = a.State
	if a.Code == declarer.CodeBusy {
		l.code = a.Code
	}
	l.OnAnswer()
	return nil
}

// setUp returns which statements need not be sent, and what is sent in their place. The
// first ones of a use set all values of the borrower's session: these must be the only
// ones on the connection. What is prepared may be there from another use.
func (l *Link) setUp(requests []declarer.Request) (skipped []bool, out []declarer.Request) {
	skipped = make([]bool, len(requests))
	values := make(map[string]string)
	for _, r := range requests {
		if r.Verb == declarer.VerbSet {
			values[r.Name] = r.Argument
		}
	}
	if l.fresh && !contains(l.lease.Values, values) {
		out = append(out, declarer.Request{Verb: declarer.VerbReset})
		clear(l.lease.Values)
		clear(l.lease.Prepared)
	}
	l.fresh = false
	for i, r := range requests {
		skipped[i] = l.known(r)
		if !skipped[i] {
			out = append(out, r)
		}
	}
	return skipped, out
}

// contains reports whether the connection's values are those that are set.
func contains(present, wanted map[string]string) bool {
	return len(present) == 0 || maps.Equal(present, wanted)
}

// known reports whether the statement would change nothing, and else notes its change.
func (l *Link) known(r declarer.Request) bool {
	switch r.Verb {
	case declarer.VerbSet:
		if v, ok := l.lease.Values[r.Name]; ok && v == r.Argument {
			return true
		}
		l.lease.Values[r.Name] = r.Argument
	case declarer.VerbPrepare:
		if _, ok := l.lease.Prepared[r.Name]; ok {
			return true
		}
		l.lease.Prepared[r.Name] = struct{}{}
	case declarer.VerbReset:
		clear(l.lease.Values)
		clear(l.lease.Prepared)
	}
	return false
}
