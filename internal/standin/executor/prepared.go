package executor

import (
	"context"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

func (s *Session) discard(d *pgquery.DiscardStmt) (*Result, error) {
	if d.Target == pgquery.DiscardMode_DISCARD_ALL {
		if s.inTransactionBlock {
			return nil, pgError("25001", "DISCARD ALL cannot run inside a transaction block")
		}
		s.Reset()
		clear(s.PreparedStatements)
		return &Result{Tag: "DISCARD ALL"}, nil
	}
	return &Result{Tag: "DISCARD"}, nil
}

func (s *Session) prepare(p *pgquery.PrepareStmt) (*Result, error) {
	if _, ok := s.PreparedStatements[p.Name]; ok {
		return nil, pgError(codeDuplicatePrepared, "prepared statement %q already exists", p.Name)
	}
	var t []uint32
	for _, a := range p.Argtypes {
		o, err := typeByName(a.GetTypeName())
		if err != nil {
			return nil, err
		}
		t = append(t, o)
	}
	d, err := s.Describe(p.Query, t)
	if err != nil {
		return nil, err
	}
	s.PreparedStatements[p.Name] = d
	return &Result{Tag: "PREPARE"}, nil
}

func (s *Session) execute(ctx context.Context, e *pgquery.ExecuteStmt) (*Result, error) {
	p, ok := s.PreparedStatements[e.Name]
	if !ok || p.Node == nil {
		return nil, pgError(codeInvalidStatement, "prepared statement %q does not exist", e.Name)
	}
	if len(e.Params) != len(p.ParameterTypes) {
		return nil, pgError(codeSyntaxError, "wrong number of parameters for prepared statement %q", e.Name)
	}
	c := s.newScope(nil)
	var a []any
	for i, n := range e.Params {
		v, err := c.eval(n)
		if err != nil {
			return nil, err
		}
		v, err = Coerce(p.ParameterTypes[i], v)
		if err != nil {
			return nil, err
		}
		a = append(a, v)
	}
	return s.dispatch(ctx, p.Node, a)
}

func (s *Session) deallocate(d *pgquery.DeallocateStmt) (*Result, error) {
	if d.Isall {
		clear(s.PreparedStatements)
		return &Result{Tag: "DEALLOCATE ALL"}, nil
	}
	if _, ok := s.PreparedStatements[d.Name]; !ok {
		return nil, pgError(codeInvalidStatement, "prepared statement %q does not exist", d.Name)
	}
	delete(s.PreparedStatements, d.Name)
	return &Result{Tag: "DEALLOCATE"}, nil
}
