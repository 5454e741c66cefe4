// Package tourist runs a scripted tour of a deployment as a database client. Each step checks one
// guarantee that the deployment gives its callers.
package tourist

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// errGuaranteeBroken is the cause of the error of each step whose guarantee did not hold.
const errGuaranteeBroken = errors.ConstError("promise broken")

// stepTimeout is the maximum time of one step.
const stepTimeout = 20 * time.Second

// cancelAfter is the delay from the start of the long statement to its cancel request.
const cancelAfter = 100 * time.Millisecond

// settingMark is the startup parameter, and reported parameter status, that carries the session
// mark.
const settingMark = "cuminwick.mark"

// codeCancelled is the SQLSTATE of a cancelled statement, query_canceled.
const codeCancelled = "57014"

// Environment gives access to the deployment and carries out the operations and faults that a
// caller cannot.
type Environment interface {
	// Addresses returns the callers' addresses of the entry hosts; the index names the host.
	Addresses() []string
	// CrashPrimary crashes the primary's backend server.
	CrashPrimary(ctx context.Context) error
	// Apply changes the configuration and returns once it is in force on all entry hosts.
	Apply(ctx context.Context) error
	// Drain starts a planned stop of entry host i and returns without waiting for its end.
	Drain(ctx context.Context, i int) error
	// AwaitStopped returns when entry host i has stopped, with an error if it broke off requests.
	AwaitStopped(ctx context.Context, i int) error
}

// Tourist runs one tour. The exported fields are set before Run.
type Tourist struct {
	// Database is the name of the database that the sessions open.
	Database    string
	Environment Environment
	// Output receives one result line per step.
	Output io.Writer

	// mark is the session mark that the last session reported; the next session starts with it.
	mark string
}

// step is one guarantee, as the tour prints it, with its check.
type step struct {
	guarantee string
	check     func(ctx context.Context) error
}

// Run runs all steps and returns an error unless every guarantee held.
func (t *Tourist) Run(ctx context.Context) error {
	failed := 0
	for _, s := range t.steps() {
		if err := t.runStep(ctx, s); err != nil {
			failed++
		}
	}
	if failed > 0 {
		return errors.Annotatef(errGuaranteeBroken, "%d of %d steps failed", failed, len(t.steps()))
	}
	return nil
}

func (t *Tourist) steps() []step {
	return []step{
		{guarantee: "a write is answered", check: t.write},
		{guarantee: "a session reads its own write on another entry host", check: t.readYourWrites},
		{guarantee: "a cancelled statement ends at once and says so", check: t.cancel},
		{guarantee: "a transaction that is rolled back leaves nothing", check: t.rollback},
		{guarantee: "after the primary is lost, writes go on and nothing acknowledged is missing", check: t.crashPrimary},
		{guarantee: "a request with a key runs once though it is sent twice", check: t.repeatWithKey},
		{guarantee: "a file is in force on every entry host once applied", check: t.Environment.Apply},
		{guarantee: "a drained entry host cuts off no request", check: t.drain},
	}
}

// runStep runs the check of s and prints its result and time.
func (t *Tourist) runStep(ctx context.Context, s step) error {
	x, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	b := time.Now()
	err := s.check(x)
	r := "held"
	if err != nil {
		r = "BROKEN"
	}
	_, _ = fmt.Fprintf(t.Output, "%-9s %6d ms  %s\n", r, time.Since(b).Milliseconds(), s.guarantee)
	if err != nil {
		_, _ = fmt.Fprintf(t.Output, "          %v\n", err)
	}
	return err
}

// open connects to entry host i and presents the session mark, if there is one.
func (t *Tourist) open(ctx context.Context, i int) (*pgx.Conn, error) {
	a := t.Environment.Addresses()[i]
	c, err := pgx.ParseConfig("postgres://tourist@" + a + "/" + t.Database + "?sslmode=disable")
	if err != nil {
		return nil, errors.Trace(err)
	}
	if t.mark != "" {
		c.RuntimeParams[settingMark] = t.mark
	}
	p, err := pgx.ConnectConfig(ctx, c)
	return p, errors.Annotatef(err, "connect to entry host %s", a)
}

// withSession runs f in a new session on entry host i and stores the session mark that it reports.
func (t *Tourist) withSession(ctx context.Context, i int, f func(c *pgx.Conn) error) error {
	c, err := t.open(ctx, i)
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	err = f(c)
	if m := c.PgConn().ParameterStatus(settingMark); m != "" {
		t.mark = m
	}
	return err
}

func (t *Tourist) write(ctx context.Context) error {
	return t.withSession(ctx, 0, func(c *pgx.Conn) error {
		if _, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS lines (id text PRIMARY KEY, amount bigint)"); err != nil {
			return err
		}
		_, err := c.Exec(ctx, "INSERT INTO lines (id, amount) VALUES ($1, $2)", "rates", 100)
		return err
	})
}

// readYourWrites alternates updates and reads, each in a session on the next entry host.
func (t *Tourist) readYourWrites(ctx context.Context) error {
	for i := range 50 {
		if err := t.update(ctx, i, "rates"); err != nil {
			return err
		}
		if err := t.expect(ctx, i+1, "rates", int64(101+i)); err != nil {
			return err
		}
	}
	return nil
}

