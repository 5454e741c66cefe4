package loader

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
)

// Texts of the requests.
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
		return c.write(ctx, r, c.keyed(r)+insertEntry, r.Name, c.name, "1")
	case checker.Save:
		return c.write(ctx, r, saveRegister, c.name, strconv.FormatInt(r.Number, 10), r.Name)
	case checker.Booking:
		return c.book(ctx, r)
	case checker.Read:
		return c.read(ctx, r, readRegister, c.name)
	case checker.Review:
		r.ReviewedSession = c.other()
		r.MaximumAge = c.loader.Load.MaximumReviewAge
		return c.read(ctx, r, reviewRegister, r.ReviewedSession)
	default:
		r.ExpectedRows = reportRows
		return c.read(ctx, r, report)
	}
}

// keyed marks half of the notes as non-repeatable.
func (c *session) keyed(r *checker.Request) string {
	if c.random.IntN(2) == 0 {
		return ""
	}
	r.Keyed = true
	return "/* key=" + r.Name + " */ "
}

// write runs a statement and keeps its command tag.
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

// read runs a query whose rows bear the request's name first.
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

// errNotCommitted wraps the error of a transaction whose COMMIT was never sent.
type errNotCommitted struct {
	error
}

// Unwrap returns the cause.
func (e errNotCommitted) Unwrap() error {
	return e.error
}

// errRolledBack is returned when a COMMIT says that the transaction was rolled back.
const errRolledBack = errors.ConstError("transaction was rolled back")

// idle is the transaction state outside of any transaction.
const idle = 'I'

// book runs a transaction of two entries and a save.
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
			return c.abandon(ctx, err)
		}
	}
	x := c.conn.ExecParams(ctx, "COMMIT", nil, nil, nil, nil).Read()
	if x.Err == nil && x.CommandTag.String() == "ROLLBACK" {
		return errNotCommitted{errRolledBack}
	}
	if x.Err != nil {
		c.rollBack(ctx)
	}
	return x.Err
}

// rollBack leaves no transaction open behind a COMMIT that failed, and no
// connection where that can't be done. Otherwise the session's next requests
// would run in the old transaction and read what never gets committed.
func (c *session) rollBack(ctx context.Context) {
	if c.conn.IsClosed() || c.conn.TxStatus() == idle {
		return
	}
	if c.exec(ctx, "ROLLBACK") != nil || c.conn.TxStatus() != idle {
		c.leave()
	}
}

// abandon rolls back a transaction in which a statement failed.
func (c *session) abandon(ctx context.Context, err error) error {
	c.rollBack(ctx)
	return errNotCommitted{err}
}
