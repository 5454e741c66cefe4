// Package tourist takes a scripted tour of a deployment as a caller and checks each promise on the way.
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

// errBroken is the cause of a promise that didn't hold.
const errBroken = errors.ConstError("promise broken")

// stepTimeout bounds one step.
const stepTimeout = 20 * time.Second

// cancelAfter is when the tour cancels its long statement.
const cancelAfter = 100 * time.Millisecond

// settingMark is the session mark as a startup parameter.
const settingMark = "cuminwick.mark"

// codeCancelled is the SQLSTATE of a cancelled statement.
const codeCancelled = "57014"

// Environment is what the tour does beside being a caller.
type Environment interface {
	// Addresses returns the addresses of the entry hosts.
	Addresses() []string
	// CrashPrimary crashes the primary's backend server.
	CrashPrimary(ctx context.Context) error
	// Apply puts a changed configuration in force everywhere.
	Apply(ctx context.Context) error
	// Drain lets the entry host with this index stop as planned.
	Drain(ctx context.Context, i int) error
	// AwaitStopped returns when that host has stopped, with an error if it cut off callers.
	AwaitStopped(ctx context.Context, i int) error
}

// Tourist is one tour.
type Tourist struct {
	Database    string
	Environment Environment
	// Output gets a line for each promise.
	Output io.Writer

	mark string
}

// step is one promise with its check.
type step struct {
	promise string
	check   func(ctx context.Context) error
}

// Run takes the tour and returns an error unless every promise held.
func (t *Tourist) Run(ctx context.Context) error {
	failed := 0
	for _, s := range t.steps() {
		if err := t.take(ctx, s); err != nil {
			failed++
		}
	}
	if failed > 0 {
		return errors.Annotatef(errBroken, "%d of %d steps failed", failed, len(t.steps()))
	}
	return nil
}

func (t *Tourist) steps() []step {
	return []step{
		{promise: "a write is answered", check: t.write},
		{promise: "a session reads its own write on another entry host", check: t.roam},
		{promise: "a cancelled statement ends at once and says so", check: t.cancel},
		{promise: "a transaction that is rolled back leaves nothing", check: t.rollback},
		{promise: "after the primary is lost, writes go on and nothing acknowledged is missing", check: t.losePrimary},
		{promise: "a request with a key runs once though it is sent twice", check: t.repeat},
		{promise: "a file is in force on every entry host once applied", check: t.Environment.Apply},
		{promise: "a drained entry host cuts off no request", check: t.drain},
	}
}

func (t *Tourist) take(ctx context.Context, s step) error {
	x, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	b := time.Now()
	err := s.check(x)
	r := "held"
	if err != nil {
		r = "BROKEN"
	}
	_, _ = fmt.Fprintf(t.Output, "%-9s %6d ms  %s\n", r, time.Since(b).Milliseconds(), s.promise)
	if err != nil {
		_, _ = fmt.Fprintf(t.Output, "          %v\n", err)
	}
	return err
}

// open connects to entry host i with the session's mark.
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

// do runs f in a session on entry host i and keeps the session's mark.
func (t *Tourist) do(ctx context.Context, i int, f func(c *pgx.Conn) error) error {
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
	return t.do(ctx, 0, func(c *pgx.Conn) error {
		if _, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS lines (id text PRIMARY KEY, amount bigint)"); err != nil {
			return err
		}
		_, err := c.Exec(ctx, "INSERT INTO lines (id, amount) VALUES ($1, $2)", "rates", 100)
		return err
	})
}

func (t *Tourist) roam(ctx context.Context) error {
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

func (t *Tourist) update(ctx context.Context, i int, id string) error {
	return t.do(ctx, i%len(t.Environment.Addresses()), func(c *pgx.Conn) error {
		_, err := c.Exec(ctx, "UPDATE lines SET amount = amount + 1 WHERE id = $1", id)
		return err
	})
}

func (t *Tourist) expect(ctx context.Context, i int, id string, want int64) error {
	return t.do(ctx, i%len(t.Environment.Addresses()), func(c *pgx.Conn) error {
		var got int64
		if err := c.QueryRow(ctx, "SELECT amount FROM lines WHERE id = $1", id).Scan(&got); err != nil {
			return err
		}
		if got != want {
			return errors.Annotatef(errBroken, "read %d, wrote %d", got, want)
		}
		return nil
	})
}

func (t *Tourist) cancel(ctx context.Context) error {
	return t.do(ctx, 0, func(c *pgx.Conn) error {
		k := &canceller{connection: c.PgConn(), done: make(chan error, 1)}
		go k.run(ctx)
		_, err := c.Exec(ctx, "SELECT pg_sleep(30)")
		if e := <-k.done; e != nil {
			return errors.Annotate(e, "send cancel request")
		}
		var p *pgconn.PgError
		if !errors.As(err, &p) || p.Code != codeCancelled {
			return errors.Annotatef(errBroken, "answer to a cancelled statement: %v", err)
		}
		return t.expectOutcome(ctx, c)
	})
}

// expectOutcome checks that the session is still of use and has a trace.
func (t *Tourist) expectOutcome(ctx context.Context, c *pgx.Conn) error {
	var o string
	if err := c.QueryRow(ctx, "SHOW cuminwick.last_outcome").Scan(&o); err != nil {
		return err
	}
	if !strings.HasPrefix(o, "not-run ") {
		return errors.Annotatef(errBroken, "outcome of a cancelled statement is %q", o)
	}
	return nil
}

// canceller sends a cancel request after a while.
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
	err := t.do(ctx, 1, func(c *pgx.Conn) error {
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
	return t.do(ctx, 2, func(c *pgx.Conn) error {
		var n int64
		if err := c.QueryRow(ctx, "SELECT count(*) FROM lines WHERE id = 'travel'").Scan(&n); err != nil {
			return err
		}
		if n != 0 {
			return errors.Annotatef(errBroken, "%d rows of a transaction that was rolled back", n)
		}
		return nil
	})
}

func (t *Tourist) losePrimary(ctx context.Context) error {
	if err := t.Environment.CrashPrimary(ctx); err != nil {
		return err
	}
	if err := t.update(ctx, 0, "rates"); err != nil {
		return errors.Annotate(err, "write after the primary was lost")
	}
	return t.expect(ctx, 1, "rates", 151)
}

func (t *Tourist) repeat(ctx context.Context) error {
	for i := range 2 {
		err := t.do(ctx, i, func(c *pgx.Conn) error {
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

func (t *Tourist) drain(ctx context.Context) error {
	const host = 2
	return t.do(ctx, host, func(c *pgx.Conn) error {
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
