package executor

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

const (
	// observeTimeout bounds one question to a primary.
	observeTimeout = 500 * time.Millisecond
	// observeInterval is the least time between two of them about one group.
	observeInterval = 50 * time.Millisecond
)

// Observer asks primaries how far their logs go. One question serves all who wait.
// Its exported fields are set before use.
type Observer struct {
	Board *blackboard.Board
	Pools Pools

	mu      sync.Mutex
	flights map[string]*observation
}

// observation is one question about one group.
type observation struct {
	observer *Observer
	group    string
	done     chan struct{}
	next     time.Time
}

// Observe has the group's primary asked, and waits for the answer if wait is set.
func (o *Observer) Observe(group string, wait bool, deadline time.Time) {
	f := o.flight(group)
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

// flight returns the question under way, or begins one.
func (o *Observer) flight(group string) *observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.flights == nil {
		o.flights = make(map[string]*observation)
	}
	f := o.flights[group]
	if f != nil && time.Now().Before(f.next) {
		return f
	}
	if f != nil && !f.ended() {
		return f
	}
	f = &observation{observer: o, group: group, done: make(chan struct{}), next: time.Now().Add(observeInterval)}
	o.flights[group] = f
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

// run asks by an empty transaction, which only a leading server begins, and which
// uses no slot. It goes before statements: where the primary is overloaded, reads could
// else not be sent to replicas, and would make the overload last.
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
	l, err := p.Acquire(connpooler.AcquireRequest{Deadline: end, Class: admitter.ClassTransaction})
	if err != nil {
		return
	}
	f.ask(id, l, end)
}

func (f *observation) ask(id string, l *connpooler.Lease, end time.Time) {
	asked := f.observer.Board.Time()
	e := &exchange{lease: l, deadline: end}
	e.add(declarer.Request{Verb: declarer.VerbBegin})
	e.add(declarer.Request{Verb: declarer.VerbRollback})
	var begun, ended declarer.Answer
	err := e.run(&begun, &ended)
	l.Release(err != nil)
	switch {
	case err != nil:
		f.observer.Board.Do(f.group, func(g *grouptracker.Group) { g.RecordFailure(id, f.observer.Board.Time(), f.observer.Board.Time()) })
	case begun.Code == declarer.CodeReadOnly:
		f.observer.Board.Do(f.group, func(g *grouptracker.Group) { g.RecordNotLeading(id) })
	case begun.Code == declarer.CodeNone:
		f.observer.Board.RecordLeadership(f.group, id, asked, begun.Position)
	}
}
