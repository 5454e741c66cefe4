package executor

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// limitRows applies LIMIT and OFFSET.
func (s *scope) limitRows(q *pgquery.SelectStmt, r rowIterator) (rowIterator, error) {
	skip, err := s.evalCount(q.LimitOffset, 0)
	if err != nil {
		return nil, err
	}
	left, err := s.evalCount(q.LimitCount, -1)
	if err != nil || (skip == 0 && left < 0) {
		return r, err
	}
	return func(ctx context.Context) ([]any, error) {
		for ; skip > 0; skip-- {
			v, err := r(ctx)
			if err != nil || v == nil {
				return nil, err
			}
		}
		if left == 0 {
			return nil, nil
		}
		left--
		return r(ctx)
	}, nil
}

// evalCount evaluates a LIMIT or OFFSET expression. It returns fallback if there is none or it is null.
func (s *scope) evalCount(n *pgquery.Node, fallback int64) (int64, error) {
	if n == nil {
		return fallback, nil
	}
	v, err := s.eval(n)
	if err != nil {
		return 0, err
	}
	v, err = Coerce(pgtype.Int8OID, v)
	if err != nil || v == nil {
		return fallback, err
	}
	return v.(int64), nil
}

// sortRows reads all rows and returns them sorted by the ORDER BY clause.
func (s *scope) sortRows(ctx context.Context, q *pgquery.SelectStmt, t []target, r rowIterator) ([][]any, error) {
	var l []sortEntry
	for {
		v, err := r(ctx)
		if err != nil {
			return nil, err
		}
		if v == nil {
			break
		}
		s.row = v
		k, err := s.sortKey(q, t)
		if err != nil {
			return nil, err
		}
		l = append(l, sortEntry{row: v, keys: k})
	}
	return sortEntries(q, l)
}

// sortEntry is a row and the values of its ORDER BY expressions.
type sortEntry struct {
	row, keys []any
}

// sortEntries returns the rows in the order of the ORDER BY clause.
func sortEntries(q *pgquery.SelectStmt, l []sortEntry) ([][]any, error) {
	var failed error
	slices.SortStableFunc(l, func(a, b sortEntry) int {
		n, err := compareKeys(q.SortClause, a.keys, b.keys)
		if err != nil {
			failed = err
		}
		return n
	})
	o := make([][]any, len(l))
	for i := range l {
		o[i] = l[i].row
	}
	return o, failed
}

// sortKey evaluates the ORDER BY expressions for the scope's current row.
func (s *scope) sortKey(q *pgquery.SelectStmt, t []target) ([]any, error) {
	var k []any
	for _, n := range q.SortClause {
		v, err := s.evalOutput(n.GetSortBy().GetNode(), t)
		if err != nil {
			return nil, err
		}
		k = append(k, v)
	}
	return k, nil
}

// evalOutput evaluates an expression that may be the name or the one-based number of a result column.
func (s *scope) evalOutput(n *pgquery.Node, t []target) (any, error) {
	if i, ok := outputIndex(n, t); ok {
		if t[i].node == nil {
			return s.row[t[i].index], nil
		}
		return s.eval(t[i].node)
	}
	return s.eval(n)
}

// outputIndex returns the index of the result column that an expression names, if it names one.
func outputIndex(n *pgquery.Node, t []target) (int, bool) {
	if k := n.GetAConst().GetIval(); k != nil {
		i := int(k.GetIval()) - 1
		return i, i >= 0 && i < len(t)
	}
	f := n.GetColumnRef().GetFields()
	if len(f) != 1 {
		return 0, false
	}
	i := slices.IndexFunc(t, func(e target) bool { return e.column.Name == lastName(f) })
	return i, i >= 0
}

func compareKeys(by []*pgquery.Node, a, b []any) (int, error) {
	for i := range a {
		n, err := compareNullable(a[i], b[i])
		if err != nil {
			return 0, err
		}
		if by[i].GetSortBy().GetSortbyDir() == pgquery.SortByDir_SORTBY_DESC {
			n = -n
		}
		if n != 0 {
			return n, nil
		}
	}
	return 0, nil
}

// compareNullable compares two values. Null sorts after every other value.
func compareNullable(a, b any) (int, error) {
	if a == nil || b == nil {
		return boolRank(a == nil) - boolRank(b == nil), nil
	}
	return compareValues(a, b)
}

// groupKey encodes the GROUP BY values of the scope's current row as one string.
func (s *scope) groupKey(q *pgquery.SelectStmt, t []target) (string, error) {
	var b strings.Builder
	for _, n := range q.GroupClause {
		v, err := s.evalOutput(n, t)
		if err != nil {
			return "", err
		}
		e, ok := replicator.EncodeValue(v)
		fmt.Fprintf(&b, "%t%d:%s", ok, len(e), e)
	}
	return b.String(), nil
}
