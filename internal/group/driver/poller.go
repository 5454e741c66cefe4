package driver

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// wake makes the instance's poll loop read its turn again.
func (i *instance) wake() {
	select {
	case i.wakeup <- struct{}{}:
	default:
	}
}

// loopStatus polls one instance at the times set by its turn. One poll serves all waiters that exist
// when it begins; later waiters need the next poll.
func (d *Driver) loopStatus(ctx context.Context, i *instance) {
	defer d.calls.Done()
	for {
		c, ok := d.awaitTurn(ctx, i)
		if !ok {
			return
		}
		d.poll(ctx, i, c)
	}
}

// awaitTurn waits until the instance is due to be polled and returns the cause. ok is false if ctx
// has ended.
func (d *Driver) awaitTurn(ctx context.Context, i *instance) (c pacer.Cause, ok bool) {
	for ctx.Err() == nil {
		t := d.nextTurn(i)
		w := t.At - d.now()
		if w <= 0 {
			return t.Cause, true
		}
		r, x := d.Clock.Timer(w)
		select {
		case <-ctx.Done():
		case <-r:
		case <-i.wakeup:
		}
		x.Cancel()
	}
	return 0, false
}

func (d *Driver) nextTurn(i *instance) pacer.ScheduledPoll {
	d.mu.Lock()
	defer d.mu.Unlock()
	return i.turn
}

func (d *Driver) poll(ctx context.Context, i *instance, why pacer.Cause) {
	d.Polls[why].Add(1)
	c, cancel := context.WithTimeout(ctx, d.Settings.StatusTimeout)
	defer cancel()
	n, at := d.beginPoll(i)
	s, err := i.control.Status(c)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	i.polling = false
	i.endedAt = d.now()
	d.recordOutcome(i, n, at, s, err)
}

func (d *Driver) beginPoll(i *instance) (uint64, time.Duration) {
	n, at := d.beginCall()
	d.mu.Lock()
	defer d.mu.Unlock()
	i.polling = true
	i.pollRequested = false
	i.lastBegun, i.beganAt = n, at
	i.turn = pacer.ScheduledPoll{At: pacer.Never}
	return n, at
}

// beginCall returns the sequence number and the start time of a call that is about to begin.
func (d *Driver) beginCall() (uint64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return d.sequence, d.now()
}

// recordAnswer records the status from the call with sequence number n that began at the time at.
func (d *Driver) recordAnswer(i *instance, n uint64, at time.Duration, s controller.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordOutcome(i, n, at, s, nil)
}

// recordOutcome records the status or error of the call with sequence number n that began at the
// time at. The mutex is held.
func (d *Driver) recordOutcome(i *instance, n uint64, at time.Duration, s controller.Status, err error) {
	if err == nil {
		err = d.recordIdentity(i, s.SystemIdentifier)
	}
	if err != nil {
		i.observation.Failures++
		i.observation.Refused = errors.Is(err, controller.ErrRefused)
		d.logMismatch(i, err)
		d.observe()
		return
	}
	s.BackendServer = i.name
	d.ledger.Observe(s)
	if n > i.answered {
		i.answered = n
		r := smooth(i.observation.RoundTrip, d.now()-at)
		i.observation = observer.Observation{Status: s, Answered: true, PolledAt: at, RoundTrip: r}
	}
	d.updateWaiters(i, at)
	d.observe()
}

// logMismatch logs that a server of another group answers at the instance's address, once for each
// loss of the instance. Operators thus find an address that was assigned twice.
func (d *Driver) logMismatch(i *instance, err error) {
	if i.observation.Failures == 1 && errors.Is(err, controller.ErrWrongServer) {
		d.logger().WithError(err).WithField("backend-server", i.name).Error("backend server's address taken over")
	}
}

// smooth returns the moving average with one more sample.
func smooth(mean, sample time.Duration) time.Duration {
	const weight = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}
