package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Violations counts the broken promises; every one must be zero.
type Violations struct {
	LostWrites                 int64 `json:"lost-writes"`
	DoubledWrites              int64 `json:"doubled-writes"`
	ReadYourWrites             int64 `json:"read-your-writes"`
	FalseNotRun                int64 `json:"false-not-run"`
	SupersededAcknowledgements int64 `json:"superseded-acknowledgements"`
	MixedTransactions          int64 `json:"mixed-transactions"`
	WrongAnswers               int64 `json:"wrong-answers"`
	CutOffRequests             int64 `json:"cut-off-requests"`
	ConfigurationReversions    int64 `json:"configuration-reversions"`
	WorkOnLeaving              int64 `json:"work-on-leaving"`
	// TooStaleReads are reviews older than the age that they allow.
	TooStaleReads int64 `json:"too-stale-reads"`
}

// Total is the sum of all counts.
func (v Violations) Total() int64 {
	return v.LostWrites + v.DoubledWrites + v.ReadYourWrites + v.FalseNotRun + v.SupersededAcknowledgements +
		v.MixedTransactions + v.WrongAnswers + v.CutOffRequests + v.ConfigurationReversions + v.WorkOnLeaving +
		v.TooStaleReads
}

// Verdict is the counts with an example of each kind, for whoever looks for the cause.
type Verdict struct {
	Violations Violations
	// Examples describe the first few violations.
	Examples []string
	// Sessions tell all requests of the first few sessions that were wronged.
	Sessions []string
}

// Bounds of a verdict's examples and sessions.
const (
	maximumExamples = 20
	maximumSessions = 3
)

// Check finds every violation in a history.
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

// check is one run of the checker.
type check struct {
	history *History
	verdict Verdict
	// held counts a request's entries by part, in its group's final state.
	held map[string]map[int64]int
	// dropped names the requests in dropped records.
	dropped map[string]bool
	// sessions are each session's requests by start.
	sessions map[string][]*Request
}

func (c *check) found(count *int64, format string, args ...any) {
	*count++
	if len(c.verdict.Examples) < maximumExamples {
		c.verdict.Examples = append(c.verdict.Examples, fmt.Sprintf(format, args...))
	}
}

// tell adds a session's whole story to the verdict.
func (c *check) tell(session string) {
	if len(c.verdict.Sessions) >= maximumSessions {
		return
	}
	var b strings.Builder
	for _, r := range c.sessions[session] {
		fmt.Fprintf(&b, "%s %s number=%d value=%d %s %s %q %v-%v at %s\n", r.Name, r.Kind, r.Number, r.Value, r.Outcome, r.Code, r.AcknowledgedTag, r.Start, r.End, r.EntryHost)
	}
	c.verdict.Sessions = append(c.verdict.Sessions, b.String())
}

