package driver

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/group/indexer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// waitKind is what a waiter waits for.
type waitKind int

const (
	waitAcknowledged waitKind = iota
	waitCommit
	waitIndex
	waitCovered
	waitPrimary
	waitDrained
)

// demandKinds maps each kind of waiter to the kind of its demand for polls.
var demandKinds = [...]pacer.Kind{
	waitAcknowledged: pacer.KindAcknowledgement,
	waitCommit:       pacer.KindAcknowledgement,
	waitIndex:        pacer.KindReadIndex,
	waitCovered:      pacer.KindCover,
	waitPrimary:      pacer.KindPrimary,
	waitDrained:      pacer.KindDrain,
}

// waiter is one request that waits for a change in the group's observed state. It holds no slot and
// no connection; the goroutine that records a status answers all waiters that it can.
type waiter struct {
	kind   waitKind
	mark   marker.Mark
	server string
	done   chan answer
	// demand determines when instances are polled for the waiter. Only polls with a number
	// above demand.AfterPoll count for it.
	demand pacer.Demand
	// behind are the instances that answered a poll after the waiter's arrival without having
	// reached what it waits for.
	behind pacer.Set
}

// answer is the result of a wait.
type answer struct {
	mark marker.Mark
	view *observer.View
	err  error
	// stopped says that the driver has stopped, so that there will be no result.
	stopped bool
}

// WaitAcknowledged returns nil once a majority of the group's instances is known to hold all commits
// up to m, a log position of the primary that was read after them. It returns an error of
// ErrSuperseded if none of the entries of m's term remains in the log, and of ErrUndetermined, also
// when ctx ends, if any of the commits may remain.
func (d *Driver) WaitAcknowledged(ctx context.Context, m marker.Mark) error {
	return d.waitMark(ctx, waitAcknowledged, m)
}

// WaitCommit is like WaitAcknowledged for a single commit whose own position is m, rather than a
// position read after it. It can return ErrSuperseded in more cases: the commit did not run and
// never will.
func (d *Driver) WaitCommit(ctx context.Context, m marker.Mark) error {
	return d.waitMark(ctx, waitCommit, m)
}

func (d *Driver) waitMark(ctx context.Context, k waitKind, m marker.Mark) error {
	a, err := d.wait(ctx, &waiter{kind: k, mark: m})
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "wait for acknowledgement of %s in database group %s", m, d.Group.Name), ErrUndetermined)
	}
	return errors.Annotatef(a.err, "commit %s in database group %s", m, d.Group.Name)
}

// ReadIndex returns a mark that covers every write acknowledged before the call.
func (d *Driver) ReadIndex(ctx context.Context) (marker.Mark, error) {
	return d.BeginReadIndex(ctx).Await(ctx)
}

// IndexRequest is the PendingIndex of a Driver.
type IndexRequest struct {
	driver *Driver
	waiter *waiter
	// stop unregisters the call of cancel at the end of the request's context.
	stop func() bool
}

// PendingIndex is a request for a read index that may still be in progress.
type PendingIndex interface {
	// Await waits for the read index and returns it.
	Await(ctx context.Context) (marker.Mark, error)
}

// BeginReadIndex starts a request for a read index, a mark that covers every write acknowledged
// before the call. The request is cancelled when ctx ends.
func (d *Driver) BeginReadIndex(ctx context.Context) PendingIndex {
	r := &IndexRequest{driver: d, waiter: &waiter{kind: waitIndex}}
	d.startWait(r.waiter)
	r.stop = context.AfterFunc(ctx, r.cancel)
	return r
}

// cancel removes the request's waiter. Without it a request whose caller doesn't wait for the answer
// would keep polls going for as long as no majority answers.
func (r *IndexRequest) cancel() {
	r.driver.removeWaiter(r.waiter)
}

// Await waits for the read index and returns it. It returns an error of ErrNoMajority if ctx ends or
// the driver stops first; after a stop the error is of ErrStopped as well.
func (r *IndexRequest) Await(ctx context.Context) (marker.Mark, error) {
	d := r.driver
	defer r.stop()
	a, err := d.await(ctx, r.waiter)
	if err != nil {
		return marker.Mark{}, errors.WithType(errors.Annotatef(err, "take read index of database group %s", d.Group.Name), ErrNoMajority)
	}
	return a.mark, nil
}

// WaitCovered returns nil once the server's log covers m, and an error of ErrUncovered if ctx ends
// before. ctx must have a deadline, see indexer.Index.
func (d *Driver) WaitCovered(ctx context.Context, server string, m marker.Mark) error {
	_, err := d.wait(ctx, &waiter{kind: waitCovered, server: server, mark: m})
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "wait for backend server %s to reach %s", server, m), ErrUncovered)
	}
	return nil
}

