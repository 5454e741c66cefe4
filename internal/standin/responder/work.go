package responder

import (
	"strings"
	"sync/atomic"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// internalTablePrefix starts the names of tables that cuminwick keeps for itself.
const internalTablePrefix = "cuminwick_"

// StatementCounts counts the statements that worked in a slot.
type StatementCounts struct {
	// PrimaryReads and ReplicaReads are SELECTs by the server's role at the time.
	PrimaryReads int64
	ReplicaReads int64
	// Others are all other statements, and SELECTs of cuminwick's own tables.
	Others int64
}

// Total is the number of statements.
func (w StatementCounts) Total() int64 {
	return w.PrimaryReads + w.ReplicaReads + w.Others
}

// statementCounters holds the counters behind Work.
type statementCounters struct {
	primaryReads atomic.Int64
	replicaReads atomic.Int64
	others       atomic.Int64
}

// StatementCounts returns the statements counted so far.
func (s *Server) StatementCounts() StatementCounts {
	return StatementCounts{
		PrimaryReads: s.counters.primaryReads.Load(),
		ReplicaReads: s.counters.replicaReads.Load(),
		Others:       s.counters.others.Load(),
	}
}

// Statements counts the statements that worked in a slot so far.
func (s *Server) Statements() int64 {
	return s.StatementCounts().Total()
}

// countStatement adds one statement that takes a slot.
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

func readsInternalTable(q *pgquery.SelectStmt) bool {
	if len(q.FromClause) == 0 {
		return false
	}
	return strings.HasPrefix(q.FromClause[0].GetRangeVar().GetRelname(), internalTablePrefix)
}