func (c *check) index() {
	c.held = map[string]map[int64]int{}
	c.dropped = map[string]bool{}
	c.sessions = map[string][]*Request{}
	for _, s := range c.history.Groups {
		for _, e := range s.Entries {
			c.hold(e)
		}
		for _, t := range s.Dropped {
			c.drop(t)
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

func (c *check) hold(e Entry) {
	if c.held[e.Request] == nil {
		c.held[e.Request] = map[int64]int{}
	}
	c.held[e.Request][e.Part]++
}

func (c *check) drop(t Transaction) {
	for _, e := range t.Entries {
		c.dropped[e.Request] = true
	}
	for _, n := range t.Saves {
		c.dropped[n] = true
	}
}

// parts is how many entries a request of the kind inserts.
func parts(k Kind) int {
	switch k {
	case Note:
		return 1
	case Booking:
		return 2
	default:
		return 0
	}
}

// checkWrites compares each write's outcome with the final state.
func (c *check) checkWrites() {
	v := &c.verdict.Violations
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if !r.Kind.Writes() {
			continue
		}
		h := c.held[r.Name]
		for p, n := range h {
			if n > 1 {
				c.found(&v.DoubledWrites, "%s part %d is there %d times", r.Name, p, n)
			}
		}
		c.checkSettled(r, len(h))
		switch r.Outcome {
		case Ran:
			c.checkAcknowledged(r, len(h))
		case NotRun, Cancelled:
			c.checkNotRun(r, len(h))
		}
	}
}

// writeTag begins the command tag of every write.
const writeTag = "INSERT 0 "

// checkAcknowledged finds a write that was acknowledged and isn't there.
func (c *check) checkAcknowledged(r *Request, held int) {
	v := &c.verdict.Violations
	if !strings.HasPrefix(r.AcknowledgedTag, writeTag) {
		c.found(&v.WrongAnswers, "%s %s was acknowledged as %q", r.Kind, r.Name, r.AcknowledgedTag)
	}
	lost := held < parts(r.Kind)
	if r.Kind != Note && c.history.Groups[r.Group].Registers[r.Session] < r.Number {
		lost = true
	}
	if !lost {
		return
	}
	c.found(&v.LostWrites, "%s %s of %d was acknowledged as %q from %v to %v by %s and isn't there, the register has %d",
		r.Kind, r.Name, r.Number, r.AcknowledgedTag, r.Start, r.End, r.EntryHost, c.history.Groups[r.Group].Registers[r.Session])
	if c.dropped[r.Name] {
		c.found(&v.SupersededAcknowledgements, "%s was acknowledged and its record dropped", r.Name)
	}
}

// checkNotRun finds a write that was said not to have run and is there.
func (c *check) checkNotRun(r *Request, held int) {
	v := &c.verdict.Violations
	there := held > 0
	if r.Kind == Save && c.history.Groups[r.Group].Registers[r.Session] == r.Number {
		there = true
	}
	if there {
		c.found(&v.FalseNotRun, "%s %s was said to be %s at %v by %s and is there", r.Kind, r.Name, r.Outcome, r.End, r.EntryHost)
	}
}

// checkSettled finds an outcome of a key that the final state contradicts. With what
// the caller was told, which is compared with the same state, it must then agree, too.
func (c *check) checkSettled(r *Request, held int) {
	v := &c.verdict.Violations
	switch {
	case r.KeyOutcome == Ran && held < parts(r.Kind):
		c.found(&v.LostWrites, "the outcome of key %s is %s, and it isn't there", r.Name, r.KeyOutcome)
	case r.KeyOutcome == NotRun && held > 0:
		c.found(&v.FalseNotRun, "the outcome of key %s is %s, and it is there", r.Name, r.KeyOutcome)
	}
}

// checkTransactions finds records that bear more than one request, and halves of bookings.
func (c *check) checkTransactions() {
	v := &c.verdict.Violations
	for g, s := range c.history.Groups {
		for _, t := range append(slices.Clone(s.Log), s.Dropped...) {
			if n := names(t); len(n) > 1 {
				c.found(&v.MixedTransactions, "a transaction of %s bears %v", g, n)
			}
		}
	}
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if r.Kind == Booking && len(c.held[r.Name]) == 1 {
			c.found(&v.MixedTransactions, "half of %s is there", r.Name)
		}
	}
}

func names(t Transaction) []string {
	var n []string
	for _, e := range t.Entries {
		n = append(n, e.Request)
	}
	n = append(n, t.Saves...)
	slices.Sort(n)
	return slices.Compact(n)
}

// checkStops finds requests that a planned stop cut off.
func (c *check) checkStops() {
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		for _, s := range c.history.Stops {
			if r.ConnectionLost && r.EntryHost == s.EntryHost && r.Start < s.To && r.End >= s.From {
				c.found(&c.verdict.Violations.CutOffRequests, "%s was cut off at %v by the stop of %s", r.Name, r.End, s.EntryHost)
			}
		}
	}
}
