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
