package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// insertOperation is an INSERT or COPY FROM STDIN in progress.
type insertOperation struct {
	session     *Session
	transaction *replicator.Transaction
	definition  *replicator.Definition
	// columns are the indexes of the table columns that values are given for.
	columns    []int
	onConflict *pgquery.OnConflictClause
	scope      *scope
	returning  *returningClause
}

// runInsert runs an INSERT.
func (s *Session) runInsert(ctx context.Context, q *pgquery.InsertStmt, params []any) (*Result, error) {
	t, err := s.writableTransaction()
	if err != nil {
		return nil, err
	}
	if q.WithClause != nil {
		return nil, pgError(codeFeatureNotSupported, "INSERT with WITH is not supported by the stand-in")
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
	g, err := newReturningClause(c, q.ReturningList)
	if err != nil {
		return nil, err
	}
	i := &insertOperation{session: s, transaction: t, definition: d, columns: n, onConflict: q.OnConflictClause, scope: c, returning: g}
	if err := i.insertAll(ctx, q.SelectStmt.GetSelectStmt(), params); err != nil {
		return nil, err
	}
	return g.result("INSERT 0"), nil
}

// insertColumns returns the indexes of the columns in an INSERT's column list, or of all columns if
// the list is empty.
func insertColumns(d *replicator.Definition, l []*pgquery.Node) ([]int, error) {
	var n []int
	for _, c := range l {
		i := d.Index(c.GetResTarget().GetName())
		if i < 0 {
			return nil, pgError(codeUndefinedColumn, "column %q of relation %q does not exist", c.GetResTarget().GetName(), d.Name)
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

// insertAll inserts the rows of VALUES or of a SELECT. A nil q inserts one row of defaults.
func (i *insertOperation) insertAll(ctx context.Context, q *pgquery.SelectStmt, params []any) error {
	if q == nil {
		return i.insertRow(ctx, nil, nil)
	}
	for _, l := range q.ValuesLists {
		if err := i.insertValues(ctx, l.GetList().GetItems()); err != nil {
			return err
		}
	}
	if len(q.ValuesLists) > 0 {
		return nil
	}
	r, err := i.session.runSelect(ctx, q, params)
	if err != nil {
		return err
	}
	for {
		v, err := r.Next(ctx)
		if err != nil || v == nil {
			return err
		}
		if err := i.insertRow(ctx, v, nil); err != nil {
			return err
		}
	}
}

// insertValues inserts one row of a VALUES list.
func (i *insertOperation) insertValues(ctx context.Context, l []*pgquery.Node) error {
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
	return i.insertRow(ctx, v, defaults)
}

// insertRow inserts one row. Columns that are not given, and those whose indexes in given are in
// defaults, get their default values.
func (i *insertOperation) insertRow(ctx context.Context, given []any, defaults map[int]bool) error {
	d := i.definition
	if len(given) > len(i.columns) {
		return pgError(codeSyntaxError, "INSERT has more expressions than target columns")
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
	if err := i.fillDefaults(v, set); err != nil {
		return err
	}
	if err := checkNulls(d, v); err != nil {
		return err
	}
	return i.putRow(ctx, v)
}

// fillDefaults sets the columns without a value to their next serial number or default.
func (i *insertOperation) fillDefaults(v []any, set []bool) error {
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
	v, err := s.newScope(nil).eval(n[0].GetSelectStmt().TargetList[0].GetResTarget().Val)
	if err != nil {
		return nil, err
	}
	return Coerce(c.Type, v)
}

// putRow adds the row to the transaction, or follows the ON CONFLICT clause if another row has its
// primary key or unique values.
func (i *insertOperation) putRow(ctx context.Context, v []any) error {
	s, t, d := i.session, i.transaction, i.definition
	k, err := s.lockPrimaryKey(ctx, t, d, v, "")
	if err != nil {
		return err
	}
	if d.Key == nil {
		k = t.NewKey()
	}
	if o := t.Get(d.Name, k); o != nil {
		return i.resolveConflict(ctx, d.Key, o, v)
	}
	u, err := s.findConflict(ctx, t, d, v, k)
	if err != nil {
		return err
	}
	if u != nil {
		return i.resolveConflict(ctx, u, nil, v)
	}
	t.Add(replicator.Change{Kind: replicator.PutRow, Table: d.Name, Key: k, Values: v})
	return i.returning.add(v)
}

// resolveConflict follows the ON CONFLICT clause and returns a unique violation if there is none.
// o is the existing row of a primary key conflict, nil for a conflict on another unique constraint;
// DO UPDATE is supported only for the former.
func (i *insertOperation) resolveConflict(ctx context.Context, u *replicator.Unique, o *replicator.Row, v []any) error {
	switch i.onConflict.GetAction() {
	case pgquery.OnConflictAction_ONCONFLICT_NOTHING:
		return nil
	case pgquery.OnConflictAction_ONCONFLICT_UPDATE:
		if o != nil {
			return i.updateConflictingRow(ctx, o, v)
		}
	}
	return uniqueViolation(u)
}

// updateConflictingRow runs ON CONFLICT DO UPDATE on the row o.
func (i *insertOperation) updateConflictingRow(ctx context.Context, o *replicator.Row, v []any) error {
	c := *i.scope
	c.row, c.excluded = o.Values, v
	ok, err := c.true(i.onConflict.WhereClause)
	if err != nil || !ok {
		return err
	}
	n, err := c.applyAssignments(i.definition, o.Values, i.onConflict.TargetList)
	if err != nil {
		return err
	}
	if err := i.session.replaceRow(ctx, i.transaction, i.definition, o, n); err != nil {
		return err
	}
	return i.returning.add(n)
}
