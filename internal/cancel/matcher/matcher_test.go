package matcher

import (
	"flag"
	"os"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}

// signal is a cancel on its way to the fake server.
type signal struct {
	generation Generation
	arrived    bool
}

// A caller cancels while its answer is on the way, and the cancel arrives after
// the connection went to the next caller. That caller's booking is broken off
// without its doing. Cancels are sent, arrive, are lost and repeated in any order.
func TestLateCancelNeverHitsTheNextUse(t *testing.T) {
	hits := 0
	rapid.Check(t, func(t *rapid.T) {
		var c Connection
		var flying []*signal
		var present Generation
		running := false
		for range 80 {
			g := Generation(rapid.IntRange(int(max(present, 2))-2, int(present)+1).Draw(t, "generation"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				n, ok := c.Begin()
				if ok && running {
					t.Fatal("two uses at a time")
				}
				if ok {
					present, running = n, true
				}
			case 1:
				if c.StartCancel(g) {
					flying = append(flying, &signal{generation: g})
				}
			case 2:
				// The server sees the cancel while it runs whatever it runs now.
				for _, s := range flying {
					if s.arrived {
						continue
					}
					s.arrived = true
					if running && s.generation != present {
						t.Fatalf("cancel for use %d hit use %d", s.generation, present)
					}
					if running {
						hits++
					}
					break
				}
			case 3:
				// The cancel's connection closes only after it has arrived; one that
				// isn't seen to close may still arrive.
				for i, s := range flying {
					if s.arrived {
						c.EndCancel(s.generation, true)
						flying = append(flying[:i], flying[i+1:]...)
						break
					}
				}
			case 4:
				if len(flying) > 0 && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					if c.EndCancel(flying[0].generation, false) != VerdictClose {
						t.Fatal("connection is kept although a cancel may still arrive")
					}
				}
			default:
				if running && c.Matches(present) {
					c.Ready(present)
					running = false
				}
			}
		}
	})
	if hits < 1000 {
		t.Errorf("only %d cancels hit their request, the test shows nothing", hits)
	}
}

// A caller cancels in the moment in which its request gets a slot. It is told
// "not run", and the request runs all the same.
func TestCancelAndStartAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Matcher{Host: "entry-1"}
		k, err := m.Open(7)
		if err != nil {
			t.Fatal(err)
		}
		var r RequestID
		sent, dropped := map[RequestID]bool{}, map[RequestID]bool{}
		for range 60 {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r = m.Begin(k)
			case 1:
				old := RequestID(rapid.IntRange(0, int(r)).Draw(t, "request"))
				if m.Start(k, old, Target{Generation: Generation(old)}) {
					sent[old] = true
				}
			case 2:
				a := m.Cancel(k)
				if a.Effect == EffectDropped {
					dropped[a.Request] = true
				}
				if a.Effect == EffectForward && (a.Request != r || a.Target.Generation != Generation(r)) {
					t.Fatalf("cancel of request %d goes to %+v", r, a)
				}
			case 3:
				m.End(k, RequestID(rapid.IntRange(0, int(r)).Draw(t, "request")))
			}
			for d := range dropped {
				if sent[d] {
					t.Fatalf("request %d was sent and told as not run", d)
				}
			}
		}
	})
}

func TestKeys(t *testing.T) {
	m := Matcher{Host: "entry-1"}
	k, _ := m.Open(7)
	m.Begin(k)
	if k.Host() != IDOf("entry-1") || k.ProcessID>>31 != 0 {
		t.Errorf("key %+v doesn't name its host as a positive number", k)
	}
	wrong := k
	wrong.Secret++
	if a := m.Cancel(wrong); a.Effect != EffectNone {
		t.Errorf("wrong secret: %+v", a)
	}
	m.Close(wrong)
	if a := m.Cancel(k); a.Effect != EffectDropped {
		t.Errorf("right secret: %+v", a)
	}
	m.Close(k)
	if a := m.Cancel(k); a.Effect != EffectNone {
		t.Errorf("closed session: %+v", a)
	}
	seen := map[uint32]bool{}
	for range MaximumSessions {
		k, err := m.Open(1)
		if err != nil || seen[k.ProcessID] {
			t.Fatalf("key %+v twice or error %v", k, err)
		}
		seen[k.ProcessID] = true
	}
	if _, err := m.Open(1); !errors.Is(err, ErrSessions) {
		t.Errorf("error %v, want %v", err, ErrSessions)
	}
}
