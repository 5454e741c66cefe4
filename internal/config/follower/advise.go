package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/summarizer"
)

// maximumWait bounds how long a Consultation of another host is held open.
const maximumWait = 5 * time.Second

// relayState is what a host keeps for the hosts that report through it as their relay.
type relayState struct {
	summary summarizer.State
	// objectCount counts the holder objects that this host has had.
	objectCount int
	// storedAt is when the object was last written, by Host.clock.
	storedAt time.Duration
	// updated is closed and replaced when the head, the relay, the files or the stored
	// members change, which waiting consultations and AwaitFile react to.
	updated chan struct{}
}

// Advise answers a host of the zone that uses this host as its relay. It returns once it
// has a newer head or, if q holds a report, once the object reflects it; at the latest
// after q.Wait, which is capped at maximumWait.
func (h *Host) Advise(ctx context.Context, q Consultation) Advice {
	h.once.Do(h.init)
	arrived := h.recordConsultation(q)
	t, x := h.Clock.Timer(min(max(q.Wait, 0), maximumWait))
	defer x.Cancel()
	for {
		a, updated := h.advice(q, arrived)
		if updated == nil {
			return a
		}
		select {
		case <-updated:
		case <-t:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

// recordConsultation records that another host is live, and its report if there is one.
// It returns the time of arrival.
func (h *Host) recordConsultation(q Consultation) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.now()
	if q.Report == nil {
		h.summary.MarkActive(encoder.HostReport{Host: q.Host, Incarnation: q.Incarnation}, now)
		return now
	}
	h.recordReport(*q.Report, now)
	signal(h.wake)
	return now
}

// recordReport records another host's report; the caller holds h.mu.
func (h *Host) recordReport(r MemberReport, now time.Duration) {
	switch {
	case r.Leaving:
		h.summary.RemoveMember(r.Member, r.Sequence, now)
	case !h.followsRelay():
		r.Member.ReportedAt = time.Now().UTC().Truncate(time.Millisecond)
		h.summary.AddReport(r.Member, r.Sequence, r.Registrar == h.registrarID(), now)
	}
}

// advice returns the present answer to q, which arrived at arrived, and a channel that
// closes when the answer may have changed; nil if the answer is complete.
func (h *Host) advice(q Consultation, arrived time.Duration) (Advice, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var a Advice
	now := h.clock.now()
	x, seen := h.state.Sight(q.Known, now)
	if seen {
		sight := x.AsOfArrival(now - arrived)
		a.Sight = &sight
	}
	if q.Report == nil {
		if seen && x.Version > q.Known {
			return a, nil
		}
		return a, h.updated
	}
	m, ok := h.summary.Held(q.Report.Member)
	if ok && !h.followsRelay() {
		a.Registration = &Holding{Registrar: h.registrarID(), Confirmed: seen && x.Age <= now-h.storedAt}
		if !m.SameContent(q.Report.Member) {
			a.Registration.Member = &m
		}
	}
	if h.followsRelay() || h.reportHandled(*q.Report) {
		return a, nil
	}
	return a, h.updated
}

// reportHandled reports whether the stored object reflects r, or isn't expected to any
// more; the caller holds h.mu.
func (h *Host) reportHandled(r MemberReport) bool {
	if r.Leaving {
		return h.summary.MemberRemoved(r.Member)
	}
	return h.summary.CanAnswer(r.Member)
}

// registrarID identifies this host's present object. It differs from the ids of the
// objects that this host or an earlier incarnation of it had before; the caller holds h.mu.
func (h *Host) registrarID() string {
	return fmt.Sprintf("%s/%s/%d", h.Name, h.Incarnation, h.objectCount)
}

// notifyWaiters wakes those who wait for relayState.updated; the caller holds h.mu.
func (h *Host) notifyWaiters() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// AwaitFile waits until this host holds the file of revision r, or until ctx ends.
func (h *Host) AwaitFile(ctx context.Context, r declarer.Revision) {
	h.once.Do(h.init)
	for {
		h.mu.Lock()
		_, ok := h.files[r]
		n := h.updated
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
