package executor

import (
	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// target is one column of the result: the expression node or, if node is nil, the source's column at
// index.
type target struct {
	column Column
	node   *pgquery.Node
	index  int
}

// targets resolves a target list and expands each star to the source's columns.
func (s *scope) targets(l []*pgquery.Node) ([]target, error) {
	var t []target
	for _, n := range l {
		r := n.GetResTarget()
		if f := r.GetVal().GetColumnRef().GetFields(); len(f) > 0 && f[len(f)-1].GetAStar() != nil {
			for i, k := range s.columns {
				t = append(t, target{column: k, index: i})
			}
			continue
		}
		if err := s.checkNames(r.Val); err != nil {
			return nil, err
		}
		o := s.typeOf(r.Val)
		if o == 0 {
			o = pgtype.TextOID
		}
		t = append(t, target{column: Column{Name: resultColumnName(r), Type: o}, node: r.Val})
	}
	return t, nil
}

// checkNames returns an error if n is a reference to an unknown column or a call of an unknown
// function. Evaluation would not detect it if there are no rows.
func (s *scope) checkNames(n *pgquery.Node) error {
	if r := n.GetColumnRef(); r != nil {
		_, err := s.resolveColumn(r)
		return err
	}
	if f := n.GetFuncCall(); f != nil {
		k := lastName(f.Funcname)
		if functions[k].call == nil && !aggregates[k] && k != "generate_series" {
			return pgError(codeUndefinedFunction, "function %s does not exist", k)
		}
	}
	return nil
}

// resultColumnName returns the name that PostgreSQL gives a result column.
func resultColumnName(r *pgquery.ResTarget) string {
	if r.Name != "" {
		return r.Name
	}
	switch x := r.Val.GetNode().(type) {
	case *pgquery.Node_ColumnRef:
		return lastName(x.ColumnRef.Fields)
	case *pgquery.Node_FuncCall:
		return lastName(x.FuncCall.Funcname)
	case *pgquery.Node_CoalesceExpr:
		return "coalesce"
	case *pgquery.Node_TypeCast:
		if x.TypeCast.Arg.GetColumnRef() != nil || x.TypeCast.Arg.GetFuncCall() != nil {
			return resultColumnName(&pgquery.ResTarget{Val: x.TypeCast.Arg})
		}
		return lastName(x.TypeCast.TypeName.Names)
	}
	return "?column?"
}

// project returns the result row for the scope's current row.
func (s *scope) project(t []target) ([]any, error) {
	r := make([]any, len(t))
	for i := range t {
		if t[i].node == nil {
			r[i] = s.row[t[i].index]
			continue
		}
		v, err := s.eval(t[i].node)
		if err != nil {
			return nil, err
		}
		r[i] = v
	}
	return r, nil
}

func resultColumns(t []target) []Column {
	c := make([]Column, len(t))
	for i := range t {
		c[i] = t[i].column
	}
	return c
}
