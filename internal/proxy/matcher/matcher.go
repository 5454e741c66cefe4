// Package matcher decides which statement an answer of a backend server belongs to.
//
// Answers carry no id and arrive in the order of the statements, so that a server that answers a
// statement twice shifts all answers that follow. What ties an answer to its statement are the
// signature of a caller's statement, which is new with each run, and the state that must follow.
package matcher

import (
	"bytes"
	"hash/maphash"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Effect is what the success of a statement does to the transaction state of its connection.
type Effect uint8

// Effects.
const (
	// EffectNone leaves the state as it is.
	EffectNone Effect = iota
	// EffectBegin opens a transaction.
	EffectBegin
	// EffectEnd ends the transaction.
	EffectEnd
)

// Request is a statement that was sent.
type Request struct {
	// ID and Name, the statement's keyword, describe the statement in logs.
	ID, Name string
	// Caller is set for a caller's statement, whose success carries a signature. The proxy's own
	// statements are answered without one.
	Caller bool
	Effect Effect
	// Leading is set if only the primary accepts the statement: the end of its log never goes back.
	Leading bool
	// Row is set if a success of one of the proxy's own statements has a row.
	Row bool
}

// Answer is a complete answer.
type Answer struct {
	// Ended is set if the answer has a result, which is a success or an error.
	Ended bool
	// Signature is that of a success, empty if it has none.
	Signature []byte
	Code      declarer.Code
	Rows      int
	// Body holds the messages before the state.
	Body     []byte
	State    declarer.State
	Position marker.Mark
}

// Verdict says which statement an answer belongs to.
type Verdict uint8

// Verdicts.
const (
	// VerdictMatch means that the answer is that of the oldest pending statement.
	VerdictMatch Verdict = iota
	// VerdictSurplus means that the answer belongs to none, and that the one of the oldest pending
	// statement is still to come.
	VerdictSurplus
	// VerdictDoubtful means that the answer may belong to the oldest pending statement or to none.
	VerdictDoubtful
	// VerdictBroken means that the answer and those that follow can't be told apart.
	VerdictBroken
)

const (
	// rememberedSuccesses is how many signatures a Matcher remembers.
	rememberedSuccesses = 256
	// rememberedErrors is how many errors a Matcher remembers.
	rememberedErrors = 8
	// errorMemory is for how long an equal error is doubtful.
	errorMemory = 2 * time.Second
)

// Matcher judges the answers of one connection. Its fields are set before use.
type Matcher struct {
	// Relayed is set if another host judges the server's answers. Errors are not doubtful then: that
	// host answers with equal errors itself.
	Relayed bool
	// State is the transaction state after the last answer that matched.
	State declarer.State

	pending []Request
	// signatures are the hashes of the last successes' signatures, and successes the rest of what is
	// remembered of them. They are apart, as each success is looked for among all signatures.
	signatures []uint64
	successes  []success
	// next is the index in both that is overwritten next.
	next   int
	errors [rememberedErrors]failure
	// nextError is the index in errors that is overwritten next.
	nextError int
	// forgottenAt is when the last error was received that is no longer remembered.
	forgottenAt time.Time
	position    marker.Mark
	// unsigned is set once one of the proxy's own statements was answered without a signature, as they
	// all are then.
	unsigned bool
	// greeting is the position in the answer that opened the connection.
	greeting marker.Mark
}

// success is a success that matched a statement. Its body is a hash.
type success struct {
	body uint64
	// milliseconds is the time since epoch.
	milliseconds uint32
	caller       bool
}

// epoch is the zero of the times of successes.
var epoch = time.Now()

// failure is an error that matched a statement.
type failure struct {
	body uint64
	at   time.Time
}

// seed is that of all hashes in this process.
var seed = maphash.MakeSeed()

// Greet records the position in the answer that opened the connection, which has no result.
func (m *Matcher) Greet(p marker.Mark) { m.greeting, m.position = p, p }

// Expect adds a statement that was sent.
func (m *Matcher) Expect(r Request) { m.pending = append(m.pending, r) }

// Pending returns how many statements haven't been answered.
func (m *Matcher) Pending() int { return len(m.pending) }

// Oldest returns the oldest pending statement, false if there is none.
func (m *Matcher) Oldest() (Request, bool) {
	if len(m.pending) == 0 {
		return Request{}, false
	}
	return m.pending[0], true
}

// Accept records the answer as that of the oldest pending statement.
func (m *Matcher) Accept(a *Answer, now time.Time) {
	if len(m.pending) == 0 {
		return
	}
	r := m.pending[0]
	m.pending = m.pending[:copy(m.pending, m.pending[1:])]
	m.State = a.State
	m.position = marker.Max(m.position, a.Position)
	switch {
	case a.Code != declarer.CodeNone:
		m.rememberError(failure{body: maphash.Bytes(seed, a.Body), at: now})
	case len(a.Signature) == 0:
		m.unsigned = m.unsigned || !r.Caller
	default:
		m.remember(maphash.Bytes(seed, a.Signature), success{body: maphash.Bytes(seed, a.Body), caller: r.Caller, milliseconds: uint32(now.Sub(epoch).Milliseconds())})
	}
}

func (m *Matcher) remember(signature uint64, s success) {
	if len(m.successes) < rememberedSuccesses {
		m.signatures, m.successes = append(m.signatures, signature), append(m.successes, s)
		return
	}
	m.signatures[m.next], m.successes[m.next] = signature, s
	m.next = (m.next + 1) % rememberedSuccesses
}

func (m *Matcher) rememberError(f failure) {
	i := slices.IndexFunc(m.errors[:], func(e failure) bool { return e.body == f.body })
	if i < 0 {
		i = m.nextError
		m.nextError = (m.nextError + 1) % rememberedErrors
		m.forgottenAt = m.errors[i].at
	}
	m.errors[i] = f
}

// Judgment is a verdict on an answer.
type Judgment struct {
	Verdict Verdict
	Reason  declarer.MismatchReason
	// First is when the same answer matched a statement, zero unless it did.
	First time.Time
}

// Judge judges a complete answer against the oldest pending statement. It changes nothing.
func (m *Matcher) Judge(a *Answer, now time.Time) Judgment {
	switch {
	case !a.Ended && a.Rows == 0 && a.State == declarer.StateIdle && a.Position == m.greeting:
		return Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchNoResult}
	case !a.Ended:
		return Judgment{Verdict: VerdictBroken, Reason: declarer.MismatchNoResult}
	case a.Code != declarer.CodeNone:
		return m.judgeError(a, now)
	}
	r, ok := m.Oldest()
	if j, known := m.judgeSignature(a, r.Caller); known {
		return j
	}
	switch {
	case !ok:
		return Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchUnrequested}
	case r.Caller:
		return m.judgeCallers(a, r)
	}
	return m.judgeOwn(a, r)
}

