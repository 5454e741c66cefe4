// Package replayer carries a session's settings and prepared statements over pooled connections.
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
	// SQLValue is the right side of SET.
	SQLValue string
}

// Settings are sorted by name and name each parameter once. A list is never
// changed in place, so that lists can be shared and kept as snapshots.
type Settings []Setting

// Parameters whose change takes rights away or gives them. They are reset first
// and set last, so that all other settings are made with the connection's own
// rights.
const (
	nameRole          = "role"
	nameAuthorization = "session_authorization"
)

// Parameters behind SET SESSION CHARACTERISTICS.
const (
	nameReadOnly  = "default_transaction_read_only"
	nameIsolation = "default_transaction_isolation"
)

// Get returns the value of name, false if it has the server's default.
func (l Settings) Get(name string) (string, bool) {
	i, ok := l.find(name)
	if !ok {
		return "", false
	}
	return l[i].SQLValue, true
}

func (l Settings) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l, name, func(s Setting, n string) int {
		return strings.Compare(s.Name, n)
	})
}

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

func (l Settings) without(name string) Settings {
	i, ok := l.find(name)
	if !ok {
		return l
	}
	return slices.Delete(slices.Clone(l), i, i+1)
}

// savepoint is the state to go back to.
type savepoint struct {
	name     string
	settings Settings
}

// Session holds what one session has in force. Startup is set before use; it
// belongs to one goroutine.
type Session struct {
	// Startup are the settings that the caller gave on connecting. RESET goes
	// back to them, as it does on a connection of the caller's own.
	Startup Settings
	// MaximumStatements bounds the prepared statements, DefaultStatements if zero.
	MaximumStatements int

	settings   Settings
	set        bool
	open       bool
	before     Settings
	savepoints []savepoint
	statements map[string]Prepared
}

// Settings returns what is in force, or will be if the transaction commits.
func (s *Session) Settings() Settings {
	if !s.set {
		return s.Startup
	}
	return s.settings
}

// Begin notes that a transaction is open, for several statements in one text
// also the implicit one. A SET within it is undone if it doesn't commit.
func (s *Session) Begin() {
	if s.open {
		return
	}
	s.open = true
	s.before = s.Settings()
	s.savepoints = nil
}

// End notes that the transaction has ended, with its changes if it committed.
func (s *Session) End(committed bool) {
	if s.open && !committed {
		s.put(s.before)
	}
	s.open = false
	s.savepoints = nil
}

// Savepoint keeps the present settings under a name.
func (s *Session) Savepoint(name string) {
	s.savepoints = append(s.savepoints, savepoint{name: name, settings: s.Settings()})
}

// RollbackTo goes back to the latest savepoint of that name, which stays.
func (s *Session) RollbackTo(name string) {
	i := s.findSavepoint(name)
	if i < 0 {
		return
	}
	s.put(s.savepoints[i].settings)
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

// Apply notes that p was carried out with success. The caller's DEALLOCATE and
// DISCARD ALL must not reach a connection that others share, as they would end
// all shared statements there; they are answered after Apply without the server
// unless the session is pinned.
func (s *Session) Apply(p classifier.Part) {
	switch p.Kind {
	case classifier.KindSet:
		if !p.Local {
			s.put(s.Settings().with(p.Name, p.SQLValue))
		}
	case classifier.KindReset:
		if !p.Local {
			s.reset(p.Name)
		}
	case classifier.KindResetAll:
		s.resetAll()
	case classifier.KindSetCharacteristics:
		s.characteristics(p)
	case classifier.KindDeallocate:
		s.deallocate(p.Name)
	case classifier.KindDiscard:
		s.discard(p.Name)
	}
}

func (s *Session) put(l Settings) {
	s.settings = l
	s.set = true
}

func (s *Session) reset(name string) {
	if v, ok := s.Startup.Get(name); ok {
		s.put(s.Settings().with(name, v))
		return
	}
	s.put(s.Settings().without(name))
}

// resetAll leaves the two settings alone that RESET ALL leaves alone.
func (s *Session) resetAll() {
	n := s.Startup
	for _, k := range []string{nameRole, nameAuthorization} {
		n = n.without(k)
		if v, ok := s.Settings().Get(k); ok {
			n = n.with(k, v)
		}
	}
	s.put(n)
}

// discard leaves all but DISCARD ALL to the server: plans are made anew, and the
// rest only exists on a pinned connection.
func (s *Session) discard(what string) {
	if what == "all" {
		s.put(s.Startup)
		s.deallocate("")
	}
}

func (s *Session) characteristics(p classifier.Part) {
	switch p.Access {
	case classifier.AccessReadOnly:
		s.put(s.Settings().with(nameReadOnly, "'on'"))
	case classifier.AccessReadWrite:
		s.put(s.Settings().with(nameReadOnly, "'off'"))
	}
	if p.Isolation != "" {
		s.put(s.Settings().with(nameIsolation, classifier.Quote(p.Isolation)))
	}
}
