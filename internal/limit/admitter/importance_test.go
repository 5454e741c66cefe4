package admitter

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rankedChecker applies random calls with requests of all levels, and checks each decision.
type rankedChecker struct {
	checker
	// passed is the number of grants since the last one to a less important level than one that
	// waited, while a less important one waited.
	passed int
	// waited holds the requests that waited before the last call.
	waited []*Entry
}

func (c *rankedChecker) offer() {
	e := &Entry{
		Team:            rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(c.t, "team"),
		Class:           Class(rapid.IntRange(0, int(classCount)-1).Draw(c.t, "class")),
		Importance:      RankedImportance(uint8(rapid.IntRange(0, 3).Draw(c.t, "route")), uint8(rapid.IntRange(0, 2).Draw(c.t, "customer"))),
		HoldsConnection: rapid.IntRange(0, 7).Draw(c.t, "holding") == 7,
	}
	if d := rapid.IntRange(0, 90).Draw(c.t, "deadline"); d > 0 {
		e.Deadline = c.now + time.Duration(d)*ms
	}
	if d := rapid.IntRange(0, 60).Draw(c.t, "objective"); d > 0 {
		e.Objective = c.now + time.Duration(d)*ms
	}
	c.live = append(c.live, e)
	c.q.Offer(e, c.now)
	if l := e.Importance.Level(); e.level != l && (c.q.usages == nil || l == 0 || e.Class == ClassTransaction || e.level != l+LevelCount) {
		c.t.Fatalf("importance %d is at level %d", e.Importance, e.level)
	}
	c.checkDisplaced(e)
}

// checkDisplaced checks which waiting requests the arrival of e has had refused.
func (c *rankedChecker) checkDisplaced(e *Entry) {
	for _, v := range c.q.Refused {
		if v == e {
			continue
		}
		if v.Class == ClassTransaction || v.HoldsConnection && v.Reason != ReasonDeadline {
			c.t.Fatalf("refused a statement of a transaction or a request with a connection: %+v", v)
		}
		if v.RetryAfter < minimumRetryAfter {
			c.t.Fatalf("retry after %v", v.RetryAfter)
		}
		switch {
		case v.Reason == ReasonDeadline:
		case v.level < e.level:
			c.t.Fatalf("importance %d refused (%s) for %d", v.Importance, v.Reason, e.Importance)
		case v.Reason == ReasonExpectedWait && v.level == e.level:
			c.t.Fatalf("refused as late for one of its own level")
		}
		if v.Reason != ReasonQueueFull {
			continue
		}
		for _, o := range c.waited {
			if o.State == StateWaiting && o.Class != ClassTransaction && !o.HoldsConnection && o.level > v.level {
				c.t.Fatalf("displaced importance %d while %d waited", v.Importance, o.Importance)
			}
		}
	}
}

// checkGrants checks the order of the grants of the last call, and counts those that passed over others.
func (c *rankedChecker) checkGrants() {
	waiting := slices.Concat(c.waited, c.q.Granted)
	for _, e := range c.q.Granted {
		waiting = slices.DeleteFunc(waiting, func(o *Entry) bool {
			return o == e || o.Class == ClassTransaction || o.State == StateRefused || o.State == StateReleased
		})
		if e.Class == ClassTransaction {
			continue
		}
		more, less := false, false
		for _, o := range waiting {
			more = more || o.level < e.level
			less = less || o.level > e.level && o.level < LevelCount
		}
		if more && (c.passed < reservedInterval-1 || e.level >= LevelCount) {
			c.t.Fatalf("importance %d granted after %d grants while a more important one waited", e.Importance, c.passed)
		}
		if more || !less {
			c.passed = 0
		} else if c.passed++; c.passed >= reservedInterval {
			c.t.Fatalf("%d grants passed over a less important level", c.passed)
		}
	}
}

