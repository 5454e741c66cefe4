package checker

import (
	"maps"
	"slices"
	"strings"

	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

// proxyID is the id of the statements that entry hosts issue themselves.
const proxyID = "-"

// statements compares what servers ran and answered with what callers sent and received.
func (c *check) statements() {
	sent := make(map[string]*Statement, len(c.history.Statements))
	for _, s := range c.history.Statements {
		sent[s.ID] = s
	}
	runs := make(map[string][]replicator.Execution)
	for _, e := range c.truth.Executions {
		s := sent[e.ID]
		c.asked(e, s)
		if s != nil && isForwarded(e.Keyword) {
			c.session(e, s)
			runs[e.ID] = append(runs[e.ID], e)
		}
	}
	c.transactions(runs)
	signers := signersOf(c.truth.Executions)
	for _, s := range c.history.Statements {
		c.answer(s, runs[s.ID], signers)
	}
	for _, x := range c.history.Surplus {
		c.report("mixed: %s", x)
	}
}

// signersOf returns by signature which answer a server signed with it.
func signersOf(l []replicator.Execution) map[string]string {
	m := make(map[string]string)
	for _, e := range l {
		m[e.SecondSignature] = "the second answer to " + e.ID
		m[e.Signature] = "the answer to " + e.ID
	}
	m[""], m[proxyID] = "none", "a statement of an entry host"
	return m
}

// isForwarded reports whether only a server may answer the statement.
func isForwarded(keyword string) bool {
	return keyword == "READ" || keyword == "WRITE" || keyword == "EXEC" || keyword == "COMMIT"
}

// asked reports a run that no caller asked for, or with another text.
func (c *check) asked(e replicator.Execution, s *Statement) {
	switch {
	case e.ID == proxyID:
		if e.Keyword == "WRITE" || e.Keyword == "EXEC" && e.Mode != "READ" || e.Keyword == "COMMIT" && e.Writes > 0 {
			c.report("unasked: a server ran %.200q, which an entry host issued itself", e.Text)
		}
	case s == nil:
		c.report("unasked: a server ran %.200q as %.40q, which no caller sent", e.Text, e.ID)
	case e.Keyword == "EXEC" && strings.HasPrefix(s.Text, "EXEC "):
		if e.Arguments != s.Arguments {
			c.report("unasked: a server ran %s with %.200q, sent with %.200q", e.ID, e.Arguments, s.Arguments)
		}
	case e.Text != s.Text:
		c.report("unasked: a server ran %s as %.200q, sent as %.200q", e.ID, e.Text, s.Text)
	}
}

// session reports a run with the values of another session, or with what another one prepared.
func (c *check) session(e replicator.Execution, s *Statement) {
	if s.Uncertain {
		return
	}
	if !maps.Equal(e.Values, s.Values) {
		c.report("pinned: %s ran with the values %.200q, its session has %.200q", e.ID, e.Values, s.Values)
	}
	if e.Keyword == "EXEC" && (e.Mode != s.Mode || e.Shape != s.Shape) {
		c.report("pinned: %s ran %s %.200q, its session prepared %s %.200q", e.ID, e.Mode, e.Shape, s.Mode, s.Shape)
	}
	if s.Transaction != 0 && e.Transaction == 0 {
		c.report("pinned: %s ran outside its transaction", e.ID)
	}
}

// place is where a statement ran.
type place struct {
	connection, transaction int
}

// owner is a transaction of a session, or one statement outside of a transaction.
type owner struct {
	session     string
	transaction int
	statement   string
}

func ownerOf(s *Statement) owner {
	session, _, _ := strings.Cut(s.ID, ".")
	if s.Transaction == 0 {
		return owner{session: session, statement: s.ID}
	}
	return owner{session: session, transaction: s.Transaction}
}

// transactions reports runs on another connection, or in another transaction, than the first statement of the same
// transaction, and runs in a transaction in which another owner's statement ran before.
func (c *check) transactions(runs map[string][]replicator.Execution) {
	first := make(map[owner][]place)
	owners := make(map[place]owner)
	for _, s := range c.history.Statements {
		if s.Uncertain {
			continue
		}
		o := ownerOf(s)
		var l []place
		for _, e := range runs[s.ID] {
			p := place{connection: e.Connection, transaction: e.Transaction}
			l = append(l, p)
			if p.transaction == 0 {
				continue
			}
			if x, ok := owners[p]; ok && x != o {
				c.report("pinned: %s ran in a transaction of %s", s.ID, x.session)
			}
			owners[p] = o
			if f := first[o]; len(f) > 0 && !slices.Contains(f, p) {
				c.report("pinned: %s ran in transaction %d of connection %d, not with the first statement of its own", s.ID, p.transaction, p.connection)
			}
		}
		if o.transaction != 0 && len(first[o]) == 0 {
			first[o] = l
		}
	}
}

// answer reports a success that no server sent for the statement, and a name that isn't known although its
// preparing was acknowledged.
func (c *check) answer(s *Statement, runs []replicator.Execution, signers map[string]string) {
	keyword, _, _ := strings.Cut(s.Text, " ")
	if !s.Answered || !isForwarded(keyword) {
		return
	}
	if s.Code == "NOSTMT" && s.Shape != "" && !s.Uncertain {
		c.report("pinned: %s finds no %s %.200q, which its session prepared", s.ID, s.Mode, s.Shape)
	}
	matches := func(e replicator.Execution) bool {
		return s.Signature != "" && (s.Signature == e.Signature || s.Signature == e.SecondSignature) && slices.Equal(s.Rows, e.Rows)
	}
	if s.Code == "" && !slices.ContainsFunc(runs, matches) {
		c.report("mixed: %s (%.100q) got %.200q with the signature %.100q, which is that of %.100q", s.ID, s.Text, s.Rows, s.Signature, signers[s.Signature])
	}
}
