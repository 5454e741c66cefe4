package admitter

import (
	"testing"
	"time"
)

// Guards against a queue that delays every request under sustained overload: a request is refused on
// arrival if its expected wait exceeds its objective, though not its deadline.
func TestObjectiveBoundsTheWait(t *testing.T) {
	q := Queue{Slots: 1}
	now := time.Duration(0)
	first := &Entry{Class: ClassRead, Deadline: time.Minute}
	q.Offer(first, now)
	now += 100 * time.Millisecond
	q.Release(first, now) // a request takes 100 ms
	q.Offer(&Entry{Class: ClassRead, Deadline: time.Minute}, now)
	for i, want := range []State{StateWaiting, StateWaiting, StateRefused} {
		e := &Entry{Class: ClassRead, Deadline: time.Minute, Objective: now + 250*time.Millisecond}
		q.Offer(e, now)
		if e.State != want {
			t.Errorf("request %d: state %d, want %d", i, e.State, want)
		}
		if e.State == StateRefused && e.Reason != ReasonExpectedWait {
			t.Errorf("reason %s", e.Reason)
		}
	}
}

// Guards against requests that wait until their deadlines for a server that has stopped answering: the
// service times of earlier requests don't show that it has.
func TestStalledServerIsDetected(t *testing.T) {
	q := Queue{Slots: 2}
	now := time.Duration(0)
	var running []*Entry
	for range 2 {
		for range 10 {
			e := &Entry{Class: ClassRead, Deadline: now + time.Second}
			q.Offer(e, now)
			now += 5 * time.Millisecond
			q.Release(e, now)
		}
		e := &Entry{Class: ClassRead, Deadline: now + time.Second}
		q.Offer(e, now)
		running = append(running, e)
	}
	offer := func() *Entry {
		e := &Entry{Class: ClassRead, Deadline: now + time.Second, Objective: now + 100*time.Millisecond}
		q.Offer(e, now)
		return e
	}
	now += 50 * time.Millisecond
	if e := offer(); e.State != StateWaiting {
		t.Errorf("state %d after a short stall, want waiting", e.State)
	}
	now += 100 * time.Millisecond
	if e := offer(); e.State != StateRefused {
		t.Errorf("state %d after a long stall, want refused", e.State)
	}
	q.Release(running[0], now)
	if e := offer(); e.State == StateRefused {
		t.Error("refused although a slot has just been released")
	}
}
