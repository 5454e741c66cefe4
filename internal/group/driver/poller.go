package driver

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// wake makes the instance's poll loop look at its turn again.
func (i *instance) wake() {
	select {
	case i.kick <- struct{}{}:
	default:
	}
}

// loopStatus polls one instance whenever its turn comes. One poll serves all who
// wait when it begins; whoever comes later needs the next one.
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

// awaitTurn returns why the instance is to be polled once it is to be; ok is
// false when ctx has ended.
func (d *Driver) awaitTurn(ctx context.Context, i *instance) (c pacer.Cause, ok bool) {
	for ctx.Err() == nil {
		t := d.turn(i)
		w := t.At - d.now()
		if w <= 0 {
			return t.Cause, true
		}
		r, x := d.Clock.Timer(w)
		select {
		case <-ctx.Done():
		case <-r:
		case <-i.kick:
		}
		x.Cancel()
	}
	return 0, false
}

func (d *Driver) turn(i *instance) pacer.ScheduledPoll {
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
	i.ended = d.now()
	d.take(i, n, at, s, err)
}

func (d *Driver) beginPoll(i *instance) (uint64, time.Duration) {
	n, at := d.beginCall()
	d.mu.Lock()
	defer d.mu.Unlock()
	i.polling = true
	i.hurried = false
	i.begun, i.began = n, at
	i.turn = pacer.ScheduledPoll{At: pacer.Never}
	return n, at
}

// beginCall numbers a call that is about to begin.
func (d *Driver) beginCall() (uint64, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return d.sequence, d.now()
}

// fold takes in the answer to the call that began as number n.
func (d *Driver) fold(i *instance, n uint64, at time.Duration, s controller.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(i, n, at, s, nil)
}

// take takes in the outcome of the call that began as number n. The mutex is held.
func (d *Driver) take(i *instance, n uint64, at time.Duration, s controller.Status, err error) {
	if err == nil {
		err = d.identify(i, s.SystemIdentifier)
	}
	if err != nil {
		i.observation.Failures++
		i.observation.Refused = errors.Is(err, controller.ErrRefused)
		d.logStranger(i, err)
		d.observe()
		return
	}
	s.BackendServer = i.name
	d.ledger.Observe(s)
	if n > i.polled {
		i.polled = n
		r := smooth(i.observation.RoundTrip, d.now()-at)
		i.observation = observer.Observation{Status: s, Answered: true, PolledAt: at, RoundTrip: r}
	}
	d.learn(i, at)
	d.observe()
}

// logStranger names a server that answers in place of the instance, once for each time
// that the instance is lost: operators see an address that was given out twice.
func (d *Driver) logStranger(i *instance, err error) {
	if i.observation.Failures == 1 && errors.Is(err, controller.ErrStranger) {
		d.logger().WithError(err).WithField("backend-server", i.name).Error("backend server's address taken over")
	}
}

// smooth returns the mean with one more sample in it.
func smooth(mean, sample time.Duration) time.Duration {
	const weight = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}
