package executor

import (
	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// Describe infers the types of a statement's parameters and result columns. The types in given,
// which the client declared, take precedence unless they are zero.
func (s *Session) Describe(n *pgquery.Node, given []uint32) (*PreparedStatement, error) {
	p, err := s.describe(n, given)
	return p, Translate(err)
}

func (s *Session) describe(n *pgquery.Node, given []uint32) (*PreparedStatement, error) {
	if n == nil {
		// PostgreSQL keeps the types that are given for an empty text.
		return &PreparedStatement{ParameterTypes: append([]uint32(nil), given...)}, nil
	}
	c := s.newScope(nil)
	c.types = append([]uint32(nil), given...)
	var err error
	var k []Column
	switch x := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		k, err = s.describeSelect(x.SelectStmt, c)
	case *pgquery.Node_InsertStmt:
		k, err = s.describeInsert(x.InsertStmt, c)
	case *pgquery.Node_UpdateStmt:
		k, err = s.describeUpdate(x.UpdateStmt, c)
	case *pgquery.Node_DeleteStmt:
		k, err = s.describeDelete(x.DeleteStmt, c)
	case *pgquery.Node_VariableShowStmt:
		k = []Column{{Name: x.VariableShowStmt.Name, Type: pgtype.TextOID}}
	case *pgquery.Node_ExecuteStmt:
		if p, ok := s.PreparedStatements[x.ExecuteStmt.Name]; ok {
			k = p.Columns
		}
	}
	for i := range c.types {
		if c.types[i] == 0 {
			c.types[i] = pgtype.TextOID
		}
	}
	return &PreparedStatement{Node: n, ParameterTypes: c.types, Columns: k}, err
}

func (s *Session) describeSelect(q *pgquery.SelectStmt, c *scope) ([]Column, error) {
	if err := checkSupported(q); err != nil {
		return nil, err
	}
	for _, f := range q.FromClause {
		if g := rangeFunctionCall(f); g != nil {
			c.inferCall(g)
			for i, a := range g.Args {
				if t := controlFunctions[lastName(g.Funcname)].parameterTypes; i < len(t) {
					c.infer(a, t[i])
				}
			}
		}
	}
	o, err := s.resolveSource(q.FromClause, c)
	if err != nil {
		return nil, err
	}
	c.columns, c.tableName = o.columns, o.name
	c.infer(q.WhereClause, pgtype.BoolOID)
	c.infer(q.LimitCount, pgtype.Int8OID)
	c.infer(q.LimitOffset, pgtype.Int8OID)
	c.inferAll(q.TargetList, 0)
	t, err := c.targets(q.TargetList)
	return resultColumns(t), err
}

func (s *Session) describeInsert(q *pgquery.InsertStmt, c *scope) ([]Column, error) {
	d, err := s.table(q.Relation)
	if err != nil {
		return nil, err
	}
	n, err := insertColumns(d, q.Cols)
	if err != nil {
		return nil, err
	}
	o := q.SelectStmt.GetSelectStmt()
	if o != nil && len(o.ValuesLists) == 0 {
		if _, err := s.describeSelect(o, c); err != nil {
			return nil, err
		}
	}
	c.columns, c.tableName = columnsOf(d), d.Name
	for _, l := range o.GetValuesLists() {
		for i, e := range l.GetList().GetItems() {
			if i < len(n) {
				c.infer(e, d.Columns[n[i]].Type)
			}
		}
	}
	c.inferSet(q.OnConflictClause.GetTargetList())
	return c.describeReturning(q.ReturningList)
}

// inferSet infers the types of the parameters in a SET list from the columns they are assigned to.
func (s *scope) inferSet(l []*pgquery.Node) {
	for _, n := range l {
		r := n.GetResTarget()
		if i := s.columnIndex(r.GetName()); i >= 0 {
			s.infer(r.Val, s.columns[i].Type)
		}
	}
}

func (s *Session) describeUpdate(q *pgquery.UpdateStmt, c *scope) ([]Column, error) {
	d, err := s.table(q.Relation)
	if err != nil {
		return nil, err
	}
	c.columns, c.tableName = columnsOf(d), d.Name
	c.inferSet(q.TargetList)
	c.infer(q.WhereClause, pgtype.BoolOID)
	return c.describeReturning(q.ReturningList)
}

func (s *Session) describeDelete(q *pgquery.DeleteStmt, c *scope) ([]Column, error) {
	d, err := s.table(q.Relation)
	if err != nil {
		return nil, err
	}
	c.columns, c.tableName = columnsOf(d), d.Name
	c.infer(q.WhereClause, pgtype.BoolOID)
	return c.describeReturning(q.ReturningList)
}

// describeReturning returns the result columns of a RETURNING list, nil if the list is empty.
func (s *scope) describeReturning(l []*pgquery.Node) ([]Column, error) {
	if len(l) == 0 {
		return nil, nil
	}
	s.inferAll(l, 0)
	t, err := s.targets(l)
	return resultColumns(t), err
}
