package replayer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/juju/errors"
)

// Errors of prepared statements.
const (
	// ErrDuplicateStatement is returned for a name that is in use. Its SQLSTATE is 42P05.
	ErrDuplicateStatement = errors.ConstError("prepared statement already exists")
	// ErrTooManyStatements is returned if the session has MaximumStatements already. Its SQLSTATE is
	// 53400.
	ErrTooManyStatements = errors.ConstError("too many prepared statements")
)

// DefaultMaximumStatements is the default bound on the prepared statements of a session and of a
// connection.
const DefaultMaximumStatements = 500

// StatementID is the name of a prepared statement on the server. It is a hash of the text and the
// parameter types, so that sessions share the statements on a connection.
type StatementID string

// idPrefix starts the names of all prepared statements on the server.
const idPrefix = "cuminwick_"

// Prepared is one prepared statement of a session.
type Prepared struct {
	ID   StatementID
	Text string
	// Types holds the OIDs of the parameter types that the caller declared.
	Types []uint32
}

// Identify returns the ID of a text with the types of its parameters. The hash is cryptographic, so
// that no caller can construct a text with the ID of another session's statement, which would make
// that session execute the wrong text.
func Identify(text string, types []uint32) StatementID {
	h := sha256.New()
	var b [4]byte
	for _, t := range types {
		binary.BigEndian.PutUint32(b[:], t)
		h.Write(b[:])
	}
	// The count separates the types from the text.
	binary.BigEndian.PutUint32(b[:], uint32(len(types)))
	h.Write(b[:])
	h.Write([]byte(text))
	return StatementID(idPrefix + hex.EncodeToString(h.Sum(nil)[:16]))
}

// Parse records a statement that the caller prepares as name. The unnamed statement, with an empty
// name, replaces the previous one. Parse returns ErrDuplicateStatement or ErrTooManyStatements.
func (s *Session) Parse(name, text string, types []uint32) (Prepared, error) {
	_, ok := s.statements[name]
	if ok && name != "" {
		return Prepared{}, errors.Annotatef(ErrDuplicateStatement, "prepare %q", name)
	}
	if !ok && len(s.statements) >= orDefault(s.MaximumStatements) {
		return Prepared{}, errors.Annotatef(ErrTooManyStatements, "prepare %q", name)
	}
	if s.statements == nil {
		s.statements = map[string]Prepared{}
	}
	p := Prepared{ID: Identify(text, types), Text: text, Types: types}
	s.statements[name] = p
	return p, nil
}

// Statement returns the statement that the caller prepared as name, or false if there is none.
func (s *Session) Statement(name string) (Prepared, bool) {
	p, ok := s.statements[name]
	return p, ok
}

// CloseStatement removes name, after the caller's Close or a failed Parse. The server keeps the shared
// statement until PlanStatement closes it to make room.
func (s *Session) CloseStatement(name string) {
	delete(s.statements, name)
}

// deallocate removes the statement name, or all if name is empty.
func (s *Session) deallocate(name string) {
	if name == "" {
		clear(s.statements)
		return
	}
	delete(s.statements, name)
}

// StatementPlan holds what must be sent on a connection before a statement can be bound.
type StatementPlan struct {
	// Name is the statement's name on this connection, empty for the unnamed one.
	Name StatementID
	// Parse is set if the statement must be parsed first.
	Parse bool
	// Close names a statement that must be closed first to make room, empty for none.
	Close StatementID
}

// PlanStatement returns what must be sent before p, prepared by the caller as name, can be bound on the
// connection, and records it as sent. An unnamed statement stays unnamed, because its text is mostly
// used once and would evict the others.
func (c *Connection) PlanStatement(name string, p Prepared) StatementPlan {
	if name == "" {
		n := c.unnamed != p.ID
		c.unnamed = p.ID
		return StatementPlan{Parse: n}
	}
	if c.statements == nil {
		c.forgetStatements()
	}
	r := StatementPlan{Name: p.ID}
	if _, ok := c.statements.Get(p.ID); ok {
		return r
	}
	r.Parse = true
	if c.statements.Len() >= orDefault(c.MaximumStatements) {
		r.Close, _, _ = c.statements.RemoveOldest()
	}
	c.statements.Add(p.ID, struct{}{})
	return r
}

// ParseFailed records that the server rejected the Parse of r.
func (c *Connection) ParseFailed(r StatementPlan) {
	if r.Name == "" {
		c.unnamed = ""
		return
	}
	c.statements.Remove(r.Name)
}

// forgetStatements records that the server holds no prepared statements.
func (c *Connection) forgetStatements() {
	c.unnamed = ""
	// PlanStatement enforces the bound, because it must return the evicted statement; so the cache
	// has room for one more. NewLRU only fails for a size that isn't positive.
	c.statements, _ = simplelru.NewLRU[StatementID, struct{}](orDefault(c.MaximumStatements)+1, nil)
}

func orDefault(v int) int {
	if v == 0 {
		return DefaultMaximumStatements
	}
	return v
}
