package matcher

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

var (
	callers = Request{ID: "a", Name: "READ", Caller: true}
	commit  = Request{ID: "a", Name: "COMMIT", Caller: true, Effect: EffectEnd}
	begin   = Request{Name: "BEGIN", Effect: EffectBegin, Leading: true}
	end     = Request{Name: "ROLLBACK", Effect: EffectEnd}
	set     = Request{Name: "SET"}
	status  = Request{Name: "STATUS", Row: true}
)

func at(n uint64) marker.Mark { return marker.Mark{Term: 1, Position: marker.Position(n)} }

// read returns the signed answer to a read.
func read(signature, row string, s declarer.State) Answer {
	return Answer{Ended: true, Signature: []byte(signature), Rows: 1, Body: []byte("ROW " + row + "DONE " + signature), State: s, Position: at(5)}
}

// done returns the answer to one of the proxy's own statements.
func done(s declarer.State) Answer {
	return Answer{Ended: true, Body: []byte("DONE -"), State: s, Position: at(5)}
}

func failed(c declarer.Code, s declarer.State) Answer {
	return Answer{Ended: true, Code: c, Body: []byte{byte(c)}, State: s, Position: at(5)}
}

// Each answer is judged after a read "one" was answered and an error BUSY, in the state of the row. Guards
// against an answer that is taken for that of another statement, and against a true answer that isn't taken.
func TestJudge(t *testing.T) {
	const idle, open, broken = declarer.StateIdle, declarer.StateTransaction, declarer.StateFailed
	old := read("s1", "one", idle)
	torn := read("s1", "two", idle)
	rows := Answer{Rows: 1, Body: []byte("ROW x"), State: idle}
	bare := Answer{State: idle, Position: at(2)}
	otherBare := Answer{State: idle, Position: at(5)}
	errorAfterRow := failed(declarer.CodeReadOnly, idle)
	errorAfterRow.Rows = 1
	back := done(open)
	back.Position = at(4)
	row := done(idle)
	row.Rows = 1
	for name, c := range map[string]struct {
		request Request
		answer  Answer
		before  declarer.State
		want    Verdict
	}{
		"an answer to a read":                     {request: callers, answer: read("s2", "two", idle)},
		"in a transaction":                        {request: callers, answer: read("s2", "two", open), before: open},
		"a commit":                                {request: commit, answer: Answer{Ended: true, Signature: []byte("s2"), State: idle}, before: open},
		"a begin":                                 {request: begin, answer: done(open)},
		"a rollback":                              {request: end, answer: done(idle), before: open},
		"a rollback in a failed transaction":      {request: end, answer: done(idle), before: broken},
		"a setting":                               {request: set, answer: done(idle)},
		"a setting in a transaction":              {request: set, answer: done(open), before: open},
		"a status":                                {request: status, answer: row},
		"an own success with a signature":         {request: set, answer: Answer{Ended: true, Signature: []byte("s-"), State: idle}},
		"an error":                                {request: callers, answer: failed(declarer.CodeReadOnly, idle)},
		"an error that fails the transaction":     {request: callers, answer: failed(declarer.CodeReadOnly, broken), before: open},
		"an earlier answer":                       {request: callers, answer: old, want: VerdictSurplus},
		"an earlier answer to a setting":          {request: set, answer: old, want: VerdictSurplus},
		"an earlier signature with another row":   {request: callers, answer: torn, want: VerdictBroken},
		"a caller's success without signature":    {request: callers, answer: done(idle), want: VerdictSurplus},
		"a row without signature":                 {request: callers, answer: row, want: VerdictBroken},
		"a commit that stays open":                {request: commit, answer: read("s2", "two", open), before: open, want: VerdictSurplus},
		"a read that ends the transaction":        {request: callers, answer: read("s2", "two", idle), before: open, want: VerdictSurplus},
		"a begin that opens nothing":              {request: begin, answer: done(idle), want: VerdictSurplus},
		"a begin on a log that went back":         {request: begin, answer: back, want: VerdictBroken},
		"a rollback that ends nothing":            {request: end, answer: done(open), before: open, want: VerdictSurplus},
		"a new signature in place of a begin":     {request: begin, answer: read("s2", "two", idle), want: VerdictBroken},
		"a row in place of a setting":             {request: set, answer: row, want: VerdictBroken},
		"a status without a row":                  {request: status, answer: done(idle), want: VerdictBroken},
		"the greeting":                            {request: callers, answer: bare, want: VerdictSurplus},
		"another bare state":                      {request: callers, answer: otherBare, want: VerdictBroken},
		"an equal error that ends a transaction":  {request: callers, answer: failed(declarer.CodeBusy, idle), before: open, want: VerdictSurplus},
		"an equal error to a commit":              {request: commit, answer: failed(declarer.CodeBusy, idle), before: open, want: VerdictDoubtful},
		"rows without a result":                   {request: callers, answer: rows, want: VerdictBroken},
		"an error that promises no run, with row": {request: callers, answer: errorAfterRow, want: VerdictBroken},
		"an error that opens a transaction":       {request: callers, answer: failed(declarer.CodeReadOnly, open), want: VerdictSurplus},
		"an equal error":                          {request: callers, answer: failed(declarer.CodeBusy, idle), want: VerdictDoubtful},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			m := newMatcher(old, now)
			m.State = c.before
			m.Expect(c.request)
			if j := m.Judge(&c.answer, now); j.Verdict != c.want {
				t.Errorf("verdict %d, reason %s, want %d", j.Verdict, j.Reason, c.want)
			}
		})
	}
}

