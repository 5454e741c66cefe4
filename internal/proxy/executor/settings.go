package executor

import (
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// setting is a value that a caller has set, with the text by which it did so. Equal values may differ in their
// text: a field that is empty, and one that is missing.
type setting struct{ value, text string }

// preparedStatement is a statement that the caller has prepared: whether it writes, and its shape,
// which the server runs with the arguments of each execution.
type preparedStatement struct {
	writes bool
	shape  string
	// name is the statement's name on servers.
	name string
}

// maximumStateBytes bounds the settings and prepared statements of one session, in bytes of names
// and values. An entry host keeps them for thousands of sessions: without a bound, one caller that
// sets values endlessly would get the process killed for its memory use, which disconnects all
// other callers.
const maximumStateBytes = 64 << 10

// entryOverheadBytes is what a setting or prepared statement counts in addition. It bounds their number, as a
// connection is set up with all settings in one batch.
const entryOverheadBytes = 16

// entryBytes returns what a setting or prepared statement counts towards maximumStateBytes.
func entryBytes(name, value string) int { return len(name) + len(value) + entryOverheadBytes }

// reserveState reports whether the session may store the name and value in place of an entry of
// old bytes, and accounts for it. If not, the old entry stays.
func (s *Session) reserveState(name, value string, old int) bool {
	n := s.stateBytes - old + entryBytes(name, value)
	if n > maximumStateBytes {
		return false
	}
	s.stateBytes = n
	return true
}

func (s *Session) set(x declarer.Statement) error {
	old := 0
	if o, ok := s.values[x.Name]; ok {
		old = entryBytes(x.Name, o.value)
	}
	if !s.reserveState(x.Name, x.Argument, old) {
		return s.fail(declarer.CodeTooBig, "the session has set and prepared too much")
	}
	if s.values == nil {
		s.values = make(map[string]setting)
	}
	s.values[x.Name] = setting{value: x.Argument, text: x.Text}
	return s.Caller.Done(s.state())
}

func (s *Session) prepare(x declarer.Statement) error {
	old := 0
	if o, ok := s.prepared[x.Name]; ok {
		old = entryBytes(x.Name, o.shape)
	}
	if !s.reserveState(x.Name, x.Argument, old) {
		return s.fail(declarer.CodeTooBig, "the session has set and prepared too much")
	}
	if s.prepared == nil {
		s.prepared = make(map[string]preparedStatement)
	}
	p := preparedStatement{writes: x.Writes, shape: x.Argument}
	p.name = serverStatementName(p)
	s.prepared[x.Name] = p
	return s.Caller.Done(s.state())
}

func (s *Session) deallocate(x declarer.Statement) error {
	o, ok := s.prepared[x.Name]
	if !ok {
		return s.fail(declarer.CodeNoSuchStatement, x.Name)
	}
	s.stateBytes -= entryBytes(x.Name, o.shape)
	delete(s.prepared, x.Name)
	return s.Caller.Done(s.state())
}
