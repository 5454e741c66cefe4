package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// rowIterator returns the next row, nil after the last one.
type rowIterator func(ctx context.Context) ([]any, error)

// checkSupported returns an error for a SELECT with clauses that the stand-in server does not support.
func checkSupported(q *pgquery.SelectStmt) error {
	switch {
	case q.Op > pgquery.SetOperation_SETOP_NONE:
		return pgError(codeFeatureNotSupported, "UNION, INTERSECT and EXCEPT are not supported by the stand-in")
	case q.WithClause != nil, q.HavingClause != nil, len(q.WindowClause) > 0, len(q.DistinctClause) > 0, q.IntoClause != nil:
		return pgError(codeFeatureNotSupported, "WITH, HAVING, WINDOW, DISTINCT and INTO are not supported by the stand-in")
	}
	return nil
}

// runSelect runs a SELECT.
func (s *Session) runSelect(ctx context.Context, q *pgquery.SelectStmt, params []any) (*Result, error) {
	if err := checkSupported(q); err != nil {
		return nil, err
	}
	c := s.newScope(params)
	c.types = typesOf(params)
	o, err := s.resolveSource(q.FromClause, c)
	if err != nil {
		return nil, err
	}
	c.columns, c.tableName = o.columns, o.name
	t, err := c.targets(q.TargetList)
	if err != nil {
		return nil, err
	}
	r, err := s.readSource(ctx, o, q, c)
	if err != nil {
		return nil, err
	}
	r, err = c.applyClauses(ctx, q, t, r)
	if err != nil {
		return nil, err
	}
	return &Result{Columns: resultColumns(t), Next: r}, nil
}

// typesOf derives the types of bound parameters from their values. They serve only to determine the
// types of result columns.
func typesOf(params []any) []uint32 {
	t := make([]uint32, len(params))
	for i, p := range params {
		if p != nil {
			t[i] = typeOfValue(p)
		}
	}
	return t
}

// readSource returns the source's rows that satisfy the WHERE clause.
func (s *Session) readSource(ctx context.Context, o *source, q *pgquery.SelectStmt, c *scope) (rowIterator, error) {
	if o.definition != nil {
		f, err := s.matchingRows(ctx, o.definition, q.WhereClause, c, len(q.LockingClause) > 0)
		if err != nil {
			return nil, err
		}
		return storedRowIterator(f), nil
	}
	if o.activity {
		return c.filterRows(sliceIterator(s.Activity()), q.WhereClause), nil
	}
	if o.function == nil {
		return c.filterRows(sliceIterator([][]any{{}}), q.WhereClause), nil
	}
	r, err := c.functionRows(o.function)
	if err != nil {
		return nil, err
	}
	return c.filterRows(r, q.WhereClause), nil
}

func storedRowIterator(f []*replicator.Row) rowIterator {
	i := 0
	return func(context.Context) ([]any, error) {
		if i >= len(f) {
			return nil, nil
		}
		i++
		return f[i-1].Values, nil
	}
}

func (s *scope) filterRows(r rowIterator, where *pgquery.Node) rowIterator {
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

// applyClauses applies the GROUP BY, ORDER BY, LIMIT and OFFSET clauses and the target list to rows.
func (s *scope) applyClauses(ctx context.Context, q *pgquery.SelectStmt, t []target, r rowIterator) (rowIterator, error) {
	if a := aggregatesIn(t); len(a) > 0 || len(q.GroupClause) > 0 {
		g, err := s.groupRows(ctx, q, t, a, r)
		if err != nil {
			return nil, err
		}
		return s.limitRows(q, sliceIterator(g))
	}
	if len(q.SortClause) > 0 {
		l, err := s.sortRows(ctx, q, t, r)
		if err != nil {
			return nil, err
		}
		r = sliceIterator(l)
	}
	r, err := s.limitRows(q, r)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) ([]any, error) {
		v, err := r(ctx)
		if err != nil || v == nil {
			return nil, err
		}
		s.row = v
		s.session.statementContext = ctx
		return s.project(t)
	}, nil
}
