package executor

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// typeOf returns the type OID of an expression, zero if it is unknown.
func (s *scope) typeOf(n *pgquery.Node) uint32 {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_AConst:
		return typeOfConstant(x.AConst)
	case *pgquery.Node_ParamRef:
		if i := int(x.ParamRef.Number) - 1; i >= 0 && i < len(s.types) {
			return s.types[i]
		}
		return 0
	case *pgquery.Node_ColumnRef:
		if i := s.columnIndex(lastName(x.ColumnRef.Fields)); i >= 0 {
			return s.columns[i].Type
		}
		return 0
	case *pgquery.Node_TypeCast:
		t, _ := typeByName(x.TypeCast.TypeName)
		return t
	case *pgquery.Node_AExpr:
		return s.typeOfOperator(x.AExpr)
	case *pgquery.Node_BoolExpr, *pgquery.Node_NullTest:
		return pgtype.BoolOID
	case *pgquery.Node_CoalesceExpr:
		return s.typeOf(x.CoalesceExpr.Args[0])
	case *pgquery.Node_FuncCall:
		return s.typeOfCall(x.FuncCall)
	case *pgquery.Node_SqlvalueFunction:
		if x.SqlvalueFunction.Op <= pgquery.SQLValueFunctionOp_SVFOP_CURRENT_TIMESTAMP_N {
			return pgtype.TimestamptzOID
		}
		return pgtype.TextOID
	}
	return 0
}

func typeOfConstant(c *pgquery.A_Const) uint32 {
	switch v := c.GetVal().(type) {
	case *pgquery.A_Const_Ival:
		return pgtype.Int4OID
	case *pgquery.A_Const_Boolval:
		return pgtype.BoolOID
	case *pgquery.A_Const_Fval:
		if _, err := strconv.ParseInt(v.Fval.GetFval(), 10, 64); err == nil {
			return pgtype.Int8OID
		}
		return pgtype.Float8OID
	}
	return 0
}

func (s *scope) typeOfOperator(e *pgquery.A_Expr) uint32 {
	o := lastName(e.Name)
	if _, ok := comparisons[o]; ok || e.Kind != pgquery.A_Expr_Kind_AEXPR_OP {
		return pgtype.BoolOID
	}
	if o == "||" {
		return pgtype.TextOID
	}
	a, b := s.typeOf(e.Lexpr), s.typeOf(e.Rexpr)
	if isFloat(a) || isFloat(b) {
		return pgtype.Float8OID
	}
	if a == pgtype.Int8OID || b == pgtype.Int8OID {
		return pgtype.Int8OID
	}
	return pgtype.Int4OID
}

func (s *scope) typeOfCall(f *pgquery.FuncCall) uint32 {
	n := lastName(f.Funcname)
	switch n {
	case "count":
		return pgtype.Int8OID
	case "sum":
		if isFloat(s.typeOf(f.Args[0])) {
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	case "max", "min":
		return s.typeOf(f.Args[0])
	case "generate_series":
		return s.typeOfSeries(f)
	}
	return functions[n].resultType
}

func (s *scope) typeOfSeries(f *pgquery.FuncCall) uint32 {
	for _, a := range f.Args {
		if s.typeOf(a) == pgtype.Int8OID {
			return pgtype.Int8OID
		}
	}
	return pgtype.Int4OID
}

// infer infers the types of the parameters in n whose types are unknown. Where the expression itself
// determines no type, it sets hint.
func (s *scope) infer(n *pgquery.Node, hint uint32) {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_ParamRef:
		s.setParameterType(int(x.ParamRef.Number), hint)
	case *pgquery.Node_TypeCast:
		t, _ := typeByName(x.TypeCast.TypeName)
		s.infer(x.TypeCast.Arg, t)
	case *pgquery.Node_AExpr:
		s.inferOperator(x.AExpr, hint)
	case *pgquery.Node_BoolExpr:
		s.inferAll(x.BoolExpr.Args, pgtype.BoolOID)
	case *pgquery.Node_NullTest:
		s.infer(x.NullTest.Arg, 0)
	case *pgquery.Node_CoalesceExpr:
		for _, a := range x.CoalesceExpr.Args {
			if t := s.typeOf(a); t != 0 {
				hint = t
			}
		}
		s.inferAll(x.CoalesceExpr.Args, hint)
	case *pgquery.Node_FuncCall:
		s.inferCall(x.FuncCall)
	case *pgquery.Node_List:
		s.inferAll(x.List.Items, hint)
	case *pgquery.Node_ResTarget:
		s.infer(x.ResTarget.Val, hint)
	}
}

func (s *scope) inferAll(l []*pgquery.Node, hint uint32) {
	for _, n := range l {
		s.infer(n, hint)
	}
}

func (s *scope) inferOperator(e *pgquery.A_Expr, hint uint32) {
	if lastName(e.Name) == "||" {
		hint = pgtype.TextOID
	}
	a, b := s.typeOf(e.Lexpr), s.typeOf(e.Rexpr)
	if a == 0 && b == 0 {
		a, b = hint, hint
	}
	if b != 0 {
		s.infer(e.Lexpr, b)
	}
	if a != 0 {
		s.infer(e.Rexpr, a)
	}
	s.infer(e.Lexpr, hint)
	s.infer(e.Rexpr, a)
}

func (s *scope) inferCall(f *pgquery.FuncCall) {
	t := functions[lastName(f.Funcname)].parameterTypes
	for i, a := range f.Args {
		h := uint32(0)
		if i < len(t) {
			h = t[i]
		}
		if lastName(f.Funcname) == "generate_series" {
			h = pgtype.Int4OID
		}
		s.infer(a, h)
	}
}

// setParameterType sets the type of parameter n if it is unknown. Describe sets those that remain
// unknown to text.
func (s *scope) setParameterType(n int, t uint32) {
	for len(s.types) < n {
		s.types = append(s.types, 0)
	}
	if n > 0 && s.types[n-1] == 0 {
		s.types[n-1] = t
	}
}
