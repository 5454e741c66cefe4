package appraiser

import (
	"testing"
	"time"
)

// Guards against a host that stays weak after a lasting delay, or is restored at once: it declares half
// after 2 s, half of that 5 s later, and a quarter of its full strength more every 10 s once its timers
// are on time.
func TestLateTimersLowerStrength(t *testing.T) {
	s := newSimulation(40)
	s.run(time.Minute, always(time.Millisecond))
	s.run(8*time.Second, always(60*time.Millisecond))
	s.check(t, 20, 10)
	if d := s.changes[0].at - time.Minute; d < lateTime || d > lateTime+time.Second {
		t.Errorf("reduced %v after timers became late, want 2 s and the time of the smoothed delay", d)
	}
	if d := s.changes[1].at - s.changes[0].at; d < writeInterval {
		t.Errorf("two changes within %v", d)
	}
	s.run(10*time.Second, always(time.Millisecond))
	s.check(t, 20, 10)
	s.run(5*time.Minute, always(time.Millisecond))
	s.check(t, 20, 10, 20, 30, 40)
	if d := s.changes[3].at - s.changes[2].at; d < promptTime {
		t.Errorf("raised twice within %v", d)
	}
}

// Guards against a host that hands over its servers because of one pause, such as a collection of
// garbage or a suspension, or that does so at delays between both thresholds.
func TestShortDelaysChangeNothing(t *testing.T) {
	s := newSimulation(40)
	for range 20 {
		s.run(100*time.Millisecond, always(30*time.Second))
		s.run(5*time.Second, always(time.Millisecond))
		s.run(time.Second, always(60*time.Millisecond))
		s.run(10*time.Second, always(12*time.Millisecond))
	}
	s.check(t)
}

// Guards against a raise between the thresholds: a host with delays of 12 ms is neither slow nor fast.
func TestDelaysBetweenThresholdsKeepStrength(t *testing.T) {
	s := newSimulation(40)
	s.run(4*time.Second, always(60*time.Millisecond))
	s.run(10*time.Minute, always(12*time.Millisecond))
	s.check(t, 20)
}

// Guards against a strength that alternates: a host that is slow above half of its strength would be
// raised and reduced every 12 s, and its servers would move each time.
func TestStrengthDoesNotOscillate(t *testing.T) {
	s := newSimulation(40)
	s.run(time.Hour, func(strength int) time.Duration {
		if strength > 24 {
			return 40 * time.Millisecond
		}
		return time.Millisecond
	})
	t.Logf("%d changes in an hour", len(s.changes))
	if n := len(s.changes); n > 40 {
		t.Errorf("%d changes in an hour: %v", n, s.changes)
	}
	reductions := 0
	for _, c := range s.changes {
		if c.at > 30*time.Minute && c.Cause == CauseLate {
			reductions++
		}
	}
	if reductions > 6 {
		t.Errorf("%d reductions in half an hour, long after the first", reductions)
	}
	s.run(time.Hour, always(time.Millisecond))
	if n := s.observer.Strength(); n != 40 {
		t.Errorf("strength %d after an hour without delays, want 40", n)
	}
	s.changes = nil
	s.run(4*time.Second, always(60*time.Millisecond))
	s.run(15*time.Second, always(time.Millisecond))
	s.check(t, 20, 30)
}

// Guards against a host of the lowest strength that declares none, which would be taken for unknown and
// without limit.
func TestLowestStrength(t *testing.T) {
	s := newSimulation(3)
	s.run(time.Minute, always(60*time.Millisecond))
	s.check(t, 1)
	s.run(time.Minute, always(time.Millisecond))
	s.check(t, 1, 2, 3)
}

// The store is unavailable while the host wants to declare a reduced strength. Guards against attempts
// one after the other, against a strength that is taken for declared, and against a change that was made
// without an answer and stays in the store.
func TestStoreUnavailable(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := newSimulation(40)
		s.unavailable, s.lost = true, lost
		s.run(30*time.Second, always(60*time.Millisecond))
		if n := s.observer.Strength(); n != 40 {
			t.Errorf("strength %d taken for declared, want 40", n)
		}
		if n := len(s.attempts); n < 3 || n > 6 {
			t.Errorf("%d attempts in 30 s: %v", n, s.attempts)
		}
		for i := range s.attempts[1:] {
			if d := s.attempts[i+1] - s.attempts[i]; d < writeInterval {
				t.Errorf("attempts within %v", d)
			}
		}
		s.run(time.Minute, always(time.Millisecond))
		s.unavailable = false
		s.run(time.Minute, always(time.Millisecond))
		if n := s.observer.Strength(); n != 40 || s.stored != 40 {
			t.Errorf("strength %d and %d in the store, want 40", n, s.stored)
		}
		s.check(t, 40)
	}
}

// Guards against a reduction that isn't made once the store answers again.
func TestReducedOnceStoreAnswers(t *testing.T) {
	s := newSimulation(40)
	s.unavailable = true
	s.run(7*time.Second, always(60*time.Millisecond))
	s.unavailable = false
	s.run(5*time.Second, always(60*time.Millisecond))
	s.check(t, 20)
}
