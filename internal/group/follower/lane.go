package follower

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// Indexes of the queues. Requests for different conditions don't share questions, because they
// take different times: a read index takes a round trip to the nearest servers, an
// acknowledgement also takes a replication.
const (
	queueReadIndex = iota
	queueCommit
	queueCovered
	queuePrimary
	queuePollNow
	queueCount
)

// queueByKind is the index of the queue for each kind of ask.
var queueByKind = map[informer.AskKind]int{
	informer.AskReadIndex:    queueReadIndex,
	informer.AskAcknowledged: queueCommit,
	informer.AskCommit:       queueCommit,
	informer.AskCovered:      queueCovered,
	informer.AskPrimary:      queuePrimary,
	informer.AskPollNow:      queuePollNow,
}

// maximumInFlight is how many questions of one queue are sent at a time. Requests that arrive
// while these are pending share the next question.
const maximumInFlight = 2

// waitQueue holds the requests that wait for the same kind of condition.
type waitQueue struct {
	waiters []*waiter
	// inFlight is the number of questions sent and not answered yet.
	inFlight int
}

// waiter is one request that waits for an answer of a serving host.
type waiter struct {
	ask  informer.Ask
	done chan answer
	// abandoned says that the caller has stopped waiting for the answer.
	abandoned bool
}

// answer is the outcome of a waiter: a read index, a view or an error, depending on its ask.
type answer struct {
	mark marker.Mark
	view *observer.View
	err  error
}

// enqueue adds w to the queue of its kind, unless it can be answered immediately.
func (f *Follower) enqueue(w *waiter) {
	f.init()
	f.noteRequest()
	w.done = make(chan answer, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped.Load() {
		w.done <- answer{err: driver.ErrStopped}
		return
	}
	if a, ok := f.answerLocally(w, f.view.Load()); ok {
		w.done <- a
		return
	}
	l := &f.queues[queueByKind[w.ask.Kind]]
	l.waiters = append(l.waiters, w)
	f.sendNext(l)
}

// answerLocally returns the answer to w if the tracker and v suffice for it. A record that a
// server was once observed to hold counts permanently, whichever host observed it. The mutex
// is held.
func (f *Follower) answerLocally(w *waiter, v *observer.View) (answer, bool) {
	switch w.ask.Kind {
	case informer.AskAcknowledged:
		return commitAnswer(f.tracker.Decide(w.ask.Mark))
	case informer.AskCommit:
		return commitAnswer(f.tracker.DecideExact(w.ask.Mark))
	case informer.AskCovered:
		s, _ := v.Server(w.ask.Server)
		return answer{}, s.Status.Last.Covers(w.ask.Mark)
	case informer.AskPrimary:
		return f.answerPrimary(v)
	default:
		return answer{}, false
	}
}

func (f *Follower) answerPrimary(v *observer.View) (answer, bool) {
	if v.Confirmed && f.Current() {
		return answer{view: v}, true
	}
	if !v.HasMajority() && v.At-v.NoMajoritySince >= f.Settings.NoMajorityTimeout {
		return answer{view: v, err: driver.ErrNoMajority}, true
	}
	return answer{}, false
}

// commitAnswer returns the answer for a commit in state v. A commit whose state is undetermined
// here is left to the serving host, which observes more.
func commitAnswer(v acknowledger.CommitState) (answer, bool) {
	switch v {
	case acknowledger.Acknowledged:
		return answer{}, true
	case acknowledger.Superseded:
		return answer{err: driver.ErrSuperseded}, true
	default:
		return answer{}, false
	}
}

// serveWaiters answers the queued waiters that v satisfies. The mutex is held.
func (f *Follower) serveWaiters(v *observer.View) {
	for i := range f.queues {
		l := &f.queues[i]
		l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
			a, ok := f.answerLocally(w, v)
			if ok {
				w.done <- a
			}
			return ok
		})
	}
}

