package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Violations counts the broken guarantees of a run by kind. A correct run has only zeros.
type Violations struct {
	// LostWrites are writes that were acknowledged and are missing at the end.
	LostWrites int64 `json:"lost-writes"`
	// DoubledWrites are writes that took effect more than once.
	DoubledWrites int64 `json:"doubled-writes"`
	// ReadYourWrites are reads older than what their session had written or read before.
	ReadYourWrites int64 `json:"read-your-writes"`
	// FalseNotRun are writes that were reported not to have run and took effect.
	FalseNotRun int64 `json:"false-not-run"`
	// SupersededAcknowledgements are lost writes that a superseded primary acknowledged.
	SupersededAcknowledgements int64 `json:"superseded-acknowledgements"`
	// MixedTransactions are transactions with more than one request, and partial bookings.
	MixedTransactions int64 `json:"mixed-transactions"`
	// WrongAnswers are answers of another request, incomplete ones, and values never written.
	WrongAnswers int64 `json:"wrong-answers"`
	// CutOffRequests lost their connection by the planned stop of an entry host.
	CutOffRequests int64 `json:"cut-off-requests"`
	// ConfigurationReversions are observed revisions that contradict each other or the
	// outcomes reported to operators, among them returns to a lower revision.
	ConfigurationReversions int64 `json:"configuration-reversions"`
	// WorkOnLeaving are statements that leaving backend servers received after the grace time.
	WorkOnLeaving int64 `json:"work-on-leaving"`
	// TooStaleReads are reviews older than their maximum age.
	TooStaleReads int64 `json:"too-stale-reads"`
}

// Total returns the sum of all counts.
func (v Violations) Total() int64 {
	return v.LostWrites + v.DoubledWrites + v.ReadYourWrites + v.FalseNotRun + v.SupersededAcknowledgements +
		v.MixedTransactions + v.WrongAnswers + v.CutOffRequests + v.ConfigurationReversions + v.WorkOnLeaving +
		v.TooStaleReads
}

// Verdict holds the counts of violations, and examples that help to find the cause.
type Verdict struct {
	Violations Violations
	// Examples describe the first few violations.
	Examples []string
	// Sessions list all requests of the first few sessions with violations, one entry per session.
	Sessions []string
}

// Bounds of a verdict's examples and sessions.
const (
	maximumExamples = 20
	maximumSessions = 3
)

// Check returns all violations in a history.
func Check(h *History) Verdict {
	c := &check{history: h}
	c.index()
	c.checkWrites()
	c.checkTransactions()
	c.checkReads()
	c.checkStops()
	c.checkConfigurations()
	c.verdict.Violations.WorkOnLeaving = h.WorkOnLeaving
	return c.verdict
}

// check holds the state of one call of Check.
type check struct {
	history *History
	verdict Verdict
	// entryCounts holds the number of entries in the final state, by request and part.
	entryCounts map[string]map[int64]int
	// droppedRequests holds the names of the requests in dropped records.
	droppedRequests map[string]bool
	// sessions holds the requests of each session, ordered by start.
	sessions map[string][]*Request
}

// addViolation increments a count and keeps the description if there is room for examples.
func (c *check) addViolation(count *int64, format string, args ...any) {
	*count++
	if len(c.verdict.Examples) < maximumExamples {
		c.verdict.Examples = append(c.verdict.Examples, fmt.Sprintf(format, args...))
	}
}

// addSession adds all requests of a session to the verdict, up to maximumSessions sessions.
func (c *check) addSession(session string) {
	if len(c.verdict.Sessions) >= maximumSessions {
		return
	}
	var b strings.Builder
	for _, r := range c.sessions[session] {
		fmt.Fprintf(&b, "%s %s number=%d value=%d %s %s %q %v-%v at %s\n", r.Name, r.Kind, r.Number, r.Value, r.Outcome, r.Code, r.AcknowledgedTag, r.Start, r.End, r.EntryHost)
	}
	c.verdict.Sessions = append(c.verdict.Sessions, b.String())
}

// index fills in the lookup tables from the history.
func (c *check) index() {
	c.entryCounts = map[string]map[int64]int{}
	c.droppedRequests = map[string]bool{}
	c.sessions = map[string][]*Request{}
	for _, s := range c.history.Groups {
		for _, e := range s.Entries {
			c.countEntry(e)
		}
		for _, t := range s.Dropped {
			c.markDropped(t)
		}
	}
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		c.sessions[r.Session] = append(c.sessions[r.Session], r)
	}
	for _, l := range c.sessions {
		slices.SortStableFunc(l, func(a, b *Request) int { return cmp.Compare(a.Start, b.Start) })
	}
}

// countEntry counts an entry of the final state.
func (c *check) countEntry(e Entry) {
	if c.entryCounts[e.Request] == nil {
		c.entryCounts[e.Request] = map[int64]int{}
	}
	c.entryCounts[e.Request][e.Part]++
}

