package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// insertion is one INSERT in progress.
type insertion struct {
	session     *Session
	transaction *replicator.Transaction
	definition  *replicator.Definition
	columns     []int
	conflict    *pgquery.OnConflictClause
	scope       *scope
	returning   *returning
}

// insert runs an INSERT.
func (s *Session) insert(ctx context.Context, q *pgquery.InsertStmt, params []any) (*Result, error) {
	t, err := s.writes()
	if err != nil {
		return nil, err
	}
	if q.WithClause != nil {
		return nil, failure(codeFeatureNotSupported, "INSERT with WITH is not supported by the stand-in")
	}
	d, err := s.table(q.Relation)
	if err != nil {
		return nil, err
	}
	n, err := insertColumns(d, q.Cols)
	if err != nil {
		return nil, err
	}
	c := s.tableScope(d, params)
	g, err := newReturning(c, q.ReturningList)
	if err != nil {
		return nil, err
	}
	i := &insertion{session: s, transaction: t, definition: d, columns: n, conflict: q.OnConflictClause, scope: c, returning: g}
	if err := i.all(ctx, q.SelectStmt.GetSelectStmt(), params); err != nil {
		return nil, err
	}
	return g.result("INSERT 0"), nil
}

// insertColumns returns the numbers of the columns that values are given for.
func insertColumns(d *replicator.Definition, l []*pgquery.Node) ([]int, error) {
	var n []int
	for _, c := range l {
		i := d.Index(c.GetResTarget().GetName())
		if i < 0 {
			return nil, failure(codeUndefinedColumn, "column %q of relation %q does not exist", c.GetResTarget().GetName(), d.Name)
		}
		n = append(n, i)
	}
	if len(l) > 0 {
		return n, nil
	}
	for i := range d.Columns {
		n = append(n, i)
	}
	return n, nil
}

// all inserts the rows of VALUES or of a SELECT.
func (i *insertion) all(ctx context.Context, q *pgquery.SelectStmt, params []any) error {
	if q == nil {
		return i.one(ctx, nil, nil)
	}
	for _, l := range q.ValuesLists {
		if err := i.values(ctx, l.GetList().GetItems()); err != nil {
			return err
		}
	}
	if len(q.ValuesLists) > 0 {
		return nil
	}
	r, err := i.session.selects(ctx, q, params)
	if err != nil {
		return err
	}
	for {
		v, err := r.Next(ctx)
		if err != nil || v == nil {
			return err
		}
		if err := i.one(ctx, v, nil); err != nil {
			return err
		}
	}
}

// values inserts one list of expressions.
func (i *insertion) values(ctx context.Context, l []*pgquery.Node) error {
	v := make([]any, len(l))
	defaults := map[int]bool{}
	c := *i.scope
	c.row = nil
	for k, n := range l {
		if n.GetSetToDefault() != nil {
			defaults[k] = true
			continue
		}
		x, err := c.eval(n)
		if err != nil {
			return err
		}
		v[k] = x
	}
	return i.one(ctx, v, defaults)
}

// one inserts one row.
func (i *insertion) one(ctx context.Context, given []any, defaults map[int]bool) error {
	d := i.definition
	if len(given) > len(i.columns) {
		return failure(codeSyntaxError, "INSERT has more expressions than target columns")
	}
	v := make([]any, len(d.Columns))
	set := make([]bool, len(d.Columns))
	for k, x := range given {
		c := i.columns[k]
		if defaults[k] {
			continue
		}
		x, err := Coerce(d.Columns[c].Type, x)
		if err != nil {
			return err
		}
		v[c], set[c] = x, true
	}
	if err := i.fill(v, set); err != nil {
		return err
	}
	if err := checkNulls(d, v); err != nil {
		return err
	}
	return i.put(ctx, v)
}

// fill gives the columns that weren't set their defaults.
func (i *insertion) fill(v []any, set []bool) error {
	d := i.definition
	for c := range d.Columns {
		if set[c] {
			continue
		}
		if d.Columns[c].Serial {
			v[c] = i.transaction.NextSerial(d.Name)
			continue
		}
		if d.Columns[c].Default == "" {
			continue
		}
		x, err := i.session.defaultValue(d.Columns[c])
		if err != nil {
			return err
		}
		v[c] = x
	}
	return nil
}

func (s *Session) defaultValue(c replicator.Column) (any, error) {
	n, err := s.Parser.Parse(c.Default)
	if err != nil {
		return nil, err
	}
	v, err := s.scope(nil).eval(n[0].GetSelectStmt().TargetList[0].GetResTarget().Val)
	if err != nil {
		return nil, err
	}
	return Coerce(c.Type, v)
}

// put writes the row unless it conflicts with another.
func (i *insertion) put(ctx context.Context, v []any) error {
	s, t, d := i.session, i.transaction, i.definition
	k, err := s.keyOf(ctx, t, d, v, "")
	if err != nil {
		return err
	}
	if d.Key == nil {
		k = t.NewKey()
	}
	if o := t.Get(d.Name, k); o != nil {
		return i.collide(ctx, d.Key, o, v)
	}
	u, err := s.conflict(ctx, t, d, v, k)
	if err != nil {
		return err
	}
	if u != nil {
		return i.collide(ctx, u, nil, v)
	}
	t.Add(replicator.Change{Kind: replicator.PutRow, Table: d.Name, Key: k, Values: v})
	return i.returning.add(v)
}

// collide follows the ON CONFLICT clause, or fails.
func (i *insertion) collide(ctx context.Context, u *replicator.Unique, o *replicator.Row, v []any) error {
	switch i.conflict.GetAction() {
	case pgquery.OnConflictAction_ONCONFLICT_NOTHING:
		return nil
	case pgquery.OnConflictAction_ONCONFLICT_UPDATE:
		if o != nil {
			return i.merge(ctx, o, v)
		}
	}
	return duplicate(u)
}

// merge runs ON CONFLICT DO UPDATE on the row o.
func (i *insertion) merge(ctx context.Context, o *replicator.Row, v []any) error {
	c := *i.scope
	c.row, c.excluded = o.Values, v
	ok, err := c.true(i.conflict.WhereClause)
	if err != nil || !ok {
		return err
	}
	n, err := c.assigned(i.definition, o.Values, i.conflict.TargetList)
	if err != nil {
		return err
	}
	if err := i.session.replace(ctx, i.transaction, i.definition, o, n); err != nil {
		return err
	}
	return i.returning.add(n)
}