// JudgeAfter judges an answer that came after held, the last one that can be that of the oldest pending
// statement, and after the statement that was sent to find out. It reports whether the answer is that of the
// latter, so that held is genuine. Otherwise the judgment says whether it can be that of the oldest one, too.
func (m *Matcher) JudgeAfter(held, a *Answer, now time.Time) (confirmed bool, j Judgment) {
	if len(m.pending) > 1 && m.confirms(held, a) {
		return true, Judgment{}
	}
	if len(held.Signature) > 0 && bytes.Equal(held.Body, a.Body) {
		return false, Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchRepeated}
	}
	j = m.Judge(a, now)
	if j.Verdict == VerdictDoubtful {
		j.Verdict = VerdictMatch
	}
	return false, j
}

// confirms reports whether a answers the statement after the oldest pending one if held answers that. In a
// failed transaction, that statement is refused.
func (m *Matcher) confirms(held, a *Answer) bool {
	switch {
	case !a.Ended || a.Rows > 0:
		return false
	case held.State == declarer.StateFailed:
		return a.Code == declarer.CodeMalformed && a.State == declarer.StateFailed
	case a.Code != declarer.CodeNone || len(a.Signature) > 0 && m.unsigned:
		return false
	case m.pending[1].Effect == EffectBegin:
		return a.State == declarer.StateTransaction
	}
	return len(a.Signature) == 0 && a.State == held.State
}

