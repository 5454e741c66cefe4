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

// Those who wait for different things don't share questions: a read index takes a
// round trip to the nearest servers, an acknowledgement a replication as well.
const (
	laneIndex = iota
	laneMark
	laneCovered
	lanePrimary
	laneHurry
	laneCount
)

var lanes = map[informer.AskKind]int{
	informer.AskReadIndex:    laneIndex,
	informer.AskAcknowledged: laneMark,
	informer.AskCommit:       laneMark,
	informer.AskCovered:      laneCovered,
	informer.AskPrimary:      lanePrimary,
	informer.AskPollNow:      laneHurry,
}

// maximumFlights is how many questions of a lane are under way at once. Whoever
// comes while they are shares the next one.
const maximumFlights = 2

// lane gathers those who wait for the same kind of thing.
type lane struct {
	queue   []*waiter
	flights int
}

// waiter is one request that waits for a serving host's word.
type waiter struct {
	ask  informer.Ask
	done chan answer
	// left says that nobody waits for the answer any more.
	left bool
}

type answer struct {
	mark marker.Mark
	view *observer.View
	err  error
}

// enlist asks for what w waits for, unless it is known already.
func (f *Follower) enlist(w *waiter) {
	f.init()
	f.demand()
	w.done = make(chan answer, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped.Load() {
		w.done <- answer{err: driver.ErrStopped}
		return
	}
	if a, ok := f.known(w, f.view.Load()); ok {
		w.done <- a
		return
	}
	l := &f.lanes[lanes[w.ask.Kind]]
	l.queue = append(l.queue, w)
	f.pump(l)
}

// known answers w from what is known here, if that suffices. What a server was
// seen to hold counts for good, whoever has seen it. The mutex is held.
func (f *Follower) known(w *waiter, v *observer.View) (answer, bool) {
	switch w.ask.Kind {
	case informer.AskAcknowledged:
		return verdict(f.ledger.Decide(w.ask.Mark))
	case informer.AskCommit:
		return verdict(f.ledger.DecideExact(w.ask.Mark))
	case informer.AskCovered:
		s, _ := v.Server(w.ask.Server)
		return answer{}, s.Status.Last.Covers(w.ask.Mark)
	case informer.AskPrimary:
		return f.primary(v)
	default:
		return answer{}, false
	}
}

func (f *Follower) primary(v *observer.View) (answer, bool) {
	if v.Confirmed && f.Current() {
		return answer{view: v}, true
	}
	if !v.HasMajority() && v.At-v.NoMajoritySince >= f.Settings.NoMajorityTimeout {
		return answer{view: v, err: driver.ErrNoMajority}, true
	}
	return answer{}, false
}

// verdict leaves what isn't determined here to the serving host, which sees more.
func verdict(v acknowledger.CommitState) (answer, bool) {
	switch v {
	case acknowledger.Acknowledged:
		return answer{}, true
	case acknowledger.Superseded:
		return answer{err: driver.ErrSuperseded}, true
	default:
		return answer{}, false
	}
}

// serveWaiters answers those in the queues whose answer v shows. The mutex is held.
func (f *Follower) serveWaiters(v *observer.View) {
	for i := range f.lanes {
		l := &f.lanes[i]
		l.queue = slices.DeleteFunc(l.queue, func(w *waiter) bool {
			a, ok := f.known(w, v)
			if ok {
				w.done <- a
			}
			return ok
		})
	}
}

// pump sends the next question of the lane. The mutex is held.
func (f *Follower) pump(l *lane) {
	l.queue = slices.DeleteFunc(l.queue, func(w *waiter) bool { return w.left })
	if f.context == nil || f.stopped.Load() || len(l.queue) == 0 || l.flights >= maximumFlights {
		return
	}
	n := min(len(l.queue), informer.MaximumAsks)
	x := &flight{follower: f, lane: l, waiters: slices.Clone(l.queue[:n])}
	l.queue = slices.Delete(l.queue, 0, n)
	l.flights++
	f.work.Add(1)
	go x.run(f.context)
}

// begin sends what was asked for before Run.
func (f *Follower) begin(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.context = ctx
	for i := range f.lanes {
		f.pump(&f.lanes[i])
	}
}

// flight is one question with those who wait for its answer.
type flight struct {
	follower *Follower
	lane     *lane
	waiters  []*waiter
}

func (x *flight) run(ctx context.Context) {
	f := x.follower
	defer f.work.Done()
	q := informer.Question{Hold: askHold}
	number := make(map[informer.Ask]int)
	for _, w := range x.waiters {
		if _, ok := number[w.ask]; !ok {
			number[w.ask] = len(q.Asks)
			q.Asks = append(q.Asks, w.ask)
		}
	}
	began := f.now()
	a, _ := f.question(ctx, f.pick(), q)
	if !met(a.Results) && f.now()-began < pause {
		_ = scheduler.Pause(ctx, pause)
	}
	x.land(a.Results, number)
}

func met(l []informer.Result) bool {
	return slices.ContainsFunc(l, func(r informer.Result) bool { return r.State != informer.StatePending })
}

// land answers the waiters; those without an answer ask again, whom they can. A
// mark stays the same, and an index that is begun later covers no less.
func (x *flight) land(l []informer.Result, number map[informer.Ask]int) {
	f := x.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	x.lane.flights--
	for _, w := range x.waiters {
		r := informer.Result{}
		if n := number[w.ask]; n < len(l) {
			r = l[n]
		}
		x.settle(w, r)
	}
	f.pump(x.lane)
}

// settle answers w or has it ask again. The mutex is held.
func (x *flight) settle(w *waiter, r informer.Result) {
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
	if a, ok := f.known(w, f.view.Load()); ok {
		w.done <- a
		return
	}
	if f.stopped.Load() {
		w.done <- answer{err: driver.ErrStopped}
		return
	}
	x.lane.queue = append(x.lane.queue, w)
}

// endWaits tells all in the queues that no answer comes; those with a question
// under way are told when it ends.
func (f *Follower) endWaits() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped.Store(true)
	for i := range f.lanes {
		for _, w := range f.lanes[i].queue {
			w.done <- answer{err: driver.ErrStopped}
		}
		f.lanes[i].queue = nil
	}
	close(f.fresh)
	f.fresh = make(chan struct{})
}

// await returns the answer to w. The error of ctx is returned as it is.
func (f *Follower) await(ctx context.Context, w *waiter) (answer, error) {
	select {
	case a := <-w.done:
		if errors.Is(a.err, driver.ErrStopped) {
			return answer{}, driver.ErrStopped
		}
		return a, nil
	case <-ctx.Done():
		f.leave(w)
		return answer{}, ctx.Err()
	}
}

func (f *Follower) leave(w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.left = true
}
