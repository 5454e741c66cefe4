// Package inquirer queries a database group for the outcome of a request with an idempotency key.
package inquirer

import (
	"cmp"
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
)

// ErrUnexpectedAnswer is returned when the backend server answers with an unexpected error or result.
const ErrUnexpectedAnswer = errors.ConstError("outcome not told")

// retryPause is the time between two tries to settle an attempt.
const retryPause = 50 * time.Millisecond

// Group is the database group that is queried.
type Group interface {
	// Primary waits until the group has a confirmed primary and returns it.
	Primary(ctx context.Context) (lessor.Lessor, error)
	// WaitAcknowledged waits until a majority of the instances holds m.
	WaitAcknowledged(ctx context.Context, m marker.Mark) error
}

// Inquirer queries one database group. Group is set before use.
type Inquirer struct {
	Group Group
}

// Answer is the outcome that the rows of a key record.
type Answer struct {
	// Attempt is the attempt that ran, or the next one to use.
	Attempt recorder.Attempt
	// Outcome is Ran, or NotRun if no attempt has run so far.
	Outcome recorder.Outcome
	// Tag is the command tag of the request that ran, if it was recorded.
	Tag string
}

// LookUp looks up the attempts of a key from a on, and returns the outcome once a majority of the
// instances holds what was read. The answer NotRun isn't final, because an attempt may be in progress.
func (i *Inquirer) LookUp(ctx context.Context, a recorder.Attempt) (Answer, error) {
	for {
		r, m, err := i.lookUp(ctx, a)
		if err != nil {
			return Answer{}, errors.Annotatef(err, "look up key %s", a.Key)
		}
		d, n := recorder.Decide(a, r)
		if d == recorder.LookUpNext {
			a = n
			continue
		}
		if err := i.Group.WaitAcknowledged(ctx, m); err != nil {
			return Answer{}, errors.Annotatef(err, "confirm outcome of key %s", a.Key)
		}
		if d == recorder.Run {
			return Answer{Attempt: n, Outcome: recorder.NotRun}, nil
		}
		t, err := i.lookUpTag(ctx, a)
		return Answer{Attempt: a, Outcome: recorder.Ran, Tag: t}, err
	}
}

// Settle makes the outcome of an attempt final and returns it. It inserts a tombstone under the key of
// the attempt's own row, and the row that was inserted first determines the outcome. It creates the
// outcome table in a group that has none, and retries until ctx ends.
func (i *Inquirer) Settle(ctx context.Context, a recorder.Attempt) (recorder.Outcome, error) {
	for {
		o, err := i.settle(ctx, a)
		if err == nil && o != recorder.Unknown {
			return o, nil
		}
		if e := scheduler.Pause(ctx, retryPause); e != nil {
			return recorder.Unknown, errors.Annotatef(cmp.Or(err, e), "settle key %s", a.Key)
		}
	}
}

// settle tries once to settle an attempt. The outcome is Unknown without an error after it has created
// the outcome table.
func (i *Inquirer) settle(ctx context.Context, a recorder.Attempt) (recorder.Outcome, error) {
	r, err := i.run(ctx, a.Tombstone())
	if err != nil {
		return recorder.Unknown, err
	}
	switch r.Code {
	case "":
		return recorder.NotRun, i.Group.WaitAcknowledged(ctx, r.Position)
	case recorder.UndefinedTable:
		return recorder.Unknown, i.CreateTable(ctx)
	case recorder.UniqueViolation:
		return i.lookUpExisting(ctx, a)
	default:
		return recorder.Unknown, errors.Annotatef(ErrUnexpectedAnswer, "SQLSTATE %s to tombstone", r.Code)
	}
}

// lookUpExisting returns the outcome in the row that prevented the tombstone.
func (i *Inquirer) lookUpExisting(ctx context.Context, a recorder.Attempt) (recorder.Outcome, error) {
	r, m, err := i.lookUp(ctx, a)
	if err != nil {
		return recorder.Unknown, err
	}
	if !r.Found {
		return recorder.Unknown, errors.Annotatef(ErrUnexpectedAnswer, "row of key %s came and went", a.Key)
	}
	return r.Outcome, i.Group.WaitAcknowledged(ctx, m)
}

