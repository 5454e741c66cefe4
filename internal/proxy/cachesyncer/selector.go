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
	// remoteConnect bounds the wait for a connection to another host where an answer is due at
	// once. One without power doesn't even refuse: a host that starts would take callers as
	// much later as it waits, while the store answers in a few milliseconds.
	remoteConnect = 100 * time.Millisecond
	// remoteTrust is how long after its answer another host is trusted: as long as the next
	// waiting call to it may last, and a call to the store after that.
	remoteTrust = 2 * time.Second
	// remotes is how many hosts are asked before the store is. It bounds how much later a
	// change is known where many hosts are cut off at once.
	remotes = 3
	// storeCheck is how long a call to the store waits that only finds out what has changed,
	// in place of a host that didn't answer.
	storeCheck = time.Millisecond
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
	// Host returns the host to read the kind from, false for the store. Failed is told of one
	// that didn't answer or can't vouch for what it has.
	Host   func(kind string) (declarer.Host, bool)
	Failed func(h declarer.Host, kind string, err error)

	// reached is the newest revision that was returned.
	reached uint64
}

// List returns all objects.
func (s *Selector) List(ctx context.Context) (Page, error) {
	p, err := s.fromHosts(func(h declarer.Host, _ bool) (Page, error) { return s.listRemote(ctx, h) })
	if err == nil {
		s.Mirror.ApplyRemoteList(p)
		return s.reach(p, nil)
	}
	return s.reach(s.Mirror.List(ctx))
}

// Watch waits for changes. A host that loses the one that it reads from goes on from what it
// knows: whole lists, asked for by many hosts at once, are what a narrow link can't carry.
func (s *Selector) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	p, err := s.fromHosts(func(h declarer.Host, again bool) (Page, error) {
		if again {
			return s.checkRemote(ctx, h, after)
		}
		return s.watchRemote(ctx, h, after, min(wait, remoteWait))
	})
	switch {
	case err == nil:
		s.Mirror.ApplyRemoteChanges(p)
		return s.reach(p, nil)
	case errors.Is(err, ErrCompacted):
		return p, err
	case errors.Is(err, errNoAnswer):
		wait = storeCheck
	}
	return s.reach(s.Mirror.Watch(ctx, after, wait))
}

const (
	// errOld is a list that would take back what is known.
	errOld = errors.ConstError("list is older than what is known")
	// errNoHost says that there is no host to read from.
	errNoHost = errors.ConstError("no other host to read from")
	// errNoAnswer says that no other host that was asked can answer.
	errNoAnswer = errors.ConstError("no other host answered")
)

// fromHosts returns the first answer of another host. again says that another one was asked
// before in vain.
func (s *Selector) fromHosts(ask func(h declarer.Host, again bool) (Page, error)) (Page, error) {
	for i := range remotes {
		h, ok := s.Host(s.Kind)
		if !ok {
			return Page{}, errNoHost
		}
		p, err := ask(h, i > 0)
		if err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, errOld) {
			return p, err
		}
		s.Failed(h, s.Kind, err)
	}
	return Page{}, errNoAnswer
}

// listRemote returns the list of another host.
func (s *Selector) listRemote(ctx context.Context, h declarer.Host) (Page, error) {
	c, cancel := watchdog.With(ctx, remoteConnect, remoteSlack)
	defer cancel()
	p, err := s.Remote.List(c, h, s.Kind)
	if err == nil && p.Revision < s.reached {
		return Page{}, errOld
	}
	return p, err
}

// watchRemote waits at another host.
func (s *Selector) watchRemote(ctx context.Context, h declarer.Host, after uint64, wait time.Duration) (Page, error) {
	c, cancel := watchdog.With(ctx, wait+remoteSlack, remoteSlack)
	defer cancel()
	return s.Remote.Watch(c, h, s.Kind, after, wait)
}

// checkRemote returns what has changed at another host, without waiting for more: time has
// gone by with the one before it.
func (s *Selector) checkRemote(ctx context.Context, h declarer.Host, after uint64) (Page, error) {
	c, cancel := watchdog.With(ctx, remoteConnect, remoteSlack)
	defer cancel()
	return s.Remote.Watch(c, h, s.Kind, after, 0)
}

// reach notes the revision of a page.
func (s *Selector) reach(p Page, err error) (Page, error) {
	if err == nil {
		s.reached = max(s.reached, p.Revision)
	}
	return p, err
}
