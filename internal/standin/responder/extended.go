package responder

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/executor"
)

// newError returns an error that is sent to the client with the given SQLSTATE.
func newError(code, message string) error {
	return &pgconn.PgError{Severity: "ERROR", Code: code, Message: message}
}

// parse creates a prepared statement.
func (c *connection) parse(m *pgproto3.Parse) error {
	if _, ok := c.session.PreparedStatements[m.Name]; ok && m.Name != "" {
		return newError("42P05", "prepared statement \""+m.Name+"\" already exists")
	}
	l, err := c.server.parser.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(l) > 1 {
		return newError("42601", "cannot insert multiple commands into a prepared statement")
	}
	var n *pgquery.Node
	if len(l) == 1 {
		n = l[0]
	}
	p, err := c.session.Describe(n, m.ParameterOIDs)
	if err != nil {
		return err
	}
	c.session.PreparedStatements[m.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// prepared returns the named prepared statement.
func (c *connection) prepared(name string) (*executor.PreparedStatement, error) {
	p, ok := c.session.PreparedStatements[name]
	if !ok {
		return nil, newError("26000", "prepared statement \""+name+"\" does not exist")
	}
	return p, nil
}

// portal returns the named portal.
func (c *connection) portal(name string) (*portal, error) {
	p, ok := c.portals[name]
	if !ok {
		return nil, newError("34000", "portal \""+name+"\" does not exist")
	}
	return p, nil
}

// bind creates a portal from a prepared statement and its parameters.
func (c *connection) bind(m *pgproto3.Bind) error {
	s, err := c.prepared(m.PreparedStatement)
	if err != nil {
		return err
	}
	if _, ok := c.portals[m.DestinationPortal]; ok && m.DestinationPortal != "" {
		return newError("42P03", "portal \""+m.DestinationPortal+"\" already exists")
	}
	if len(m.Parameters) != len(s.ParameterTypes) {
		return newError("08P01", "bind message supplies a wrong number of parameters")
	}
	p := &portal{prepared: s, formats: slices.Clone(m.ResultFormatCodes)}
	for i, b := range m.Parameters {
		v, err := executor.Decode(c.types, s.ParameterTypes[i], formatOf(m.ParameterFormatCodes, i), b)
		if err != nil {
			return err
		}
		p.params = append(p.params, v)
	}
	c.portals[m.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// describe sends the parameter types of a prepared statement, and the columns of it or of a portal.
func (c *connection) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		s, err := c.prepared(m.Name)
		if err != nil {
			return err
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: s.ParameterTypes})
		c.sendDescription(s, nil)
		return nil
	}
	p, err := c.portal(m.Name)
	if err != nil {
		return err
	}
	c.sendDescription(p.prepared, p.formats)
	return nil
}

// sendDescription sends the columns of a statement's result, or that it has none.
func (c *connection) sendDescription(s *executor.PreparedStatement, formats []int16) {
	if s.Columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(describeRows(s.Columns, formats))
}

// execute runs a portal, or continues one that was suspended.
func (c *connection) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, err := c.portal(m.Portal)
	if err != nil {
		return err
	}
	if p.prepared.Node == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, stop := c.beginStatement(ctx)
	defer c.finishStatement(stop)
	defer c.releaseSlot()
	if err := c.takeSlot(ctx, p.prepared.Node); err != nil {
		return err
	}
	if p.result == nil {
		p.result, err = c.session.Execute(ctx, p.prepared.Node, p.params)
		if err != nil {
			return err
		}
	}
	more, err := c.sendRows(ctx, p, int(m.MaxRows))
	if err != nil {
		return err
	}
	if more {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.sendCompletion(p)
	return nil
}

// sendRows sends up to limit rows, all if it is zero, and reports whether it stopped at the limit. For
// a COPY it transfers all data.
func (c *connection) sendRows(ctx context.Context, p *portal, limit int) (bool, error) {
	r := p.result
	if r.CopyIn != nil {
		return false, c.copyIn(ctx, r)
	}
	if r.Next == nil {
		return false, nil
	}
	if r.CopyOut {
		return false, c.copyOut(ctx, p)
	}
	l := p.prepared.Columns
	if len(l) != len(r.Columns) {
		l = r.Columns
	}
	d := &pgproto3.DataRow{Values: make([][]byte, len(l))}
	for n := 0; limit == 0 || n < limit; n++ {
		v, err := r.Next(ctx)
		if err != nil {
			return false, executor.Translate(err)
		}
		if v == nil {
			return false, nil
		}
		if err := c.sendRow(ctx, d, l, p.formats, v); err != nil {
			return false, err
		}
		p.sent++
	}
	return true, nil
}

// sendRow encodes and queues one row, and sends the queued rows if they exceed flushBytes.
func (c *connection) sendRow(ctx context.Context, d *pgproto3.DataRow, l []executor.Column, formats []int16, v []any) error {
	for i := range l {
		b, err := executor.Encode(c.types, l[i].Type, formatOf(formats, i), v[i])
		if err != nil {
			return executor.Translate(err)
		}
		d.Values[i] = b
		c.bufferedBytes += len(b) + 4
	}
	c.backend.Send(d)
	if c.bufferedBytes < flushBytes {
		return nil
	}
	return c.flush(ctx)
}

// copyOut sends the rows in the text format of COPY.
func (c *connection) copyOut(ctx context.Context, p *portal) error {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(p.result.Columns))})
	for {
		v, err := p.result.Next(ctx)
		if err != nil {
			return executor.Translate(err)
		}
		if v == nil {
			c.backend.Send(&pgproto3.CopyDone{})
			return nil
		}
		b := executor.CopyLine(p.result.Columns, v)
		c.backend.Send(&pgproto3.CopyData{Data: b})
		p.sent++
		c.bufferedBytes += len(b)
		if c.bufferedBytes < flushBytes {
			continue
		}
		if err := c.flush(ctx); err != nil {
			return err
		}
	}
}

// copyIn receives the client's data until CopyDone. It releases the slot meanwhile.
func (c *connection) copyIn(ctx context.Context, r *executor.Result) error {
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, r.CopyIn.ColumnCount)})
	if err := c.flush(ctx); err != nil {
		return err
	}
	c.releaseSlot()
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return errors.Annotate(err, "receive COPY data")
		}
		if err := c.server.faults.WaitUnpaused(ctx); err != nil {
			return executor.Translate(err)
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			err = r.CopyIn.Data(ctx, m.Data)
		case *pgproto3.CopyDone:
			r.Tag, err = r.CopyIn.Done(ctx)
			return err
		case *pgproto3.CopyFail:
			return newError("57014", "COPY from stdin failed: "+m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return newError("08P01", "unexpected message during COPY from stdin")
		}
		if err != nil {
			return err
		}
	}
}

// close removes a prepared statement or a portal.
func (c *connection) close(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(c.session.PreparedStatements, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
	return nil
}