func (c *rankedChecker) step() {
	c.waited = slices.DeleteFunc(slices.Clone(c.live), func(e *Entry) bool { return e.State != StateWaiting })
	c.now += time.Duration(rapid.IntRange(0, 5).Draw(c.t, "gap")) * ms
	var e *Entry
	if l := slices.DeleteFunc(slices.Clone(c.live), func(e *Entry) bool { return e.State > StateGranted }); len(l) > 0 {
		e = l[rapid.IntRange(0, len(l)-1).Draw(c.t, "entry")]
	}
	switch k := rapid.IntRange(0, 9).Draw(c.t, "step"); {
	case k < 6 || e == nil:
		c.offer()
	case e.State == StateGranted:
		c.running--
		c.q.Release(e, c.now)
	case e.Deadline != 0 && e.Deadline <= c.now:
		c.q.Expire(e, c.now)
	case k == 6:
		c.q.Cancel(e, c.now)
	case k == 7 && c.q.usages != nil:
		c.q.SetTeams(map[string]TeamLimit{"a": {Share: rapid.IntRange(1, 1000).Draw(c.t, "share")}, "b": {Share: 30}}, c.now)
	default:
		c.q.Adjust(c.now)
	}
	c.checkGrants()
	c.settle()
	var n levelCounts
	for _, e := range c.live {
		if e.State == StateWaiting && e.Class != ClassTransaction {
			n[e.level]++
		}
	}
	if n != c.q.queued {
		c.t.Fatalf("counts by level %v, want %v", c.q.queued, n)
	}
}

// Guards against requests of several levels that are granted out of order, starved, granted after they
// have been refused, or refused in favour of a less important one.
func TestDecisionsFollowImportance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &rankedChecker{checker: checker{t: t, final: map[*Entry]State{}}}
		c.q = Queue{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Length: rapid.IntRange(1, 40).Draw(t, "length")}
		c.q.Teams = map[string]TeamLimit{"b": {Share: 3}}
		if rapid.Bool().Draw(t, "entitlements") {
			c.q.SetTeams(map[string]TeamLimit{"a": {Share: 1}, "b": {Share: 30}, "c": {Share: 9}}, 0)
		}
		for range 150 {
			c.step()
		}
	})
}

// offerAll offers the entries one after the other at the time zero.
func offerAll(q *Queue, l ...*Entry) {
	for _, e := range l {
		q.Offer(e, 0)
	}
}

// serve releases the running request of a queue with one slot and returns the next one.
func serve(t *testing.T, q *Queue, running *Entry, now time.Duration) *Entry {
	t.Helper()
	q.Release(running, now)
	if len(q.Granted) != 1 {
		t.Fatalf("%d grants after a release", len(q.Granted))
	}
	return q.Granted[0]
}

// Guards against starvation of less important levels by more of the most important requests than the
// server has capacity for: each 16th grant goes to one of the others, which take turns.
func TestLessImportantLevelsGetReservedGrants(t *testing.T) {
	q := Queue{Slots: 1, Length: 1000}
	e := &Entry{Class: ClassRead}
	offerAll(&q, e)
	for level := range uint8(3) {
		for range 200 {
			offerAll(&q, &Entry{Class: ClassRead, Importance: RankedImportance(level, 0)})
		}
	}
	var order []uint8
	for n := range 64 {
		e = serve(t, &q, e, time.Duration(n)*ms)
		if l := e.Importance.Level(); l > 0 {
			order = append(order, l)
		}
	}
	if want := []uint8{1, 2, 1, 2}; !slices.Equal(order, want) {
		t.Errorf("64 grants went to the less important levels %v, want %v", order, want)
	}
}

// Guards against a transaction that holds a connection and locks while more important requests run, and
// against transactions that keep all others out.
func TestStatementsOfTransactionsComeFirst(t *testing.T) {
	q := Queue{Slots: 1, Length: 100}
	e := &Entry{Class: ClassRead}
	offerAll(&q, e)
	var transactions []*Entry
	for n := range uint8(20) {
		x := &Entry{Class: ClassTransaction, Importance: RankedImportance(MaximumPriority-n%LevelCount, 0)}
		transactions = append(transactions, x)
		offerAll(&q, &Entry{Class: ClassRead}, x)
	}
	for n := range 16 {
		e = serve(t, &q, e, time.Duration(n)*ms)
		if n%(maximumTransactionsInRow+1) == maximumTransactionsInRow {
			if e.Class != ClassRead {
				t.Errorf("grant %d went to class %d, want a read", n, e.Class)
			}
			continue
		}
		if e != transactions[0] {
			t.Errorf("grant %d went to class %d with importance %d, want the first statement of a transaction", n, e.Class, e.Importance)
		}
		transactions = transactions[1:]
	}
}

