package dialer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// target is what is known about connecting to one host.
type target struct {
	// present is the attempt under way, nil if there is none.
	present  *attempt
	failures int
	next     time.Time
}

// attempt connects to a host for all who wait for its link.
//
// It isn't bound to any of them. Were it given up with the caller that began it, just
// as the handshake ends, the peer would have a whole connection whose other end is
// gone: it would put its own requests on it for six seconds, until it counts as silent.
type attempt struct {
	dialer *Dialer
	host   string
	target *target
	done   chan struct{}
	link   *linker.Link
	err    error
}

// link returns the link to host, and has it dialed if there is none.
func (d *Dialer) link(ctx context.Context, host string) (*linker.Link, error) {
	if l := d.Links.Find(host); l != nil {
		return l, nil
	}
	a := d.join(host)
	select {
	case <-a.done:
		return a.link, a.err
	case <-ctx.Done():
		return nil, wrapper.Wrap(ctx.Err(), "wait for link to", host)
	}
}

// join returns the attempt to connect to host, a new one if none is under way.
func (d *Dialer) join(host string) *attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets == nil {
		d.targets = map[string]*target{}
	}
	t := d.targets[host]
	if t == nil {
		t = &target{}
		d.targets[host] = t
	}
	if t.present == nil {
		t.present = &attempt{dialer: d, host: host, target: t, done: make(chan struct{})}
		go t.present.run()
	}
	return t.present
}

func (a *attempt) run() {
	d := a.dialer
	a.link, a.err = a.connect(d.lifetime())
	d.mu.Lock()
	a.target.present = nil
	d.mu.Unlock()
	close(a.done)
}

// connect dials the host unless there is a link by now or its backoff runs.
func (a *attempt) connect(ctx context.Context) (*linker.Link, error) {
	d, t := a.dialer, a.target
	if l := d.Links.Find(a.host); l != nil {
		return l, nil
	}
	if w := time.Until(t.next); w > 0 {
		return nil, wrapper.Wrap(errors.Annotatef(ErrBackoff, "next attempt in %s", w), "dial", a.host)
	}
	p, ok := d.Locate(a.host)
	if !ok {
		return nil, wrapper.Wrap(ErrUnknownHost, "dial", a.host)
	}
	l, err := d.dialAgain(ctx, a.host, p, t.failures)
	if err != nil {
		t.fail(ctx)
		return nil, wrapper.Wrap(errors.Annotate(err, p), "dial", a.host)
	}
	t.failures = 0
	return l, nil
}

// fail notes a failed attempt. One that ended since this host stops says nothing
// about the other.
func (t *target) fail(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	t.failures++
	t.next = time.Now().Add(Backoff(t.failures, rand.Float64()))
}
