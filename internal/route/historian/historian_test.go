package historian

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

// Guards against reads from a replica that lacks a write older than the allowed age. The required mark
// must cover every write that was acknowledged before the age began. It must not be needlessly high
// either, as then fewer replicas would be eligible.
func TestRequiredMarkCoversWritesOlderThanAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := 10 * time.Second
		h := Historian{MaximumAge: maximum}
		var all []Observation
		now := time.Duration(0)
		m := marker.Mark{Term: 1}
		for range rapid.IntRange(1, 400).Draw(t, "observations") {
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "gap")) * time.Millisecond
			m.Position += marker.Position(rapid.IntRange(0, 9).Draw(t, "writes"))
			if rapid.IntRange(0, 50).Draw(t, "change") == 0 {
				m.Term++
			}
			all = append(all, Observation{PolledAt: now, Mark: m})
			h.Add(all[len(all)-1])
			age := time.Duration(rapid.IntRange(0, int(maximum/time.Millisecond)).Draw(t, "age")) * time.Millisecond
			later := now + time.Duration(rapid.IntRange(0, 500).Draw(t, "later"))*time.Millisecond
			got, ok := h.RequiredMark(later, age)
			if (later-now <= age) != ok {
				t.Fatalf("ok = %t with the latest observation %v ago and age %v", ok, later-now, age)
			}
			if !ok {
				continue
			}
			// The best answer is the first observation within the age. As observations are thinned
			// out, the result may be one up to two intervals later, never an earlier one.
			for i, o := range all {
				if o.PolledAt < later-age {
					continue
				}
				if !got.Covers(o.Mark) {
					t.Fatalf("required mark %v does not cover %v, observed within the age", got, o.Mark)
				}
				step := 2 * maximum / (capacity - 1)
				for _, p := range all[i:] {
					if p.PolledAt >= o.PolledAt+step {
						if !p.Mark.Covers(got) {
							t.Fatalf("required mark %v is above %v, observed %v later", got, p.Mark, p.PolledAt-o.PolledAt)
						}
						break
					}
				}
				break
			}
		}
	})
}
