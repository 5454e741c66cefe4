package server

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
)

// Settings that cuminwick itself looks at.
const (
	// applicationName isn't replayed from the startup message: each caller has
	// its own, and setting it anew for every request would cost a round trip.
	// Routing rules see it all the same.
	applicationName  = "application_name"
	statementTimeout = "statement_timeout"
)

// codeSyntax is the SQLSTATE of a text that the server didn't understand.
const codeSyntax = "42601"

// notSettings are startup parameters that aren't run-time settings.
var notSettings = []string{"user", "database", "replication", "options", applicationName}

// startupSettings returns the settings among the startup parameters.
func startupSettings(p map[string]string) replayer.Settings {
	var l replayer.Settings
	for n, v := range p {
		k := strings.ToLower(n)
		if slices.Contains(notSettings, k) || strings.HasPrefix(k, classifier.CuminwickPrefix) {
			continue
		}
		l = append(l, replayer.Setting{Name: k, SQLValue: classifier.Quote(v)})
	}
	slices.SortFunc(l, func(a, b replayer.Setting) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// takeChanges takes over what an answered plan has changed of the session's state.
func (a *attempt) takeChanges(r exchanger.Result) {
	s := a.session
	if r.Code == "" {
		s.replay.Begin()
		a.takeParts()
	}
	a.takePins(r)
	if r.Status == exchanger.Idle {
		s.replay.End(r.Code == "" && r.Tag != "ROLLBACK")
	}
}

func (a *attempt) takeParts() {
	for _, d := range a.plan.parts {
		for _, p := range d.statement.Parts {
			a.session.replay.Apply(p)
		}
	}
}

// takePins notes why the connection can't go back to the pool, or not as it is.
// A text that the server didn't understand had no effect.
func (a *attempt) takePins(r exchanger.Result) {
	s := a.session
	for _, d := range a.plan.parts {
		c := &d.statement
		if c.Pin == classifier.PinUnparsed && r.Code == codeSyntax {
			continue
		}
		s.pinned = s.pinned || c.Pin != classifier.PinNone
		s.hidden = s.hidden || c.HiddenState || c.Pin != classifier.PinNone || r.Code != "" && len(c.Parts) > 1
	}
}

// applicationName returns the name that routing rules match.
func (s *Session) applicationName() string {
	if v, ok := s.replay.Settings().Get(applicationName); ok {
		return strings.Trim(v, "'")
	}
	return s.Greeting.Parameters[applicationName]
}

// statementTimeout returns the caller's own statement_timeout, zero if none.
func (s *Session) statementTimeout() time.Duration {
	v, _ := s.replay.Settings().Get(statementTimeout)
	if v == "" {
		return 0
	}
	v = strings.Trim(v, "'")
	if n, err := strconv.Atoi(v); err == nil {
		return time.Duration(n) * time.Millisecond
	}
	d, err := time.ParseDuration(strings.ReplaceAll(strings.ReplaceAll(v, "min", "m"), " ", ""))
	if err != nil {
		return 0
	}
	return d
}
