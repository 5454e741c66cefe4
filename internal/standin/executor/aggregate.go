package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// aggregates are the names of the supported aggregate functions.
var aggregates = map[string]bool{"count": true, "sum": true, "max": true, "min": true}

// aggregatesIn returns the aggregate calls in the target list.
func aggregatesIn(t []target) []*pgquery.FuncCall {
	var a []*pgquery.FuncCall
	for i := range t {
		a = appendAggregates(a, t[i].node)
	}
	return a
}

func appendAggregates(a []*pgquery.FuncCall, n *pgquery.Node) []*pgquery.FuncCall {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_FuncCall:
		if aggregates[lastName(x.FuncCall.Funcname)] {
			return append(a, x.FuncCall)
		}
	case *pgquery.Node_CoalesceExpr:
		for _, e := range x.CoalesceExpr.Args {
			a = appendAggregates(a, e)
		}
	case *pgquery.Node_TypeCast:
		return appendAggregates(a, x.TypeCast.Arg)
	case *pgquery.Node_AExpr:
		a = appendAggregates(a, x.AExpr.Lexpr)
		return appendAggregates(a, x.AExpr.Rexpr)
	}
	return a
}

// group holds the running aggregate results of one group of rows.
type group struct {
	firstRow []any
	results  []any
}

// groupRows reads all rows and returns one row per group, sorted by the ORDER BY clause.
func (s *scope) groupRows(ctx context.Context, q *pgquery.SelectStmt, t []target, a []*pgquery.FuncCall, r rowIterator) ([][]any, error) {
	m, err := s.collectGroups(ctx, q, t, a, r)
	if err != nil {
		return nil, err
	}
	var l []sortEntry
	for _, g := range m {
		s.row = g.firstRow
		s.aggregateResults = map[*pgquery.FuncCall]any{}
		for i, f := range a {
			s.aggregateResults[f] = g.results[i]
		}
		v, err := s.project(t)
		if err != nil {
			return nil, err
		}
		k, err := s.sortKey(q, t)
		if err != nil {
			return nil, err
		}
		l = append(l, sortEntry{row: v, keys: k})
	}
	return sortEntries(q, l)
}

// collectGroups aggregates the rows by group. Groups are in the order of their first rows.
func (s *scope) collectGroups(ctx context.Context, q *pgquery.SelectStmt, t []target, a []*pgquery.FuncCall, r rowIterator) ([]*group, error) {
	var l []*group
	m := map[string]*group{}
	if len(q.GroupClause) == 0 {
		g := newGroup(a)
		l, m[""] = append(l, g), g
	}
	for {
		v, err := r(ctx)
		if err != nil || v == nil {
			return l, err
		}
		s.row = v
		k, err := s.groupKey(q, t)
		if err != nil {
			return nil, err
		}
		g, ok := m[k]
		if !ok {
			g = newGroup(a)
			l, m[k] = append(l, g), g
		}
		if g.firstRow == nil {
			g.firstRow = v
		}
		if err := s.accumulate(g, a); err != nil {
			return nil, err
		}
	}
}

func newGroup(a []*pgquery.FuncCall) *group {
	g := &group{results: make([]any, len(a))}
	for i, f := range a {
		if lastName(f.Funcname) == "count" {
			g.results[i] = int64(0)
		}
	}
	return g
}

// accumulate adds the scope's current row to the aggregate results of a group.
func (s *scope) accumulate(g *group, a []*pgquery.FuncCall) error {
	for i, f := range a {
		var v any = true
		if !f.AggStar {
			var err error
			v, err = s.eval(f.Args[0])
			if err != nil {
				return err
			}
		}
		if v == nil {
			continue
		}
		n, err := accumulateValue(lastName(f.Funcname), g.results[i], v)
		if err != nil {
			return err
		}
		g.results[i] = n
	}
	return nil
}

func accumulateValue(name string, total, v any) (any, error) {
	if name == "count" {
		return total.(int64) + 1, nil
	}
	if total == nil {
		return v, nil
	}
	if name == "sum" {
		return arithmetic("+", total, v)
	}
	n, err := compareValues(v, total)
	if (name == "max" && n > 0) || (name == "min" && n < 0) {
		return v, err
	}
	return total, err
}
