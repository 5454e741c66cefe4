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

// Settings that the entry host evaluates itself.
const (
	// applicationName is not replayed from the startup message: it differs between callers, so
	// that setting it would cost a round trip for every request. Routing rules match it
	// nevertheless.
	applicationName  = "application_name"
	statementTimeout = "statement_timeout"
)

// codeSyntax is the SQLSTATE of a text that the server couldn't parse.
const codeSyntax = "42601"

// nonSettings are startup parameters that aren't run-time settings.
var nonSettings = []string{"user", "database", "replication", "options", applicationName}

// startupSettings returns the settings among the startup parameters.
func startupSettings(p map[string]string) replayer.Settings {
	var l replayer.Settings
	for n, v := range p {
		k := strings.ToLower(n)
		if slices.Contains(nonSettings, k) || strings.HasPrefix(k, classifier.CuminwickPrefix) {
			continue
		}
		l = append(l, replayer.Setting{Name: k, SQLValue: classifier.Quote(v)})
	}
	slices.SortFunc(l, func(a, b replayer.Setting) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// applyChanges updates the session's state after a plan has been answered.
func (a *attempt) applyChanges(r exchanger.Result) {
	s := a.session
	if r.Code == "" {
		s.replay.Begin()
		a.applyParts()
	}
	a.applyPins(r)
	if r.Status == exchanger.Idle {
		s.replay.End(r.Code == "" && r.Tag != "ROLLBACK")
	}
}

func (a *attempt) applyParts() {
	for _, d := range a.plan.executed {
		for _, p := range d.statement.Parts {
			a.session.replay.Apply(p)
		}
	}
}

// applyPins records whether the connection is pinned to the session or has hidden state. A text that
// the server couldn't parse had no effect.
func (a *attempt) applyPins(r exchanger.Result) {
	s := a.session
	for _, d := range a.plan.executed {
		c := &d.statement
		if c.Pin == classifier.PinUnparsed && r.Code == codeSyntax {
			continue
		}
		s.pinned = s.pinned || c.Pin != classifier.PinNone
		s.hiddenState = s.hiddenState || c.HiddenState || c.Pin != classifier.PinNone || r.Code != "" && len(c.Parts) > 1
	}
}

// applicationName returns the name that routing rules match.
func (s *Session) applicationName() string {
	if v, ok := s.replay.Settings().Get(applicationName); ok {
		return strings.Trim(v, "'")
	}
	return s.StartupRequest.Parameters[applicationName]
}

// statementTimeout returns the statement_timeout that the caller has set, zero if none or
// unreadable.
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
