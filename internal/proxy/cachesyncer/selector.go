package cachesyncer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/watchdog"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// remoteWait is the duration of one long poll to another host. A host that hangs, or whose
	// connection is silently lost, is detected after it.
	remoteWait = time.Second
	// remoteSlack is how much later than remoteWait an answer may begin, and how long the next
	// part of an answer is waited for.
	remoteSlack = 300 * time.Millisecond
	// remoteConnectTimeout bounds the connection attempt to another host for a call that is
	// answered at once. A host without power does not even refuse the connection, and a starting
	// host accepts callers later by the time that it waits, while the store answers within a few
	// milliseconds.
	remoteConnectTimeout = 100 * time.Millisecond
	// remoteTTL is how long data counts as current after another host's answer: the duration of
	// the next long poll to that host, and of a call to the store after it.
	remoteTTL = 2 * time.Second
	// maximumRemotes is how many hosts are tried before the store. It bounds the delay of a change
	// when many hosts are partitioned at the same time.
	maximumRemotes = 3
	// doubtMargin is by how much a confirmation must be newer than one that is doubted. An age is wrong by the time that the
	// page travels.
	doubtMargin = 100 * time.Millisecond
	// storeCheckWait is the wait of a call to the store that only fetches pending changes, in
	// place of a host that did not answer.
	storeCheckWait = time.Millisecond
)

// Remote reads from another host's mirrors.
type Remote interface {
	List(ctx context.Context, h declarer.Host, kind string) (Page, error)
	Watch(ctx context.Context, h declarer.Host, kind string, after uint64, wait time.Duration) (Page, error)
}

// Selector reads one kind of object from another host that reads the store, or from the store
// itself if there is no such host. Its exported fields are set before use. It is not safe for
// concurrent use.
type Selector struct {
	Kind   string
	Mirror *Mirror
	Remote Remote
	// Host returns the host to read the kind from, false for the store. Failed is called with a
	// host that did not answer or whose mirror is stale.
	Host   func(kind string) (declarer.Host, bool)
	Failed func(h declarer.Host, kind string, err error)
	// Detour, if not nil, returns any host that Host may return, in no order, false if there is none. Host returns it
	// for a while, unless it fails.
	Detour func(kind string) (declarer.Host, bool)
	// Holder holds back calls to the store.
	Holder *Holder

	// newestRevision is the newest revision that was returned.
	newestRevision uint64
	// source is the host that was last read through, empty for the store. When it has lost the store, doubted becomes the
	// time at which that had last confirmed what this host knows.
	source  string
	doubted time.Duration
}

// List returns all objects.
func (s *Selector) List(ctx context.Context) (Page, error) {
	p, err := s.readFromHosts(func(h declarer.Host, _ bool) (Page, error) { return s.listRemote(ctx, h) })
	if err == nil {
		s.Mirror.ApplyRemoteList(p)
		return s.recordRevision(p, nil)
	}
	c := s.Holder.begin(ctx, s.Kind)
	if c == nil {
		return Page{}, s.lost()
	}
	p, err = s.Mirror.List(ctx)
	s.endCall(c, err == nil)
	return s.recordRevision(p, err)
}

// lost records that neither the store nor another host can be read, and returns the error for that.
func (s *Selector) lost() error {
	s.Mirror.RecordLost()
	return errors.Annotatef(ErrStale, "store isn't asked")
}

// Watch waits for changes. If the host that it reads from fails, it continues from the given
// revision instead of reading the whole list: a link with little bandwidth can't carry the
// lists of many hosts at once.
func (s *Selector) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	behindStale, began := false, s.Mirror.Now()
	lost := s.Mirror.isLost()
	p, err := s.readFromHosts(func(h declarer.Host, retry bool) (p Page, err error) {
		if retry || lost {
			p, err = s.checkRemote(ctx, h, after)
		} else {
			p, err = s.watchRemote(ctx, h, after, min(wait, remoteWait))
		}
		behindStale = behindStale || errors.Is(err, ErrStale)
		return p, err
	})
	switch {
	case err == nil:
		s.Mirror.ApplyRemoteChanges(p)
		return s.recordRevision(p, nil)
	case errors.Is(err, ErrCompacted):
		return p, err
	case errors.Is(err, errNoAnswer):
		wait = storeCheckWait
	}
	wait = max(storeCheckWait, wait-(s.Mirror.Now()-began))
	// The next host in the region's order after those that have lost the store reads in their place.
	behindStale = behindStale && !errors.Is(err, errNoHost)
	return s.recordRevision(s.watchStore(ctx, after, wait, behindStale))
}

