package commander

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// callColumn is the result column that returns the number of a call. PostgreSQL's protocol numbers no
// requests, and a status that answers an earlier poll may hold a position from before a write.
const callColumn = "cuminwick_call"

// selectCall is the beginning of each query. The first parameter is the number of the call.
const selectCall = "SELECT *, $1::text AS " + callColumn + " FROM "

const statusQuery = selectCall + "cuminwick_status()"

// queryStatus queries the status, at most twice.
//
// A restart of the server may have closed the kept connection unnoticed. The first use then fails,
// and the query is repeated over a new connection. The server may also have lost the unnamed
// prepared statement, in which case it returns an error and the statement is prepared again.
// Commands aren't repeated like this, because the first one may have taken effect: their caller
// decides by the status.
func (c *Client) queryStatus(ctx context.Context) (controller.Status, error) {
	reused := c.connection != nil
	prepared := c.columns != nil
	s, err := c.queryStatusOnce(ctx)
	if err == nil || ctx.Err() != nil || pgconn.Timeout(err) {
		// The connection's deadline may expire slightly before that of ctx.
		return s, err
	}
	var serverError *pgconn.PgError
	if errors.As(err, &serverError) && !prepared || !reused {
		return s, err
	}
	return c.queryStatusOnce(ctx)
}

// queryStatusOnce executes the unnamed prepared statement if it is statusQuery, and otherwise
// prepares it first. The statement's text and the column names never change and make up most of the
// bytes of an unprepared query and its result.
func (c *Client) queryStatusOnce(ctx context.Context) (controller.Status, error) {
	if err := c.connect(ctx); err != nil {
		return controller.Status{}, err
	}
	if c.columns == nil {
		return c.queryUnprepared(ctx)
	}
	r := c.queryPrepared(ctx)
	if r.Err != nil {
		c.columns = nil
		return controller.Status{}, c.callError(r.Err, statusQuery)
	}
	return c.readStatus(r)
}

// queryPrepared executes the unnamed prepared statement. The timeout is set as the connection's
// deadline, because watching ctx, which is cancelled by nothing else, would cost a set-up and
// tear-down per poll.
func (c *Client) queryPrepared(ctx context.Context) *pgconn.Result {
	t, _ := ctx.Deadline()
	n := c.connection.Conn()
	if err := n.SetDeadline(t); err != nil {
		return &pgconn.Result{Err: errors.Trace(err)}
	}
	defer n.SetDeadline(time.Time{})
	d := &pgconn.StatementDescription{Fields: c.columns}
	return c.connection.ExecStatement(context.Background(), d, [][]byte{c.nextCall()}, nil, nil).Read()
}

// queryUnprepared queries the status and leaves statusQuery as the unnamed prepared statement of
// the connection.
func (c *Client) queryUnprepared(ctx context.Context) (controller.Status, error) {
	r := c.connection.ExecParams(ctx, statusQuery, [][]byte{c.nextCall()}, nil, nil, nil).Read()
	if r.Err != nil {
		return controller.Status{}, c.callError(r.Err, statusQuery)
	}
	c.columns = r.FieldDescriptions
	s, err := c.readStatus(r)
	if err == nil {
		c.terminateLost(ctx)
	}
	return s, err
}

// runCommand runs one command over the kept connection, and opens one if there is none. The command
// replaces the unnamed prepared statement. On a new connection the status is queried first, because
// a command that reached the wrong server can't be undone.
func (c *Client) runCommand(ctx context.Context, sql string, args []string) (controller.Status, error) {
	if err := c.connect(ctx); err != nil {
		return controller.Status{}, err
	}
	if !c.verified {
		if s, err := c.queryUnprepared(ctx); err != nil {
			return s, err
		}
	}
	v := [][]byte{c.nextCall()}
	for _, a := range args {
		v = append(v, []byte(a))
	}
	c.columns = nil
	r := c.connection.ExecParams(ctx, sql, v, nil, nil, nil).Read()
	if r.Err != nil {
		return controller.Status{}, c.callError(r.Err, sql)
	}
	return c.readStatus(r)
}

// nextCall returns the number of the next call.
func (c *Client) nextCall() []byte {
	c.calls++
	return strconv.AppendUint(nil, uint64(c.calls), 10)
}

// callError drops the connection if it is broken and adds the failed call to err.
func (c *Client) callError(err error, sql string) error {
	c.dropBroken(err)
	return errors.Annotatef(err, "call backend server %s: %s", c.Name, sql)
}