// sendNext sends the next question for the waiters of the queue. The mutex is held.
func (f *Follower) sendNext(l *waitQueue) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool { return w.abandoned })
	if f.context == nil || f.stopped.Load() || len(l.waiters) == 0 || l.inFlight >= maximumInFlight {
		return
	}
	n := min(len(l.waiters), informer.MaximumAsks)
	x := &batch{follower: f, queue: l, waiters: slices.Clone(l.waiters[:n])}
	l.waiters = slices.Delete(l.waiters, 0, n)
	l.inFlight++
	f.work.Add(1)
	go x.run(f.context)
}

// start sends the questions for the requests that were queued before Run.
func (f *Follower) start(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.context = ctx
	for i := range f.queues {
		f.sendNext(&f.queues[i])
	}
}

// batch is one question with the waiters that share it.
type batch struct {
	follower *Follower
	queue    *waitQueue
	waiters  []*waiter
}

func (x *batch) run(ctx context.Context) {
	f := x.follower
	defer f.work.Done()
	q := informer.Question{Hold: askHold}
	indexes := make(map[informer.Ask]int)
	for _, w := range x.waiters {
		if _, ok := indexes[w.ask]; !ok {
			indexes[w.ask] = len(q.Asks)
			q.Asks = append(q.Asks, w.ask)
		}
	}
	began := f.now()
	a, _ := f.askHost(ctx, f.pickHost(), q)
	if !anyResolved(a.Results) && f.now()-began < retryDelay {
		_ = scheduler.Pause(ctx, retryDelay)
	}
	x.complete(a.Results, indexes)
}

func anyResolved(l []informer.Result) bool {
	return slices.ContainsFunc(l, func(r informer.Result) bool { return r.State != informer.StatePending })
}

// complete answers the waiters from the results l; indexes holds the index of each ask in l.
// Waiters without a result are queued again. Repeating an ask is safe: a mark stays the same,
// and a read index that is begun later covers no less.
func (x *batch) complete(l []informer.Result, indexes map[informer.Ask]int) {
	f := x.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	x.queue.inFlight--
	for _, w := range x.waiters {
		r := informer.Result{}
		if n := indexes[w.ask]; n < len(l) {
			r = l[n]
		}
		x.resolve(w, r)
	}
	f.sendNext(x.queue)
}

// resolve answers w from r or queues it again. The mutex is held.
func (x *batch) resolve(w *waiter, r informer.Result) {
	f := x.follower
	switch r.State {
	case informer.StateDone:
		w.done <- answer{mark: r.Index, view: f.view.Load()}
		return
	case informer.StateSuperseded:
		w.done <- answer{err: driver.ErrSuperseded}
		return
	case informer.StateUndetermined:
		w.done <- answer{err: driver.ErrUndetermined}
		return
	}
	if a, ok := f.answerLocally(w, f.view.Load()); ok {
		w.done <- a
		return
	}
	if f.stopped.Load() {
		w.done <- answer{err: driver.ErrStopped}
		return
	}
	x.queue.waiters = append(x.queue.waiters, w)
}

// stopWaiters fails all queued waiters with driver.ErrStopped. Waiters whose question is in
// flight are answered when it ends.
func (f *Follower) stopWaiters() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped.Store(true)
	for i := range f.queues {
		for _, w := range f.queues[i].waiters {
			w.done <- answer{err: driver.ErrStopped}
		}
		f.queues[i].waiters = nil
	}
	close(f.nextView)
	f.nextView = make(chan struct{})
}

// await returns the answer to w. It returns the error of ctx unchanged when ctx ends first.
func (f *Follower) await(ctx context.Context, w *waiter) (answer, error) {
	select {
	case a := <-w.done:
		if errors.Is(a.err, driver.ErrStopped) {
			return answer{}, driver.ErrStopped
		}
		return a, nil
	case <-ctx.Done():
		f.abandon(w)
		return answer{}, ctx.Err()
	}
}

func (f *Follower) abandon(w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.abandoned = true
}
