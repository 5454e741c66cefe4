package estimator

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

const ms = time.Millisecond

// sample is one observation of the ends of a replica's and its primary's log, both in term 1.
type sample struct {
	at            time.Duration
	last, primary marker.Position
}

// Guards against two wrong estimates. In a group with few writes, a replica that is judged by the number
// of records applied seems to have stopped, and all reads of the latest data go to the primary. A
// replica that has really stopped seems about to catch up, and reads wait for it in vain.
func TestRate(t *testing.T) {
	tests := []struct {
		name string
		l    []sample
		now  time.Duration
		want float64
	}{
		{name: "unknown", want: DefaultRate},
		{name: "no writes", l: []sample{{0, 5, 5}, {100 * ms, 5, 5}, {900 * ms, 5, 5}}, now: time.Second, want: DefaultRate},
		{name: "few writes", l: []sample{{0, 5, 6}, {100 * ms, 6, 6}, {200 * ms, 6, 7}}, now: time.Second, want: DefaultRate},
		{name: "catching up", l: []sample{{0, 0, 1000}, {100 * ms, 50, 1000}}, now: 100 * ms, want: 500},
		{name: "short pause", l: []sample{{0, 0, 9}, {100 * ms, 0, 9}}, now: 200 * ms, want: DefaultRate},
		{name: "stopped", l: []sample{{0, 0, 9}, {100 * ms, 0, 9}}, now: 250 * ms, want: 0},
		{name: "progress after a stall", l: []sample{{0, 0, 9}, {500 * ms, 0, 9}, {600 * ms, 1, 9}}, now: time.Second, want: 10},
		{name: "late answer", l: []sample{{100 * ms, 5, 5}, {50 * ms, 1, 9}}, now: time.Second, want: DefaultRate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Estimator
			for _, s := range tt.l {
				e.Observe(s.at, marker.Mark{Term: 1, Position: s.last}, marker.Mark{Term: 1, Position: s.primary})
			}
			if got := e.Rate(tt.now); got != tt.want {
				t.Errorf("rate %v, want %v", got, tt.want)
			}
		})
	}
}

func TestLagFollowsWaits(t *testing.T) {
	var e Estimator
	for range 100 {
		e.ObserveWait(8 * ms)
	}
	if l := e.Lag(); l < 7*ms || l > 8*ms {
		t.Errorf("lag %v after waits of 8ms", l)
	}
}
