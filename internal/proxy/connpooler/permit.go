package connpooler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/limit/regulator"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// leastUnderWay is how many statements may always be under way. Where each of many hosts
	// has connections of its own, more would add up to more than the server has room for.
	leastUnderWay = 1
	// mostUnderWay is how many there are for each slot of a server that refuses none: one that
	// runs, and one that is there when it ends. What is beyond waits where it can be refused,
	// and where transactions go first.
	mostUnderWay = 2
)

// permits bounds how many statements are under way at the server, and orders those that
// wait. The server sheds what its own queue has no room for, whatever it is worth, and
// what is shed has waited in vain. Connections don't bound them well: some rest inside
// transactions.
type permits struct {
	gate      gate.Gate
	regulator regulator.Regulator
	// limit is what the gate has.
	limit int
}

// Permit is the right to have one statement under way.
type Permit struct {
	pool *Pool
	slot *gate.Slot
}

// bound gives the gate the present limit of a pool. The pool's mutex is held.
func (t *permits) bound(p *Pool) {
	t.regulator.Minimum, t.regulator.Maximum = leastUnderWay, max(p.Limit, leastUnderWay)
	if n := p.Server.Slots; n > 0 {
		t.regulator.Maximum = n * mostUnderWay
	}
	if t.gate.BackendServer == "" {
		t.gate.BackendServer = p.Server.ID // read without the pool's mutex from now on
	}
	n := t.regulator.Limit()
	if n == t.limit {
		return
	}
	t.limit = n
	t.gate.Adjust(func(q *admitter.Queue) { q.Slots = n })
}

// AcquirePermit waits until a statement of the caller that has the lease may be sent. On a
// connection that belongs to another host, that host sees to it.
func (l *Lease) AcquirePermit(a AcquireRequest) (*Permit, error) {
	p := l.pool
	if p.OnDemand {
		return &Permit{}, nil
	}
	left := time.Until(a.Deadline)
	if left <= 0 {
		return nil, &Refusal{Server: p.Server.ID, Reason: admitter.ReasonDeadline} // the gate takes zero for no bound
	}
	p.mu.Lock()
	p.permits.bound(p)
	p.mu.Unlock()
	s, err := p.permits.gate.Acquire(context.Background(), gate.Request{Team: a.Team, Class: a.Class, Timeout: left})
	if r, ok := errors.AsType[*gate.Refusal](err); ok {
		return nil, &Refusal{Server: p.Server.ID, Reason: r.Reason, RetryAfter: r.RetryAfter}
	}
	if err != nil {
		return nil, err
	}
	return &Permit{pool: p, slot: s}, nil
}

// End ends the permit, with what the server answered.
func (t *Permit) End(c declarer.Code) {
	if t.slot == nil {
		return
	}
	p := t.pool
	p.mu.Lock()
	n := p.permits.gate.Load().Running
	if c == declarer.CodeBusy {
		p.permits.regulator.Refused(n, sinceEpoch(time.Now()))
	} else {
		p.permits.regulator.Accepted(n)
	}
	p.permits.bound(p)
	p.mu.Unlock()
	t.slot.Release()
}

// taken reports whether as many statements are under way as may be.
func (t *permits) taken() bool {
	l := t.gate.Load()
	return l.Slots > 0 && l.Running >= l.Slots
}
