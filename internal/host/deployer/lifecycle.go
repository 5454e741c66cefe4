package deployer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/host/runner"
)

// end is one run of an entry host: how it is ended, and how it has ended.
type end struct {
	host  *runner.Host
	ctx   context.Context
	drain chan struct{}
	kill  context.CancelFunc
	done  chan struct{}
	err   error
	// planned says that Drain or Kill ended the host, whose error then goes to
	// whoever asked and doesn't end the deployment.
	planned bool
}

// launch runs a host.
func (d *Deployment) launch(ctx context.Context, h *runner.Host) (*end, error) {
	if err := d.secure(h); err != nil {
		return nil, err
	}
	if err := h.Listen(); err != nil {
		return nil, errors.Annotatef(err, "start entry host %s", h.Settings.HostName)
	}
	d.enlist(h)
	x, kill := context.WithCancel(ctx)
	e := &end{host: h, ctx: x, drain: make(chan struct{}), kill: kill, done: make(chan struct{})}
	d.work.Go(e.run)
	return e, nil
}

func (e *end) run() error {
	e.err = e.host.Run(e.ctx, e.drain)
	close(e.done)
	if e.planned {
		return nil
	}
	return e.err
}

// Drain lets host i stop as planned.
func (d *Deployment) Drain(i int) {
	d.ends[i].planned = true
	d.Roster.Leave(d.Hosts[i].Settings.HostName)
	close(d.ends[i].drain)
}

// lossDetection is how long the other hosts hold a killed one for live.
const lossDetection = time.Second

// Kill ends host i at once, whatever it is doing, and without a word to the
// other hosts, which learn of it from Roster a little later.
func (d *Deployment) Kill(i int) {
	d.ends[i].planned = true
	h := d.Hosts[i]
	l := &loss{roster: d.Roster, name: h.Settings.HostName, address: h.PeerAddress()}
	h.ClosePeerSocket()
	time.AfterFunc(lossDetection, l.run)
	d.ends[i].kill()
}

// loss takes a killed host out of the roster, unless it was started anew.
type loss struct {
	roster  *runner.Roster
	name    string
	address string
}

func (l *loss) run() {
	l.roster.RemoveAt(l.name, l.address)
}

// AwaitStopped returns when host i has stopped, with an error if it cut off callers.
func (d *Deployment) AwaitStopped(ctx context.Context, i int) error {
	select {
	case <-d.ends[i].done:
		return d.ends[i].err
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "await end of entry host")
	}
}

// Restart starts host i anew, after it has ended, and returns it when callers
// can connect. The caller puts it into Hosts, which others may read meanwhile.
func (d *Deployment) Restart(ctx context.Context, i int) (*runner.Host, error) {
	select {
	case <-d.ends[i].done:
	case <-ctx.Done():
		return nil, errors.Annotate(ctx.Err(), "await end of entry host")
	}
	o := d.Hosts[i].Settings
	h := d.newHost(o.HostName, Place{AvailabilityZone: o.AvailabilityZone, Region: o.Region})
	e, err := d.launch(d.context, h)
	if err != nil {
		return nil, err
	}
	d.ends[i] = e
	return h, awaitHost(ctx, h)
}
