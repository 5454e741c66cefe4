package cachesyncer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// remoteWait is how long one waiting call to another host lasts. A host that stands
	// still, or whose connection has gone silent, is noticed after it.
	remoteWait = time.Second
	// remoteSlack is what the answer to such a call may begin later, and how long the next
	// part of an answer is waited for.
	remoteSlack = 300 * time.Millisecond
	// remoteConnect bounds the wait for a connection to another host for a list. One without
	// power doesn't even refuse: a host that starts would take callers as much later as it
	// waits, while the store answers in a few milliseconds.
	remoteConnect = 100 * time.Millisecond
	// remotes is how many hosts are asked for a list before the store is.
	remotes = 3
)

// Remote reads from another host's mirrors.
type Remote interface {
	List(ctx context.Context, h declarer.Host, kind string) (Page, error)
	Watch(ctx context.Context, h declarer.Host, kind string, after uint64, wait time.Duration) (Page, error)
}

// Selector reads one kind of object from another host where there is one that reads the
// store, and else from the store itself. Its exported fields are set before use; it
// belongs to one goroutine.
type Selector struct {
	Kind   string
	Mirror *Mirror
	Remote Remote
	// Host returns the host to read from, false for the store. Failed is told of one that
	// didn't answer or can't vouch for what it has.
	Host   func() (declarer.Host, bool)
	Failed func(h declarer.Host, kind string, err error)

	// reached is the newest revision that was returned.
	reached uint64
	// reads says that the last call was to the store.
	reads bool
	// failed says that the host that was read from has just not answered. The store is asked
	// then before another host is: to try one after the other could take longer than a change
	// may stay unknown, where many hosts are cut off at once. One that says itself that it has
	// lost the store costs no time.
	failed bool
}

// List returns all objects.
func (s *Selector) List(ctx context.Context) (Page, error) {
	for range remotes {
		h, ok := s.Host()
		if !ok || s.failed {
			break
		}
		p, err := s.listRemote(ctx, h)
		if err == nil {
			s.leave()
			return s.reach(p, nil)
		}
		s.failed = !errors.Is(err, ErrAway)
	}
	s.reads, s.failed = true, false
	return s.reach(s.Mirror.List(ctx))
}

// listRemote returns the list of another host.
func (s *Selector) listRemote(ctx context.Context, h declarer.Host) (Page, error) {
	c, cancel := watchdog.With(ctx, remoteConnect, remoteSlack)
	defer cancel()
	p, err := s.Remote.List(c, h, s.Kind)
	if err != nil {
		s.Failed(h, s.Kind, err)
		return p, err
	}
	if p.Revision < s.reached {
		return p, errOld
	}
	return p, nil
}

// errOld is a list that would take back what is known.
const errOld = errors.ConstError("list is older than what is known")

// Watch waits for changes.
func (s *Selector) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	h, ok := s.Host()
	switch {
	case ok:
		return s.watchRemote(ctx, h, after, min(wait, remoteWait))
	case !s.reads:
		// Other hosts are to read from this one now, which needs the whole list for that.
		return Page{}, errors.Annotate(ErrForgotten, "the store is read from now on")
	}
	return s.reach(s.Mirror.Watch(ctx, after, wait))
}

// watchRemote waits at another host. Where that fails the list is read anew.
func (s *Selector) watchRemote(ctx context.Context, h declarer.Host, after uint64, wait time.Duration) (Page, error) {
	c, cancel := watchdog.With(ctx, wait+remoteSlack, remoteSlack)
	defer cancel()
	s.leave()
	p, err := s.Remote.Watch(c, h, s.Kind, after, wait)
	if err == nil || errors.Is(err, ErrForgotten) {
		return s.reach(p, err)
	}
	s.Failed(h, s.Kind, err)
	s.failed = !errors.Is(err, ErrAway)
	return Page{}, errors.WithType(err, ErrForgotten)
}

// leave notes that another host is read from.
func (s *Selector) leave() {
	s.Mirror.Leave()
	s.reads = false
}

// reach notes the revision of a page.
func (s *Selector) reach(p Page, err error) (Page, error) {
	if err == nil {
		s.reached = max(s.reached, p.Revision)
	}
	return p, err
}
