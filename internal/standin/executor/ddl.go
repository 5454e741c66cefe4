package executor

import (
	"context"
	"strings"

	"github.com/juju/errors"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// createTable runs CREATE TABLE.
func (s *Session) createTable(ctx context.Context, q *pgquery.CreateStmt) (*Result, error) {
	t, err := s.writableTransaction()
	if err != nil {
		return nil, err
	}
	n := q.Relation.GetRelname()
	if q.Relation.GetRelpersistence() == "t" {
		return nil, pgError(codeFeatureNotSupported, "temporary tables are not supported by the stand-in")
	}
	if err := s.lock(ctx, t, "table\x00"+n); err != nil {
		return nil, err
	}
	if t.Table(n) != nil && q.IfNotExists {
		return &Result{Tag: "CREATE TABLE", Notice: "relation \"" + n + "\" already exists, skipping"}, nil
	}
	if t.Table(n) != nil {
		return nil, pgError(codeDuplicateTable, "relation %q already exists", n)
	}
	d, err := buildDefinition(n, q)
	if err != nil {
		return nil, err
	}
	t.Add(replicator.Change{Kind: replicator.CreateTable, Table: n, Definition: d})
	return &Result{Tag: "CREATE TABLE"}, nil
}

// buildDefinition returns the table definition that a CREATE TABLE describes.
func buildDefinition(name string, q *pgquery.CreateStmt) (*replicator.Definition, error) {
	d := &replicator.Definition{Name: name}
	for _, e := range q.TableElts {
		if c := e.GetColumnDef(); c != nil {
			if err := addColumn(d, c); err != nil {
				return nil, err
			}
		}
	}
	for _, e := range q.TableElts {
		c := e.GetConstraint()
		if c == nil {
			continue
		}
		var n []int
		for _, k := range c.Keys {
			n = append(n, d.Index(k.GetString_().GetSval()))
		}
		if err := addConstraint(d, c, n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func addColumn(d *replicator.Definition, c *pgquery.ColumnDef) error {
	t, err := typeByName(c.TypeName)
	if err != nil {
		return err
	}
	i := len(d.Columns)
	d.Columns = append(d.Columns, replicator.Column{
		Name:    c.Colname,
		Type:    t,
		NotNull: c.IsNotNull,
		Serial:  strings.Contains(lastName(c.TypeName.Names), "serial"),
	})
	for _, k := range c.Constraints {
		if err := addConstraint(d, k.GetConstraint(), []int{i}); err != nil {
			return err
		}
	}
	return nil
}

// addConstraint adds a constraint on the columns with the indexes n. It returns an error for CHECK
// constraints and foreign keys.
func addConstraint(d *replicator.Definition, c *pgquery.Constraint, n []int) error {
	if len(n) == 0 || n[0] < 0 {
		return pgError(codeUndefinedColumn, "column named in key does not exist")
	}
	switch c.Contype {
	case pgquery.ConstrType_CONSTR_NULL:
	case pgquery.ConstrType_CONSTR_NOTNULL:
		d.Columns[n[0]].NotNull = true
	case pgquery.ConstrType_CONSTR_IDENTITY:
		d.Columns[n[0]].Serial = true
	case pgquery.ConstrType_CONSTR_DEFAULT:
		t, err := expressionText(c.RawExpr)
		d.Columns[n[0]].Default = t
		return err
	case pgquery.ConstrType_CONSTR_PRIMARY:
		d.Key = &replicator.Unique{Name: d.Name + "_pkey", Columns: n}
		for _, i := range n {
			d.Columns[i].NotNull = true
		}
	case pgquery.ConstrType_CONSTR_UNIQUE:
		var l []string
		for _, i := range n {
			l = append(l, d.Columns[i].Name)
		}
		d.Uniques = append(d.Uniques, replicator.Unique{Name: d.Name + "_" + strings.Join(l, "_") + "_key", Columns: n})
	default:
		return pgError(codeFeatureNotSupported, "constraint %s is not supported by the stand-in", c.Contype)
	}
	return nil
}

// expressionText returns the SQL of a SELECT of the expression, so that the replication log can store it.
func expressionText(n *pgquery.Node) (string, error) {
	r, err := pgquery.Parse("SELECT 1")
	if err != nil {
		return "", errors.Annotate(err, "parse template")
	}
	r.Stmts[0].Stmt.GetSelectStmt().TargetList[0] = pgquery.MakeResTargetNodeWithVal(n, 0)
	t, err := pgquery.Deparse(r)
	return t, errors.Annotate(err, "deparse default")
}

// dropTable runs DROP TABLE.
func (s *Session) dropTable(ctx context.Context, q *pgquery.DropStmt) (*Result, error) {
	t, err := s.writableTransaction()
	if err != nil {
		return nil, err
	}
	if q.RemoveType != pgquery.ObjectType_OBJECT_TABLE {
		return nil, pgError(codeFeatureNotSupported, "DROP of %s is not supported by the stand-in", q.RemoveType)
	}
	for _, o := range q.Objects {
		n := lastName(o.GetList().GetItems())
		if err := s.lock(ctx, t, "table\x00"+n); err != nil {
			return nil, err
		}
		if t.Table(n) == nil && !q.MissingOk {
			return nil, pgError(codeUndefinedTable, "table %q does not exist", n)
		}
		if t.Table(n) != nil {
			t.Add(replicator.Change{Kind: replicator.DropTable, Table: n})
		}
	}
	return &Result{Tag: "DROP TABLE"}, nil
}

// truncate runs TRUNCATE.
func (s *Session) truncate(ctx context.Context, q *pgquery.TruncateStmt) (*Result, error) {
	t, err := s.writableTransaction()
	if err != nil {
		return nil, err
	}
	for _, n := range q.Relations {
		d, err := s.table(n.GetRangeVar())
		if err != nil {
			return nil, err
		}
		l, err := s.matchingRows(ctx, d, nil, s.tableScope(d, nil), true)
		if err != nil {
			return nil, err
		}
		for _, r := range l {
			t.Add(replicator.Change{Kind: replicator.DeleteRow, Table: d.Name, Key: r.Key})
		}
	}
	return &Result{Tag: "TRUNCATE TABLE"}, nil
}
