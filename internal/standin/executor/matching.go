package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// matching returns the rows of a table that satisfy where, locked if asked for.
func (s *Session) matching(ctx context.Context, d *replicator.Definition, where *pgquery.Node, c *scope, lock bool) ([]*replicator.Row, error) {
	t := s.ensure()
	if lock {
		if _, err := s.writes(); err != nil {
			return nil, err
		}
	}
	l, err := s.candidates(t, d, where, c)
	if err != nil {
		return nil, err
	}
	f := l[:0:0]
	for _, r := range l {
		r, err := s.match(ctx, t, d, r, where, c, lock)
		if err != nil {
			return nil, err
		}
		if r != nil {
			f = append(f, r)
		}
	}
	return f, nil
}

// match returns the row if it satisfies where; under a lock it looks at the latest version.
func (s *Session) match(ctx context.Context, t *replicator.Transaction, d *replicator.Definition, r *replicator.Row, where *pgquery.Node, c *scope, lock bool) (*replicator.Row, error) {
	c.row = r.Values
	ok, err := c.true(where)
	if err != nil || !ok || !lock {
		return only(r, ok), err
	}
	err = s.lock(ctx, t, lockName(d, "", r.Key))
	if err != nil {
		return nil, err
	}
	n := t.Get(d.Name, r.Key)
	if n == nil || n == r {
		return n, nil
	}
	c.row = n.Values
	ok, err = c.true(where)
	return only(n, ok), err
}

func only(r *replicator.Row, ok bool) *replicator.Row {
	if !ok {
		return nil
	}
	return r
}

func lockName(d *replicator.Definition, constraint, key string) string {
	return d.Name + "\x00" + constraint + "\x00" + key
}

// candidates returns the row of the primary key if where fixes it, otherwise all rows.
func (s *Session) candidates(t *replicator.Transaction, d *replicator.Definition, where *pgquery.Node, c *scope) ([]*replicator.Row, error) {
	if d.Key == nil {
		return t.Scan(d.Name), nil
	}
	v := make([]any, len(d.Columns))
	found := map[int]bool{}
	err := c.fixed(where, v, found)
	if err != nil {
		return nil, err
	}
	for _, i := range d.Key.Columns {
		if !found[i] {
			return t.Scan(d.Name), nil
		}
		v[i], err = Coerce(d.Columns[i].Type, v[i])
		if err != nil {
			return nil, err
		}
	}
	k, ok := d.Key.Encode(v)
	r := t.Get(d.Name, k)
	if !ok || r == nil {
		return nil, nil
	}
	return []*replicator.Row{r}, nil
}

// fixed notes the columns that where sets equal to a constant or parameter.
func (s *scope) fixed(where *pgquery.Node, v []any, found map[int]bool) error {
	if b := where.GetBoolExpr(); b != nil && b.Boolop == pgquery.BoolExprType_AND_EXPR {
		for _, n := range b.Args {
			if err := s.fixed(n, v, found); err != nil {
				return err
			}
		}
		return nil
	}
	e := where.GetAExpr()
	if e == nil || e.Kind != pgquery.A_Expr_Kind_AEXPR_OP || lastName(e.Name) != "=" {
		return nil
	}
	r, o := e.Lexpr, e.Rexpr
	if r.GetColumnRef() == nil {
		r, o = o, r
	}
	if r.GetColumnRef() == nil || !independent(o) {
		return nil
	}
	i, err := s.column(r.GetColumnRef())
	if err != nil {
		return err
	}
	v[i], err = s.eval(o)
	found[i] = true
	return err
}

// independent reports whether an expression reads no column.
func independent(n *pgquery.Node) bool {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_AConst, *pgquery.Node_ParamRef:
		return true
	case *pgquery.Node_TypeCast:
		return independent(x.TypeCast.Arg)
	}
	return false
}
