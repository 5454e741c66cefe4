package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// rows gives one row after the other, nil after the last one.
type rows func(ctx context.Context) ([]any, error)

// supported refuses the clauses that the stand-in doesn't know.
func supported(q *pgquery.SelectStmt) error {
	switch {
	case q.Op > pgquery.SetOperation_SETOP_NONE:
		return failure(codeFeatureNotSupported, "UNION, INTERSECT and EXCEPT are not supported by the stand-in")
	case q.WithClause != nil, q.HavingClause != nil, len(q.WindowClause) > 0, len(q.DistinctClause) > 0, q.IntoClause != nil:
		return failure(codeFeatureNotSupported, "WITH, HAVING, WINDOW, DISTINCT and INTO are not supported by the stand-in")
	}
	return nil
}

// selects runs a SELECT.
func (s *Session) selects(ctx context.Context, q *pgquery.SelectStmt, params []any) (*Result, error) {
	if err := supported(q); err != nil {
		return nil, err
	}
	c := s.scope(params)
	c.types = typesOf(params)
	o, err := s.sourceOf(q.FromClause, c)
	if err != nil {
		return nil, err
	}
	c.columns, c.name = o.columns, o.name
	t, err := c.targets(q.TargetList)
	if err != nil {
		return nil, err
	}
	r, err := s.read(ctx, o, q, c)
	if err != nil {
		return nil, err
	}
	r, err = c.shape(ctx, q, t, r)
	if err != nil {
		return nil, err
	}
	return &Result{Columns: resultColumns(t), Next: r}, nil
}

// typesOf guesses the types of bound parameters, for the names of result types only.
func typesOf(params []any) []uint32 {
	t := make([]uint32, len(params))
	for i, p := range params {
		if p != nil {
			t[i] = typeOfValue(p)
		}
	}
	return t
}

// read returns the source's rows that satisfy the WHERE clause.
func (s *Session) read(ctx context.Context, o *source, q *pgquery.SelectStmt, c *scope) (rows, error) {
	if o.definition != nil {
		f, err := s.matching(ctx, o.definition, q.WhereClause, c, len(q.LockingClause) > 0)
		if err != nil {
			return nil, err
		}
		return stored(f), nil
	}
	if o.activity {
		return c.filtered(sliced(s.Activity()), q.WhereClause), nil
	}
	if o.function == nil {
		return c.filtered(sliced([][]any{{}}), q.WhereClause), nil
	}
	r, err := c.series(o.function)
	if err != nil {
		return nil, err
	}
	return c.filtered(r, q.WhereClause), nil
}

func stored(f []*replicator.Row) rows {
	i := 0
	return func(context.Context) ([]any, error) {
		if i >= len(f) {
			return nil, nil
		}
		i++
		return f[i-1].Values, nil
	}
}

func (s *scope) filtered(r rows, where *pgquery.Node) rows {
	if where == nil {
		return r
	}
	return func(ctx context.Context) ([]any, error) {
		for {
			v, err := r(ctx)
			if err != nil || v == nil {
				return nil, err
			}
			s.row = v
			ok, err := s.true(where)
			if err != nil || ok {
				return v, err
			}
		}
	}
}

// shape groups, orders, limits and projects rows.
func (s *scope) shape(ctx context.Context, q *pgquery.SelectStmt, t []target, r rows) (rows, error) {
	if a := aggregatesIn(t); len(a) > 0 || len(q.GroupClause) > 0 {
		g, err := s.grouped(ctx, q, t, a, r)
		if err != nil {
			return nil, err
		}
		return s.limited(q, sliced(g))
	}
	if len(q.SortClause) > 0 {
		l, err := s.ordered(ctx, q, t, r)
		if err != nil {
			return nil, err
		}
		r = sliced(l)
	}
	r, err := s.limited(q, r)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) ([]any, error) {
		v, err := r(ctx)
		if err != nil || v == nil {
			return nil, err
		}
		s.row = v
		s.session.context = ctx
		return s.produce(t)
	}, nil
}
