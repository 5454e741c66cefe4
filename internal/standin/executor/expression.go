package executor

import (
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// scope holds what an expression can refer to: columns, the current row and parameters.
type scope struct {
	session *Session
	columns []Column
	// tableName is the name of the table or its alias.
	tableName string
	row       []any
	// excluded is the row proposed for insertion, for ON CONFLICT DO UPDATE.
	excluded []any
	params   []any
	// types are the type OIDs of the parameters, zero where unknown.
	types []uint32
	// now is the start of the transaction.
	now time.Time
	// aggregateResults holds the results of the aggregate calls for the current group.
	aggregateResults map[*pgquery.FuncCall]any
}

func (s *scope) columnIndex(name string) int {
	for i := range s.columns {
		if s.columns[i].Name == name {
			return i
		}
	}
	return -1
}

// resolveColumn returns the index of the column that a reference names.
func (s *scope) resolveColumn(c *pgquery.ColumnRef) (int, error) {
	n := lastName(c.Fields)
	i := s.columnIndex(n)
	if i < 0 {
		return 0, pgError(codeUndefinedColumn, "column %q does not exist", n)
	}
	return i, nil
}

// eval evaluates an expression for the scope's current row.
func (s *scope) eval(n *pgquery.Node) (any, error) {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_AConst:
		return constantValue(x.AConst)
	case *pgquery.Node_ParamRef:
		return s.parameterValue(x.ParamRef)
	case *pgquery.Node_ColumnRef:
		return s.columnValue(x.ColumnRef)
	case *pgquery.Node_TypeCast:
		return s.evalCast(x.TypeCast)
	case *pgquery.Node_AExpr:
		return s.evalOperator(x.AExpr)
	case *pgquery.Node_BoolExpr:
		return s.evalBoolean(x.BoolExpr)
	case *pgquery.Node_NullTest:
		return s.evalNullTest(x.NullTest)
	case *pgquery.Node_CoalesceExpr:
		return s.evalCoalesce(x.CoalesceExpr)
	case *pgquery.Node_FuncCall:
		return s.callFunction(x.FuncCall)
	case *pgquery.Node_SqlvalueFunction:
		return s.evalValueFunction(x.SqlvalueFunction)
	}
	return nil, pgError(codeFeatureNotSupported, "expression %T is not supported by the stand-in", n.GetNode())
}

func constantValue(c *pgquery.A_Const) (any, error) {
	switch v := c.GetVal().(type) {
	case *pgquery.A_Const_Ival:
		return int64(v.Ival.GetIval()), nil
	case *pgquery.A_Const_Sval:
		return v.Sval.GetSval(), nil
	case *pgquery.A_Const_Boolval:
		return v.Boolval.GetBoolval(), nil
	case *pgquery.A_Const_Fval:
		if n, err := strconv.ParseInt(v.Fval.GetFval(), 10, 64); err == nil {
			return n, nil
		}
		return ParseText(pgtype.Float8OID, v.Fval.GetFval())
	}
	return nil, nil
}

func (s *scope) parameterValue(p *pgquery.ParamRef) (any, error) {
	if int(p.Number) > len(s.params) || p.Number < 1 {
		return nil, pgError(codeUndefinedParameter, "there is no parameter $%d", p.Number)
	}
	return s.params[p.Number-1], nil
}

func (s *scope) columnValue(c *pgquery.ColumnRef) (any, error) {
	i, err := s.resolveColumn(c)
	if err != nil {
		return nil, err
	}
	r := s.row
	if len(c.Fields) > 1 && c.Fields[0].GetString_().GetSval() == "excluded" {
		r = s.excluded
	}
	if i >= len(r) {
		return nil, pgError(codeUndefinedColumn, "column %q has no value here", s.columns[i].Name)
	}
	return r[i], nil
}

func (s *scope) evalCast(c *pgquery.TypeCast) (any, error) {
	t, err := typeByName(c.TypeName)
	if err != nil {
		return nil, err
	}
	v, err := s.eval(c.Arg)
	if err != nil {
		return nil, err
	}
	return Coerce(t, v)
}

func (s *scope) evalNullTest(n *pgquery.NullTest) (any, error) {
	v, err := s.eval(n.Arg)
	return (v == nil) == (n.Nulltesttype == pgquery.NullTestType_IS_NULL), err
}

func (s *scope) evalCoalesce(c *pgquery.CoalesceExpr) (any, error) {
	for _, n := range c.Args {
		v, err := s.eval(n)
		if err != nil || v != nil {
			return v, err
		}
	}
	return nil, nil
}

func (s *scope) evalValueFunction(f *pgquery.SQLValueFunction) (any, error) {
	switch f.Op {
	case pgquery.SQLValueFunctionOp_SVFOP_CURRENT_TIMESTAMP, pgquery.SQLValueFunctionOp_SVFOP_CURRENT_TIMESTAMP_N:
		return s.now, nil
	case pgquery.SQLValueFunctionOp_SVFOP_CURRENT_CATALOG:
		return s.session.Database, nil
	case pgquery.SQLValueFunctionOp_SVFOP_CURRENT_USER, pgquery.SQLValueFunctionOp_SVFOP_USER,
		pgquery.SQLValueFunctionOp_SVFOP_SESSION_USER, pgquery.SQLValueFunctionOp_SVFOP_CURRENT_ROLE:
		return s.session.User, nil
	case pgquery.SQLValueFunctionOp_SVFOP_CURRENT_SCHEMA:
		return "public", nil
	}
	return nil, pgError(codeFeatureNotSupported, "%s is not supported by the stand-in", f.Op)
}

// true reports whether the scope's current row satisfies a condition. Every row satisfies nil.
func (s *scope) true(n *pgquery.Node) (bool, error) {
	if n == nil {
		return true, nil
	}
	v, err := s.eval(n)
	if err != nil {
		return false, err
	}
	b, _ := v.(bool)
	return b, nil
}
