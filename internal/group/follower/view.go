package follower

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// invalidate signals that no serving host answers. If the view isn't current either, it is
// replaced by one in which no server is reachable. Otherwise a host that is cut off would go on
// choosing servers from an outdated view.
func (f *Follower) invalidate(now time.Duration) {
	select {
	case f.unreachable <- struct{}{}:
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

// acceptAnswer updates the view from the answer of host to a question sent at the given time.
func (f *Follower) acceptAnswer(host string, sent time.Duration, a *informer.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = false
	delete(f.avoidUntil, host)
	v := f.unpack(host, sent, a)
	if v != nil && !v.HasMajority() && f.rejectWithoutMajority(host) {
		v = nil
	}
	if v == nil {
		f.serveWaiters(f.view.Load())
		return
	}
	for i := range v.Servers {
		if v.Servers[i].Answered {
			f.tracker.Observe(v.Servers[i].Status)
		}
	}
	f.lastAnswer.Store(int64(f.now()))
	f.source, f.version = host, a.Version
	f.handingOver.Store(a.HandingOver)
	f.keepLatest(v)
	f.publish(v)
}

// rejectWithoutMajority marks host to be avoided because it answers, but reaches no majority of
// the servers. It reports whether its view is to be dropped since a current view of another host
// has a majority. Otherwise a serving host that is cut off from the servers would make all its
// followers refuse their callers too. The mutex is held.
func (f *Follower) rejectWithoutMajority(host string) bool {
	ok := f.source != host && f.Current() && f.view.Load().HasMajority()
	f.avoidUntil[host] = f.now() + noMajorityRetry
	if ok {
		f.avoidUntil[host] = f.now() + noMajorityAvoidance
	}
	return ok
}

// unpack returns the view of an answer, nil if a newer answer was accepted before it.
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

// keepLatest keeps the position of each server that was observed later than the one in v,
// because answers may arrive out of order and hosts poll at different times.
func (f *Follower) keepLatest(v *observer.View) {
	o := f.view.Load()
	for i := range v.Servers {
		s, p := &v.Servers[i], &o.Servers[i]
		if s.Answered && p.Answered && s.Status.Term == p.Status.Term && s.Status.Role == p.Status.Role && p.Status.Last.Compare(s.Status.Last) > 0 && p.PolledAt > s.PolledAt {
			s.Status.Last, s.PolledAt = p.Status.Last, p.PolledAt
		}
	}
}

// publish stores v as the view and answers the waiters that it satisfies. The mutex is held.
func (f *Follower) publish(v *observer.View) {
	f.view.Store(v)
	close(f.nextView)
	f.nextView = make(chan struct{})
	f.serveWaiters(v)
}
