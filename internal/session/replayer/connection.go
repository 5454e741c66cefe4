package replayer

import (
	"slices"
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// SettingsPlan is what must be sent on a connection before it serves a session.
type SettingsPlan struct {
	// Discard says that DISCARD ALL comes first, in a message of its own since it
	// can't stand in a text of several statements.
	Discard bool
	// SQL sets and resets what differs, empty if nothing does. If it fails, the
	// connection must be closed.
	SQL string
}

// DiscardSQL is the text for Plan.Discard.
const DiscardSQL = "DISCARD ALL"

// Connection knows what one pooled connection has in force. Maximum is set
// before use; it belongs to one goroutine.
type Connection struct {
	// MaximumStatements bounds the prepared statements that the server holds for the
	// connection, DefaultStatements if zero.
	MaximumStatements int

	settings Settings
	// unknown says that a text may have left state that can't be seen, or that
	// a session was pinned here.
	unknown    bool
	unnamed    StatementID
	statements *simplelru.LRU[StatementID, struct{}]
}

// PlanSettings returns what must be sent before the connection serves a session with
// the settings w, and takes it as done. Without it a setting of the last session, perhaps its role, would
// leak to the next one, which would notice wrong results or missing rights.
func (c *Connection) PlanSettings(w Settings) SettingsPlan {
	var p SettingsPlan
	if c.unknown {
		p.Discard = true
		c.settings = nil
		c.forget()
		c.unknown = false
	}
	p.SQL = difference(c.settings, w)
	c.settings = w
	if p.SQL != "" {
		c.SimpleQuerySent()
	}
	return p
}

// SimpleQuerySent notes that a simple query has been sent, which ends the unnamed
// prepared statement.
func (c *Connection) SimpleQuerySent() {
	c.unnamed = ""
}

// StatementsDeallocated notes that DISCARD ALL or DEALLOCATE ALL of a pinned session has
// ended all prepared statements.
func (c *Connection) StatementsDeallocated() {
	c.forget()
}

// Finish notes that a session that now has the settings w has used the
// connection and left no transaction open. Hidden says that its texts may have left state that can't be seen, or that it
// was pinned here.
func (c *Connection) Finish(w Settings, hidden bool) {
	c.settings = w
	c.unknown = c.unknown || hidden
}

// difference returns the text that leads from the settings a to b.
func difference(a, b Settings) string {
	var t []string
	if !slices.Equal(a, b) {
		// The right in force may forbid what the others need.
		for _, n := range []string{nameRole, nameAuthorization} {
			if _, ok := a.Get(n); ok {
				t = append(t, "RESET "+quoteName(n))
				a = a.without(n)
			}
		}
	}
	for _, x := range a {
		if _, ok := b.Get(x.Name); !ok {
			t = append(t, "RESET "+quoteName(x.Name))
		}
	}
	for _, x := range b {
		if v, ok := a.Get(x.Name); (!ok || v != x.SQLValue) && !isRight(x.Name) {
			t = append(t, "SET "+quoteName(x.Name)+" TO "+x.SQLValue)
		}
	}
	// A change of authorization resets the role, so the role comes last.
	for _, n := range []string{nameAuthorization, nameRole} {
		v, ok := b.Get(n)
		if _, had := a.Get(n); ok && !had {
			t = append(t, "SET "+quoteName(n)+" TO "+v)
		}
	}
	return strings.Join(t, "; ")
}

func isRight(name string) bool {
	return name == nameRole || name == nameAuthorization
}

// quoteName quotes each part of a name such as app.customer where it needs it.
func quoteName(n string) string {
	if isPlain(n) {
		return n
	}
	p := strings.Split(n, ".")
	for i := range p {
		p[i] = `"` + strings.ReplaceAll(p[i], `"`, `""`) + `"`
	}
	return strings.Join(p, ".")
}

// isPlain reports whether n is a name without parts that needs no quotes, as
// those of the server's own parameters.
func isPlain(n string) bool {
	for i := range len(n) {
		if n[i] != '_' && (n[i] < 'a' || n[i] > 'z') {
			return false
		}
	}
	return n != ""
}
