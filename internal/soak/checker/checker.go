// Package checker compares the answers that callers received with the final state of the database
// group. It shares no code with the product.
package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

// Outcome is the result of a write according to the answer that its caller received.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown is a write without an answer, or whose answer leaves open whether it ran.
	OutcomeUnknown Outcome = iota
	// OutcomeRan is a write that was acknowledged as committed.
	OutcomeRan
	// OutcomeNotRun is a write that was reported as not run; it must never take effect.
	OutcomeNotRun
)

// Freshness states which acknowledged commits a read must see.
type Freshness uint8

// Freshness values.
const (
	// FreshnessLatest requires every commit that was acknowledged before the read was sent.
	FreshnessLatest Freshness = iota
	// FreshnessBoundedStaleness requires the commits that were acknowledged longer than
	// History.Staleness before the read was sent.
	FreshnessBoundedStaleness
	// FreshnessReadYourWrites requires those of FreshnessBoundedStaleness and all commits of the
	// read's own session.
	FreshnessReadYourWrites
)

// Write is one write with the outcome that its caller received.
type Write struct {
	ID, Session, Item string
	Value             int
	Outcome           Outcome
	// Answered is when the caller received the outcome.
	Answered time.Time
}

// Read is one read with the value that its caller received.
type Read struct {
	ID, Session, Item string
	Value             int
	Freshness         Freshness
	// Sent is when the first byte of the read, or of its transaction, was sent.
	Sent time.Time
}

// ConfigurationProbe is a session's attempt to open a database that a version of the configuration
// added.
type ConfigurationProbe struct {
	// Host is the name of the entry host, Incarnation the number of its process.
	Host        string
	Incarnation int
	// Version is the version of the configuration that added the database.
	Version int
	// Found reports whether the host served the database.
	Found bool
	// Sent is when the session was opened.
	Sent time.Time
	// Answered is when the answer was received.
	Answered time.Time
}

// Statement is a statement that a caller sent.
type Statement struct {
	// ID starts with the name of the session and a dot.
	ID, Text string
	// Transaction is the number of the session's open transaction, zero without one.
	Transaction int
	// Values are the session's values that were acknowledged before.
	Values map[string]string
	// Mode and Shape are those that the session prepared under the name of an execution, Arguments what
	// followed the name.
	Mode, Shape, Arguments string
	// Uncertain is set if a statement sent before in the same write failed, so that Transaction, Values, Mode
	// and Shape don't hold.
	Uncertain bool
	// Answered is set once the whole answer was received. Code is that of an error.
	Answered        bool
	Code, Signature string
	Rows            []string
}

// Disconnect is a connection that broke, or timed out, while its caller waited for an answer.
type Disconnect struct {
	Host string
	// ID names the statement.
	ID string
	// Sent is when the statement, or the BEGIN of its transaction, was sent, Ended when the
	// connection broke.
	Sent, Ended time.Time
	// StatementSent is when the statement itself was sent.
	StatementSent time.Time
}

// Service is how a statement, or the attempt to open a session, was served.
type Service uint8

// Kinds of service.
const (
	// ServiceAnswered is a statement that was answered without an error.
	ServiceAnswered Service = iota
	// ServiceRefused is an answer that says that nothing has run.
	ServiceRefused
	// ServiceBrokenOff is a statement without a whole answer.
	ServiceBrokenOff
	// ServiceNotOpened is a session that wasn't opened.
	ServiceNotOpened
)

// Served is one statement, or one failed attempt to open a session, at a host.
type Served struct {
	Host        string
	Service     Service
	Sent, Ended time.Time
}

// HeldAnswer is an answer that refuses a statement as held by the operators.
type HeldAnswer struct {
	Session, Database string
	// Text is the answer without its keyword.
	Text string
	Sent time.Time
}

// Stop is a planned stop of an entry host.
type Stop struct {
	Host string
	// At is when the stop was requested.
	At time.Time
	// Grace is the time from the request to the end of the process.
	Grace time.Duration
	// Allowed is the declared maximum of Grace.
	Allowed time.Duration
	// Undisturbed reports that no other fault was active shortly before the stop or during it.
	Undisturbed bool
}

