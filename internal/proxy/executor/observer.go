package executor

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

const (
	// observeTimeout bounds one request to a primary.
	observeTimeout = 500 * time.Millisecond
	// observeInterval is the least time between two requests about one group.
	observeInterval = 50 * time.Millisecond
)

// Observer asks primaries for the end of their logs. Concurrent callers share one request. Its
// exported fields are set before use.
type Observer struct {
	Board *blackboard.Board
	Pools Pools

	mu           sync.Mutex
	observations map[string]*observation
}

// observation is one request to the primary of one group.
type observation struct {
	observer *Observer
	group    string
	done     chan struct{}
	nextAt   time.Time
	// maximumAge is how long ago the primary may have had the position that is asked for.
	maximumAge time.Duration
}

// Observe requests a position that the group's primary had at most maximumAge ago, unless a request is
// under way or recent. If wait is set, it waits for the answer until the deadline. The result is on the
// blackboard.
func (o *Observer) Observe(group string, maximumAge time.Duration, wait bool, deadline time.Time) {
	f := o.currentOrNew(group, maximumAge)
	if !wait {
		return
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-f.done:
	case <-t.C:
	}
}

// currentOrNew returns the observation under way or made within observeInterval, or starts a new
// one.
func (o *Observer) currentOrNew(group string, maximumAge time.Duration) *observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.observations == nil {
		o.observations = make(map[string]*observation)
	}
	f := o.observations[group]
	if f != nil && time.Now().Before(f.nextAt) {
		return f
	}
	if f != nil && !f.ended() {
		return f
	}
	f = &observation{observer: o, group: group, done: make(chan struct{}), nextAt: time.Now().Add(observeInterval), maximumAge: maximumAge}
	o.observations[group] = f
	go f.run()
	return f
}

func (f *observation) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// run asks with an empty transaction, which only the primary begins and which uses no slot. Its
// class precedes that of statements: if it had to queue at an overloaded primary, reads couldn't
// be sent to replicas, which would prolong the overload.
func (f *observation) run() {
	defer close(f.done)
	id := ""
	f.observer.Board.Do(f.group, func(g *grouptracker.Group) {
		if s := g.Primary(); s != nil {
			id = s.ID
		}
	})
	p := f.observer.Pools.Pool(id)
	if p == nil {
		return
	}
	end := time.Now().Add(observeTimeout)
	q := connpooler.AcquireRequest{Deadline: end, Class: admitter.ClassTransaction, AnyCustomer: true, Ranked: f.observer.Board.Ranked()}
	l, err := p.Acquire(q)
	if err != nil {
		return
	}
	if _, borrowed := l.Connection.(connpooler.BorrowedConnection); borrowed && f.maximumAge > 0 {
		known, broken := f.askOwner(l, end)
		if known || broken {
			l.Release(broken)
			return
		}
		l.Release(false)
		if l, err = p.Acquire(q); err != nil {
			return
		}
	}
	f.askPosition(id, l, end)
}

// askOwner asks the host that owns the primary's connections for a position that the primary had
// lately. That host observes the primary for all others, so that a host with few reads gets a position
// that replicas already have. It reports whether there was one.
func (f *observation) askOwner(l *connpooler.Lease, end time.Time) (known, broken bool) {
	asked := f.observer.Board.Time()
	e := &exchange{lease: l, deadline: end}
	e.add(declarer.Request{Verb: declarer.VerbPosition, MaximumAge: f.maximumAge})
	var a declarer.Answer
	if err := e.run(&a); err != nil {
		return false, true
	}
	if a.Code != declarer.CodeNone {
		return false, false
	}
	f.observer.Board.Do(f.group, func(g *grouptracker.Group) { g.AddPosition(asked-a.Age, a.Position) })
	return true, false
}

func (f *observation) askPosition(id string, l *connpooler.Lease, end time.Time) {
	asked := f.observer.Board.Time()
	e := &exchange{lease: l, deadline: end}
	e.add(declarer.Request{Verb: declarer.VerbBegin})
	e.add(declarer.Request{Verb: declarer.VerbRollback})
	var begun, ended declarer.Answer
	err := e.run(&begun, &ended)
	l.Release(err != nil)
	switch {
	case errors.Is(err, connpooler.ErrNotSent), errors.Is(err, connpooler.ErrOutOfStep):
	case err != nil:
		f.observer.Board.Do(f.group, func(g *grouptracker.Group) { g.RecordFailure(id, f.observer.Board.Time(), f.observer.Board.Time()) })
	case begun.Code == declarer.CodeReadOnly:
		f.observer.Board.Do(f.group, func(g *grouptracker.Group) { g.RecordNotLeading(id) })
	case begun.Code == declarer.CodeNone && ended.Code == declarer.CodeNone:
		f.observer.Board.RecordLeadership(f.group, id, asked, begun.Position)
	}
}
