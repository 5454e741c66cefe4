package admitter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite golden files")

// recorder makes random calls on a queue and writes down each of its decisions.
type recorder struct {
	random *rand.Rand
	q      Queue
	now    time.Duration
	live   []*Entry
	ids    map[*Entry]int
	out    strings.Builder
	// importance is that of all requests.
	importance Importance
}

// newRecorder returns a recorder for a queue whose settings depend on the seed.
func newRecorder(seed uint64, i Importance) *recorder {
	r := &recorder{random: rand.New(rand.NewPCG(seed, 7)), ids: map[*Entry]int{}, importance: i}
	r.q = Queue{Slots: 1 + r.random.IntN(4), Length: 4 + r.random.IntN(28)}
	r.q.Teams = map[string]TeamLimit{"b": {Share: 3}, "c": {Share: 2, Requests: 6}}
	fmt.Fprintf(&r.out, "queue %d slots %d length %d\n", seed, r.q.Slots, r.q.Length)
	return r
}

func (r *recorder) offer() {
	e := &Entry{Team: string(rune('a' + r.random.IntN(5))), Importance: r.importance}
	e.Class = [...]Class{ClassRead, ClassRead, ClassRead, ClassWrite, ClassWrite, ClassTransaction}[r.random.IntN(6)]
	e.HoldsConnection = r.random.IntN(16) == 0
	if r.random.IntN(4) > 0 {
		e.Deadline = r.now + time.Duration(1+r.random.IntN(120))*ms
	}
	if r.random.IntN(2) == 0 {
		e.Objective = r.now + time.Duration(1+r.random.IntN(60))*ms
	}
	r.ids[e] = len(r.ids)
	r.live = append(r.live, e)
	r.q.Offer(e, r.now)
	r.write("offer", false)
}

// end releases, cancels or expires the entry.
func (r *recorder) end(e *Entry) {
	switch k := r.random.IntN(12); {
	case e.State == StateGranted && k == 0:
		r.q.ReleaseUnused(e, r.now)
		r.write("unused", false)
	case e.State == StateGranted:
		r.q.Release(e, r.now)
		r.write("release", false)
	case e.Deadline != 0 && e.Deadline <= r.now:
		r.q.Expire(e, r.now)
		r.write("expire", false)
	case k == 0:
		r.q.Cancel(e, r.now)
		r.write("cancel", false)
	}
}

// adjust changes a setting of the queue.
func (r *recorder) adjust() {
	switch r.random.IntN(8) {
	case 0:
		r.q.Slots = r.random.IntN(5)
	case 1:
		r.q.Teams = map[string]TeamLimit{"a": {Share: 1 + r.random.IntN(4)}, "d": {Requests: 3}}
	case 2:
		r.q.Closed = ReasonLeaving
	case 3:
		r.q.ResetServiceTime()
	default:
		r.q.OpenTransactions = r.random.IntN(3)
	}
	r.q.Adjust(r.now)
	r.write("adjust", true)
	r.q.Closed = ReasonNone
	r.q.Slots = max(1, r.q.Slots)
}

// write writes the decisions of the last call. Those of one that refuses many at once are sorted and
// have no retry time, as they are made in the order of a map.
func (r *recorder) write(call string, unordered bool) {
	var l []string
	for _, e := range r.q.Granted {
		l = append(l, fmt.Sprintf("+%d", r.ids[e]))
	}
	for _, e := range r.q.Refused {
		if unordered {
			l = append(l, fmt.Sprintf("-%d:%s", r.ids[e], e.Reason))
			continue
		}
		l = append(l, fmt.Sprintf("-%d:%s:%d", r.ids[e], e.Reason, e.RetryAfter.Microseconds()))
	}
	if unordered {
		slices.Sort(l)
	}
	if len(l) > 0 {
		fmt.Fprintf(&r.out, "%d %s %s\n", r.now.Microseconds(), call, strings.Join(l, " "))
	}
}

func (r *recorder) step() {
	r.now += time.Duration(r.random.IntN(2000)) * time.Microsecond
	r.live = slices.DeleteFunc(r.live, func(e *Entry) bool { return e.State >= StateRefused })
	switch k := r.random.IntN(100); {
	case k < 55:
		r.offer()
	case k < 97 && len(r.live) > 0:
		r.end(r.live[r.random.IntN(len(r.live))])
	case k >= 97:
		r.adjust()
	}
}

// decisions returns the decisions on 12 random sequences of calls.
func decisions(i Importance) string {
	var out strings.Builder
	for seed := range uint64(12) {
		r := newRecorder(seed, i)
		for range 1500 {
			r.step()
		}
		out.WriteString(r.out.String())
	}
	return out.String()
}

// Guards against a change of the decisions of a deployment that ranks nothing: the golden file was
// written by the queue without levels of importance. Requests of any one importance are decided in the
// same way.
func TestEqualImportanceIsDecidedAsWithoutLevels(t *testing.T) {
	const file = "testdata/decisions.golden"
	if *update {
		if err := os.WriteFile(file, []byte(decisions(0)), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range []Importance{0, RankedImportance(DefaultPriority, DefaultPriority), 63} {
		got, expected := strings.Split(decisions(i), "\n"), strings.Split(string(want), "\n")
		for n := range min(len(got), len(expected)) {
			if got[n] != expected[n] {
				t.Fatalf("importance %d, line %d: %q, want %q", i, n+1, got[n], expected[n])
			}
		}
		if len(got) != len(expected) {
			t.Errorf("importance %d: %d lines, want %d", i, len(got), len(expected))
		}
	}
}
