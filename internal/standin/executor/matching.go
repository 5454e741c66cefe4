package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// matchingRows returns the rows of a table that satisfy where, and locks them if lock is true.
func (s *Session) matchingRows(ctx context.Context, d *replicator.Definition, where *pgquery.Node, c *scope, lock bool) ([]*replicator.Row, error) {
	t := s.ensureTransaction()
	if lock {
		if _, err := s.writableTransaction(); err != nil {
			return nil, err
		}
	}
	l, err := s.candidateRows(t, d, where, c)
	if err != nil {
		return nil, err
	}
	f := l[:0:0]
	for _, r := range l {
		r, err := s.matchRow(ctx, t, d, r, where, c, lock)
		if err != nil {
			return nil, err
		}
		if r != nil {
			f = append(f, r)
		}
	}
	return f, nil
}

// matchRow returns the row if it satisfies where, otherwise nil. If lock is true, it locks a matching
// row and evaluates where again if the row changed before the lock was acquired.
func (s *Session) matchRow(ctx context.Context, t *replicator.Transaction, d *replicator.Definition, r *replicator.Row, where *pgquery.Node, c *scope, lock bool) (*replicator.Row, error) {
	c.row = r.Values
	ok, err := c.true(where)
	if err != nil || !ok || !lock {
		return rowIf(r, ok), err
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
	return rowIf(n, ok), err
}

// rowIf returns r if ok is true, otherwise nil.
func rowIf(r *replicator.Row, ok bool) *replicator.Row {
	if !ok {
		return nil
	}
	return r
}

// lockName returns the name of the lock on a key of a unique constraint, or on a primary key or row if
// constraint is empty.
func lockName(d *replicator.Definition, constraint, key string) string {
	return d.Name + "\x00" + constraint + "\x00" + key
}

// candidateRows returns the one row with the primary key if where determines it, otherwise all rows.
func (s *Session) candidateRows(t *replicator.Transaction, d *replicator.Definition, where *pgquery.Node, c *scope) ([]*replicator.Row, error) {
	if d.Key == nil {
		return t.Scan(d.Name), nil
	}
	v := make([]any, len(d.Columns))
	found := map[int]bool{}
	err := c.collectEqualities(where, v, found)
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

// collectEqualities finds the columns that where requires to equal a constant or parameter. It sets
// their values in v and marks their indexes in found.
func (s *scope) collectEqualities(where *pgquery.Node, v []any, found map[int]bool) error {
	if b := where.GetBoolExpr(); b != nil && b.Boolop == pgquery.BoolExprType_AND_EXPR {
		for _, n := range b.Args {
			if err := s.collectEqualities(n, v, found); err != nil {
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
	if r.GetColumnRef() == nil || !readsNoColumn(o) {
		return nil
	}
	i, err := s.resolveColumn(r.GetColumnRef())
	if err != nil {
		return err
	}
	v[i], err = s.eval(o)
	found[i] = true
	return err
}

// readsNoColumn reports whether an expression is a constant or parameter, possibly with type casts.
func readsNoColumn(n *pgquery.Node) bool {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_AConst, *pgquery.Node_ParamRef:
		return true
	case *pgquery.Node_TypeCast:
		return readsNoColumn(x.TypeCast.Arg)
	}
	return false
}
