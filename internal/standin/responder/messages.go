package responder

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/standin/executor"
)

// portal is a prepared statement with its parameters and, once it is executed, its result.
type portal struct {
	prepared *executor.PreparedStatement
	params   []any
	formats  []int16
	result   *executor.Result
	// sent is the number of rows sent so far.
	sent int
}

// loopMessages answers messages until the connection ends.
func (c *connection) loopMessages(ctx context.Context) error {
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return errors.Annotate(err, "receive message")
		}
		if err := c.server.faults.WaitUnpaused(ctx); err != nil {
			return err
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := c.handle(ctx, m); err != nil {
			return err
		}
	}
}

// handle answers one message. An error that it returns ends the connection.
func (c *connection) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return c.handleQuery(ctx, m.String)
	case *pgproto3.Sync:
		return c.sync(ctx)
	case *pgproto3.Flush:
		return c.flush(ctx)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// The remaining messages of a COPY that failed are ignored, as PostgreSQL does.
		return nil
	}
	if c.skipToSync {
		return nil
	}
	err := c.handleExtended(ctx, m)
	if err == nil {
		return nil
	}
	var p *pgconn.PgError
	if !errors.As(err, &p) {
		return err
	}
	c.sendError(p)
	c.skipToSync = true
	return nil
}

// handleExtended answers one message of the extended protocol.
func (c *connection) handleExtended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.execute(ctx, m)
	case *pgproto3.Close:
		return c.close(m)
	}
	return errors.Errorf("unexpected message %T", m)
}

// sendError queues an error response. It rolls back an implicit transaction and marks an explicit one
// as failed.
func (c *connection) sendError(p *pgconn.PgError) {
	c.session.Fail()
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity:            p.Severity,
		SeverityUnlocalized: p.Severity,
		Code:                p.Code,
		Message:             p.Message,
		Detail:              p.Detail,
		Position:            p.Position,
	})
}

// flush sends the queued messages, once the server is not paused.
func (c *connection) flush(ctx context.Context) error {
	if err := c.server.faults.WaitUnpaused(ctx); err != nil {
		return err
	}
	c.bufferedBytes = 0
	return errors.Annotate(c.backend.Flush(), "send answer")
}

// sync ends an implicit transaction and sends that the server is ready for a query.
func (c *connection) sync(ctx context.Context) error {
	c.skipToSync = false
	if err := c.finishImplicit(); err != nil {
		return err
	}
	return c.sendReady(ctx)
}

// finishImplicit commits an implicit transaction and sends an error of the commit to the client.
func (c *connection) finishImplicit() error {
	if c.session.Status() == 'I' {
		clear(c.portals)
	}
	err := c.session.Finish()
	var p *pgconn.PgError
	if errors.As(err, &p) {
		c.sendError(p)
		return nil
	}
	return err
}

// sendReady sends the queued messages and that the server is ready for a query.
func (c *connection) sendReady(ctx context.Context) error {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.Status()})
	return c.flush(ctx)
}

// handleQuery runs a query string of the simple protocol and sends its whole answer.
func (c *connection) handleQuery(ctx context.Context, sql string) error {
	c.skipToSync = false
	err := c.executeStatements(ctx, sql)
	var p *pgconn.PgError
	if errors.As(err, &p) {
		c.sendError(p)
	} else if err != nil {
		return err
	}
	return c.sendReady(ctx)
}

// executeStatements runs the statements of a query string in one implicit transaction.
func (c *connection) executeStatements(ctx context.Context, sql string) error {
	l, err := c.server.parser.Parse(sql)
	if err != nil {
		return err
	}
	if len(l) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for i, n := range l {
		if err := c.executeSimple(ctx, n, i == len(l)-1); err != nil {
			return err
		}
	}
	return nil
}

// executeSimple runs one statement of a query string and queues its answer. The last statement commits
// before its command tag is queued, so that the tag is sent only for a successful commit.
func (c *connection) executeSimple(ctx context.Context, n *pgquery.Node, last bool) error {
	ctx, stop := c.beginStatement(ctx)
	defer c.finishStatement(stop)
	defer c.releaseSlot()
	if err := c.takeSlot(ctx, n); err != nil {
		return err
	}
	r, err := c.session.Execute(ctx, n, nil)
	if err != nil {
		return err
	}
	p := &portal{prepared: &executor.PreparedStatement{Node: n, Columns: r.Columns}, result: r}
	if r.Columns != nil && !r.CopyOut {
		c.backend.Send(describeRows(r.Columns, nil))
	}
	if _, err := c.sendRows(ctx, p, 0); err != nil {
		return err
	}
	if last {
		if err := c.session.Finish(); err != nil {
			return err
		}
	}
	c.sendCompletion(p)
	return nil
}

// sendCompletion queues the notice, if there is one, and the command tag.
func (c *connection) sendCompletion(p *portal) {
	if p.result.Notice != "" {
		c.backend.Send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "01000", Message: p.result.Notice})
	}
	t := p.result.Tag
	if t == "" {
		t = fmt.Sprintf("SELECT %d", p.sent)
	}
	if p.result.CopyOut {
		t = fmt.Sprintf("COPY %d", p.sent)
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(t)})
}

// describeRows returns the description of result columns in the given formats.
func describeRows(l []executor.Column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, k := range l {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(k.Name),
			DataTypeOID:  k.Type,
			DataTypeSize: k.Size(),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

// formatOf returns the format code of column i: no codes mean text, one code applies to all columns.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}
