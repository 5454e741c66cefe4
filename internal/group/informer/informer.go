// Package informer answers the questions of entry hosts that follow this one for a database group, out of its driver.
package informer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
)

const (
	// maximumHold bounds how long an answer is kept back.
	maximumHold = 2 * time.Second
	// grace is how long the other asks of a question are waited for after the
	// first is met. Without it each would cost a message; a longer one would keep
	// the first one's caller waiting.
	grace = time.Millisecond
	// hurryPause is the time between two looks for the polls that were hurried.
	hurryPause = time.Millisecond
)

// Informer answers questions. The exported fields are set before use.
type Informer struct {
	// FindDriver returns the driver that this host runs for the group, nil if none,
	// and the digest of the group's servers.
	FindDriver func(group string) (*driver.Driver, uint64)
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
}

// Routes answers other entry hosts.
func (i *Informer) Routes() []listener.Route {
	return []listener.Route{listener.Handle(KindQuestion, i.answer), listener.Handle(KindHandOver, i.handOver)}
}

func (i *Informer) find(group string, servers uint64) *driver.Driver {
	d, n := i.FindDriver(group)
	if d == nil || n != servers || d.Stopped() {
		return nil
	}
	return d
}

func (i *Informer) answer(ctx context.Context, _ encoder.Sender, q Question) (Answer, error) {
	return i.Answer(ctx, q)
}

// Answer answers q.
func (i *Informer) Answer(ctx context.Context, q Question) (Answer, error) {
	d := i.find(q.DatabaseGroup, q.ServersDigest)
	if d == nil {
		return Answer{}, nil
	}
	if len(q.Asks) > MaximumAsks {
		return Answer{}, errors.Annotatef(encoder.ErrTooLarge, "%d asks", len(q.Asks))
	}
	arrival := d.Now()
	x, stop := context.WithTimeout(ctx, min(q.Hold, maximumHold))
	defer stop()
	var a Answer
	if len(q.Asks) > 0 {
		a.Results = i.answerAsks(x, stop, d, q.Asks)
	} else {
		d.AwaitChange(x, q.SeenVersion)
	}
	a.Serving = !d.Stopped()
	a.HandingOver = d.HandingOverLocally()
	v, n := d.Snapshot()
	a.Version = n
	if len(q.Asks) > 0 && a.Version == q.SeenVersion {
		a.Positions = PackPositions(v, arrival)
		return a, nil
	}
	w := Pack(v, arrival)
	a.View = &w
	return a, nil
}

// answerAsks returns the results once all asks are met, or soon after one is.
func (i *Informer) answerAsks(ctx context.Context, stop context.CancelFunc, d *driver.Driver, l []Ask) []Result {
	if len(l) == 1 {
		return []Result{answerAsk(ctx, d, l[0])}
	}
	c := make(chan numbered, len(l))
	for n, a := range l {
		x := &asked{driver: d, ask: a, number: n, results: c}
		go x.run(ctx)
	}
	r := make([]Result, len(l))
	for n := range l {
		o := <-c
		r[o.number] = o.result
		if n == 0 {
			i.Clock.After(grace, func(time.Time) { stop() })
		}
	}
	return r
}

// asked is one of several asks.
type asked struct {
	driver  *driver.Driver
	ask     Ask
	number  int
	results chan<- numbered
}

// numbered is the result of the ask of that number.
type numbered struct {
	number int
	result Result
}

func (a *asked) run(ctx context.Context) {
	a.results <- numbered{number: a.number, result: answerAsk(ctx, a.driver, a.ask)}
}

func answerAsk(ctx context.Context, d *driver.Driver, a Ask) Result {
	switch a.Kind {
	case AskReadIndex:
		m, err := d.ReadIndex(ctx)
		return Result{State: state(ctx, err), Index: m}
	case AskAcknowledged:
		return Result{State: state(ctx, d.WaitAcknowledged(ctx, a.Mark))}
	case AskCommit:
		return Result{State: state(ctx, d.WaitCommit(ctx, a.Mark))}
	case AskCovered:
		return Result{State: state(ctx, d.WaitCovered(ctx, a.Server, a.Mark))}
	case AskPrimary:
		_, err := d.WaitPrimary(ctx)
		return Result{State: state(ctx, err)}
	case AskPollNow:
		return Result{State: hurry(ctx, d)}
	default:
		return Result{}
	}
}

// state tells what err says of the ask. An end of the time to wait says nothing,
// though the driver calls a commit undetermined then.
func state(ctx context.Context, err error) State {
	switch {
	case err == nil:
		return StateDone
	case ctx.Err() != nil, errors.Is(err, driver.ErrStopped):
		return StatePending
	case errors.Is(err, driver.ErrSuperseded):
		return StateSuperseded
	case errors.Is(err, driver.ErrUndetermined):
		return StateUndetermined
	default:
		return StatePending
	}
}

// hurry waits until each server was polled, or failed to answer, since now.
func hurry(ctx context.Context, d *driver.Driver) State {
	since := d.Now()
	v := d.View()
	d.PollNow()
	for !polledSince(v, d.View(), since) {
		if scheduler.Pause(ctx, hurryPause) != nil {
			return StatePending
		}
	}
	return StateDone
}

func polledSince(before, v *observer.View, since time.Duration) bool {
	for i := range v.Servers {
		if v.Servers[i].PolledAt < since && v.Servers[i].Failures <= before.Servers[i].Failures {
			return false
		}
	}
	return true
}

func (i *Informer) handOver(ctx context.Context, _ encoder.Sender, q HandOver) (HandedOver, error) {
	d := i.find(q.DatabaseGroup, q.ServersDigest)
	if d == nil {
		return HandedOver{}, nil
	}
	if err := d.HandOver(ctx, q.From); err != nil {
		return HandedOver{Serving: true, Failure: err.Error()}, nil
	}
	return HandedOver{Serving: true}, nil
}
