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
	// ErrDuplicateStatement is a Parse with a name in use, SQLSTATE 42P05.
	ErrDuplicateStatement = errors.ConstError("prepared statement already exists")
	// ErrTooManyStatements is a session with too many prepared statements, SQLSTATE 53400.
	ErrTooManyStatements = errors.ConstError("too many prepared statements")
)

// DefaultMaximumStatements bounds the prepared statements of a session and of a
// connection.
const DefaultMaximumStatements = 500

// StatementID is the name of a prepared statement on the server. It follows
// from the text, so that sessions share it, and from the parameter types.
type StatementID string

// idPrefix starts all names that are given to the server.
const idPrefix = "cuminwick_"

// Prepared is one prepared statement of a session.
type Prepared struct {
	ID    StatementID
	Text  string
	Types []uint32
}

// Identify returns the id of a text with the types of its parameters. The hash
// can't be steered, so that nobody can make another session run a wrong text.
func Identify(text string, types []uint32) StatementID {
	h := sha256.New()
	var b [4]byte
	for _, t := range types {
		binary.BigEndian.PutUint32(b[:], t)
		h.Write(b[:])
	}
	// The count parts the types from the text.
	binary.BigEndian.PutUint32(b[:], uint32(len(types)))
	h.Write(b[:])
	h.Write([]byte(text))
	return StatementID(idPrefix + hex.EncodeToString(h.Sum(nil)[:16]))
}

// Parse notes a statement that the caller prepares as name. The unnamed one,
// with an empty name, replaces the one before.
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

// Statement returns the statement that the caller prepared as name.
func (s *Session) Statement(name string) (Prepared, bool) {
	p, ok := s.statements[name]
	return p, ok
}

// CloseStatement forgets name, as the caller's Close or a failed Parse asks. The
// server keeps the shared statement until the connection has too many.
func (s *Session) CloseStatement(name string) {
	delete(s.statements, name)
}

// deallocate forgets name, all if it is empty.
func (s *Session) deallocate(name string) {
	if name == "" {
		clear(s.statements)
		return
	}
	delete(s.statements, name)
}

// StatementPlan is what must be sent before a statement can be bound.
type StatementPlan struct {
	// Name is the statement's name on this connection, empty for the unnamed one.
	Name StatementID
	// Parse says that the statement isn't known to the server yet.
	Parse bool
	// Close names a statement that must be closed to make room, empty for none.
	Close StatementID
}

// PlanStatement returns what must be sent before p, prepared by the caller as name, can be
// bound on the connection, and takes it as done. An unnamed statement stays
// unnamed, as its text is mostly used once and would displace the others.
func (c *Connection) PlanStatement(name string, p Prepared) StatementPlan {
	if name == "" {
		n := c.unnamed != p.ID
		c.unnamed = p.ID
		return StatementPlan{Parse: n}
	}
	if c.statements == nil {
		c.forget()
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

// ParseFailed notes that the server refused to parse what r asked for.
func (c *Connection) ParseFailed(r StatementPlan) {
	if r.Name == "" {
		c.unnamed = ""
		return
	}
	c.statements.Remove(r.Name)
}

// forget notes that the server holds no prepared statement any more.
func (c *Connection) forget() {
	c.unnamed = ""
	// The bound is kept by Use, which must tell whom it displaces; the size is
	// above zero, so there is no error.
	c.statements, _ = simplelru.NewLRU[StatementID, struct{}](orDefault(c.MaximumStatements)+1, nil)
}

func orDefault(v int) int {
	if v == 0 {
		return DefaultMaximumStatements
	}
	return v
}
