package executor_test

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against a checker that misses a violation: the tests that rely on it would then pass
// regardless of the code's behavior.
func TestCheckerReportsViolations(t *testing.T) {
	committed := record{id: "s1.1", item: "x", value: 4}
	cases := map[string]struct {
		history func(h *history)
		log     []record
		want    string
	}{
		"clean": {
			history: func(h *history) { h.recordReply("s1.1", "x", 4, declarer.CodeNone) },
			log:     []record{committed},
		},
		"write lost": {
			history: func(h *history) { h.recordReply("s1.1", "x", 4, declarer.CodeNone) },
			want:    "is lost",
		},
		"write dropped by a promotion": {
			history: func(h *history) {
				h.recordReply("s1.1", "x", 4, declarer.CodeNone)
				h.recordRolledBack(committed)
			},
		},
		"write applied twice": {
			history: func(h *history) { h.recordReply("s1.1", "x", 4, declarer.CodeNone) },
			log:     []record{committed, committed},
			want:    "took effect 2 times",
		},
		"wrongly reported as not run": {
			history: func(h *history) { h.recordReply("s1.1", "x", 4, declarer.CodeBusy) },
			log:     []record{committed},
			want:    "told that it did not run",
		},
		"unknown outcome that ran": {
			history: func(h *history) { h.recordReply("s1.1", "x", 4, declarer.CodeOutcomeUnknown) },
			log:     []record{committed},
		},
		"stale read": {
			history: func(h *history) {
				h.recordReply("s1.1", "x", 4, declarer.CodeNone)
				h.checkRead("s2.1", 3, h.newestAcknowledged("x", time.Now().Add(time.Second)))
			},
			log:  []record{committed},
			want: "reads 3 of x, want 4",
		},
		"statement in another session's transaction": {
			history: func(h *history) {
				c := &connection{open: true}
				h.checkStatement(c, &declarer.Request{ID: "s1.1"}, "")
				h.checkStatement(c, &declarer.Request{ID: "s2.1"}, "")
			},
			want: "in a transaction of s1",
		},
		"another session's values": {
			history: func(h *history) {
				h.values["s1"] = map[string]string{"zone": "1"}
				h.checkStatement(&connection{values: map[string]string{"zone": "2"}}, &declarer.Request{ID: "s1.1"}, "")
			},
			want: "runs with values",
		},
		"another session's statement": {
			history: func(h *history) {
				h.shapes["s1.1"] = "r"
				h.checkStatement(&connection{}, &declarer.Request{ID: "s1.1"}, "r2")
			},
			want: "runs shape",
		},
	}
	for name, c := range maps.All(cases) {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			c.history(h)
			got := strings.Join(h.check(c.log), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("faults %q, want %q", got, c.want)
			}
		})
	}
}