// update adds 1 to the amount of the line on entry host i, modulo the number of hosts.
func (t *Tourist) update(ctx context.Context, i int, id string) error {
	return t.withSession(ctx, i%len(t.Environment.Addresses()), func(c *pgx.Conn) error {
		_, err := c.Exec(ctx, "UPDATE lines SET amount = amount + 1 WHERE id = $1", id)
		return err
	})
}

// expect reads the amount of the line on entry host i, modulo the number of hosts, and compares it
// with want.
func (t *Tourist) expect(ctx context.Context, i int, id string, want int64) error {
	return t.withSession(ctx, i%len(t.Environment.Addresses()), func(c *pgx.Conn) error {
		var got int64
		if err := c.QueryRow(ctx, "SELECT amount FROM lines WHERE id = $1", id).Scan(&got); err != nil {
			return err
		}
		if got != want {
			return errors.Annotatef(errGuaranteeBroken, "read %d, wrote %d", got, want)
		}
		return nil
	})
}

func (t *Tourist) cancel(ctx context.Context) error {
	return t.withSession(ctx, 0, func(c *pgx.Conn) error {
		k := &canceller{connection: c.PgConn(), done: make(chan error, 1)}
		go k.run(ctx)
		_, err := c.Exec(ctx, "SELECT pg_sleep(30)")
		if e := <-k.done; e != nil {
			return errors.Annotate(e, "send cancel request")
		}
		var p *pgconn.PgError
		if !errors.As(err, &p) || p.Code != codeCancelled {
			return errors.Annotatef(errGuaranteeBroken, "answer to a cancelled statement: %v", err)
		}
		return t.expectOutcome(ctx, c)
	})
}

// expectOutcome checks that the session still answers statements and reports the cancelled one as
// not run.
func (t *Tourist) expectOutcome(ctx context.Context, c *pgx.Conn) error {
	var o string
	if err := c.QueryRow(ctx, "SHOW cuminwick.last_outcome").Scan(&o); err != nil {
		return err
	}
	if !strings.HasPrefix(o, "not-run ") {
		return errors.Annotatef(errGuaranteeBroken, "outcome of a cancelled statement is %q", o)
	}
	return nil
}

// canceller sends a cancel request for the statement on the connection after cancelAfter.
type canceller struct {
	connection *pgconn.PgConn
	done       chan error
}

func (k *canceller) run(ctx context.Context) {
	select {
	case <-time.After(cancelAfter):
	case <-ctx.Done():
	}
	k.done <- k.connection.CancelRequest(ctx)
}

func (t *Tourist) rollback(ctx context.Context) error {
	err := t.withSession(ctx, 1, func(c *pgx.Conn) error {
		x, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		if _, err := x.Exec(ctx, "INSERT INTO lines (id, amount) VALUES ('travel', 1)"); err != nil {
			return err
		}
		return x.Rollback(ctx)
	})
	if err != nil {
		return err
	}
	return t.withSession(ctx, 2, func(c *pgx.Conn) error {
		var n int64
		if err := c.QueryRow(ctx, "SELECT count(*) FROM lines WHERE id = 'travel'").Scan(&n); err != nil {
			return err
		}
		if n != 0 {
			return errors.Annotatef(errGuaranteeBroken, "%d rows of a transaction that was rolled back", n)
		}
		return nil
	})
}

func (t *Tourist) crashPrimary(ctx context.Context) error {
	if err := t.Environment.CrashPrimary(ctx); err != nil {
		return err
	}
	if err := t.update(ctx, 0, "rates"); err != nil {
		return errors.Annotate(err, "write after the primary was lost")
	}
	return t.expect(ctx, 1, "rates", 151)
}

// repeatWithKey sends the same update twice with one idempotency key, on different entry hosts.
func (t *Tourist) repeatWithKey(ctx context.Context) error {
	for i := range 2 {
		err := t.withSession(ctx, i, func(c *pgx.Conn) error {
			if _, err := c.Exec(ctx, "SET cuminwick.idempotency_key = 'tour-1'"); err != nil {
				return err
			}
			_, err := c.Exec(ctx, "UPDATE lines SET amount = amount + 1000 WHERE id = 'rates'")
			return err
		})
		if err != nil {
			return err
		}
	}
	return t.expect(ctx, 2, "rates", 1151)
}

// drain runs a transaction on an entry host that is drained after its first statement.
func (t *Tourist) drain(ctx context.Context) error {
	const host = 2
	return t.withSession(ctx, host, func(c *pgx.Conn) error {
		x, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		if _, err := x.Exec(ctx, "UPDATE lines SET amount = 1 WHERE id = 'rates'"); err != nil {
			return err
		}
		if err := t.Environment.Drain(ctx, host); err != nil {
			return err
		}
		if _, err := x.Exec(ctx, "UPDATE lines SET amount = 2 WHERE id = 'rates'"); err != nil {
			return errors.Annotate(err, "statement during the drain")
		}
		if err := x.Commit(ctx); err != nil {
			return errors.Annotate(err, "commit during the drain")
		}
		return t.Environment.AwaitStopped(ctx, host)
	})
}