// Covers reports whether the statement was sent to the host between the request to stop and the end of its process.
func (s Stop) Covers(x Served) bool {
	return x.Host == s.Host && x.Sent.After(s.At) && x.Sent.Before(s.At.Add(s.Grace))
}

// History is everything that the callers of one group observed, and the planned stops of the entry
// hosts.
type History struct {
	// Staleness is the maximum staleness of the routes with bounded staleness.
	Staleness time.Duration
	// Timeout is the routes' maximum time for a statement, zero for no maximum.
	Timeout             time.Duration
	Writes              []Write
	Reads               []Read
	ConfigurationProbes []ConfigurationProbe
	Disconnects         []Disconnect
	Served              []Served
	Stops               []Stop
	// PlannedOnly is set if nothing but planned work has disturbed the hosts.
	PlannedOnly bool
	Held        []HeldAnswer
	Statements  []*Statement
	// Surplus describes messages that were received while no request was outstanding.
	Surplus []string
	// UnexpectedAnswers describes answers that do not match their request.
	UnexpectedAnswers []string
}

// disconnectTolerance is the time after which the host must have read a request that was sent. A
// connection that breaks earlier is not a request that the planned stop broke off.
const disconnectTolerance = 200 * time.Millisecond

// Check returns one line per violated guarantee, none if all held.
func Check(h *History, t replicator.Truth) []string {
	c := &check{history: h, truth: t}
	c.violations = append(append(c.violations, t.Violations...), h.UnexpectedAnswers...)
	c.writes()
	c.duplicates()
	for _, r := range h.Reads {
		c.read(r)
	}
	c.configurationProbes()
	c.stops()
	c.statements()
	return c.violations
}

// check holds the input and the findings of one call of Check.
type check struct {
	history    *History
	truth      replicator.Truth
	violations []string
}

// report adds a finding.
func (c *check) report(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, a...))
}

// writes reports acknowledged writes that were lost, with synchronous replicas also by a promotion, and
// writes that took effect although they were answered as not run.
func (c *check) writes() {
	present := make(map[string]bool)
	for _, r := range c.truth.Log {
		present[r.ID] = true
	}
	for _, w := range c.history.Writes {
		switch {
		case w.Outcome == OutcomeRan && !present[w.ID] && (c.truth.Synchronous || !c.truth.Dropped[w.ID]):
			c.report("lost: %s was acknowledged and isn't there", w.ID)
		case w.Outcome == OutcomeNotRun && c.truth.Commits[w.ID] > 0:
			c.report("false not-run: %s took effect", w.ID)
		}
	}
}

// duplicates reports writes that took effect more than once.
func (c *check) duplicates() {
	for id, n := range c.truth.Commits {
		if n > 1 {
			c.report("doubled: %s took effect %d times", id, n)
		}
	}
}

// read reports the commits that the read should have seen and did not. The values of an item only
// grow, so a read that returned a lower value missed the write.
func (c *check) read(r Read) {
	for _, w := range c.history.Writes {
		if w.Outcome != OutcomeRan || w.Item != r.Item || w.Value <= r.Value || c.truth.Dropped[w.ID] {
			continue
		}
		age := c.history.Staleness
		if r.Freshness == FreshnessLatest || r.Freshness == FreshnessReadYourWrites && r.Session == w.Session {
			age = 0
		}
		if w.Answered.Before(r.Sent.Add(-age)) {
			c.report("stale: %s of %s saw %d, and %s had %d acknowledged %v before", r.ID, r.Item, r.Value, w.ID, w.Value, r.Sent.Sub(w.Answered))
		}
	}
}

// servedVersion identifies a configuration version at one process of an entry host.
type servedVersion struct {
	host        string
	incarnation int
	version     int
}