// Guards against a newcomer of a less important level that waits behind all others of it: the grants of
// the most important level would count as slot time that the others have missed.
func TestNewcomerOfLessImportantLevelGetsItsShare(t *testing.T) {
	q := Queue{Slots: 1, Length: 1000}
	e := &Entry{Team: "a", Class: ClassRead}
	offerAll(&q, e)
	fill := func(team string, level uint8, n int, now time.Duration) {
		for range n {
			q.Offer(&Entry{Team: team, Class: ClassRead, Importance: RankedImportance(level, 0)}, now)
		}
	}
	fill("b", 1, 100, 0)
	fill("a", 0, 200, 0)
	now := time.Duration(0)
	for range 200 {
		now += 10 * ms
		e = serve(t, &q, e, now)
	}
	fill("c", 1, 100, now)
	granted := map[string]int{}
	for range 40 {
		now += 10 * ms
		e = serve(t, &q, e, now)
		granted[e.Team]++
	}
	if n := granted["c"]; n < 12 || n > 22 {
		t.Errorf("newcomer got %d of 40 grants: %v", n, granted)
	}
}

// Guards against a tie between customers that is decided by arrival although one has the higher priority,
// and against a priority that goes before fair shares.
func TestCustomersPriorityDecidesTies(t *testing.T) {
	q := Queue{Slots: 1}
	e := &Entry{Team: "a", Class: ClassRead}
	low := &Entry{Team: "b", Class: ClassRead, Importance: RankedImportance(1, 7)}
	high := [2]*Entry{}
	for i := range high {
		high[i] = &Entry{Team: "c", Class: ClassRead, Importance: RankedImportance(1, 0)}
	}
	offerAll(&q, e, low, high[0], high[1])
	var order []*Entry
	for n := range 3 {
		e = serve(t, &q, e, time.Duration(n+1)*ms)
		order = append(order, e)
	}
	if want := []*Entry{high[0], low, high[1]}; !slices.Equal(order, want) {
		t.Errorf("granted to teams %s %s %s, want c b c", order[0].Team, order[1].Team, order[2].Team)
	}
}

// Guards against a full queue of less important requests that keeps a more important one out, and against
// the displacement of one that is more important, holds a connection, or is part of a transaction.
func TestFullQueueDisplacesLeastImportant(t *testing.T) {
	read := func(team string, route, customer uint8) Entry {
		return Entry{Team: team, Class: ClassRead, Importance: RankedImportance(route, customer)}
	}
	holding, transaction, write := read("a", 2, 0), read("a", 2, 0), read("a", 1, 0)
	holding.HoldsConnection, transaction.Class, write.Class = true, ClassTransaction, ClassWrite
	tests := []struct {
		name    string
		waiting []Entry
		arrival Entry
		// displaced is the number of the displaced request, that of the arrival itself if it is refused.
		displaced int
	}{
		{name: "last of the least important level", waiting: []Entry{read("a", 2, 0), read("a", 2, 0), read("a", 1, 0)}, arrival: read("b", 0, 0), displaced: 1},
		{name: "less important one is refused", waiting: []Entry{read("a", 0, 0), read("a", 0, 0)}, arrival: read("b", 1, 0), displaced: 2},
		{name: "customer of lower priority", waiting: []Entry{read("a", 1, 0), read("b", 1, 3), read("c", 1, 2)}, arrival: read("d", 1, 1), displaced: 1},
		{name: "customer of higher priority with a longer queue", waiting: []Entry{read("a", 1, 0), read("b", 1, 3), read("a", 1, 0)}, arrival: read("a", 1, 0), displaced: 3},
		{name: "customer of lower priority with its share", waiting: []Entry{read("a", 1, 0), read("a", 1, 0), read("a", 1, 0)}, arrival: read("b", 1, 7), displaced: 2},
		{name: "read of the level of a write", waiting: []Entry{read("a", 0, 0), read("a", 1, 0)}, arrival: write, displaced: 1},
		{name: "more important read than a write", waiting: []Entry{read("a", 0, 0), read("a", 0, 0)}, arrival: write, displaced: 2},
		{name: "connections and transactions stay", waiting: []Entry{holding, transaction, read("a", 1, 0)}, arrival: read("b", 0, 0), displaced: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := Queue{Slots: 1, Length: 100}
			offerAll(&q, &Entry{Team: "z", Class: ClassRead})
			l := append(slices.Clone(tt.waiting), tt.arrival)
			for i := range tt.waiting {
				offerAll(&q, &l[i])
			}
			q.Length = q.waiting[ClassRead] + q.waiting[ClassWrite]
			offerAll(&q, &l[len(l)-1])
			for i := range l {
				if refused := l[i].State == StateRefused; refused != (i == tt.displaced) {
					t.Errorf("request %d: state %v, reason %s", i, l[i].State, l[i].Reason)
				}
			}
			if v := l[tt.displaced]; v.Reason != ReasonQueueFull || v.RetryAfter < minimumRetryAfter {
				t.Errorf("refused: %s, retry after %v", v.Reason, v.RetryAfter)
			}
		})
	}
}

