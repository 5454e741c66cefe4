package admitter

import (
	"testing"
	"time"
)

// Guards against a queue that answers everybody late: under a standing overload a request
// is refused on arrival where its wait would outlast its objective, though not its deadline.
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

// Guards against requests that wait to their deadlines behind a server that has stopped
// answering: what requests took before says nothing about it.
func TestStalledServerIsFoundOut(t *testing.T) {
	q := Queue{Slots: 2}
	now := time.Duration(0)
	var held []*Entry
	for range 2 {
		for range 10 {
			e := &Entry{Class: ClassRead, Deadline: now + time.Second}
			q.Offer(e, now)
			now += 5 * time.Millisecond
			q.Release(e, now)
		}
		e := &Entry{Class: ClassRead, Deadline: now + time.Second}
		q.Offer(e, now)
		held = append(held, e)
	}
	offer := func() *Entry {
		e := &Entry{Class: ClassRead, Deadline: now + time.Second, Objective: now + 100*time.Millisecond}
		q.Offer(e, now)
		return e
	}
	now += 50 * time.Millisecond
	if e := offer(); e.State != StateWaiting {
		t.Errorf("state %d after a short silence, want waiting", e.State)
	}
	now += 100 * time.Millisecond
	if e := offer(); e.State != StateRefused {
		t.Errorf("state %d after a long silence, want refused", e.State)
	}
	q.Release(held[0], now)
	if e := offer(); e.State == StateRefused {
		t.Error("refused though a slot has just come free")
	}
}
