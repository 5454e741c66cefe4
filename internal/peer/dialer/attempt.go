package dialer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// target holds the state of connecting to one host.
type target struct {
	// current is the attempt in progress, nil if there is none.
	current *attempt
	// failures counts the failed attempts since the last successful one.
	failures int
	// nextAttempt is the time before which no new attempt is made.
	nextAttempt time.Time
}

// attempt connects to a host on behalf of all callers that wait for its link.
//
// It continues when a caller gives up, including the one that started it. If it were cancelled
// just as the handshake completes, the peer would have an established connection without another
// end, and would send its own requests on it for the six seconds until the link counts as silent.
type attempt struct {
	dialer *Dialer
	host   string
	target *target
	// done is closed when link and err are set.
	done chan struct{}
	link *linker.Link
	err  error
}

// link returns the link to host, and dials the host if there is none.
func (d *Dialer) link(ctx context.Context, host string) (*linker.Link, error) {
	if l := d.Links.Find(host); l != nil {
		return l, nil
	}
	a := d.joinAttempt(host)
	select {
	case <-a.done:
		return a.link, a.err
	case <-ctx.Done():
		return nil, wrapper.Wrap(ctx.Err(), "wait for link to", host)
	}
}

// joinAttempt returns the attempt to connect to host, and starts one if none is in progress.
func (d *Dialer) joinAttempt(host string) *attempt {
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
	if t.current == nil {
		t.current = &attempt{dialer: d, host: host, target: t, done: make(chan struct{})}
		go t.current.run()
	}
	return t.current
}

func (a *attempt) run() {
	d := a.dialer
	a.link, a.err = a.connect(d.runContext())
	d.mu.Lock()
	a.target.current = nil
	d.mu.Unlock()
	close(a.done)
}

// connect dials the host, unless a link has been made meanwhile. It returns ErrBackoff before
// nextAttempt.
func (a *attempt) connect(ctx context.Context) (*linker.Link, error) {
	d, t := a.dialer, a.target
	if l := d.Links.Find(a.host); l != nil {
		return l, nil
	}
	if w := time.Until(t.nextAttempt); w > 0 {
		return nil, wrapper.Wrap(errors.Annotatef(ErrBackoff, "next attempt in %s", w), "dial", a.host)
	}
	p, ok := d.Locate(a.host)
	if !ok {
		return nil, wrapper.Wrap(ErrUnknownHost, "dial", a.host)
	}
	l, err := d.dialHost(ctx, a.host, p, t.failures)
	if err != nil {
		t.recordFailure(ctx)
		return nil, wrapper.Wrap(errors.Annotate(err, p), "dial", a.host)
	}
	t.failures = 0
	return l, nil
}

// recordFailure counts a failed attempt and sets the time of the next one. An attempt that ended
// because this host stops isn't counted, since it says nothing about the other host.
func (t *target) recordFailure(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	t.failures++
	t.nextAttempt = time.Now().Add(Backoff(t.failures, rand.Float64()))
}
