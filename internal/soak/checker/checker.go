// Package checker compares what callers were told with what the group holds at the end. It
// shares no code with the product.
package checker

import (
	"fmt"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

// Outcome is what a caller was told of a write.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown says nothing.
	OutcomeUnknown Outcome = iota
	// OutcomeRan is a write that took effect.
	OutcomeRan
	// OutcomeNotRun is one that didn't, and never will.
	OutcomeNotRun
)

// Freshness is what a read must see.
type Freshness uint8

// Freshnesses.
const (
	// FreshnessLatest is every acknowledged commit.
	FreshnessLatest Freshness = iota
	// FreshnessBoundedStaleness is each that was acknowledged longer ago than the route's staleness.
	FreshnessBoundedStaleness
	// FreshnessReadYourWrites is FreshnessAge, and each of the session's own.
	FreshnessReadYourWrites
)

// Write is one write as its caller saw it.
type Write struct {
	ID, Session, Item string
	Value             int
	Outcome           Outcome
	// Answered is when the caller was told.
	Answered time.Time
}

// Read is one read as its caller saw it.
type Read struct {
	ID, Session, Item string
	Value             int
	Freshness         Freshness
	// Sent is when the first byte of the read, or of its transaction, was sent.
	Sent time.Time
}

// ConfigurationProbe is a session's attempt to reach a database that a version of the configuration
// has added.
type ConfigurationProbe struct {
	// Host and Life name one process of an entry host.
	Host        string
	Incarnation int
	// Version is that of the configuration which added the database.
	Version int
	Found   bool
	Sent    time.Time
	// Answered is when the answer came.
	Answered time.Time
}

// Disconnect is a connection that broke while its caller waited for an answer.
type Disconnect struct {
	Host        string
	ID          string
	Sent, Ended time.Time
}

// Stop is a planned stop of an entry host.
type Stop struct {
	Host string
	At   time.Time
	// Grace is how long the process has, and Calm that nothing else was wrong from some
	// seconds before to its end.
	Grace       time.Duration
	Undisturbed bool
}

// History is all that callers saw.
type History struct {
	// Staleness is that of the routes whose reads may be of an age.
	Staleness           time.Duration
	Writes              []Write
	Reads               []Read
	ConfigurationProbes []ConfigurationProbe
	Disconnects         []Disconnect
	Stops               []Stop
	// UnexpectedAnswers are answers that no request should get.
	UnexpectedAnswers []string
}

// cutSlack is how long after a request was sent its host may not have read it yet.
const cutSlack = 200 * time.Millisecond

// Check returns the promises that were broken, none if all held.
func Check(h *History, t replicator.Truth) []string {
	c := &check{history: h, truth: t}
	c.broken = append(append(c.broken, t.Violations...), h.UnexpectedAnswers...)
	c.writes()
	c.doubled()
	for _, r := range h.Reads {
		c.read(r)
	}
	c.visits()
	c.stops()
	return c.broken
}

// check is one comparison.
type check struct {
	history *History
	truth   replicator.Truth
	broken  []string
}

func (c *check) note(format string, a ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, a...))
}

// writes looks for what was lost, and for what took effect though its caller was told
// that it didn't.
func (c *check) writes() {
	kept := make(map[string]bool)
	for _, r := range c.truth.Log {
		kept[r.ID] = true
	}
	for _, w := range c.history.Writes {
		switch {
		case w.Outcome == OutcomeRan && !kept[w.ID] && !c.truth.Dropped[w.ID]:
			c.note("lost: %s was acknowledged and isn't there", w.ID)
		case w.Outcome == OutcomeNotRun && c.truth.Commits[w.ID] > 0:
			c.note("false not-run: %s took effect", w.ID)
		}
	}
}

// doubled looks for writes that took effect twice.
func (c *check) doubled() {
	for id, n := range c.truth.Commits {
		if n > 1 {
			c.note("doubled: %s took effect %d times", id, n)
		}
	}
}

// read looks for a commit that the read should have seen. Values of an item only grow.
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
			c.note("stale: %s of %s saw %d, and %s had %d acknowledged %v before", r.ID, r.Item, r.Value, w.ID, w.Value, r.Sent.Sub(w.Answered))
		}
	}
}

// life is one process of an entry host and one version of the configuration.
type life struct {
	host    string
	life    int
	version int
}

// visits looks for a process that went back to an older configuration.
func (c *check) visits() {
	found := make(map[life]time.Time)
	for _, v := range c.history.ConfigurationProbes {
		k := life{host: v.Host, life: v.Incarnation, version: v.Version}
		if f, ok := found[k]; v.Found && (!ok || v.Answered.Before(f)) {
			found[k] = v.Answered
		}
	}
	for _, v := range c.history.ConfigurationProbes {
		f, ok := found[life{host: v.Host, life: v.Incarnation, version: v.Version}]
		if !v.Found && ok && f.Before(v.Sent) {
			c.note("reverted: %s (process %d) served version %d and %v later didn't", v.Host, v.Incarnation, v.Version, v.Sent.Sub(f))
		}
	}
}

// stops looks for requests that a planned stop cut off.
func (c *check) stops() {
	for _, s := range c.history.Stops {
		if !s.Undisturbed {
			continue
		}
		for _, x := range c.history.Disconnects {
			within := x.Ended.After(s.At) && x.Ended.Before(s.At.Add(s.Grace))
			if x.Host == s.Host && within && x.Ended.Sub(x.Sent) > cutSlack {
				c.note("cut off: %s waited %v at %s, which was stopped as planned", x.ID, x.Ended.Sub(x.Sent), x.Host)
			}
		}
	}
}
