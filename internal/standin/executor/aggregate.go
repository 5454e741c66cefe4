package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// aggregates are the functions over groups of rows.
var aggregates = map[string]bool{"count": true, "sum": true, "max": true, "min": true}

// aggregatesIn returns the aggregate calls in the targets.
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

// group is the running result of one group of rows.
type group struct {
	first  []any
	values []any
}

// grouped reads all rows and returns one row a group, ordered by the ORDER BY clause.
func (s *scope) grouped(ctx context.Context, q *pgquery.SelectStmt, t []target, a []*pgquery.FuncCall, r rows) ([][]any, error) {
	m, err := s.collect(ctx, q, t, a, r)
	if err != nil {
		return nil, err
	}
	var l []entry
	for _, g := range m {
		s.row = g.first
		s.totals = map[*pgquery.FuncCall]any{}
		for i, f := range a {
			s.totals[f] = g.values[i]
		}
		v, err := s.produce(t)
		if err != nil {
			return nil, err
		}
		k, err := s.sortKey(q, t)
		if err != nil {
			return nil, err
		}
		l = append(l, entry{row: v, by: k})
	}
	return sorted(q, l)
}

// collect folds the rows into groups, in the order of their first rows.
func (s *scope) collect(ctx context.Context, q *pgquery.SelectStmt, t []target, a []*pgquery.FuncCall, r rows) ([]*group, error) {
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
		if g.first == nil {
			g.first = v
		}
		if err := s.fold(g, a); err != nil {
			return nil, err
		}
	}
}

func newGroup(a []*pgquery.FuncCall) *group {
	g := &group{values: make([]any, len(a))}
	for i, f := range a {
		if lastName(f.Funcname) == "count" {
			g.values[i] = int64(0)
		}
	}
	return g
}

// fold adds the scope's row to a group.
func (s *scope) fold(g *group, a []*pgquery.FuncCall) error {
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
		n, err := foldValue(lastName(f.Funcname), g.values[i], v)
		if err != nil {
			return err
		}
		g.values[i] = n
	}
	return nil
}

func foldValue(name string, total, v any) (any, error) {
	if name == "count" {
		return total.(int64) + 1, nil
	}
	if total == nil {
		return v, nil
	}
	if name == "sum" {
		return arithmetic("+", total, v)
	}
	n, err := compare(v, total)
	if (name == "max" && n > 0) || (name == "min" && n < 0) {
		return v, err
	}
	return total, err
}
