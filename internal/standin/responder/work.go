package responder

import (
	"strings"
	"sync/atomic"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// internalTablePrefix is the prefix of the names of tables that cuminwick creates for its own use.
const internalTablePrefix = "cuminwick_"

// StatementCounts holds the numbers of statements that took a slot.
type StatementCounts struct {
	// PrimaryReads and ReplicaReads are the SELECTs that ran while the server was primary or was not.
	PrimaryReads int64
	ReplicaReads int64
	// Others are all other statements, and SELECTs from cuminwick's own tables.
	Others int64
}

// Total returns the number of all statements.
func (w StatementCounts) Total() int64 {
	return w.PrimaryReads + w.ReplicaReads + w.Others
}

// statementCounters holds the counters that StatementCounts returns.
type statementCounters struct {
	primaryReads atomic.Int64
	replicaReads atomic.Int64
	others       atomic.Int64
}

// StatementCounts returns the counts so far.
func (s *Server) StatementCounts() StatementCounts {
	return StatementCounts{
		PrimaryReads: s.counters.primaryReads.Load(),
		ReplicaReads: s.counters.replicaReads.Load(),
		Others:       s.counters.others.Load(),
	}
}

// Statements returns the number of statements that took a slot so far.
func (s *Server) Statements() int64 {
	return s.StatementCounts().Total()
}

// countStatement counts one statement that takes a slot.
func (s *Server) countStatement(n *pgquery.Node) {
	q := n.GetSelectStmt()
	if q == nil || readsInternalTable(q) {
		s.counters.others.Add(1)
		return
	}
	if l, _ := s.store.IsPrimary(); l {
		s.counters.primaryReads.Add(1)
		return
	}
	s.counters.replicaReads.Add(1)
}

// readsInternalTable reports whether the first table of a SELECT is one of cuminwick's own.
func readsInternalTable(q *pgquery.SelectStmt) bool {
	if len(q.FromClause) == 0 {
		return false
	}
	return strings.HasPrefix(q.FromClause[0].GetRangeVar().GetRelname(), internalTablePrefix)
}
