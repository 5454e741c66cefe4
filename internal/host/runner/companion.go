package runner

import (
	"context"

	"github.com/juju/errors"
)

// task is one of the functions that run concurrently while the host runs.
type task struct {
	ctx      context.Context
	function func(ctx context.Context) error
}

// run calls the function and ignores its error if ctx has ended.
func (c task) run() error {
	err := c.function(c.ctx)
	if c.ctx.Err() != nil {
		return nil
	}
	return err
}

// Deregisterer is a Source that must be notified of the end of a drain.
type Deregisterer interface {
	// Deregister ends the host's registration at the source. It is called when the host has no
	// callers left, while its peers can still be reached.
	Deregister(ctx context.Context)
}

// drainer shuts a host down gracefully.
type drainer struct {
	host *Host
	ctx  context.Context
	// stop ends all tasks of the host.
	stop context.CancelFunc
	// drain starts the drain when it is closed, as Host.drain does.
	drain <-chan struct{}
}

// run waits until a drain is requested and then until the work in progress has finished or the
// drain timeout has passed, and stops all other tasks. It returns an error if callers were cut off.
// Host.Run returns that error, since the tasks that were stopped return nil.
func (d *drainer) run() error {
	h := d.host
	select {
	case <-d.ctx.Done():
		return nil
	case <-d.drain:
	case <-h.drain:
	}
	defer d.stop()
	h.update(d.ctx, startDraining)
	h.collector.Draining.Set(1)
	x, cancel := context.WithTimeout(d.ctx, h.Settings.Limits.DrainTimeout)
	defer cancel()
	if h.peers != nil {
		h.peers.leave()
	}
	n := h.listener.Drain(x)
	if s, ok := h.Source.(Deregisterer); ok {
		s.Deregister(x)
	}
	if h.peers != nil {
		n += h.peers.drain(x)
	}
	h.Log.WithField("step", "drain").WithField("cut-off", n).Info("entry host drained")
	if n > 0 {
		return errors.Errorf("drain timeout: %d callers were cut off", n)
	}
	return nil
}