// CreateTable creates the outcome table, and waits until a majority of the instances holds it.
func (i *Inquirer) CreateTable(ctx context.Context) error {
	r, err := i.run(ctx, recorder.CreateTable)
	if err != nil {
		return err
	}
	if r.Code != "" {
		return errors.Annotatef(ErrUnexpectedAnswer, "SQLSTATE %s to creation of outcome table", r.Code)
	}
	return errors.Annotate(i.Group.WaitAcknowledged(ctx, r.Position), "confirm outcome table")
}

// lookUp reads the row of an attempt and returns it with the mark that the primary's log had reached.
func (i *Inquirer) lookUp(ctx context.Context, a recorder.Attempt) (recorder.Row, marker.Mark, error) {
	r, err := i.run(ctx, a.LookUp())
	switch {
	case err != nil:
		return recorder.Row{}, marker.Mark{}, err
	case r.Code == recorder.UndefinedTable:
		return recorder.Row{}, r.Position, nil
	case r.Code != "":
		return recorder.Row{}, marker.Mark{}, errors.Annotatef(ErrUnexpectedAnswer, "SQLSTATE %s to look-up", r.Code)
	case len(r.Rows) == 0:
		return recorder.Row{}, r.Position, nil
	}
	w, err := recorder.ParseRow(r.Rows[0])
	return w, r.Position, err
}

// lookUpTag returns the command tag that was recorded for an attempt, empty if there is none.
func (i *Inquirer) lookUpTag(ctx context.Context, a recorder.Attempt) (string, error) {
	r, err := i.run(ctx, a.LookUpTag())
	if err != nil || r.Code != "" || len(r.Rows) == 0 || len(r.Rows[0]) == 0 {
		return "", err
	}
	return r.Rows[0][0], nil
}

// run runs a statement at the primary, in a lease of its own.
func (i *Inquirer) run(ctx context.Context, sql string) (Result, error) {
	l, err := i.Group.Primary(ctx)
	if err != nil {
		return Result{}, err
	}
	t, _ := ctx.Deadline()
	e, err := l.Lease(ctx, lessor.Demand{Deadline: t, Write: true})
	if err != nil {
		return Result{}, err
	}
	r, err := Run(ctx, e, sql, false)
	e.Release(lessor.Return{Clean: err == nil && r.Status == exchanger.Idle})
	return r, err
}

// Result is the complete answer to a statement.
type Result struct {
	exchanger.Result
	// Rows holds the values of the rows in text format, with an empty string for NULL.
	Rows [][]string
}

// Run runs sql on a lease and returns its answer. With inTransaction the log position isn't queried.
func Run(ctx context.Context, l lessor.Lease, sql string, inTransaction bool) (Result, error) {
	var b batcher.Batch
	b.AddQuery(batcher.Pass, sql)
	c := &collector{}
	r, err := l.Exchange(ctx, lessor.Exchange{Batch: &b, Output: c, AskPosition: !inTransaction, InTransaction: inTransaction})
	return Result{Result: r, Rows: c.rows}, err
}

// collector is an exchanger.Output that keeps the rows of an answer.
type collector struct {
	rows [][]string
}

// Frame implements exchanger.Output.
func (c *collector) Frame(t byte, p []byte, first, last bool) error {
	if t != follower.DataRow {
		return nil
	}
	if !first || !last {
		return errors.Annotate(ErrUnexpectedAnswer, "row too large")
	}
	var d pgproto3.DataRow
	if err := d.Decode(p[5:]); err != nil {
		return errors.Annotate(err, "decode row")
	}
	r := make([]string, len(d.Values))
	for i, v := range d.Values {
		r[i] = string(v)
	}
	c.rows = append(c.rows, r)
	return nil
}
