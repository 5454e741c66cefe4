package executor

import (
	"context"
	"fmt"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// tableScope returns the scope of one table's statement.
func (s *Session) tableScope(d *replicator.Definition, params []any) *scope {
	c := s.scope(params)
	c.types = typesOf(params)
	c.columns, c.name = columnsOf(d), d.Name
	return c
}

// returning collects the rows of a RETURNING clause.
type returning struct {
	scope   *scope
	targets []target
	rows    [][]any
	count   int
}

func newReturning(c *scope, l []*pgquery.Node) (*returning, error) {
	t, err := c.targets(l)
	return &returning{scope: c, targets: t}, err
}

func (r *returning) add(values []any) error {
	r.count++
	if len(r.targets) == 0 {
		return nil
	}
	r.scope.row = values
	v, err := r.scope.produce(r.targets)
	r.rows = append(r.rows, v)
	return err
}

func (r *returning) result(tag string) *Result {
	o := &Result{Tag: fmt.Sprintf("%s %d", tag, r.count)}
	if len(r.targets) > 0 {
		o.Columns = resultColumns(r.targets)
		o.Next = sliced(r.rows)
	}
	return o
}

// update runs an UPDATE.
func (s *Session) update(ctx context.Context, u *pgquery.UpdateStmt, params []any) (*Result, error) {
	t, err := s.writes()
	if err != nil {
		return nil, err
	}
	if u.WithClause != nil || len(u.FromClause) > 0 {
		return nil, failure(codeFeatureNotSupported, "UPDATE with FROM or WITH is not supported by the stand-in")
	}
	d, err := s.table(u.Relation)
	if err != nil {
		return nil, err
	}
	c := s.tableScope(d, params)
	g, err := newReturning(c, u.ReturningList)
	if err != nil {
		return nil, err
	}
	l, err := s.matching(ctx, d, u.WhereClause, c, true)
	if err != nil {
		return nil, err
	}
	for _, r := range l {
		c.row = r.Values
		v, err := c.assigned(d, r.Values, u.TargetList)
		if err != nil {
			return nil, err
		}
		if err := s.replace(ctx, t, d, r, v); err != nil {
			return nil, err
		}
		if err := g.add(v); err != nil {
			return nil, err
		}
	}
	return g.result("UPDATE"), nil
}

// assigned returns values changed by a SET list.
func (s *scope) assigned(d *replicator.Definition, old []any, l []*pgquery.Node) ([]any, error) {
	v := append([]any(nil), old...)
	for _, n := range l {
		r := n.GetResTarget()
		i := d.Index(r.Name)
		if i < 0 {
			return nil, failure(codeUndefinedColumn, "column %q of relation %q does not exist", r.Name, d.Name)
		}
		x, err := s.eval(r.Val)
		if err != nil {
			return nil, err
		}
		v[i], err = Coerce(d.Columns[i].Type, x)
		if err != nil {
			return nil, err
		}
	}
	return v, nil
}

// replace writes a row's new version, under a new key if the primary key changed.
func (s *Session) replace(ctx context.Context, t *replicator.Transaction, d *replicator.Definition, r *replicator.Row, v []any) error {
	if err := checkNulls(d, v); err != nil {
		return err
	}
	k, err := s.keyOf(ctx, t, d, v, r.Key)
	if err != nil {
		return err
	}
	if k != r.Key {
		if t.Get(d.Name, k) != nil {
			return duplicate(d.Key)
		}
		t.Add(replicator.Change{Kind: replicator.DeleteRow, Table: d.Name, Key: r.Key})
	}
	if u, err := s.conflict(ctx, t, d, v, k); err != nil || u != nil {
		return orDuplicate(err, u)
	}
	t.Add(replicator.Change{Kind: replicator.PutRow, Table: d.Name, Key: k, Values: v})
	return nil
}

func orDuplicate(err error, u *replicator.Unique) error {
	if err != nil {
		return err
	}
	return duplicate(u)
}

func duplicate(u *replicator.Unique) error {
	return failure(codeUniqueViolation, "duplicate key value violates unique constraint %q", u.Name)
}

// keyOf returns and locks the key for a row's values; a table without primary key keeps old.
func (s *Session) keyOf(ctx context.Context, t *replicator.Transaction, d *replicator.Definition, v []any, old string) (string, error) {
	if d.Key == nil {
		return old, nil
	}
	k, ok := d.Key.Encode(v)
	if !ok {
		return "", failure(codeNotNullViolation, "null value in primary key of relation %q", d.Name)
	}
	return k, s.lock(ctx, t, lockName(d, "", k))
}

// conflict locks the values of the unique constraints and returns the first that another row holds.
func (s *Session) conflict(ctx context.Context, t *replicator.Transaction, d *replicator.Definition, v []any, key string) (*replicator.Unique, error) {
	for i := range d.Uniques {
		u := &d.Uniques[i]
		e, ok := u.Encode(v)
		if !ok {
			continue
		}
		if err := s.lock(ctx, t, lockName(d, u.Name, e)); err != nil {
			return nil, err
		}
		if k, ok := t.FindUnique(d, i, e); ok && k != key {
			return u, nil
		}
	}
	return nil, nil
}

func checkNulls(d *replicator.Definition, v []any) error {
	for i := range d.Columns {
		if d.Columns[i].NotNull && v[i] == nil {
			return failure(codeNotNullViolation, "null value in column %q of relation %q violates not-null constraint", d.Columns[i].Name, d.Name)
		}
	}
	return nil
}

// delete runs a DELETE.
func (s *Session) delete(ctx context.Context, q *pgquery.DeleteStmt, params []any) (*Result, error) {
	t, err := s.writes()
	if err != nil {
		return nil, err
	}
	if q.WithClause != nil || len(q.UsingClause) > 0 {
		return nil, failure(codeFeatureNotSupported, "DELETE with USING or WITH is not supported by the stand-in")
	}
	d, err := s.table(q.Relation)
	if err != nil {
		return nil, err
	}
	c := s.tableScope(d, params)
	g, err := newReturning(c, q.ReturningList)
	if err != nil {
		return nil, err
	}
	l, err := s.matching(ctx, d, q.WhereClause, c, true)
	if err != nil {
		return nil, err
	}
	for _, r := range l {
		t.Add(replicator.Change{Kind: replicator.DeleteRow, Table: d.Name, Key: r.Key})
		if err := g.add(r.Values); err != nil {
			return nil, err
		}
	}
	return g.result("DELETE"), nil
}
