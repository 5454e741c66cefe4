package matcher

import (
	"testing"
	"time"
)

// Guards against care that never ends, and against care for groups whose servers have not answered twice.
func TestWatchRemembersGroupsForAWhile(t *testing.T) {
	var w Watch
	now := time.Now()
	if w.Suspicious("g-1", now) {
		t.Error("a group is suspicious from the start")
	}
	w.Record("g-1", now)
	w.Record("g-2", now.Add(careDuration/2))
	for _, c := range []struct {
		group string
		after time.Duration
		want  bool
	}{
		{"g-1", careDuration - 1, true}, {"g-1", careDuration, false}, {"g-2", careDuration, true},
		{"g-2", careDuration * 3 / 2, false}, {"g-3", 0, false},
	} {
		if got := w.Suspicious(c.group, now.Add(c.after)); got != c.want {
			t.Errorf("%s suspicious after %s: %t", c.group, c.after, got)
		}
	}
	w.Record("g-3", now.Add(2*careDuration))
	if n := len(w.groups); n != 1 {
		t.Errorf("%d groups remembered", n)
	}
}