// judgeSignature judges a success whose signature has matched a statement before.
func (m *Matcher) judgeSignature(a *Answer, caller bool) (j Judgment, known bool) {
	if len(a.Signature) == 0 {
		return j, false
	}
	i := slices.Index(m.signatures, maphash.Bytes(seed, a.Signature))
	if i < 0 {
		return j, false
	}
	s := &m.successes[i]
	if !s.caller && !caller {
		return j, false
	}
	j = Judgment{Verdict: VerdictBroken, Reason: declarer.MismatchInterleaved, First: epoch.Add(time.Duration(s.milliseconds) * time.Millisecond)}
	if s.body == maphash.Bytes(seed, a.Body) {
		j.Verdict, j.Reason = VerdictSurplus, declarer.MismatchRepeated
	}
	return j, true
}

// judgeCallers judges a success in place of the answer to a caller's statement.
func (m *Matcher) judgeCallers(a *Answer, r Request) Judgment {
	switch {
	case len(a.Signature) == 0 && a.Rows > 0:
		return Judgment{Verdict: VerdictBroken, Reason: declarer.MismatchUnsigned}
	case len(a.Signature) == 0:
		return Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchUnsigned}
	case a.State != m.after(r):
		return Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchState}
	}
	return Judgment{}
}

// judgeOwn judges a success in place of the answer to one of the proxy's own statements. A new
// signature shows that an answer before it was not that of the caller's statement.
func (m *Matcher) judgeOwn(a *Answer, r Request) Judgment {
	v := VerdictSurplus
	if len(a.Signature) > 0 {
		v = VerdictBroken
	}
	switch {
	case len(a.Signature) > 0 && m.unsigned:
		return Judgment{Verdict: VerdictBroken, Reason: declarer.MismatchSigned}
	case a.State != m.after(r):
		return Judgment{Verdict: v, Reason: declarer.MismatchState}
	case r.Row != (a.Rows > 0):
		return Judgment{Verdict: VerdictBroken, Reason: declarer.MismatchRows}
	case r.Leading && !a.Position.IsZero() && !a.Position.Covers(m.position):
		// The log of a server that was rolled back and leads again has gone back as well.
		return Judgment{Verdict: VerdictBroken, Reason: declarer.MismatchPosition}
	}
	return Judgment{}
}

// judgeError judges an error. Errors carry nothing that ties them to their statements.
func (m *Matcher) judgeError(a *Answer, now time.Time) Judgment {
	first := m.errorSeen(a, now)
	switch {
	case a.Rows > 0 && (a.Code.NotRun() || !first.IsZero()):
		return Judgment{Verdict: VerdictBroken, Reason: declarer.MismatchInterleaved, First: first}
	case len(m.pending) == 0:
		return Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchUnrequested, First: first}
	case a.State == declarer.StateTransaction && m.State != declarer.StateTransaction:
		return Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchState, First: first}
	case !first.IsZero() && !m.Relayed && a.State == declarer.StateIdle && m.State == declarer.StateTransaction && m.pending[0].Effect != EffectEnd:
		return Judgment{Verdict: VerdictSurplus, Reason: declarer.MismatchState, First: first}
	case !first.IsZero() && !m.Relayed:
		return Judgment{Verdict: VerdictDoubtful, Reason: declarer.MismatchEqualError, First: first}
	}
	return Judgment{}
}

// errorSeen returns when an equal error has last matched a statement, zero if none has lately. An error that is no
// longer remembered counts as equal.
func (m *Matcher) errorSeen(a *Answer, now time.Time) time.Time {
	var t time.Time
	if now.Sub(m.forgottenAt) < errorMemory {
		t = m.forgottenAt
	}
	h := maphash.Bytes(seed, a.Body)
	for _, e := range m.errors {
		if e.body == h && now.Sub(e.at) < errorMemory && e.at.After(t) {
			t = e.at
		}
	}
	return t
}

// after returns the state after a success of the statement.
func (m *Matcher) after(r Request) declarer.State {
	switch r.Effect {
	case EffectBegin:
		return declarer.StateTransaction
	case EffectEnd:
		return declarer.StateIdle
	}
	return m.State
}
