package executor

import (
	"math"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

func (s *scope) evalOperator(e *pgquery.A_Expr) (any, error) {
	switch e.Kind {
	case pgquery.A_Expr_Kind_AEXPR_IN:
		return s.evalIn(e)
	case pgquery.A_Expr_Kind_AEXPR_BETWEEN:
		return s.evalBetween(e)
	case pgquery.A_Expr_Kind_AEXPR_OP:
	default:
		return nil, pgError(codeFeatureNotSupported, "operator kind %s is not supported by the stand-in", e.Kind)
	}
	b, err := s.eval(e.Rexpr)
	if err != nil {
		return nil, err
	}
	if e.Lexpr == nil {
		return arithmetic(lastName(e.Name), int64(0), b)
	}
	a, err := s.eval(e.Lexpr)
	if err != nil || a == nil || b == nil {
		return nil, err
	}
	return binaryOperator(lastName(e.Name), a, b)
}

// comparisons maps each comparison operator to a predicate on the result of compareValues.
var comparisons = map[string]func(int) bool{
	"=":  func(c int) bool { return c == 0 },
	"<>": func(c int) bool { return c != 0 },
	"<":  func(c int) bool { return c < 0 },
	"<=": func(c int) bool { return c <= 0 },
	">":  func(c int) bool { return c > 0 },
	">=": func(c int) bool { return c >= 0 },
}

func binaryOperator(o string, a, b any) (any, error) {
	if f, ok := comparisons[o]; ok {
		c, err := compareValues(a, b)
		return f(c), err
	}
	if o == "||" {
		return string(FormatText(pgtype.TextOID, a)) + string(FormatText(pgtype.TextOID, b)), nil
	}
	return arithmetic(o, a, b)
}

func arithmetic(o string, a, b any) (any, error) {
	a, b, err := toCommonType(a, b)
	if err != nil {
		return nil, err
	}
	if x, ok := a.(int64); ok {
		if y, ok := b.(int64); ok {
			return integerArithmetic(o, x, y)
		}
	}
	if x, ok := a.(float64); ok {
		if y, ok := b.(float64); ok {
			return floatArithmetic(o, x, y)
		}
	}
	return nil, pgError(codeUndefinedFunction, "operator %s does not exist for %T and %T", o, a, b)
}

func integerArithmetic(o string, x, y int64) (any, error) {
	switch o {
	case "+":
		return x + y, nil
	case "-":
		return x - y, nil
	case "*":
		return x * y, nil
	}
	if y == 0 && (o == "/" || o == "%") {
		return nil, pgError(codeDivisionByZero, "division by zero")
	}
	switch o {
	case "/":
		return x / y, nil
	case "%":
		return x % y, nil
	}
	return nil, pgError(codeUndefinedFunction, "operator %s does not exist for bigint", o)
}

func floatArithmetic(o string, x, y float64) (any, error) {
	switch o {
	case "+":
		return x + y, nil
	case "-":
		return x - y, nil
	case "*":
		return x * y, nil
	}
	if o == "/" && y == 0 {
		return nil, pgError(codeDivisionByZero, "division by zero")
	}
	switch o {
	case "/":
		return x / y, nil
	case "%":
		return math.Mod(x, y), nil
	}
	return nil, pgError(codeUndefinedFunction, "operator %s does not exist for double precision", o)
}

func (s *scope) evalIn(e *pgquery.A_Expr) (any, error) {
	a, err := s.eval(e.Lexpr)
	if err != nil || a == nil {
		return nil, err
	}
	found := false
	for _, n := range e.Rexpr.GetList().GetItems() {
		b, err := s.eval(n)
		if err != nil {
			return nil, err
		}
		if b == nil {
			continue
		}
		c, err := compareValues(a, b)
		if err != nil {
			return nil, err
		}
		found = found || c == 0
	}
	return found == (lastName(e.Name) == "="), nil
}

func (s *scope) evalBetween(e *pgquery.A_Expr) (any, error) {
	a, err := s.eval(e.Lexpr)
	if err != nil {
		return nil, err
	}
	l := e.Rexpr.GetList().GetItems()
	lo, err := s.eval(l[0])
	if err != nil {
		return nil, err
	}
	hi, err := s.eval(l[1])
	if err != nil || a == nil || lo == nil || hi == nil {
		return nil, err
	}
	c, err := compareValues(a, lo)
	if err != nil || c < 0 {
		return false, err
	}
	c, err = compareValues(a, hi)
	return c <= 0, err
}

// evalBoolean evaluates AND, OR and NOT in SQL's three-valued logic.
func (s *scope) evalBoolean(e *pgquery.BoolExpr) (any, error) {
	unknown := false
	for _, n := range e.Args {
		v, err := s.eval(n)
		if err != nil {
			return nil, err
		}
		b, ok := v.(bool)
		if v != nil && !ok {
			return nil, pgError(codeDatatypeMismatch, "argument of a boolean operator must be boolean")
		}
		switch {
		case v == nil:
			unknown = true
		case e.Boolop == pgquery.BoolExprType_NOT_EXPR:
			return !b, nil
		case e.Boolop == pgquery.BoolExprType_AND_EXPR && !b:
			return false, nil
		case e.Boolop == pgquery.BoolExprType_OR_EXPR && b:
			return true, nil
		}
	}
	if unknown {
		return nil, nil
	}
	return e.Boolop == pgquery.BoolExprType_AND_EXPR, nil
}
