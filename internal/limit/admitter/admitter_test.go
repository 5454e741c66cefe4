package admitter

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

const ms = time.Millisecond

// checker applies random calls and compares the queue with plain counting.
type checker struct {
	t       *rapid.T
	q       Queue
	now     time.Duration
	live    []*Entry
	final   map[*Entry]State
	running int
}

func (c *checker) offer() {
	e := &Entry{
		Team:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(c.t, "team"),
		Class: Class(rapid.IntRange(0, int(classes)-1).Draw(c.t, "class")),
		// One in eight has a connection already.
		HoldsConnection: rapid.IntRange(0, 7).Draw(c.t, "holding") == 7,
	}
	if d := rapid.IntRange(0, 40).Draw(c.t, "deadline"); d > 0 {
		e.Deadline = c.now + time.Duration(d)*ms
	}
	c.live = append(c.live, e)
	c.q.Offer(e, c.now)
}

// settle takes the decisions of one call in.
func (c *checker) settle() {
	for _, e := range c.q.Granted {
		if s, ok := c.final[e]; ok {
			c.t.Fatalf("entry granted after state %v", s)
		}
		if e.Deadline != 0 && c.now > e.Deadline {
			c.t.Fatalf("granted %v after its deadline", c.now-e.Deadline)
		}
		c.final[e] = StateGranted
		c.running++
	}
	for _, e := range c.q.Refused {
		if s, ok := c.final[e]; ok {
			c.t.Fatalf("entry refused after state %v", s)
		}
		c.final[e] = StateRefused
	}
	w := 0
	for _, e := range c.live {
		if e.State == StateWaiting {
			w++
		}
	}
	if c.running > c.q.Slots || c.running != c.q.Running() || w != c.q.Waiting() {
		c.t.Fatalf("%d running of %d slots, queue counts %d; %d waiting, queue counts %d", c.running, c.q.Slots, c.q.Running(), w, c.q.Waiting())
	}
	for _, a := range c.q.active {
		if c.q.teams[a.name] != a {
			c.t.Fatalf("team %s waits but is forgotten", a.name)
		}
	}
	if w > 0 && c.running == 0 {
		c.t.Fatalf("%d waiting while all slots are free", w)
	}
}

func (c *checker) step() {
	var e *Entry
	if len(c.live) > 0 {
		e = c.live[rapid.IntRange(0, len(c.live)-1).Draw(c.t, "entry")]
	}
	c.now += time.Duration(rapid.IntRange(0, 5).Draw(c.t, "gap")) * ms
	switch k := rapid.IntRange(0, 9).Draw(c.t, "step"); {
	case k < 4 || e == nil:
		c.offer()
	case k < 5:
		if not := c.q.Cancel(e, c.now); not == (e.State == StateGranted || e.State == StateReleased) {
			c.t.Fatalf("cancel says not run: %t in state %v", not, e.State)
		}
	case k < 6 && e.Deadline != 0 && e.Deadline <= c.now:
		c.q.Expire(e, c.now)
	case k == 6:
		c.q.OpenTransactions = rapid.IntRange(0, 2).Draw(c.t, "open")
		c.q.Adjust(c.now)
	default:
		if e.State == StateGranted {
			c.running--
		}
		c.q.Release(e, c.now)
	}
	c.settle()
}

// Callers come, cancel, run out of time and finish in any order. If the queue
// loses count, a backend server gets more than it can take or stands idle, and
// a caller that was told "not run" finds its booking made.
func TestGrantsAreCountedAndRefusalsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &checker{t: t, final: map[*Entry]State{}}
		c.q = Queue{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Length: rapid.IntRange(1, 12).Draw(t, "length")}
		c.q.Teams = map[string]TeamLimit{"b": {Share: 3}, "c": {Requests: 2}}
		for range 100 {
			c.step()
		}
		for a, b := range c.q.teams {
			if b.requests() < 0 {
				t.Fatalf("team %s has %d requests", a, b.requests())
			}
		}
	})
}

