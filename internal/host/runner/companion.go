package runner

import (
	"context"

	"github.com/juju/errors"
)

// companion is what runs beside the host's other parts.
type companion struct {
	ctx  context.Context
	step func(ctx context.Context) error
}

// run drops the error of a step that ended because it was told to.
func (c companion) run() error {
	err := c.step(c.ctx)
	if c.ctx.Err() != nil {
		return nil
	}
	return err
}

// Leaver is a Source that has to be told, while peers can be reached, that the
// host has no caller any more.
type Leaver interface {
	Depart(ctx context.Context)
}

// drainer ends a host as planned.
type drainer struct {
	host  *Host
	ctx   context.Context
	stop  context.CancelFunc
	drain <-chan struct{}
}

// run waits for the word to stop and lets what is in progress finish. Its error
// counts although it is what ends the other parts.
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
	if s, ok := h.Source.(Leaver); ok {
		s.Depart(x)
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
