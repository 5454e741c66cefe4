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
	// minimumInFlight is how many statements may always be in flight. If each of many hosts has
	// its own connections, a higher minimum would add up to more than the server has capacity
	// for.
	minimumInFlight = 1
	// maximumInFlightPerSlot is how many statements may be in flight for each slot of a server
	// that refuses none: one that runs, and one that has already arrived when it ends. Further
	// statements wait at this host, where they can be refused and where transactions have
	// priority.
	maximumInFlightPerSlot = 2
)

// permits limits how many statements are in flight at the server, and orders those that wait.
// Without it, the server would shed statements that exceed its own queue, regardless of their
// class and after they have waited in vain. The number of connections is no good limit, as some
// connections are idle inside transactions.
type permits struct {
	gate      gate.Gate
	regulator regulator.Regulator
	// limit is the number of slots that the gate has.
	limit int
}

// Permit is the right to have one statement in flight.
type Permit struct {
	pool *Pool
	// slot is nil for a connection that is borrowed from another host.
	slot *gate.Slot
}

// updateLimit sets the gate's slots to the present limit of pool p. The caller must hold the
// mutex of p.
func (t *permits) updateLimit(p *Pool) {
	t.regulator.Minimum, t.regulator.Maximum = minimumInFlight, max(p.Limit, minimumInFlight)
	if n := p.Server.Slots; n > 0 {
		t.regulator.Maximum = n * maximumInFlightPerSlot
	}
	if t.gate.BackendServer == "" {
		t.gate.BackendServer = p.Server.ID // afterwards it is read without the pool's mutex
	}
	n := t.regulator.Limit()
	if n == t.limit {
		return
	}
	t.limit = n
	t.gate.Adjust(func(q *admitter.Queue) { q.Slots = n })
}

// AcquirePermit waits until a statement may be sent on the leased connection. It returns a
// *Refusal if the wait was or would be too long. If the connection is borrowed from another host,
// it doesn't wait, as that host limits the statements itself.
func (l *Lease) AcquirePermit(a AcquireRequest) (*Permit, error) {
	if l.pool.OnDemand {
		return &Permit{}, nil
	}
	return l.pool.acquirePermit(a)
}

// acquirePermit waits until a statement, or the opening of a connection, may be sent.
func (p *Pool) acquirePermit(a AcquireRequest) (*Permit, error) {
	left := time.Until(a.Deadline)
	if left <= 0 {
		return nil, &Refusal{Server: p.Server.ID, Reason: admitter.ReasonDeadline} // zero would mean no timeout to the gate
	}
	p.mu.Lock()
	p.permits.updateLimit(p)
	p.mu.Unlock()
	q := gate.Request{Team: a.Team, Class: a.Class, Importance: a.Importance, Timeout: left}
	if p.ByCustomer && !a.Objective.IsZero() {
		// Requests wait here rather than for a connection, as each opens its own.
		q.Objective = max(1, time.Until(a.Objective))
	}
	p.recordOfferedPermit(q)
	s, err := p.permits.gate.Acquire(context.Background(), q)
	if r, ok := errors.AsType[*gate.Refusal](err); ok {
		return nil, p.permitRefusal(r, q)
	}
	if err != nil {
		return nil, err
	}
	return &Permit{pool: p, slot: s}, nil
}

// permitRefusal returns the refusal of a request for a permit.
func (p *Pool) permitRefusal(g *gate.Refusal, q gate.Request) *Refusal {
	r := &Refusal{Server: p.Server.ID, Reason: g.Reason, RetryAfter: g.RetryAfter}
	a := p.admission.Load()
	if a == nil {
		return r
	}
	l := p.withoutTeams(p.permits.gate.QueueLoad())
	a.complete(r, &a.permits, q.Importance, g.Order, l)
	return r
}

// recordOfferedPermit records the wait that a request for a permit can accept.
func (p *Pool) recordOfferedPermit(q gate.Request) {
	if a := p.admission.Load(); a != nil {
		a.offered(&a.permits, q.Importance, permitTolerance(q, p.permits.gate.Load().ServiceTime))
	}
}

// permitTolerance returns the longest wait with which a request for a permit is acceptable if it then runs
// for so long.
func permitTolerance(q gate.Request, run time.Duration) time.Duration {
	t := q.Timeout - run
	if q.Objective > 0 {
		t = min(t, q.Objective)
	}
	return t
}

// End returns the permit. The code is that of the server's answer; with CodeBusy, the limit is
// lowered, and the permit is used again only after the time in which a slot of the server becomes
// free: until then the server would refuse the next statement as well.
func (t *Permit) End(c declarer.Code) {
	if t.slot == nil {
		return
	}
	p := t.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.permits.gate.Load()
	if c == declarer.CodeBusy {
		p.permits.regulator.Refused(l.Running, sinceEpoch(time.Now()))
		p.permits.updateLimit(p)
		time.AfterFunc(l.ServiceTime/time.Duration(max(1, p.Server.Slots)), t.slot.ReleaseUnused)
		return
	}
	p.permits.regulator.Accepted(l.Running)
	p.permits.updateLimit(p)
	t.slot.Release()
}

// Cancel returns the permit of something that has failed. How long it took says nothing about how long
// the next will take.
func (t *Permit) Cancel() {
	if t.slot != nil {
		t.slot.ReleaseUnused()
	}
}

// exhausted reports whether as many statements are in flight as allowed.
func (t *permits) exhausted() bool {
	l := t.gate.Load()
	return l.Slots > 0 && l.Running >= l.Slots
}
