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

// demands are what the kinds of waiter need of the polls.
var demands = [...]pacer.Kind{
	waitAcknowledged: pacer.KindAcknowledgement,
	waitCommit:       pacer.KindAcknowledgement,
	waitIndex:        pacer.KindReadIndex,
	waitCovered:      pacer.KindCover,
	waitPrimary:      pacer.KindPrimary,
	waitDrained:      pacer.KindDrain,
}

// waiter is one request that waits for news of the group. It holds no slot and
// no connection; the goroutine that folds in a status serves all waiters.
type waiter struct {
	kind   waitKind
	mark   marker.Mark
	server string
	done   chan answer
	// demand is what the polls are paced by. Its Arrived tells which polls count.
	demand pacer.Demand
	// missed are the instances that a poll after the waiter came has found without
	// what it waits for.
	missed pacer.Set
}

type answer struct {
	mark marker.Mark
	view *observer.View
	err  error
	// stopped says that there is no answer any more.
	stopped bool
}

// WaitAcknowledged returns nil once a majority of the group's instances is known
// to hold all commits up to m, a position of the primary read after them.
// ErrSuperseded says that nothing of m's term lasts; ErrUndetermined, also when
// ctx ends, that any of the commits may last.
func (d *Driver) WaitAcknowledged(ctx context.Context, m marker.Mark) error {
	return d.waitMark(ctx, waitAcknowledged, m)
}

// WaitCommit is WaitAcknowledged for the one commit that is itself at m, not at a
// position read later on. It tells more often that the commit was superseded:
// then it did not run and never will.
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

// IndexRequest is a read index that is being taken.
type IndexRequest struct {
	driver *Driver
	waiter *waiter
	// stop ends the watch for the end of the context that it was begun under.
	stop func() bool
}

// PendingIndex is a read index that is being taken.
type PendingIndex interface {
	// Await returns it.
	Await(ctx context.Context) (marker.Mark, error)
}

// BeginReadIndex begins to take a read index, which covers every write
// acknowledged before the call. It is given up when ctx ends.
func (d *Driver) BeginReadIndex(ctx context.Context) PendingIndex {
	r := &IndexRequest{driver: d, waiter: &waiter{kind: waitIndex}}
	d.begin(r.waiter)
	r.stop = context.AfterFunc(ctx, r.run)
	return r
}

// run gives the request up. Without it a request whose caller left before the
// answer would keep the polls going for as long as no majority answers.
func (r *IndexRequest) run() {
	r.driver.dismiss(r.waiter)
}

// Await returns the read index.
func (r *IndexRequest) Await(ctx context.Context) (marker.Mark, error) {
	d := r.driver
	defer r.stop()
	a, err := d.await(ctx, r.waiter)
	if err != nil {
		return marker.Mark{}, errors.WithType(errors.Annotatef(err, "take read index of database group %s", d.Group.Name), ErrNoMajority)
	}
	return a.mark, nil
}

// WaitCovered returns nil once the server's log covers m. ctx must have a
// deadline, see indexer.Index.
func (d *Driver) WaitCovered(ctx context.Context, server string, m marker.Mark) error {
	_, err := d.wait(ctx, &waiter{kind: waitCovered, server: server, mark: m})
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "wait for backend server %s to reach %s", server, m), ErrUncovered)
	}
	return nil
}

// WaitPrimary returns a view with a confirmed primary. It gives up early with
// ErrNoMajority where the majority of the instances has been out of reach for
// Settings.Patience, and with ErrNoPrimary when ctx ends.
func (d *Driver) WaitPrimary(ctx context.Context) (*observer.View, error) {
	a, err := d.wait(ctx, &waiter{kind: waitPrimary})
	if err != nil {
		return d.View(), errors.WithType(errors.Annotatef(err, "wait for primary of database group %s, %s", d.Group.Name, d.View().Obstacle), ErrNoPrimary)
	}
	return a.view, errors.Annotatef(a.err, "wait for primary of database group %s", d.Group.Name)
}

func (d *Driver) wait(ctx context.Context, w *waiter) (answer, error) {
	d.begin(w)
	return d.await(ctx, w)
}

func (d *Driver) begin(w *waiter) {
	d.init()
	w.done = make(chan answer, 1)
	d.enlist(w)
}

func (d *Driver) await(ctx context.Context, w *waiter) (answer, error) {
	select {
	case a := <-w.done:
		if a.stopped {
			return answer{}, ErrStopped
		}
		return a, nil
	case <-ctx.Done():
		d.dismiss(w)
		return answer{}, ctx.Err()
	}
}

func (d *Driver) enlist(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demanding(w)
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

func (d *Driver) dismiss(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, w)
	d.schedule()
}

// endWaits tells all who wait that no answer comes. Without it a commit that was
// made just before a change of the group's servers would wait out its deadline,
// though a majority holds it.
func (d *Driver) endWaits() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped.Store(true)
	for w := range d.waiters {
		w.done <- answer{stopped: true}
	}
	clear(d.waiters)
}

// Stopped reports whether the driver's Run has been ended.
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

// serve answers the waiter if its answer is known. The mutex is held.
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
		return answer{}, mark(v, w.server).Covers(w.mark)
	case waitDrained:
		i := d.instance(w.server)
		return answer{}, i.polled > w.demand.AfterPoll && i.observation.Status.Writing == 0
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

// answerPrimary knows nothing once the driver has stopped: its last view stays as
// it is, so a write that the primary's closed pool refused would find the same
// primary again until its deadline, though another driver serves the group.
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

// polledAfter returns the last entries of the instances that answered a poll
// which began after the call numbered n. They are valid until the next call; with
// the mutex held, the goroutine of a poll asks this for each read that waits.
func (d *Driver) polledAfter(n uint64) []marker.Mark {
	s := d.polled[:0]
	for _, i := range d.instances {
		if i.polled > n {
			s = append(s, i.observation.Status.Last)
		}
	}
	d.polled = s
	return s
}
