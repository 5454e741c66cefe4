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
}

// Observe requests the position of the group's primary unless a request is under way or recent. If
// wait is set, it waits for the answer until the deadline. The result is on the blackboard.
func (o *Observer) Observe(group string, wait bool, deadline time.Time) {
	f := o.currentOrNew(group)
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
func (o *Observer) currentOrNew(group string) *observation {
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
	f = &observation{observer: o, group: group, done: make(chan struct{}), nextAt: time.Now().Add(observeInterval)}
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
	l, err := p.Acquire(connpooler.AcquireRequest{Deadline: end, Class: admitter.ClassTransaction})
	if err != nil {
		return
	}
	f.askPosition(id, l, end)
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
	case err != nil:
		f.observer.Board.Do(f.group, func(g *grouptracker.Group) { g.RecordFailure(id, f.observer.Board.Time(), f.observer.Board.Time()) })
	case begun.Code == declarer.CodeReadOnly:
		f.observer.Board.Do(f.group, func(g *grouptracker.Group) { g.RecordNotLeading(id) })
	case begun.Code == declarer.CodeNone:
		f.observer.Board.RecordLeadership(f.group, id, asked, begun.Position)
	}
}