// configurationProbes reports processes that served a version of the configuration and later did
// not.
func (c *check) configurationProbes() {
	found := make(map[servedVersion]time.Time)
	for _, v := range c.history.ConfigurationProbes {
		k := servedVersion{host: v.Host, incarnation: v.Incarnation, version: v.Version}
		if f, ok := found[k]; v.Found && (!ok || v.Answered.Before(f)) {
			found[k] = v.Answered
		}
	}
	for _, v := range c.history.ConfigurationProbes {
		f, ok := found[servedVersion{host: v.Host, incarnation: v.Incarnation, version: v.Version}]
		if !v.Found && ok && f.Before(v.Sent) {
			c.report("reverted: %s (process %d) served version %d and %v later didn't", v.Host, v.Incarnation, v.Version, v.Sent.Sub(f))
		}
	}
}

// stops reports requests that a planned stop broke off. Stops during other faults are skipped, as
// those break connections too.
func (c *check) stops() {
	for _, s := range c.history.Stops {
		if !s.Undisturbed {
			continue
		}
		for _, x := range c.history.Disconnects {
			within := x.Ended.After(s.At) && x.Ended.Before(s.At.Add(s.Grace))
			if x.Host == s.Host && within && x.Ended.Sub(x.Sent) > disconnectTolerance {
				c.report("cut off: %s waited %v at %s, its statement %v; stopped as planned, it broke off after %v", x.ID, x.Ended.Sub(x.Sent), x.Host, x.Ended.Sub(x.StatementSent), x.Ended.Sub(s.At))
			}
			if x.Host == s.Host {
				c.ranUnanswered(s, x)
			}
		}
	}
	if c.history.PlannedOnly {
		c.ranUnansweredBesideStops()
	}
}

// ranUnansweredBesideStops reports statements that a server ran and whose callers got no whole answer, at times at which
// their host wasn't stopping.
func (c *check) ranUnansweredBesideStops() {
	for _, x := range c.history.Disconnects {
		run, ran := c.ranInTime(x)
		if ran && !slices.ContainsFunc(c.history.Stops, func(s Stop) bool { return s.mayEnd(x) }) {
			c.report("unanswered: %s ran %v after it was sent to %s, and broke off after %v, without a stop", x.ID, run.Ended.Sub(x.StatementSent), x.Host, x.Ended.Sub(x.StatementSent))
		}
	}
}

// ranInTime returns when a server ran the statement, false if none did, or if it broke off at the route's timeout.
func (c *check) ranInTime(x Disconnect) (replicator.Run, bool) {
	run, ran := c.truth.Runs[x.ID]
	timedOut := c.history.Timeout > 0 && x.Ended.Sub(x.StatementSent) >= c.history.Timeout
	return run, ran && !timedOut
}

// mayEnd reports whether the statement was in progress while its host was stopping.
func (s Stop) mayEnd(x Disconnect) bool {
	return x.Host == s.Host && x.Ended.After(s.At) && x.StatementSent.Before(s.At.Add(s.Grace)) && x.Ended.Before(s.At.Add(s.Grace+noticeTime))
}

const (
	// noticeTime is the time after the end of a process within which its callers notice it.
	noticeTime = time.Second
	// lateSending is the time after the request to stop until which a statement may be sent that is broken off
	// if its server still works on it in the last sixth of the time that is allowed.
	lateSending = 3 * time.Second
)

// ranUnanswered reports a statement that a server ran and whose caller got no whole answer from a host that
// was stopped as planned.
func (c *check) ranUnanswered(s Stop, x Disconnect) {
	run, ran := c.ranInTime(x)
	if !ran || !s.mayEnd(x) {
		return
	}
	if x.StatementSent.Before(s.At.Add(lateSending)) && run.Ended.After(s.At.Add(s.Allowed*5/6)) {
		return
	}
	c.report("unanswered: %s ran at %v after the request to stop %s, was sent at %v, and broke off at %v, %v before the process ended", x.ID, run.Ended.Sub(s.At), x.Host, x.StatementSent.Sub(s.At), x.Ended.Sub(s.At), s.At.Add(s.Grace).Sub(x.Ended))
}
