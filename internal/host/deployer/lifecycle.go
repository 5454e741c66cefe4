package deployer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/host/runner"
)

// hostRun is one run of an entry host, from its start until it has stopped.
type hostRun struct {
	host *runner.Host
	ctx  context.Context
	// drain is closed to drain the host.
	drain chan struct{}
	// kill cancels ctx.
	kill context.CancelFunc
	// done is closed when the host has stopped; err is then set.
	done chan struct{}
	err  error
	// stopRequested is set by Drain and Kill. The host's error is then returned by AwaitStopped and
	// does not end the deployment.
	stopRequested bool
}

// launch opens the listeners of a host, adds it to Roster and runs it in the background.
func (d *Deployment) launch(ctx context.Context, h *runner.Host) (*hostRun, error) {
	if err := d.configurePeers(h); err != nil {
		return nil, err
	}
	if err := h.Listen(); err != nil {
		return nil, errors.Annotatef(err, "start entry host %s", h.Settings.HostName)
	}
	d.register(h)
	x, kill := context.WithCancel(ctx)
	r := &hostRun{host: h, ctx: x, drain: make(chan struct{}), kill: kill, done: make(chan struct{})}
	d.tasks.Go(r.run)
	return r, nil
}

func (r *hostRun) run() error {
	r.err = r.host.Run(r.ctx, r.drain)
	close(r.done)
	if r.stopRequested {
		return nil
	}
	return r.err
}

// Drain starts draining host i, which then stops. It does not wait, see AwaitStopped.
func (d *Deployment) Drain(i int) {
	d.runs[i].stopRequested = true
	d.Roster.Leave(d.Hosts[i].Settings.HostName)
	close(d.runs[i].drain)
}

// lossDetectionDelay is the time until the other hosts detect that a host was killed.
const lossDetectionDelay = time.Second

// Kill stops host i at once, without draining and without notifying the other hosts. It is removed
// from Roster after lossDetectionDelay.
func (d *Deployment) Kill(i int) {
	d.runs[i].stopRequested = true
	h := d.Hosts[i]
	l := &delayedRemoval{roster: d.Roster, name: h.Settings.HostName, address: h.PeerAddress()}
	h.ClosePeerSocket()
	time.AfterFunc(lossDetectionDelay, l.run)
	d.runs[i].kill()
}

// delayedRemoval removes a killed host from the roster unless it was restarted, with another address,
// in the meantime.
type delayedRemoval struct {
	roster  *runner.Roster
	name    string
	address string
}

func (l *delayedRemoval) run() {
	l.roster.RemoveAt(l.name, l.address)
}

// AwaitStopped returns when host i has stopped, with an error if callers were disconnected before
// they had finished.
func (d *Deployment) AwaitStopped(ctx context.Context, i int) error {
	select {
	case <-d.runs[i].done:
		return d.runs[i].err
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "await end of entry host")
	}
}

// Restart waits until host i has stopped, starts another one with its name and place, and returns it
// when callers can connect. It does not write to Hosts, which other goroutines may read in the
// meantime; the caller replaces the entry.
func (d *Deployment) Restart(ctx context.Context, i int) (*runner.Host, error) {
	select {
	case <-d.runs[i].done:
	case <-ctx.Done():
		return nil, errors.Annotate(ctx.Err(), "await end of entry host")
	}
	o := d.Hosts[i].Settings
	h := d.newHost(o.HostName, Place{AvailabilityZone: o.AvailabilityZone, Region: o.Region})
	r, err := d.launch(d.context, h)
	if err != nil {
		return nil, err
	}
	d.runs[i] = r
	return h, awaitHost(ctx, h)
}
