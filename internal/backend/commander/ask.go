package commander

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// ask runs the status call.
//
// A kept connection may have been dropped by a restart without our noticing;
// then the first use fails, and the status is asked once more over a new one.
// The server may also have forgotten the unnamed statement, which its refusal
// tells; then the call is sent whole. Commands aren't repeated like this, since
// the first may have taken effect: their caller decides by the status.
func (c *Client) ask(ctx context.Context) (controller.Status, error) {
	kept := c.connection != nil
	short := c.columns != nil
	s, err := c.askOnce(ctx)
	if err == nil || ctx.Err() != nil || pgconn.Timeout(err) {
		// The connection's deadline may pass a moment before that of ctx.
		return s, err
	}
	var refused *pgconn.PgError
	if errors.As(err, &refused) && !short || !kept {
		return s, err
	}
	return c.askOnce(ctx)
}

// askOnce sends the call whole where the connection hasn't asked it before, and
// else only has the server run it again. Most of a whole call and its answer are
// the statement's text and the names of the columns, which stay the same.
func (c *Client) askOnce(ctx context.Context) (controller.Status, error) {
	if err := c.connect(ctx); err != nil {
		return controller.Status{}, err
	}
	if c.columns == nil {
		return c.askWhole(ctx)
	}
	r := c.askAgain(ctx)
	if r.Err != nil {
		c.columns = nil
		return controller.Status{}, c.failed(r.Err, statusCall)
	}
	return c.read(r)
}

// askAgain bounds the call by a deadline of the connection: a watch of ctx, which
// has no other end, would be set up and taken down with each poll.
func (c *Client) askAgain(ctx context.Context) *pgconn.Result {
	t, _ := ctx.Deadline()
	n := c.connection.Conn()
	if err := n.SetDeadline(t); err != nil {
		return &pgconn.Result{Err: errors.Trace(err)}
	}
	defer n.SetDeadline(time.Time{})
	d := &pgconn.StatementDescription{Fields: c.columns}
	return c.connection.ExecStatement(context.Background(), d, nil, nil, nil).Read()
}

// askWhole leaves the call behind as the connection's unnamed statement.
func (c *Client) askWhole(ctx context.Context) (controller.Status, error) {
	r := c.connection.ExecParams(ctx, statusCall, nil, nil, nil, nil).Read()
	if r.Err != nil {
		return controller.Status{}, c.failed(r.Err, statusCall)
	}
	c.columns = r.FieldDescriptions
	s, err := c.read(r)
	if err == nil {
		c.endLost(ctx)
	}
	return s, err
}

// call runs one command over the kept connection, which it opens where there is
// none. It takes the place of the unnamed statement. Over a new connection the status
// is asked first, since a command to a stranger can't be taken back.
func (c *Client) call(ctx context.Context, sql string, args []string) (controller.Status, error) {
	if err := c.connect(ctx); err != nil {
		return controller.Status{}, err
	}
	if !c.verified {
		if s, err := c.askWhole(ctx); err != nil {
			return s, err
		}
	}
	var v [][]byte
	for _, a := range args {
		v = append(v, []byte(a))
	}
	c.columns = nil
	r := c.connection.ExecParams(ctx, sql, v, nil, nil, nil).Read()
	if r.Err != nil {
		return controller.Status{}, c.failed(r.Err, sql)
	}
	return c.read(r)
}

// failed drops the connection if need be and says which call failed.
func (c *Client) failed(err error, sql string) error {
	c.dropBroken(err)
	return errors.Annotatef(err, "call backend server %s: %s", c.Name, sql)
}