// Guards against requests that wait in vain: after more important ones have arrived, they can't meet their
// objective or deadline any more, and would only be refused when it has passed.
func TestLateRequestsAreRefusedWhenMoreImportantOnesArrive(t *testing.T) {
	q := Queue{Slots: 1}
	now := time.Duration(0)
	offerAll(&q, &Entry{Class: ClassRead})
	q.Release(q.Granted[0], 10*ms)
	now = 10 * ms
	q.Offer(&Entry{Class: ClassRead}, now)
	entries := [4]*Entry{
		{Class: ClassRead, Importance: 16, Deadline: now + 500*ms, Objective: now + 45*ms},
		{Class: ClassRead, Importance: 16, Deadline: now + 55*ms},
		{Class: ClassRead, Importance: 16, Deadline: now + 500*ms},
		{Class: ClassRead, Importance: 8, Objective: now + 45*ms},
	}
	for _, e := range entries {
		q.Offer(e, now)
	}
	refused := func() int {
		n := 0
		for _, e := range entries {
			if e.State == StateRefused {
				n++
			}
		}
		return n
	}
	if refused() > 0 {
		t.Fatalf("%d refused before a more important one has arrived", refused())
	}
	for range 3 {
		q.Offer(&Entry{Class: ClassRead}, now)
	}
	want := [4]State{StateRefused, StateRefused, StateWaiting, StateWaiting}
	for i, e := range entries {
		if e.State != want[i] || e.State == StateRefused && (e.Reason != ReasonExpectedWait || e.RetryAfter < 40*ms) {
			t.Errorf("request %d: state %v, reason %s, retry after %v", i, e.State, e.Reason, e.RetryAfter)
		}
	}
}

// Guards against a refusal of an important request because of less important ones that wait, and against
// a less important one that is let in without regard to those that are granted before it.
func TestExpectedWaitCountsWhatIsGrantedBefore(t *testing.T) {
	q := Queue{Slots: 1, Length: 100}
	offerAll(&q, &Entry{Class: ClassRead})
	for range 30 {
		offerAll(&q, &Entry{Class: ClassRead, Importance: 16})
	}
	important := &Entry{Class: ClassRead, Objective: 2 * DefaultServiceTime}
	offerAll(&q, important)
	if important.State != StateWaiting {
		t.Errorf("state %v of the most important request behind less important ones", important.State)
	}
	less := &Entry{Team: "b", Class: ClassRead, Importance: 16, Objective: 2 * DefaultServiceTime}
	offerAll(&q, less)
	if less.Reason != ReasonExpectedWait {
		t.Errorf("reason %s of a less important request", less.Reason)
	}
}

// Guards against a refused caller of a small customer that is told to come back long after the queue has room:
// its request is refused with the margin for others that may arrive, but the time is that of those that wait.
func TestRetryTimeIsWhenQueueHasRoom(t *testing.T) {
	q := Queue{Slots: 1}
	q.SetTeams(map[string]TeamLimit{"small": {Share: 100}, "large": {Share: 2500}}, 0)
	now := time.Duration(0)
	run := func(team string, i Importance) *Entry {
		e := &Entry{Team: team, Class: ClassRead, Importance: i, Deadline: now + time.Second}
		q.Offer(e, now)
		return e
	}
	for range 20 {
		a, b := run("large", 9), run("small", 17)
		now += 10 * ms
		q.Release(a, now)
		now += 10 * ms
		q.Release(b, now)
	}
	run("large", 9)
	run("large", 17)
	e := &Entry{Team: "small", Class: ClassRead, Importance: 17, Deadline: now + time.Second, Objective: now + 5*ms}
	q.Offer(e, now)
	if e.Reason != ReasonExpectedWait {
		t.Fatalf("reason %s", e.Reason)
	}
	if e.RetryAfter < 20*ms || e.RetryAfter > 40*ms {
		t.Errorf("retry after %s, one request of 10 ms runs and one waits", e.RetryAfter)
	}
}