// watchStore waits for changes at the store. A call that is superseded is made again at once.
func (s *Selector) watchStore(ctx context.Context, after uint64, wait time.Duration, behindStale bool) (Page, error) {
	for {
		c := s.Holder.begin(ctx, s.Kind)
		if c == nil {
			return Page{}, s.lost()
		}
		if c.brief {
			wait = storeCheckWait
		}
		p, err := s.Mirror.watch(watchdog.WithObserver(c.ctx, c.recordProgress), after, wait, behindStale)
		superseded := err != nil && c.isSuperseded()
		s.endCall(c, err == nil || errors.Is(err, ErrCompacted))
		if !superseded {
			return p, err
		}
		wait = storeCheckWait
	}
}

// endCall ends a call to the store. Its answer ends the doubt about what other hosts say.
func (s *Selector) endCall(c *call, answered bool) {
	s.source = ""
	if answered {
		s.doubted = 0
	}
	s.Holder.end(c, answered, s.Mirror.lastAsked())
}

const (
	// errOlderList means that a list is older than what was already returned.
	errOlderList = errors.ConstError("list is older than what is known")
	// errNoHost means that there is no other host to read from.
	errNoHost = errors.ConstError("no other host to read from")
	// errNoAnswer means that none of the other hosts that were tried has answered.
	errNoAnswer = errors.ConstError("no other host answered")
)

// readFromHosts returns the first answer of another host. It calls ask with retry set if
// another host failed before. If the others have all lost the store, the last one is a detour: the first hosts in the
// order may be cut off from the store, and all hosts behind them would otherwise read it themselves.
func (s *Selector) readFromHosts(ask func(h declarer.Host, retry bool) (Page, error)) (Page, error) {
	stale := 0
	for i := range maximumRemotes {
		next := s.Host
		if stale == maximumRemotes-1 && s.Detour != nil {
			next = s.Detour
		}
		h, ok := next(s.Kind)
		if !ok {
			return Page{}, errNoHost
		}
		p, err := ask(h, i > 0)
		if err == nil && s.isDoubtful(p) {
			err = ErrUnconfirmed
		}
		if err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, errOlderList) {
			s.Holder.recordCurrent(h.Name)
			s.source = h.Name
			s.Mirror.setUnconfirmed(false)
			return p, err
		}
		if errors.Is(err, ErrStale) || errors.Is(err, ErrUnconfirmed) {
			stale++
			s.Holder.recordStale(h.Name)
			s.recordDoubt(h.Name)
		}
		s.Failed(h, s.Kind, err)
	}
	return Page{}, errNoAnswer
}

// recordDoubt records that a host has lost the store. If this host has read through it, what it knows is unconfirmed.
func (s *Selector) recordDoubt(host string) {
	if host != s.source {
		return
	}
	s.source, s.doubted = "", s.Mirror.lastConfirmed()
	s.Mirror.setUnconfirmed(true)
}

// isDoubtful reports whether a page without entries says no more than what this host knew when a host that it read through
// had lost the store: the host that sent it may have read through the same one, and learns of the loss later.
func (s *Selector) isDoubtful(p Page) bool {
	return p.AgeMilliseconds > 0 && s.doubted > 0 && s.Mirror.Now()-p.age() <= s.doubted+doubtMargin
}

// listRemote returns the list of another host.
func (s *Selector) listRemote(ctx context.Context, h declarer.Host) (Page, error) {
	c, cancel := watchdog.WithStallTimeout(ctx, remoteConnectTimeout, remoteSlack)
	defer cancel()
	p, err := s.Remote.List(c, h, s.Kind)
	if err == nil && p.Revision < s.newestRevision {
		return Page{}, errOlderList
	}
	return p, err
}

// watchRemote waits for changes at another host.
func (s *Selector) watchRemote(ctx context.Context, h declarer.Host, after uint64, wait time.Duration) (Page, error) {
	c, cancel := watchdog.WithStallTimeout(ctx, wait+remoteSlack, remoteSlack)
	defer cancel()
	return s.Remote.Watch(c, h, s.Kind, after, wait)
}

// checkRemote returns the changes that another host has, without waiting for more: the attempt
// with the previous host has already taken time, or this host hasn't been current for a while.
func (s *Selector) checkRemote(ctx context.Context, h declarer.Host, after uint64) (Page, error) {
	c, cancel := watchdog.WithStallTimeout(ctx, remoteConnectTimeout, remoteSlack)
	defer cancel()
	return s.Remote.Watch(c, h, s.Kind, after, 0)
}

// recordRevision records the revision of a returned page.
func (s *Selector) recordRevision(p Page, err error) (Page, error) {
	if err == nil {
		s.newestRevision = max(s.newestRevision, p.Revision)
	}
	return p, err
}
