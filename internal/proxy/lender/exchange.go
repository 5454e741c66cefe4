package lender

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// errNoReplacement is returned if a connection can't be used, and there is no other one to lend in its place.
const errNoReplacement = errors.ConstError("no connection in place of one that can't be used")

// runOrReplace is run. If the connection can't be used any more before the first batch of the lease was sent,
// it lends another one in its place.
func (l *Link) runOrReplace(requests []declarer.Request, end time.Time) error {
	fresh := l.fresh
	err := l.run(requests, end)
	if !errors.Is(err, connpooler.ErrNotSent) {
		return err
	}
	l.returnLease(true)
	l.refusal = Refusal{Unreachable: true, Message: err.Error()}
	if !fresh {
		return errNoReplacement
	}
	again := l.request
	again.Wait = min(again.Wait, time.Until(end))
	if l.lend(again); l.lease == nil {
		return errNoReplacement
	}
	if err = l.run(requests, end); !errors.Is(err, connpooler.ErrNotSent) {
		return err
	}
	l.returnLease(true)
	l.refusal = Refusal{Unreachable: true, Message: err.Error()}
	return errNoReplacement
}

// run runs a batch of statements and answers each. It first acquires a permit, unless all of them
// are the proxy's own, such as those that set the connection up. If it returns a connpooler.Refusal or
// connpooler.ErrNotSent, nothing was sent.
func (l *Link) run(requests []declarer.Request, end time.Time) error {
	if !slices.ContainsFunc(requests, func(r declarer.Request) bool { return r.ID != "" }) {
		return l.exchange(requests, end)
	}
	a := l.request.acquireRequest(time.Now())
	a.Deadline = end
	if l.lease.State == declarer.StateTransaction {
		a.Class = admitter.ClassTransaction
	}
	t, err := l.lease.AcquirePermit(a)
	if err != nil {
		return err
	}
	err = l.exchange(requests, end)
	if errors.Is(err, connpooler.ErrNotSent) {
		t.Cancel()
	} else {
		t.End(l.code)
	}
	return err
}

// exchange sends the statements to the server, without those that are redundant, and answers each.
func (l *Link) exchange(requests []declarer.Request, end time.Time) error {
	skipped, out := l.planBatch(requests)
	if len(out) > 0 {
		if err := l.lease.Send(out, end); err != nil {
			return err
		}
	}
	l.code = declarer.CodeNone
	var a declarer.Answer
	for range len(out) - countSent(skipped) {
		if err := l.receiveSetup(&a, end); err != nil {
			return err
		}
	}
	for i, s := range skipped {
		if s {
			l.Borrower.Done(l.lease.State)
			continue
		}
		receive := l.receive
		if setsUp(requests[i]) {
			receive = l.receiveSetup
		}
		if err := receive(&a, end); err != nil {
			return err
		}
		l.Borrower.Answer(&a)
	}
	return nil
}

// setsUp reports whether the statement is recorded as done when a batch is planned.
func setsUp(r declarer.Request) bool {
	return r.Verb == declarer.VerbSet || r.Verb == declarer.VerbPrepare || r.Verb == declarer.VerbReset
}

// receiveSetup is receive for a statement that sets up the connection.
func (l *Link) receiveSetup(a *declarer.Answer, end time.Time) error {
	if err := l.receive(a, end); err != nil {
		return err
	}
	if a.Code != declarer.CodeNone {
		return errors.Annotatef(connpooler.ErrSetup, "%s", a.Detail)
	}
	return nil
}

// countSent returns how many statements aren't skipped.
func countSent(skipped []bool) int {
	n := 0
	for _, s := range skipped {
		if !s {
			n++
		}
	}
	return n
}

// receive receives the next answer of the server.
func (l *Link) receive(a *declarer.Answer, end time.Time) error {
	*a = declarer.Answer{Body: a.Body[:0]}
	if err := l.lease.Receive(a, end); err != nil {
		return err
	}
	l.lease.State = a.State
	switch a.Code {
	case declarer.CodeBusy:
		l.code = a.Code
	case declarer.CodeNoSuchStatement:
		clear(l.lease.Prepared)
	}
	l.OnAnswer()
	return nil
}

// planBatch returns which statements of a batch are skipped, and what is sent to the server. The
// first batch of a lease sets all values of the borrower's session. These must be the only values on
// the connection, which is reset if it has others. Statements may still be prepared from an earlier
// lease.
func (l *Link) planBatch(requests []declarer.Request) (skipped []bool, out []declarer.Request) {
	skipped = make([]bool, len(requests))
	values := make(map[string]string)
	for _, r := range requests {
		if r.Verb == declarer.VerbSet {
			values[r.Name] = r.Text
		}
	}
	if l.fresh && !sameValues(l.lease.Values, values) {
		out = append(out, declarer.Request{Verb: declarer.VerbReset})
		clear(l.lease.Values)
		clear(l.lease.Prepared)
	}
	l.fresh = false
	for i, r := range requests {
		skipped[i] = l.isRedundant(r)
		if !skipped[i] {
			out = append(out, r)
		}
	}
	return skipped, out
}

// sameValues reports whether the connection has no values or exactly the wanted ones.
func sameValues(present, wanted map[string]string) bool {
	return len(present) == 0 || maps.Equal(present, wanted)
}

// isRedundant reports whether the statement would change nothing on the connection. Otherwise, it
// records the change that the statement makes.
func (l *Link) isRedundant(r declarer.Request) bool {
	switch r.Verb {
	case declarer.VerbSet:
		if v, ok := l.lease.Values[r.Name]; ok && v == r.Text {
			return true
		}
		l.lease.Values[r.Name] = r.Text
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
