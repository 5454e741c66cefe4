package replayer

import (
	"slices"
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// SettingsPlan holds the SQL that gives a connection a session's settings.
type SettingsPlan struct {
	// Discard is set if DiscardSQL must be executed first, in a message of its own: a text of several
	// statements can't contain DISCARD ALL.
	Discard bool
	// SQL sets and resets the settings that differ, empty if none does. If it fails, the connection
	// must be closed.
	SQL string
}

// DiscardSQL is the statement that SettingsPlan.Discard asks for.
const DiscardSQL = "DISCARD ALL"

// Connection tracks the settings and prepared statements of one pooled connection to a backend
// server. MaximumStatements is set before use. A Connection isn't safe for concurrent use.
type Connection struct {
	// MaximumStatements is the highest number of named prepared statements that the server holds for
	// the connection, DefaultMaximumStatements if zero.
	MaximumStatements int

	settings Settings
	// needsDiscard is set if a session may have left state that isn't tracked, or was pinned to this
	// connection. The next PlanSettings asks for DISCARD ALL.
	needsDiscard bool
	// unnamed is the ID of the unnamed prepared statement, empty if there is none.
	unnamed    StatementID
	statements *simplelru.LRU[StatementID, struct{}]
}

// PlanSettings returns what must be sent before the connection serves a session with the settings w,
// and records it as executed. Without it, a setting of the previous session, such as its role, applies
// to the next session, which then gets wrong results or lacks privileges.
func (c *Connection) PlanSettings(w Settings) SettingsPlan {
	var p SettingsPlan
	if c.needsDiscard {
		p.Discard = true
		c.settings = nil
		c.forgetStatements()
		c.needsDiscard = false
	}
	p.SQL = changeSQL(c.settings, w)
	c.settings = w
	if p.SQL != "" {
		c.SimpleQuerySent()
	}
	return p
}

// SimpleQuerySent records that a simple query has been sent, which drops the unnamed prepared
// statement on the server.
func (c *Connection) SimpleQuerySent() {
	c.unnamed = ""
}

// StatementsDeallocated records that DISCARD ALL or DEALLOCATE ALL of a pinned session has dropped
// all prepared statements on the server.
func (c *Connection) StatementsDeallocated() {
	c.forgetStatements()
}

// Finish records that a session, which now has the settings w, has finished with the connection and
// left no transaction open. If hiddenState is set, the session may have left state that isn't tracked,
// or was pinned to the connection.
func (c *Connection) Finish(w Settings, hiddenState bool) {
	c.settings = w
	c.needsDiscard = c.needsDiscard || hiddenState
}

// changeSQL returns the SQL that changes the settings a to b, empty if they are equal.
func changeSQL(a, b Settings) string {
	var t []string
	if !slices.Equal(a, b) {
		// The current role may lack the privileges that the other settings need.
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
		if v, ok := a.Get(x.Name); (!ok || v != x.SQLValue) && !isPrivilegeSetting(x.Name) {
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

// isPrivilegeSetting reports whether the setting changes the privileges of the connection.
func isPrivilegeSetting(name string) bool {
	return name == nameRole || name == nameAuthorization
}

// quoteName returns n as an SQL identifier: unchanged if it is a plain name, else with each part
// quoted, such as "app"."customer".
func quoteName(n string) string {
	if isPlainName(n) {
		return n
	}
	p := strings.Split(n, ".")
	for i := range p {
		p[i] = `"` + strings.ReplaceAll(p[i], `"`, `""`) + `"`
	}
	return strings.Join(p, ".")
}

// isPlainName reports whether n has one part only and needs no quotes, as the names of PostgreSQL's
// own parameters.
func isPlainName(n string) bool {
	for i := range len(n) {
		if n[i] != '_' && (n[i] < 'a' || n[i] > 'z') {
			return false
		}
	}
	return n != ""
}
