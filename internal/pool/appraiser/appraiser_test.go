package appraiser

import (
	"math"
	"testing"
	"time"
)

// Guards against a host that owns more than its processor or its link carries, and against a limit
// derived from a setting that is unknown.
func TestStrength(t *testing.T) {
	tests := []struct {
		name      string
		cores     float64
		bandwidth int64
		want      int
	}{
		{name: "small host", cores: 0.192, bandwidth: 10e6, want: 9},
		{name: "large host", cores: 0.8, bandwidth: 200e6, want: 40},
		{name: "slow link", cores: 0.8, bandwidth: 10e6, want: 20},
		{name: "link unknown", cores: 0.8, want: 40},
		{name: "cores unknown", bandwidth: 10e6, want: 0},
		{name: "product just below a whole number", cores: 0.58, want: 29},
		{name: "less than a slot", cores: 0.001, bandwidth: 10e6, want: 1},
		{name: "link of less than a slot", cores: 1, bandwidth: 1, want: 1},
		{name: "too many cores", cores: math.Inf(1), want: MaximumStrength},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if n := Strength(tt.cores, tt.bandwidth); n != tt.want {
				t.Errorf("strength %d, want %d", n, tt.want)
			}
		})
	}
}

// change is a change of strength with the time since the start.
type change struct {
	at time.Duration
	Change
}

// simulation drives an Observer with a timer of 50 ms in virtual time.
type simulation struct {
	observer Observer
	began    time.Time
	now      time.Time
	// unavailable is set while the store confirms no write, and lost if it makes them nevertheless.
	unavailable, lost bool
	// stored is the strength in the store.
	stored   int
	attempts []time.Duration
	changes  []change
}

func newSimulation(full int) *simulation {
	began := time.Unix(1e9, 0)
	return &simulation{observer: Observer{Full: full}, began: began, now: began, stored: full}
}

// run lets timers fire for d, each as late as the function of the declared strength returns.
func (s *simulation) run(d time.Duration, delay func(strength int) time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		x := delay(s.observer.Strength())
		s.now = s.now.Add(50*time.Millisecond + x)
		c, ok := s.observer.Observe(s.now, x)
		if !ok {
			continue
		}
		s.attempts = append(s.attempts, s.now.Sub(s.began))
		if !s.unavailable || s.lost {
			s.stored = c.Strength
		}
		if !s.unavailable {
			s.changes = append(s.changes, change{at: s.now.Sub(s.began).Round(100 * time.Millisecond), Change: c})
		}
		s.observer.Record(s.now, c, !s.unavailable)
	}
}

func always(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// strengths returns the declared strengths in order.
func (s *simulation) strengths() []int {
	var l []int
	for _, c := range s.changes {
		l = append(l, c.Strength)
	}
	return l
}

func (s *simulation) check(t *testing.T, want ...int) {
	t.Helper()
	got := s.strengths()
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || got[i] != want[i] {
			t.Fatalf("strengths %v, want %v; changes %v", got, want, s.changes)
		}
	}
}
