// Package inquirer asks a database group what became of a request with an idempotency key.
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

// ErrUnexpectedAnswer is returned when the backend server answers with an unexpected error.
const ErrUnexpectedAnswer = errors.ConstError("outcome not told")

// attemptPause is the time between two attempts to ask.
const attemptPause = 50 * time.Millisecond

// Group is the database group that is asked.
type Group interface {
	// Primary waits for the group's confirmed primary.
	Primary(ctx context.Context) (lessor.Lessor, error)
	// Acknowledge waits until a majority holds m.
	Acknowledge(ctx context.Context, m marker.Mark) error
}

// Inquirer asks one database group.
type Inquirer struct {
	Group Group
}

// Answer is what a key's rows say.
type Answer struct {
	// Attempt is the one that ran, or the next one to use.
	Attempt recorder.Attempt
	// Outcome is Ran, or NotRun if no attempt has run so far.
	Outcome recorder.Outcome
	// Tag is the command tag of the request that ran, if it was recorded.
	Tag string
}

// LookUp follows the attempts of a key and returns what a majority holds. The
// answer NotRun isn't final: an attempt may be in progress.
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
		if err := i.Group.Acknowledge(ctx, m); err != nil {
			return Answer{}, errors.Annotatef(err, "confirm outcome of key %s", a.Key)
		}
		if d == recorder.Run {
			return Answer{Attempt: n, Outcome: recorder.NotRun}, nil
		}
		t, err := i.tag(ctx, a)
		return Answer{Attempt: a, Outcome: recorder.Ran, Tag: t}, err
	}
}

// Settle makes the outcome of an attempt final: it inserts the tombstone in
// the place of the attempt's own row, and whichever was there first holds. In a
// group without an outcome table it makes the table first.
func (i *Inquirer) Settle(ctx context.Context, a recorder.Attempt) (recorder.Outcome, error) {
	for {
		o, err := i.settle(ctx, a)
		if err == nil && o != recorder.Unknown {
			return o, nil
		}
		if e := scheduler.Pause(ctx, attemptPause); e != nil {
			return recorder.Unknown, errors.Annotatef(cmp.Or(err, e), "settle key %s", a.Key)
		}
	}
}

func (i *Inquirer) settle(ctx context.Context, a recorder.Attempt) (recorder.Outcome, error) {
	r, err := i.run(ctx, a.Tombstone())
	if err != nil {
		return recorder.Unknown, err
	}
	switch r.Code {
	case "":
		return recorder.NotRun, i.Group.Acknowledge(ctx, r.Position)
	case recorder.UndefinedTable:
		return recorder.Unknown, i.CreateTable(ctx)
	case recorder.UniqueViolation:
		return i.settled(ctx, a)
	default:
		return recorder.Unknown, errors.Annotatef(ErrUnexpectedAnswer, "SQLSTATE %s to tombstone", r.Code)
	}
}

func (i *Inquirer) settled(ctx context.Context, a recorder.Attempt) (recorder.Outcome, error) {
	r, m, err := i.lookUp(ctx, a)
	if err != nil {
		return recorder.Unknown, err
	}
	if !r.Found {
		return recorder.Unknown, errors.Annotatef(ErrUnexpectedAnswer, "row of key %s came and went", a.Key)
	}
	return r.Outcome, i.Group.Acknowledge(ctx, m)
}

// CreateTable makes the outcome table of a group that has none.
func (i *Inquirer) CreateTable(ctx context.Context) error {
	r, err := i.run(ctx, recorder.CreateTable)
	if err != nil {
		return err
	}
	if r.Code != "" {
		return errors.Annotatef(ErrUnexpectedAnswer, "SQLSTATE %s to creation of outcome table", r.Code)
	}
	return errors.Annotate(i.Group.Acknowledge(ctx, r.Position), "confirm outcome table")
}

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

func (i *Inquirer) tag(ctx context.Context, a recorder.Attempt) (string, error) {
	r, err := i.run(ctx, a.LookUpTag())
	if err != nil || r.Code != "" || len(r.Rows) == 0 || len(r.Rows[0]) == 0 {
		return "", err
	}
	return r.Rows[0][0], nil
}

// run runs a statement at the primary.
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

// Result is the whole answer to a statement.
type Result struct {
	exchanger.Result
	// Rows are in text form, a NULL as an empty string.
	Rows [][]string
}

// Run runs sql on a lease and collects its answer; with inTransaction the
// position isn't asked for.
func Run(ctx context.Context, l lessor.Lease, sql string, inTransaction bool) (Result, error) {
	var b batcher.Batch
	b.AddQuery(batcher.Pass, sql)
	c := &collector{}
	r, err := l.Exchange(ctx, lessor.Exchange{Batch: &b, Output: c, AskPosition: !inTransaction, InTransaction: inTransaction})
	return Result{Result: r, Rows: c.rows}, err
}

// collector keeps the rows of an answer.
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