// newMatcher returns a Matcher after a read and a statement that failed with BUSY.
func newMatcher(first Answer, now time.Time) *Matcher {
	m := &Matcher{}
	m.Greet(at(2))
	busy := failed(declarer.CodeBusy, declarer.StateIdle)
	for _, a := range []*Answer{&first, &busy} {
		m.Expect(callers)
		m.Accept(a, now)
	}
	return m
}

// Guards against a confirmation for each error of a server that is busy all the time, and against one for
// the refusals of another host.
func TestEqualErrorsAreDoubtfulForAWhile(t *testing.T) {
	now := time.Now()
	busy := failed(declarer.CodeBusy, declarer.StateIdle)
	m := newMatcher(read("s1", "one", declarer.StateIdle), now)
	m.Expect(callers)
	if j := m.Judge(&busy, now.Add(errorMemory)); j.Verdict != VerdictMatch {
		t.Errorf("verdict %d after %s", j.Verdict, errorMemory)
	}
	m.Relayed = true
	if j := m.Judge(&busy, now); j.Verdict != VerdictMatch {
		t.Errorf("verdict %d on a link", j.Verdict)
	}
}

// Guards against a memory that grows with the answers of a connection.
func TestSignaturesAreRememberedUpToABound(t *testing.T) {
	m := &Matcher{}
	now := time.Now()
	for i := range 3 * rememberedSuccesses {
		a := read(time.Duration(i).String(), "x", declarer.StateIdle)
		m.Expect(callers)
		if j := m.Judge(&a, now); j.Verdict != VerdictMatch {
			t.Fatalf("answer %d: %s", i, j.Reason)
		}
		m.Accept(&a, now)
	}
	if n := len(m.successes); n != rememberedSuccesses {
		t.Errorf("%d remembered", n)
	}
	a := read(time.Duration(3*rememberedSuccesses-rememberedSuccesses).String(), "x", declarer.StateIdle)
	m.Expect(callers)
	if j := m.Judge(&a, now); j.Verdict != VerdictSurplus {
		t.Error("the oldest that should be remembered isn't")
	}
}