// Reads fill the queue and an adviser saves a note. The save is refused, and the
// note has to be entered again, although a read could as well come back later.
func TestWritesDisplaceReadsOfTheirTeam(t *testing.T) {
	q := Queue{Slots: 1, Length: 2}
	l := []*Entry{{Class: ClassRead}, {Class: ClassRead}, {Class: ClassRead}, {Class: ClassWrite}, {Class: ClassWrite}, {Class: ClassWrite}}
	for i, e := range l {
		q.Offer(e, time.Duration(i))
	}
	want := []State{StateGranted, StateRefused, StateRefused, StateWaiting, StateWaiting, StateRefused}
	for i, e := range l {
		if e.State != want[i] {
			t.Errorf("entry %d is in state %v, want %v", i, e.State, want[i])
		}
	}
}

// Two updates wait for a row lock and hold both slots. The commit that would
// free the lock waits behind them until their time is out.
func TestCommitFindsASlotBesideBlockedWrites(t *testing.T) {
	q := Queue{Slots: 2, OpenTransactions: 1}
	for range 3 {
		q.Offer(&Entry{Class: ClassWrite}, 0)
	}
	commit := &Entry{Class: ClassTransaction}
	q.Offer(commit, ms)
	if commit.State != StateGranted {
		t.Errorf("commit isn't granted beside blocked writes, %d running", q.Running())
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		q    Queue
		e    Entry
		want Reason
	}{
		{name: "room", q: Queue{Slots: 1}, e: Entry{Deadline: ms}},
		{name: "late", q: Queue{Slots: 1}, e: Entry{Deadline: 1}, want: ReasonDeadline},
		{name: "leaving", q: Queue{Slots: 1, Closed: ReasonLeaving}, e: Entry{Class: ClassRead}, want: ReasonLeaving},
		{name: "leaving lets transactions end", q: Queue{Slots: 1, Closed: ReasonLeaving}, e: Entry{Class: ClassTransaction}},
		{name: "shutdown", q: Queue{Slots: 1, Closed: ReasonShutdown}, e: Entry{}, want: ReasonShutdown},
		{name: "no time for the wait", q: Queue{Slots: 0, Length: 9}, e: Entry{Class: ClassRead, Deadline: 4 * ms}, want: ReasonExpectedWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.q.Offer(&tt.e, 1)
			if got := tt.e.Reason; got != tt.want {
				t.Errorf("reason %v, want %v", got, tt.want)
			}
		})
	}
}

func BenchmarkOfferRelease(b *testing.B) {
	q := Queue{Slots: 2, Length: 256}
	for i := range 200 {
		q.Offer(&Entry{Team: fmt.Sprint(i % 10), Class: ClassRead}, 0)
	}
	e := make([]Entry, b.N)
	l := q.Granted[:0:0]
	b.ReportAllocs()
	b.ResetTimer()
	for i := range e {
		e[i] = Entry{Team: "0", Class: ClassRead}
		q.Offer(&e[i], time.Duration(i))
		l = append(l, q.Granted...)
		if len(l) > 0 {
			x := l[0]
			l = l[1:]
			q.Release(x, time.Duration(i))
			l = append(l, q.Granted...)
		}
	}
}

// A request had its slot, found no connection, and waited for one without the
// slot. If it came back to a full queue as a newcomer it would be refused, or
// wait a second time behind all the others while its connection is idle.
func TestHoldingGoesBeforeNewcomers(t *testing.T) {
	q := Queue{Slots: 1, Length: 1}
	running, waiting := &Entry{Class: ClassRead}, &Entry{Class: ClassRead, Deadline: 90 * ms}
	q.Offer(running, 0)
	q.Offer(waiting, 0)
	holding := &Entry{Class: ClassRead, HoldsConnection: true}
	q.Offer(holding, ms)
	if holding.State != StateWaiting || waiting.State != StateWaiting {
		t.Fatalf("states %v, %v after a full queue", holding.State, waiting.State)
	}
	q.Release(running, 2*ms)
	if holding.State != StateGranted || waiting.State != StateWaiting {
		t.Errorf("states %v, %v after the release", holding.State, waiting.State)
	}
}
