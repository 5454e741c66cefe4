package matcher

import (
	"testing"
	"time"
)

// Guards against care that never ends, and against care for servers that have not answered twice.
func TestWatchRemembersServersForAWhile(t *testing.T) {
	var w Watch
	now := time.Now()
	if w.Suspicious("i-1", now) {
		t.Error("a server is suspicious from the start")
	}
	w.Record("i-1", now)
	w.Record("i-2", now.Add(careDuration/2))
	for _, c := range []struct {
		server string
		after  time.Duration
		want   bool
	}{
		{"i-1", careDuration - 1, true}, {"i-1", careDuration, false}, {"i-2", careDuration, true},
		{"i-2", careDuration * 3 / 2, false}, {"i-3", 0, false},
	} {
		if got := w.Suspicious(c.server, now.Add(c.after)); got != c.want {
			t.Errorf("%s suspicious after %s: %t", c.server, c.after, got)
		}
	}
	w.Record("i-3", now.Add(2*careDuration))
	if n := len(w.servers); n != 1 {
		t.Errorf("%d servers remembered", n)
	}
}
