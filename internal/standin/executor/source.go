package executor

import (
	"context"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// source is the table or function that a SELECT reads from. The zero value is a single empty row.
type source struct {
	name    string
	columns []Column
	// definition is set for a table, function for a function call.
	definition *replicator.Definition
	function   *pgquery.FuncCall
	// activity is true for pg_stat_activity.
	activity bool
}

// activityTable is PostgreSQL's system view of sessions.
const activityTable = "pg_stat_activity"

// activityColumns are the columns of pg_stat_activity that the stand-in server supports.
var activityColumns = []Column{
	{Name: "pid", Type: pgtype.Int4OID},
	{Name: "state", Type: pgtype.TextOID},
}

func columnsOf(d *replicator.Definition) []Column {
	c := make([]Column, len(d.Columns))
	for i := range d.Columns {
		c[i] = Column{Name: d.Columns[i].Name, Type: d.Columns[i].Type}
	}
	return c
}

// table returns the definition of the table that r names.
func (s *Session) table(r *pgquery.RangeVar) (*replicator.Definition, error) {
	if r.GetRelpersistence() == "t" {
		return nil, pgError(codeFeatureNotSupported, "temporary tables are not supported by the stand-in")
	}
	d := s.ensureTransaction().Table(r.GetRelname())
	if d == nil {
		return nil, pgError(codeUndefinedTable, "relation %q does not exist", r.GetRelname())
	}
	return d, nil
}

func rangeFunctionName(n *pgquery.Node) string {
	return lastName(rangeFunctionCall(n).GetFuncname())
}

// rangeFunctionCall returns the function call in a FROM item, nil if the item is not a function.
func rangeFunctionCall(n *pgquery.Node) *pgquery.FuncCall {
	f := n.GetRangeFunction().GetFunctions()
	if len(f) == 0 {
		return nil
	}
	l := f[0].GetList().GetItems()
	if len(l) == 0 {
		return nil
	}
	return l[0].GetFuncCall()
}

// resolveSource returns the source that a FROM clause names.
func (s *Session) resolveSource(from []*pgquery.Node, c *scope) (*source, error) {
	if len(from) == 0 {
		return &source{}, nil
	}
	if len(from) > 1 {
		return nil, pgError(codeFeatureNotSupported, "joins are not supported by the stand-in")
	}
	if r := from[0].GetRangeVar(); r != nil && r.Relname == activityTable {
		return &source{name: activityTable, columns: activityColumns, activity: true}, nil
	}
	if r := from[0].GetRangeVar(); r != nil {
		d, err := s.table(r)
		if err != nil {
			return nil, err
		}
		n := r.Relname
		if r.Alias != nil {
			n = r.Alias.Aliasname
		}
		return &source{name: n, columns: columnsOf(d), definition: d}, nil
	}
	f := rangeFunctionCall(from[0])
	if f == nil {
		return nil, pgError(codeFeatureNotSupported, "FROM %T is not supported by the stand-in", from[0].GetNode())
	}
	return functionSource(f, from[0].GetRangeFunction().GetAlias(), c)
}

func functionSource(f *pgquery.FuncCall, a *pgquery.Alias, c *scope) (*source, error) {
	n := lastName(f.Funcname)
	o := &source{name: n, function: f}
	if _, ok := controlFunctions[n]; ok {
		o.columns = statusColumns
		return o, nil
	}
	if n != "generate_series" && functions[n].call == nil {
		return nil, pgError(codeUndefinedFunction, "function %s does not exist", n)
	}
	o.columns = []Column{{Name: n, Type: c.typeOfCall(f)}}
	if a != nil {
		o.name = a.Aliasname
		o.columns[0].Name = a.Aliasname
		if len(a.Colnames) > 0 {
			o.columns[0].Name = a.Colnames[0].GetString_().GetSval()
		}
	}
	return o, nil
}

// functionRows returns the rows of a function call in a FROM clause.
func (s *scope) functionRows(f *pgquery.FuncCall) (rowIterator, error) {
	n := lastName(f.Funcname)
	if _, ok := controlFunctions[n]; ok {
		v, err := s.callControl(f)
		return sliceIterator([][]any{v}), err
	}
	if n != "generate_series" {
		v, err := s.callFunction(f)
		return sliceIterator([][]any{{v}}), err
	}
	b := []int64{0, 0, 1}
	for i, a := range f.Args {
		v, err := s.eval(a)
		if err != nil {
			return nil, err
		}
		v, err = Coerce(pgtype.Int8OID, v)
		if err != nil || v == nil || i > 2 {
			return sliceIterator(nil), err
		}
		b[i] = v.(int64)
	}
	if b[2] == 0 {
		return nil, pgError("22023", "step size cannot equal zero")
	}
	return seriesIterator(b[0], b[1], b[2]), nil
}

// seriesIterator returns the rows of generate_series.
func seriesIterator(from, to, step int64) rowIterator {
	return func(ctx context.Context) ([]any, error) {
		if (step > 0 && from > to) || (step < 0 && from < to) {
			return nil, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		v := []any{from}
		from += step
		return v, nil
	}
}