// markDropped records the requests in a dropped transaction.
func (c *check) markDropped(t Transaction) {
	for _, e := range t.Entries {
		c.droppedRequests[e.Request] = true
	}
	for _, n := range t.Saves {
		c.droppedRequests[n] = true
	}
}

// insertedEntries returns how many entries a request of the kind inserts.
func insertedEntries(k Kind) int {
	switch k {
	case Note:
		return 1
	case Booking:
		return 2
	default:
		return 0
	}
}

// checkWrites compares the outcome of each write with the final state.
func (c *check) checkWrites() {
	v := &c.verdict.Violations
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if !r.Kind.Writes() {
			continue
		}
		h := c.entryCounts[r.Name]
		for p, n := range h {
			if n > 1 {
				c.addViolation(&v.DoubledWrites, "%s part %d is there %d times", r.Name, p, n)
			}
		}
		c.checkKeyOutcome(r, len(h))
		switch r.Outcome {
		case Ran:
			c.checkAcknowledged(r, len(h))
		case NotRun, Cancelled:
			c.checkNotRun(r, len(h))
		}
	}
}

// writeTag is the prefix of the command tag of every write.
const writeTag = "INSERT 0 "

// checkAcknowledged detects that an acknowledged write is missing in the final state.
func (c *check) checkAcknowledged(r *Request, entries int) {
	v := &c.verdict.Violations
	if !strings.HasPrefix(r.AcknowledgedTag, writeTag) {
		c.addViolation(&v.WrongAnswers, "%s %s was acknowledged as %q", r.Kind, r.Name, r.AcknowledgedTag)
	}
	lost := entries < insertedEntries(r.Kind)
	if r.Kind != Note && c.history.Groups[r.Group].Registers[r.Session] < r.Number {
		lost = true
	}
	if !lost {
		return
	}
	c.addViolation(&v.LostWrites, "%s %s of %d was acknowledged as %q from %v to %v by %s and isn't there, the register has %d",
		r.Kind, r.Name, r.Number, r.AcknowledgedTag, r.Start, r.End, r.EntryHost, c.history.Groups[r.Group].Registers[r.Session])
	if c.droppedRequests[r.Name] {
		c.addViolation(&v.SupersededAcknowledgements, "%s was acknowledged and its record dropped", r.Name)
	}
}

// checkNotRun detects that a write reported not to have run is in the final state.
func (c *check) checkNotRun(r *Request, entries int) {
	v := &c.verdict.Violations
	present := entries > 0
	if r.Kind == Save && c.history.Groups[r.Group].Registers[r.Session] == r.Number {
		present = true
	}
	if present {
		c.addViolation(&v.FalseNotRun, "%s %s was said to be %s at %v by %s and is there", r.Kind, r.Name, r.Outcome, r.End, r.EntryHost)
	}
}

// checkKeyOutcome detects that the final state contradicts the outcome of an idempotency
// key. The outcome that the caller received is compared with the same state, so that the
// two outcomes also agree with each other if neither contradicts it.
func (c *check) checkKeyOutcome(r *Request, entries int) {
	v := &c.verdict.Violations
	switch {
	case r.KeyOutcome == Ran && entries < insertedEntries(r.Kind):
		c.addViolation(&v.LostWrites, "the outcome of key %s is %s, and it isn't there", r.Name, r.KeyOutcome)
	case r.KeyOutcome == NotRun && entries > 0:
		c.addViolation(&v.FalseNotRun, "the outcome of key %s is %s, and it is there", r.Name, r.KeyOutcome)
	}
}

// checkTransactions finds log records with more than one request, and bookings of which only
// one entry exists.
func (c *check) checkTransactions() {
	v := &c.verdict.Violations
	for g, s := range c.history.Groups {
		for _, t := range append(slices.Clone(s.Log), s.Dropped...) {
			if n := requestNames(t); len(n) > 1 {
				c.addViolation(&v.MixedTransactions, "a transaction of %s bears %v", g, n)
			}
		}
	}
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if r.Kind == Booking && len(c.entryCounts[r.Name]) == 1 {
			c.addViolation(&v.MixedTransactions, "half of %s is there", r.Name)
		}
	}
}

// requestNames returns the distinct names of the requests in a transaction, sorted.
func requestNames(t Transaction) []string {
	var n []string
	for _, e := range t.Entries {
		n = append(n, e.Request)
	}
	n = append(n, t.Saves...)
	slices.Sort(n)
	return slices.Compact(n)
}

// checkStops finds requests that lost their connection during a planned stop of their entry host.
func (c *check) checkStops() {
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		for _, s := range c.history.Stops {
			if r.ConnectionLost && r.EntryHost == s.EntryHost && r.Start < s.To && r.End >= s.From {
				c.addViolation(&c.verdict.Violations.CutOffRequests, "%s was cut off at %v by the stop of %s", r.Name, r.End, s.EntryHost)
			}
		}
	}
}