// The answer after a doubtful one tells whether that was genuine. Guards against an error that is taken for a
// statement's own although the statement has run, and against a true error that isn't taken.
func TestJudgeAfter(t *testing.T) {
	const idle, open, broken = declarer.StateIdle, declarer.StateTransaction, declarer.StateFailed
	busy := func(s declarer.State) Answer { return failed(declarer.CodeBusy, s) }
	for name, c := range map[string]struct {
		held, answer Answer
		confirmation Request
		confirmed    bool
		want         Verdict
	}{
		"a begin":                            {held: busy(idle), confirmation: begin, answer: done(open), confirmed: true},
		"a success of the statement":         {held: busy(idle), confirmation: begin, answer: read("s2", "two", idle)},
		"an error of the statement":          {held: busy(idle), confirmation: begin, answer: busy(idle)},
		"an earlier success":                 {held: busy(idle), confirmation: begin, answer: read("s1", "one", idle), want: VerdictSurplus},
		"an earlier answer without state":    {held: busy(idle), confirmation: begin, answer: done(idle), want: VerdictSurplus},
		"a name in a transaction":            {held: busy(open), confirmation: set, answer: done(open), confirmed: true},
		"a name in a failed transaction":     {held: busy(broken), confirmation: set, answer: failed(declarer.CodeMalformed, broken), confirmed: true},
		"a success in a transaction":         {held: busy(open), confirmation: set, answer: read("s2", "two", open)},
		"a torn answer in a transaction":     {held: busy(open), confirmation: set, answer: read("s1", "two", open), want: VerdictBroken},
		"another setting in the wrong state": {held: busy(open), confirmation: set, answer: done(idle), want: VerdictSurplus},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			m := newMatcher(read("s1", "one", idle), now)
			m.State = c.held.State
			m.Expect(callers)
			m.Expect(c.confirmation)
			confirmed, j := m.JudgeAfter(&c.held, &c.answer, now)
			if confirmed != c.confirmed || j.Verdict != c.want {
				t.Errorf("confirmed %t, verdict %d, reason %s", confirmed, j.Verdict, j.Reason)
			}
		})
	}
}

// Guards against a transaction that waits for its timeout if the owner of the connections refuses its statement
// in the words of an earlier refusal.
func TestEqualRefusalOfOwnerInTransaction(t *testing.T) {
	now := time.Now()
	busy := failed(declarer.CodeNoLease, declarer.StateIdle)
	m := &Matcher{Relayed: true}
	m.Expect(callers)
	m.Accept(&busy, now)
	m.State = declarer.StateTransaction
	m.Expect(callers)
	if j := m.Judge(&busy, now.Add(time.Second)); j.Verdict != VerdictMatch {
		t.Errorf("verdict %d, reason %s", j.Verdict, j.Reason)
	}
}

// Guards against an earlier error that is taken for a write's own, after equal errors have taken its place in
// memory.
func TestErrorIsRememberedAmongEqualOnes(t *testing.T) {
	now := time.Now()
	first, busy := failed(declarer.CodeReadOnly, declarer.StateIdle), failed(declarer.CodeBusy, declarer.StateIdle)
	m := &Matcher{}
	m.Expect(callers)
	m.Accept(&first, now)
	for range rememberedErrors {
		m.Expect(callers)
		m.Accept(&busy, now.Add(100*time.Millisecond))
	}
	m.Expect(callers)
	if j := m.Judge(&first, now.Add(200*time.Millisecond)); j.Verdict != VerdictDoubtful {
		t.Errorf("verdict %d, reason %s", j.Verdict, j.Reason)
	}
}

// Guards against a caller that waits for its timeout although the transaction could begin elsewhere.
func TestBeginOnLogThatWentBackIsNotAwaited(t *testing.T) {
	m := &Matcher{}
	m.Greet(at(5))
	m.Expect(begin)
	a := done(declarer.StateTransaction)
	a.Position = at(4)
	if j := m.Judge(&a, time.Now()); j.Verdict == VerdictSurplus {
		t.Errorf("verdict %d, reason %s: the answer that follows never comes", j.Verdict, j.Reason)
	}
}

// Guards against a caller's answer that is taken for that of one of the proxy's own statements behind it.
func TestSignedAnswerToOwnStatementIsBrokenWhereOthersAreUnsigned(t *testing.T) {
	now := time.Now()
	m := newMatcher(read("s1", "one", declarer.StateIdle), now)
	own := done(declarer.StateIdle)
	m.Expect(set)
	m.Accept(&own, now)
	m.Expect(end)
	a := Answer{Ended: true, Signature: []byte("s2"), State: declarer.StateIdle}
	if j := m.Judge(&a, now); j.Verdict != VerdictBroken || j.Reason != declarer.MismatchSigned {
		t.Errorf("verdict %d, reason %s", j.Verdict, j.Reason)
	}
}
