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

// checker applies random calls and compares the queue with counts kept by the test.
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
		Class: Class(rapid.IntRange(0, int(classCount)-1).Draw(c.t, "class")),
		// One in eight already holds a connection.
		HoldsConnection: rapid.IntRange(0, 7).Draw(c.t, "holding") == 7,
	}
	if d := rapid.IntRange(0, 40).Draw(c.t, "deadline"); d > 0 {
		e.Deadline = c.now + time.Duration(d)*ms
	}
	c.live = append(c.live, e)
	c.q.Offer(e, c.now)
}

// settle checks the decisions of the last call and updates the counts.
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
	for _, a := range c.q.waitingTeams {
		if c.q.teams[a.name] != a {
			c.t.Fatalf("team %s has waiting entries but is not in the table of teams", a.name)
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
		if refused := c.q.Cancel(e, c.now); refused == (e.State == StateGranted || e.State == StateReleased) {
			c.t.Fatalf("Cancel = %t in state %v", refused, e.State)
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

// Guards against miscounted slots and wrong refusals when requests arrive, are cancelled, expire and
// finish in any order: a backend server would be overloaded or idle, and a request reported as not run
// would have run.
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

// Guards against a refused write while reads of the same team fill the queue: the user would have to
// enter the data again, whereas a refused read can simply be repeated.
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

// Guards against a deadlock until the deadlines: two updates that wait for a row lock hold both slots,
// and the commit that would release the lock waits behind them.
func TestCommitGetsSlotBesideBlockedWrites(t *testing.T) {
	q := Queue{Slots: 2, OpenTransactions: 1}
	for range 3 {
		q.Offer(&Entry{Class: ClassWrite}, 0)
	}
	commit := &Entry{Class: ClassTransaction}
	q.Offer(commit, ms)
	if commit.State != StateGranted {
		t.Errorf("commit is not granted beside blocked writes, %d running", q.Running())
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
		{name: "leaving accepts statements of transactions", q: Queue{Slots: 1, Closed: ReasonLeaving}, e: Entry{Class: ClassTransaction}},
		{name: "shutdown", q: Queue{Slots: 1, Closed: ReasonShutdown}, e: Entry{}, want: ReasonShutdown},
		{name: "expected wait beyond the deadline", q: Queue{Slots: 0, Length: 9}, e: Entry{Class: ClassRead, Deadline: 4 * ms}, want: ReasonExpectedWait},
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

// Guards against queueing a request a second time: it got a slot, found no free connection, and waited
// for one without the slot. If it were then treated as a new request, it would be refused by a full
// queue or wait behind all others while its connection is idle.
func TestRequestHoldingConnectionIsGrantedFirst(t *testing.T) {
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
