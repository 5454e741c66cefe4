package retrier

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const deadline = 800 * time.Millisecond

// Guards against statements that are sent again to a server whose queue is too long for them: eight
// tries of each statement sustained an overload after its cause had ended.
func TestFullServerIsNotTriedAgain(t *testing.T) {
	s := Statement{Deadline: deadline, SingleServer: true}
	s.CountTry()
	if x := s.Refused("a", CauseQueueTooLong, 40*time.Millisecond, time.Millisecond, 1); x.Action != ActionRefuse || x.RetryAfter != 40*time.Millisecond {
		t.Errorf("step %+v", x)
	}
}

func TestReadIsSentToOtherServers(t *testing.T) {
	s := Statement{Deadline: deadline}
	for i, name := range []string{"a", "b", "c"} {
		s.CountTry()
		if x := s.Refused(name, CauseQueueTooLong, time.Duration(3-i)*10*time.Millisecond, 0, 1); x.Action != ActionChoose {
			t.Fatalf("step %+v after %s", x, name)
		}
		if !slices.Contains(s.Excluded(), name) {
			t.Errorf("%s is not excluded", name)
		}
	}
	if x := s.Exhausted(time.Millisecond, 1); x.Action != ActionRefuse || x.RetryAfter != 10*time.Millisecond {
		t.Errorf("step %+v, want a refusal with the shortest retry time", x)
	}
}

// Guards against excluding a lagging replica for good: it catches up and is tried again, unlike a
// server whose queue is too long.
func TestReplicaBehindIsTriedAgain(t *testing.T) {
	s := Statement{Deadline: deadline}
	s.Refused("a", CauseBehind, 0, 0, 1)
	s.Refused("b", CauseQueueTooLong, 0, 0, 1)
	if x := s.Exhausted(0, 1); x.Action != ActionWait || x.Delay > 2*initialBackoff {
		t.Errorf("step %+v", x)
	}
	if slices.Contains(s.Excluded(), "a") || !slices.Contains(s.Excluded(), "b") {
		t.Errorf("excluded %q", s.Excluded())
	}
}

// Guards against a statement that waits until its deadline although no server can be reached.
func TestUnreachableServersAreReportedSoon(t *testing.T) {
	s := Statement{Deadline: deadline, SingleServer: true}
	now := time.Duration(0)
	for {
		x := s.Exhausted(now, 1)
		if x.Action == ActionRefuse {
			break
		}
		now += x.Delay
	}
	if now > maximumUnreachableWait {
		t.Errorf("refused after %s", now)
	}
}

// Guards against retries that continue after the statement's deadline or add unbounded load to a busy
// server.
func TestStatementsEnd(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := &Budget{Share: 0.5, Burst: 10}
		s := Statement{Deadline: rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		}).Draw(r, "deadline"), SingleServer: rapid.Bool().Draw(r, "fixed"), Budget: b}
		servers := []string{"a", "b", "c"}
		now := time.Duration(0)
		for n := 0; ; n++ {
			if n > 20*maximumTries {
				t.Fatal("statement does not end")
			}
			name := ""
			for _, x := range servers {
				if !slices.Contains(s.Excluded(), x) {
					name = x
				}
			}
			var x Step
			if name == "" || s.SingleServer && rapid.Bool().Draw(r, "unknown") {
				x = s.Exhausted(now, rapid.Uint64().Draw(r, "draw"))
			} else {
				s.CountTry()
				now += time.Duration(rapid.IntRange(0, 100).Draw(r, "took")) * time.Millisecond
				x = s.Refused(name, Cause(rapid.IntRange(0, int(CauseNotSent)).Draw(r, "cause")), 0, now, rapid.Uint64().Draw(r, "draw"))
			}
			if x.Action == ActionRefuse {
				break
			}
			now += x.Delay
			if now >= s.Deadline && x.Action == ActionWait {
				t.Fatalf("waits until %s, deadline %s", now, s.Deadline)
			}
		}
		if s.Tries() > maximumTries {
			t.Fatalf("%d tries", s.Tries())
		}
	})
}
