// Package informer answers questions about a database group from entry hosts that follow this one, using this host's driver.
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
	// maximumHold bounds how long an answer is delayed.
	maximumHold = 2 * time.Second
	// resultGrace is how long the other asks of a question are waited for after the first result.
	// Without it each result would need a message of its own; a longer one would delay the
	// caller that waits for the first result.
	resultGrace = time.Millisecond
	// pollCheckInterval is the time between two checks whether the polls of AskPollNow are done.
	pollCheckInterval = time.Millisecond
)

// Informer answers the questions of followers. The exported fields are set before use.
type Informer struct {
	// FindDriver returns the driver that this host runs for the group, nil if it runs none, and
	// the digest of the group's servers, see DigestServers.
	FindDriver func(group string) (*driver.Driver, uint64)
	// Clock schedules the end of a wait. If nil, plain timers are used.
	Clock *scheduler.Scheduler
}

// Routes returns the routes for messages of other entry hosts.
func (i *Informer) Routes() []listener.Route {
	return []listener.Route{listener.Handle(KindQuestion, i.answer), listener.Handle(KindHandOver, i.handOver)}
}

// findDriver returns the running driver of the group, nil if there is none or if servers isn't
// the digest of its servers.
func (i *Informer) findDriver(group string, servers uint64) *driver.Driver {
	d, n := i.FindDriver(group)
	if d == nil || n != servers || d.Stopped() {
		return nil
	}
	return d
}

func (i *Informer) answer(ctx context.Context, _ encoder.Sender, q Question) (Answer, error) {
	return i.Answer(ctx, q)
}

// Answer answers q, with Serving false if this host runs no driver for these servers. It returns
// encoder.ErrTooLarge for more than MaximumAsks asks.
func (i *Informer) Answer(ctx context.Context, q Question) (Answer, error) {
	d := i.findDriver(q.DatabaseGroup, q.ServersDigest)
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

// answerAsks returns the results once all asks have one, or resultGrace after the first.
func (i *Informer) answerAsks(ctx context.Context, stop context.CancelFunc, d *driver.Driver, l []Ask) []Result {
	if len(l) == 1 {
		return []Result{answerAsk(ctx, d, l[0])}
	}
	c := make(chan indexedResult, len(l))
	for n, a := range l {
		x := &askTask{driver: d, ask: a, index: n, results: c}
		go x.run(ctx)
	}
	r := make([]Result, len(l))
	for n := range l {
		o := <-c
		r[o.index] = o.result
		if n == 0 {
			i.Clock.After(resultGrace, func(time.Time) { stop() })
		}
	}
	return r
}

// askTask processes one of several asks.
type askTask struct {
	driver  *driver.Driver
	ask     Ask
	index   int
	results chan<- indexedResult
}

// indexedResult is the result of the ask at index.
type indexedResult struct {
	index  int
	result Result
}

func (a *askTask) run(ctx context.Context) {
	a.results <- indexedResult{index: a.index, result: answerAsk(ctx, a.driver, a.ask)}
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
		return Result{State: pollNow(ctx, d)}
	default:
		return Result{}
	}
}

// state returns the state of an ask whose call to the driver returned err. When the wait timed
// out the ask stays pending, although the driver then reports a commit as undetermined.
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

// pollNow polls all servers and waits until each has answered or failed.
func pollNow(ctx context.Context, d *driver.Driver) State {
	since := d.Now()
	v := d.View()
	d.PollNow()
	for !polledSince(v, d.View(), since) {
		if scheduler.Pause(ctx, pollCheckInterval) != nil {
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
	d := i.findDriver(q.DatabaseGroup, q.ServersDigest)
	if d == nil {
		return HandedOver{}, nil
	}
	if err := d.HandOver(ctx, q.From); err != nil {
		return HandedOver{Serving: true, Failure: err.Error()}, nil
	}
	return HandedOver{Serving: true}, nil
}
