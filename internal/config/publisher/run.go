package publisher

import (
	"context"
	"reflect"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// run is the execution of one command.
type run struct {
	operator     *Operator
	stateMachine applier.Operator
	packed       []byte
	// file is the file to apply, nil for Resume and Withdraw.
	file *declarer.File
	// change caches the change to the file for one pair of base and revision.
	change       *encoder.Change
	watch        scheduler.Stopwatch
	pause        time.Duration
	lastProgress Progress
	// headPutSent says that at least one put of the head was sent.
	headPutSent bool
}

// run executes the steps of the state machine until it is done. Once ctx ends, the state machine is
// aborted and gets cleanupTimeout to finish.
func (r *run) run(ctx context.Context) (applier.Result, error) {
	work := ctx
	for {
		if ctx.Err() != nil && !r.headPutSent && r.stateMachine.Revision() == 0 {
			return r.endWithoutPut(context.Cause(ctx))
		}
		if ctx.Err() != nil && work == ctx {
			r.stateMachine.Abort("interrupted: " + context.Cause(ctx).Error())
			c, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
			defer cancel()
			work = c
		}
		s := r.stateMachine.Next(r.now())
		if s.Action == applier.Done {
			return s.Result, nil
		}
		err := r.execute(work, s)
		r.reportProgress(err)
		if err != nil && work.Err() != nil && work != ctx {
			return applier.Result{}, errors.Annotate(err, "outcome unknown, see status")
		}
		if err != nil || s.Action == applier.Wait {
			r.wait(work, err != nil)
			continue
		}
		r.pause = 0
	}
}

// endWithoutPut ends a run that has sent no put of the head. A file that was never staged can't be in
// force, but the state of a revision that another operator staged is unknown.
func (r *run) endWithoutPut(err error) (applier.Result, error) {
	if r.stateMachine.Mode != applier.Apply {
		return applier.Result{}, errors.Annotate(err, "nothing was tried, see status")
	}
	return applier.Result{Outcome: applier.Withdrawn, Reason: "nothing was tried: " + err.Error()}, nil
}

// now returns the time since the start of the run on the monotonic clock, so that a jump of the wall
// clock can't shorten the wait for a lease.
func (r *run) now() time.Duration {
	return r.watch.Elapsed()
}

// wait pauses before the next step. The pause grows by half each time, up to maximumPause or, while
// the platform fails, maximumFailurePause.
func (r *run) wait(ctx context.Context, failed bool) {
	m := maximumPause
	if failed {
		m = maximumFailurePause
	}
	r.pause = min(max(r.pause*3/2, minimumPause), m)
	_ = scheduler.Pause(ctx, r.pause)
	r.stateMachine.ObserveWait(r.now())
}

// reportProgress calls Progress if the progress has changed.
func (r *run) reportProgress(err error) {
	p := Progress{
		Revision: r.stateMachine.Revision(),
		Accepted: r.stateMachine.Accepted(),
		Zones:    r.stateMachine.Zones(),
	}
	if err != nil {
		p.PlatformError = err.Error()
	}
	if r.operator.Progress == nil || reflect.DeepEqual(p, r.lastProgress) {
		return
	}
	r.lastProgress = p
	r.operator.Progress(p)
}

func (r *run) execute(ctx context.Context, s applier.Step) error {
	switch s.Action {
	case applier.ReadHead:
		return r.readHead(ctx)
	case applier.PutHead:
		return r.putHead(ctx, s)
	case applier.ReadBody:
		return r.readBody(ctx, s)
	case applier.PutBody:
		return r.putBody(ctx, s)
	case applier.ReadHolders:
		return r.readHolders(ctx, s)
	case applier.RetireHolder:
		s.Holder.Holder.Retired = true
		return r.putHolder(ctx, s)
	case applier.PutHolder:
		return r.putHolder(ctx, s)
	}
	return nil
}

func (r *run) readHead(ctx context.Context) error {
	t := r.now()
	h, v, err := r.operator.head(ctx)
	if err != nil {
		r.stateMachine.InvalidateHead(false)
		return err
	}
	r.stateMachine.ObserveHead(h, v, t, r.now())
	return nil
}

func (r *run) putHead(ctx context.Context, s applier.Step) error {
	if e := s.Head.Staged; e != nil && e.ID == r.stateMachine.ID {
		s.Head.Change = r.changeTo(ctx, *e)
	}
	t := r.now()
	b, err := encoder.Encode(s.Head)
	if err != nil {
		return err
	}
	r.headPutSent = true
	o, err := r.operator.Platform.Put(ctx, accessor.Object{
		Kind: encoder.HeadKind, Name: encoder.HeadName, Version: s.Version, Writer: r.stateMachine.ID, Value: b,
	})
	if errors.Is(err, accessor.ErrConflict) {
		// Another operator wrote the head first, so it must be read again.
		r.stateMachine.InvalidateHead(false)
		return nil
	}
	if err != nil {
		r.stateMachine.InvalidateHead(true)
		return errors.Trace(err)
	}
	r.stateMachine.ObserveHead(s.Head, o.Version, t, r.now())
	return nil
}

func (r *run) readBody(ctx context.Context, s applier.Step) error {
	o, err := r.operator.Platform.Get(ctx, encoder.BodyKind, encoder.Slot(s.Revision))
	if err != nil && !errors.Is(err, accessor.ErrNotFound) {
		return errors.Trace(err)
	}
	b, err := encoder.Decode[encoder.Body](o)
	r.stateMachine.ObserveBody(err == nil && b.Revision == s.Revision, o.Version)
	return nil
}

func (r *run) putBody(ctx context.Context, s applier.Step) error {
	b, err := encoder.Encode(encoder.Body{Revision: s.Revision, Digest: r.stateMachine.Entry.Digest, Packed: r.packed})
	if err != nil {
		return err
	}
	_, err = r.operator.Platform.Put(ctx, accessor.Object{
		Kind: encoder.BodyKind, Name: encoder.Slot(s.Revision), Version: s.Version, Writer: r.stateMachine.ID, Value: b,
	})
	r.stateMachine.ObserveBodyPut(err == nil)
	if errors.Is(err, accessor.ErrConflict) {
		return nil
	}
	return errors.Trace(err)
}

func (r *run) readHolders(ctx context.Context, s applier.Step) error {
	t := r.now()
	l, err := r.operator.Platform.List(ctx, encoder.HolderKind)
	if err != nil {
		r.stateMachine.InvalidateHolders()
		return errors.Trace(err)
	}
	var n []applier.HolderObject
	for _, o := range l {
		h, err := encoder.Decode[encoder.Holder](o)
		if err != nil {
			return err
		}
		n = append(n, applier.HolderObject{Name: o.Name, Version: o.Version, Holder: h})
	}
	names, err := r.readHostList(ctx, s)
	if err != nil {
		r.stateMachine.InvalidateHolders()
		return err
	}
	r.stateMachine.ObserveHolders(n, names, t)
	return nil
}

// readHostList returns the names of the entry hosts in the host list if the step asks for them,
// otherwise nil.
func (r *run) readHostList(ctx context.Context, s applier.Step) (map[string]bool, error) {
	if !s.Hosts {
		return nil, nil
	}
	l, err := r.operator.Platform.Hosts(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := map[string]bool{}
	for n := range entryHostStates(l) {
		m[n] = true
	}
	return m, nil
}

func (r *run) putHolder(ctx context.Context, s applier.Step) error {
	b, err := encoder.Encode(s.Holder.Holder)
	if err != nil {
		return err
	}
	_, err = r.operator.Platform.Put(ctx, accessor.Object{
		Kind: encoder.HolderKind, Name: s.Holder.Name, Version: s.Holder.Version, Writer: r.stateMachine.ID, Value: b,
	})
	r.stateMachine.InvalidateHolders()
	if errors.Is(err, accessor.ErrConflict) {
		return nil
	}
	return errors.Trace(err)
}