// WaitPrimary waits for a view with a confirmed primary and returns it. It returns an error of
// ErrNoMajority once a majority of the instances has been unreachable for
// Settings.NoMajorityTimeout, and of ErrNoPrimary when ctx ends.
func (d *Driver) WaitPrimary(ctx context.Context) (*observer.View, error) {
	a, err := d.wait(ctx, &waiter{kind: waitPrimary})
	if err != nil {
		return d.View(), errors.WithType(errors.Annotatef(err, "wait for primary of database group %s, %s", d.Group.Name, d.View().Obstacle), ErrNoPrimary)
	}
	return a.view, errors.Annotatef(a.err, "wait for primary of database group %s", d.Group.Name)
}

func (d *Driver) wait(ctx context.Context, w *waiter) (answer, error) {
	d.startWait(w)
	return d.await(ctx, w)
}

func (d *Driver) startWait(w *waiter) {
	d.init()
	w.done = make(chan answer, 1)
	d.addWaiter(w)
}

func (d *Driver) await(ctx context.Context, w *waiter) (answer, error) {
	select {
	case a := <-w.done:
		if a.stopped {
			return answer{}, ErrStopped
		}
		return a, nil
	case <-ctx.Done():
		d.removeWaiter(w)
		return answer{}, ctx.Err()
	}
}

func (d *Driver) addWaiter(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setDemand(w)
	if d.serve(w, d.view.Load()) {
		return
	}
	if d.stopped.Load() {
		w.done <- answer{stopped: true}
		return
	}
	d.waiters[w] = struct{}{}
	d.scheduleFor(w)
}

func (d *Driver) removeWaiter(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, w)
	d.schedule()
}

// stopWaiters ends all waits without an answer. Otherwise a commit that was made just before a
// change of the group's servers would wait until its deadline although a majority holds it.
func (d *Driver) stopWaiters() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped.Store(true)
	for w := range d.waiters {
		w.done <- answer{stopped: true}
	}
	clear(d.waiters)
}

// Stopped reports whether the context of Run has ended.
func (d *Driver) Stopped() bool {
	return d.stopped.Load()
}

func (d *Driver) serveWaiters(v *observer.View) {
	for w := range d.waiters {
		if d.serve(w, v) {
			delete(d.waiters, w)
		}
	}
}

// serve answers the waiter if its answer is known, and reports whether it was. The mutex is held.
func (d *Driver) serve(w *waiter, v *observer.View) bool {
	a, ok := d.answer(w, v)
	if ok {
		w.done <- a
	}
	return ok
}

func (d *Driver) answer(w *waiter, v *observer.View) (answer, bool) {
	switch w.kind {
	case waitAcknowledged:
		return answerVerdict(d.ledger.Decide(w.mark))
	case waitCommit:
		return answerVerdict(d.ledger.DecideExact(w.mark))
	case waitIndex:
		m, ok := indexer.Index(len(d.instances), d.polledAfter(w.demand.AfterPoll))
		return answer{mark: m}, ok
	case waitCovered:
		return answer{}, lastMark(v, w.server).Covers(w.mark)
	case waitDrained:
		i := d.instance(w.server)
		return answer{}, i.answered > w.demand.AfterPoll && i.observation.Status.WriteTransactions == 0
	default:
		return d.answerPrimary(v)
	}
}

func answerVerdict(v acknowledger.CommitState) (answer, bool) {
	switch v {
	case acknowledger.Acknowledged:
		return answer{}, true
	case acknowledger.Superseded:
		return answer{err: ErrSuperseded}, true
	case acknowledger.Undetermined:
		return answer{err: ErrUndetermined}, true
	default:
		return answer{}, false
	}
}

// answerPrimary returns the answer to a wait for a primary if it is known. A stopped driver has none,
// since its last view stays as it is: a write that the primary's closed pool has refused would get
// the same primary again until its deadline although another driver serves the group.
func (d *Driver) answerPrimary(v *observer.View) (answer, bool) {
	if d.stopped.Load() {
		return answer{}, false
	}
	if v.Confirmed {
		return answer{view: v}, true
	}
	if !v.HasMajority() && v.At-v.NoMajoritySince >= d.Settings.NoMajorityTimeout {
		return answer{view: v, err: ErrNoMajority}, true
	}
	return answer{}, false
}

// polledAfter returns the last log entries of the instances that answered a call with a sequence
// number above n. The slice is reused and valid only until the next call of polledAfter, since the
// goroutine of a poll calls it for each waiting read. The mutex is held.
func (d *Driver) polledAfter(n uint64) []marker.Mark {
	s := d.polledMarks[:0]
	for _, i := range d.instances {
		if i.answered > n {
			s = append(s, i.observation.Status.Last)
		}
	}
	d.polledMarks = s
	return s
}
