package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/summarizer"
)

// maximumWait bounds how long a question of another host is held back.
const maximumWait = 5 * time.Second

// relaying is what a host does for those that report through it.
type relaying struct {
	summary summarizer.State
	// claims numbers the objects that this host has had.
	claims int
	// storedAt is when the object was written last.
	storedAt time.Duration
	// news is closed and replaced when something changes that others wait for.
	news chan struct{}
}

// Advise answers another host of the zone that takes this one for its relay. It
// returns once there is something to tell, or after the time that the other one waits.
func (h *Host) Advise(ctx context.Context, q Consultation) Advice {
	h.once.Do(h.init)
	arrived := h.hear(q)
	t, x := h.Clock.Timer(min(max(q.Wait, 0), maximumWait))
	defer x.Cancel()
	for {
		a, news := h.advice(q, arrived)
		if news == nil {
			return a
		}
		select {
		case <-news:
		case <-t:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// hear takes in another host's sign of life, and its report. It returns when.
func (h *Host) hear(q Consultation) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.now()
	if q.Report == nil {
		h.summary.MarkActive(encoder.HostReport{Host: q.Host, Incarnation: q.Incarnation}, now)
		return now
	}
	h.tell(*q.Report, now)
	signal(h.wake)
	return now
}

// tell takes in another host's report; the caller holds the lock.
func (h *Host) tell(r MemberReport, now time.Duration) {
	switch {
	case r.Leaving:
		h.summary.RemoveMember(r.Member, r.Sequence, now)
	case !h.relayed():
		r.Member.ReportedAt = time.Now().UTC().Truncate(time.Millisecond)
		h.summary.AddReport(r.Member, r.Sequence, r.Registrar == h.name(), now)
	}
}

// advice returns what can be said by now to a question that has arrived, and
// a channel that closes when there is more to say; nil if the answer needn't wait.
func (h *Host) advice(q Consultation, arrived time.Duration) (Advice, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var a Advice
	now := h.clock.now()
	x, seen := h.state.Sight(q.Known, now)
	if seen {
		held := x.AsOfArrival(now - arrived)
		a.Sight = &held
	}
	if q.Report == nil {
		if seen && x.Version > q.Known {
			return a, nil
		}
		return a, h.news
	}
	m, ok := h.summary.Held(q.Report.Member)
	if ok && !h.relayed() {
		a.Registration = &Holding{Registrar: h.name(), Confirmed: seen && x.Age <= now-h.storedAt}
		if !m.SameContent(q.Report.Member) {
			a.Registration.Member = &m
		}
	}
	if h.relayed() || h.answered(*q.Report) {
		return a, nil
	}
	return a, h.news
}

// answered reports whether the object holds what r says.
func (h *Host) answered(r MemberReport) bool {
	if r.Leaving {
		return h.summary.MemberRemoved(r.Member)
	}
	return h.summary.CanAnswer(r.Member)
}

// name tells this host's present object from any other one that it had or that
// its predecessor had; the caller holds the lock.
func (h *Host) name() string {
	return fmt.Sprintf("%s/%s/%d", h.Name, h.Incarnation, h.claims)
}

// announce wakes those who wait for news; the caller holds the lock.
func (h *Host) announce() {
	close(h.news)
	h.news = make(chan struct{})
}

// AwaitFile waits until this host holds r's file, or until ctx ends.
func (h *Host) AwaitFile(ctx context.Context, r declarer.Revision) {
	h.once.Do(h.init)
	for {
		h.mu.Lock()
		_, ok := h.files[r]
		n := h.news
		h.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-n:
		case <-ctx.Done():
			return
		}
	}
}
