// Package replayer tracks a session's settings and prepared statements, and computes what restores
// them on another pooled connection.
package replayer

import (
	"slices"
	"strings"

	"github.com/cuminwick/cuminwick/internal/statement/classifier"
)

// Setting is one run-time parameter with a value other than the server's default.
type Setting struct {
	// Name is in lower case.
	Name string
	// SQLValue is the value as SQL, as it stands on the right side of SET.
	SQLValue string
}

// Settings is a list of settings, sorted by name, with each parameter at most once. A list is never
// changed in place, so that it can be shared and kept as a snapshot.
type Settings []Setting

// Parameters that change the privileges of the connection. They are reset first and set last, so that
// all other settings are changed with the privileges of the role that logged in.
const (
	nameRole          = "role"
	nameAuthorization = "session_authorization"
)

// Parameters that SET SESSION CHARACTERISTICS changes.
const (
	nameReadOnly  = "default_transaction_read_only"
	nameIsolation = "default_transaction_isolation"
)

// Get returns the value of name as SQL, or false if name has the server's default.
func (l Settings) Get(name string) (string, bool) {
	i, ok := l.find(name)
	if !ok {
		return "", false
	}
	return l[i].SQLValue, true
}

// find returns the index of name, or the index to insert it at and false.
func (l Settings) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l, name, func(s Setting, n string) int {
		return strings.Compare(s.Name, n)
	})
}

// with returns the settings with name set to value.
func (l Settings) with(name, value string) Settings {
	i, ok := l.find(name)
	if ok && l[i].SQLValue == value {
		return l
	}
	n := slices.Clone(l)
	if ok {
		n[i].SQLValue = value
		return n
	}
	return slices.Insert(n, i, Setting{Name: name, SQLValue: value})
}

// without returns the settings with name at the server's default.
func (l Settings) without(name string) Settings {
	i, ok := l.find(name)
	if !ok {
		return l
	}
	return slices.Delete(slices.Clone(l), i, i+1)
}

// savepoint holds the settings that ROLLBACK TO SAVEPOINT restores.
type savepoint struct {
	name     string
	settings Settings
}

// Session tracks the settings and prepared statements of one session. Exported fields are set before
// use. A Session isn't safe for concurrent use.
type Session struct {
	// Startup holds the settings of the caller's startup message. RESET restores them, as it does on a
	// direct connection to a server.
	Startup Settings
	// MaximumStatements is the highest number of prepared statements, DefaultMaximumStatements if zero.
	MaximumStatements int

	settings Settings
	// hasSettings is set once settings has replaced Startup.
	hasSettings   bool
	inTransaction bool
	// beforeTransaction holds the settings to restore if the open transaction doesn't commit.
	beforeTransaction Settings
	savepoints        []savepoint
	statements        map[string]Prepared
}

// Settings returns the session's settings. In a transaction they include its changes.
func (s *Session) Settings() Settings {
	if !s.hasSettings {
		return s.Startup
	}
	return s.settings
}

// Begin records that a transaction is open, which may be the implicit one of a text with several
// statements. Its changes of settings are undone unless it commits. Begin does nothing if a
// transaction is open already.
func (s *Session) Begin() {
	if s.inTransaction {
		return
	}
	s.inTransaction = true
	s.beforeTransaction = s.Settings()
	s.savepoints = nil
}

// End records that the transaction, if one is open, has ended, and undoes its changes of settings
// unless it committed.
func (s *Session) End(committed bool) {
	if s.inTransaction && !committed {
		s.setSettings(s.beforeTransaction)
	}
	s.inTransaction = false
	s.savepoints = nil
}

// Savepoint keeps the current settings under a name.
func (s *Session) Savepoint(name string) {
	s.savepoints = append(s.savepoints, savepoint{name: name, settings: s.Settings()})
}

// RollbackTo restores the settings of the latest savepoint of that name, and drops the savepoints
// after it.
func (s *Session) RollbackTo(name string) {
	i := s.findSavepoint(name)
	if i < 0 {
		return
	}
	s.setSettings(s.savepoints[i].settings)
	s.savepoints = s.savepoints[:i+1]
}

// Release drops the latest savepoint of that name and those after it.
func (s *Session) Release(name string) {
	if i := s.findSavepoint(name); i >= 0 {
		s.savepoints = s.savepoints[:i]
	}
}

func (s *Session) findSavepoint(name string) int {
	for i := len(s.savepoints) - 1; i >= 0; i-- {
		if s.savepoints[i].name == name {
			return i
		}
	}
	return -1
}

// Apply records that p was executed with success.
//
// DEALLOCATE ALL and DISCARD ALL of a session that isn't pinned are answered without the server, after
// Apply: on a connection that sessions share, they would drop the prepared statements of all of them.
func (s *Session) Apply(p classifier.Part) {
	switch p.Kind {
	case classifier.KindSet:
		if !p.Local {
			s.setSettings(s.Settings().with(p.Name, p.SQLValue))
		}
	case classifier.KindReset:
		if !p.Local {
			s.reset(p.Name)
		}
	case classifier.KindResetAll:
		s.resetAll()
	case classifier.KindSetCharacteristics:
		s.applyCharacteristics(p)
	case classifier.KindDeallocate:
		s.deallocate(p.Name)
	case classifier.KindDiscard:
		s.discard(p.Name)
	}
}

func (s *Session) setSettings(l Settings) {
	s.settings = l
	s.hasSettings = true
}

// reset restores the startup value of a setting, else the server's default.
func (s *Session) reset(name string) {
	if v, ok := s.Startup.Get(name); ok {
		s.setSettings(s.Settings().with(name, v))
		return
	}
	s.setSettings(s.Settings().without(name))
}

// resetAll restores the startup settings but keeps role and session_authorization, as RESET ALL does.
func (s *Session) resetAll() {
	n := s.Startup
	for _, k := range []string{nameRole, nameAuthorization} {
		n = n.without(k)
		if v, ok := s.Settings().Get(k); ok {
			n = n.with(k, v)
		}
	}
	s.setSettings(n)
}

// discard handles DISCARD ALL. The other forms are left to the server: DISCARD PLANS only makes the
// server plan again, and the rest drops state that only exists on a pinned connection.
func (s *Session) discard(what string) {
	if what == "all" {
		s.setSettings(s.Startup)
		s.deallocate("")
	}
}

func (s *Session) applyCharacteristics(p classifier.Part) {
	switch p.Access {
	case classifier.AccessReadOnly:
		s.setSettings(s.Settings().with(nameReadOnly, "'on'"))
	case classifier.AccessReadWrite:
		s.setSettings(s.Settings().with(nameReadOnly, "'off'"))
	}
	if p.Isolation != "" {
		s.setSettings(s.Settings().with(nameIsolation, classifier.Quote(p.Isolation)))
	}
}
