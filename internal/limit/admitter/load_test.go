package admitter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a load that counts the statements of transactions among the levels, or hides that one
// team has filled the queue: the decisions of other hosts follow from it.
func TestLoadOfQueue(t *testing.T) {
	q := Queue{Slots: 2}
	offer := func(team string, c Class, i Importance) {
		q.Offer(&Entry{Team: team, Class: c, Importance: i}, 0)
	}
	for range 2 {
		offer("a", ClassRead, 9)
	}
	for range 3 {
		offer("a", ClassWrite, 9)
	}
	offer("a", ClassTransaction, 0)
	offer("b", ClassRead, 17)
	offer("b", ClassTransaction, 63)
	offer("c", ClassTransaction, 9)
	want := Load{Slots: 2, Running: 2, Transactions: 3, WaitingByLevel: [LevelCount]int{1: 3, 2: 1}, Teams: 2, LongestTeam: 3, ServiceTime: DefaultServiceTime}
	if d := cmp.Diff(want, q.Load()); d != "" {
		t.Error(d)
	}
}

// Guards against a tolerance that shrinks while the request waits, or that counts the run twice.
func TestToleranceOfEntry(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		objective, deadline time.Duration
		want                time.Duration
		ok                  bool
	}{
		{0, 0, 0, false},
		{150 * ms, 0, 50 * ms, true},
		{0, 300 * ms, 190 * ms, true},
		{150 * ms, 300 * ms, 50 * ms, true},
		{250 * ms, 200 * ms, 90 * ms, true},
	} {
		var q Queue
		e := Entry{Objective: c.objective, Deadline: c.deadline}
		q.Offer(&e, 100*ms)
		if g, ok := e.Tolerance(10 * ms); g != c.want || ok != c.ok {
			t.Errorf("objective %s, deadline %s: %s, %t; want %s", c.objective, c.deadline, g, ok, c.want)
		}
	}
}
