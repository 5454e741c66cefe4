package follower

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// desert tells that nobody answers, and takes back what was last heard. Without
// that a host that is cut off would go on choosing servers that it knows nothing of.
func (f *Follower) desert(now time.Duration) {
	select {
	case f.deserted <- struct{}{}:
	default:
	}
	o := f.View()
	if f.Current() {
		return
	}
	v := *o
	v.At = now
	if o.HasMajority() {
		v.NoMajoritySince = now
	}
	v.Obstacle, v.Confirmed, v.Reason, v.Reachable = observer.ObstacleNoMajority, false, observer.ReasonNone, 0
	v.Servers = append([]observer.Server(nil), o.Servers...)
	for i := range v.Servers {
		v.Servers[i].Fresh = false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source = ""
	f.publish(&v)
}

// take takes in a host's answer to what was asked when it was sent.
func (f *Follower) take(host string, sent time.Duration, a *informer.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = false
	delete(f.avoid, host)
	v := f.unpack(host, sent, a)
	if v != nil && !v.HasMajority() && f.better(host) {
		v = nil
	}
	if v == nil {
		f.serveWaiters(f.view.Load())
		return
	}
	for i := range v.Servers {
		if v.Servers[i].Answered {
			f.ledger.Observe(v.Servers[i].Status)
		}
	}
	f.heard.Store(int64(f.now()))
	f.source, f.version = host, a.Version
	f.handing.Store(a.HandingOver)
	f.keepLatest(v)
	f.publish(v)
}

// better notes that the host answers, but reaches no majority of the servers, and
// reports whether another one that does is known. Without that the callers of all
// hosts that follow one whose own way is broken would be refused with its callers.
// The mutex is held.
func (f *Follower) better(host string) bool {
	ok := f.source != host && f.Current() && f.view.Load().HasMajority()
	f.avoid[host] = f.now() + glance
	if ok {
		f.avoid[host] = f.now() + mistrust
	}
	return ok
}

// unpack returns the view of an answer, nil if a newer one has overtaken it.
func (f *Follower) unpack(host string, sent time.Duration, a *informer.Answer) *observer.View {
	switch {
	case a.View != nil && (f.source != host || int64(a.Version-f.version) >= 0):
		return a.View.Unpack(f.names, sent, f.now())
	case a.View == nil && f.source == host && f.version == a.Version:
		return informer.UnpackPositions(a.Positions, f.view.Load(), sent, f.now())
	default:
		return nil
	}
}

// keepLatest keeps what is already known of a server where an answer is older,
// as answers may overtake each other and hosts differ in what they know.
func (f *Follower) keepLatest(v *observer.View) {
	o := f.view.Load()
	for i := range v.Servers {
		s, p := &v.Servers[i], &o.Servers[i]
		if s.Answered && p.Answered && s.Status.Term == p.Status.Term && s.Status.Role == p.Status.Role && p.Status.Last.Compare(s.Status.Last) > 0 && p.PolledAt > s.PolledAt {
			s.Status.Last, s.PolledAt = p.Status.Last, p.PolledAt
		}
	}
}

// publish makes v the view and answers who waits for it. The mutex is held.
func (f *Follower) publish(v *observer.View) {
	f.view.Store(v)
	close(f.fresh)
	f.fresh = make(chan struct{})
	f.serveWaiters(v)
}
