package loader

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
)

// Statements of the requests, and the number of rows that a report returns.
const (
	insertEntry  = "INSERT INTO bench_entry (request, session, part) VALUES ($1, $2, $3)"
	saveRegister = "INSERT INTO bench_register (session, v, request) VALUES ($1, $2, $3) " +
		"ON CONFLICT (session) DO UPDATE SET v = excluded.v, request = excluded.request WHERE bench_register.v < excluded.v"
	readRegister   = "SELECT $1::text AS request, v FROM bench_register WHERE session = $2"
	reviewRegister = "/* tag=" + definer.ReviewTag + " */ " + readRegister
	report         = "SELECT $1::text AS request, g FROM generate_series(1, 50) g"
	reportRows     = 50
)

// perform runs the request's statements.
func (c *session) perform(ctx context.Context, r *checker.Request) error {
	switch r.Kind {
	case checker.Note:
		return c.write(ctx, r, c.keyComment(r)+insertEntry, r.Name, c.name, "1")
	case checker.Save:
		return c.write(ctx, r, saveRegister, c.name, strconv.FormatInt(r.Number, 10), r.Name)
	case checker.Booking:
		return c.book(ctx, r)
	case checker.Read:
		return c.read(ctx, r, readRegister, c.name)
	case checker.Review:
		r.ReviewedSession = c.pickReviewedSession()
		r.MaximumAge = c.loader.Load.MaximumReviewAge
		return c.read(ctx, r, reviewRegister, r.ReviewedSession)
	default:
		r.ExpectedRows = reportRows
		return c.read(ctx, r, report)
	}
}

// keyComment gives half of the notes an idempotency key: it returns a comment that carries the key,
// or an empty string.
func (c *session) keyComment(r *checker.Request) string {
	if c.random.IntN(2) == 0 {
		return ""
	}
	r.Keyed = true
	return "/* key=" + r.Name + " */ "
}

// write runs a statement and records its command tag in r.
func (c *session) write(ctx context.Context, r *checker.Request, sql string, args ...string) error {
	x := c.conn.ExecParams(ctx, sql, values(args), nil, nil, nil).Read()
	r.AcknowledgedTag = x.CommandTag.String()
	return x.Err
}

func (c *session) exec(ctx context.Context, sql string, args ...string) error {
	return c.conn.ExecParams(ctx, sql, values(args), nil, nil, nil).Read().Err
}

func values(args []string) [][]byte {
	var v [][]byte
	for _, a := range args {
		v = append(v, []byte(a))
	}
	return v
}

// read runs a query and records its rows in r. The first column of each row is the request's name.
func (c *session) read(ctx context.Context, r *checker.Request, sql string, args ...string) error {
	x := c.conn.ExecParams(ctx, sql, values(append([]string{r.Name}, args...)), nil, nil, nil).Read()
	for _, w := range x.Rows {
		r.Rows++
		if n := string(w[0]); len(r.RowNames) == 0 || r.RowNames[len(r.RowNames)-1] != n {
			r.RowNames = append(r.RowNames, n)
		}
		if r.Kind != checker.Report {
			v, err := strconv.ParseInt(string(w[1]), 10, 64)
			if err != nil {
				return errors.Annotate(err, "read register")
			}
			r.Value = v
		}
	}
	return x.Err
}

// notCommittedError wraps the error of a transaction that was certainly not committed: its COMMIT was never
// sent, or was answered with ROLLBACK.
type notCommittedError struct {
	error
}

// Unwrap returns the cause.
func (e notCommittedError) Unwrap() error {
	return e.error
}

// errRolledBack is returned when the command tag of a COMMIT is ROLLBACK.
const errRolledBack = errors.ConstError("transaction was rolled back")

// idleStatus is the protocol's transaction status outside of a transaction.
const idleStatus = 'I'

// book runs a transaction that inserts two entries and saves the register.
func (c *session) book(ctx context.Context, r *checker.Request) error {
	for _, q := range []struct {
		sql  string
		args []string
	}{
		{"BEGIN", nil},
		{insertEntry, []string{r.Name, c.name, "1"}},
		{insertEntry, []string{r.Name, c.name, "2"}},
		{saveRegister, []string{c.name, strconv.FormatInt(r.Number, 10), r.Name}},
	} {
		if err := c.write(ctx, r, q.sql, q.args...); err != nil {
			return c.rollBackAfter(ctx, err)
		}
	}
	x := c.conn.ExecParams(ctx, "COMMIT", nil, nil, nil, nil).Read()
	if x.Err == nil && x.CommandTag.String() == "ROLLBACK" {
		return notCommittedError{errRolledBack}
	}
	if x.Err != nil {
		c.rollBack(ctx)
	}
	return x.Err
}

// rollBack ends a transaction that a failed statement or COMMIT left open, and closes the connection
// if that fails. Otherwise the session's next requests would run in the old transaction and read data
// that is never committed.
func (c *session) rollBack(ctx context.Context) {
	if c.conn.IsClosed() || c.conn.TxStatus() == idleStatus {
		return
	}
	if c.exec(ctx, "ROLLBACK") != nil || c.conn.TxStatus() != idleStatus {
		c.disconnect()
	}
}

// rollBackAfter rolls back a transaction in which a statement failed with err. It returns err as a
// notCommittedError.
func (c *session) rollBackAfter(ctx context.Context, err error) error {
	c.rollBack(ctx)
	return notCommittedError{err}
}
