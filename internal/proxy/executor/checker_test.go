package executor_test

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// The checker must object to each kind of broken promise, or the tests that rely on
// it would pass whatever the code does.
func TestCheckerObjects(t *testing.T) {
	saved := record{id: "s1.1", item: "x", value: 4}
	cases := map[string]struct {
		history func(h *history)
		log     []record
		want    string
	}{
		"clean": {
			history: func(h *history) { h.tell("s1.1", "x", 4, declarer.CodeNone) },
			log:     []record{saved},
		},
		"write lost": {
			history: func(h *history) { h.tell("s1.1", "x", 4, declarer.CodeNone) },
			want:    "is lost",
		},
		"write dropped by a promotion": {
			history: func(h *history) {
				h.tell("s1.1", "x", 4, declarer.CodeNone)
				h.rolledBack(saved)
			},
		},
		"write doubled": {
			history: func(h *history) { h.tell("s1.1", "x", 4, declarer.CodeNone) },
			log:     []record{saved, saved},
			want:    "took effect 2 times",
		},
		"false not run": {
			history: func(h *history) { h.tell("s1.1", "x", 4, declarer.CodeBusy) },
			log:     []record{saved},
			want:    "told that it did not run",
		},
		"unknown that ran": {
			history: func(h *history) { h.tell("s1.1", "x", 4, declarer.CodeOutcomeUnknown) },
			log:     []record{saved},
		},
		"stale read": {
			history: func(h *history) {
				h.tell("s1.1", "x", 4, declarer.CodeNone)
				h.read("s2.1", 3, h.due("x", time.Now().Add(time.Second)))
			},
			log:  []record{saved},
			want: "reads 3 of x, want 4",
		},
		"two transactions mixed": {
			history: func(h *history) {
				c := &connection{open: true}
				h.arrived(c, &declarer.Request{ID: "s1.1"}, "")
				h.arrived(c, &declarer.Request{ID: "s2.1"}, "")
			},
			want: "in a transaction of s1",
		},
		"another session's values": {
			history: func(h *history) {
				h.values["s1"] = map[string]string{"zone": "1"}
				h.arrived(&connection{values: map[string]string{"zone": "2"}}, &declarer.Request{ID: "s1.1"}, "")
			},
			want: "runs with values",
		},
		"another session's statement": {
			history: func(h *history) {
				h.shapes["s1.1"] = "r"
				h.arrived(&connection{}, &declarer.Request{ID: "s1.1"}, "r2")
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
