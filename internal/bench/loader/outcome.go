package loader

import (
	"context"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// Parts of an error that state the outcome of a request: texts in its detail, and the SQLSTATE of a
// cancelled statement.
const (
	detailNotRun  = "outcome=not-run"
	detailUnknown = "outcome=unknown"
	detailRan     = "outcome=ran"
	codeCanceled  = "57014"
)

// unknownOutcomeClasses are prefixes of the SQLSTATEs that leave a statement's outcome unknown unless
// the error's detail states it: lost connections, unknown completion, and shutdowns.
var unknownOutcomeClasses = []string{"08", "40003", "57P"}

// setOutcome records the outcome that the caller received. gaveUp states that the caller ended the
// request itself, by a timeout or a disconnect; a lost connection then isn't counted as one.
func (c *session) setOutcome(r *checker.Request, err error, gaveUp bool) {
	r.Outcome, r.Code = classify(err)
	var p *pgconn.PgError
	r.ConnectionLost = err != nil && !errors.As(err, &p) && !errors.Is(err, errRolledBack) && !gaveUp
}

// classify turns a request's error into its outcome and SQLSTATE.
func classify(err error) (checker.Outcome, string) {
	if err == nil {
		return checker.Ran, ""
	}
	var n notCommittedError
	var p *pgconn.PgError
	if !errors.As(err, &p) {
		if errors.As(err, &n) {
			return checker.NotRun, ""
		}
		return checker.Unknown, ""
	}
	return outcomeOf(p, errors.As(err, &n)), p.Code
}

func outcomeOf(p *pgconn.PgError, notCommitted bool) checker.Outcome {
	switch {
	case notCommitted && p.Code != codeCanceled:
		return checker.NotRun
	case strings.Contains(p.Detail, detailUnknown) && !notCommitted:
		return checker.Unknown
	case strings.Contains(p.Detail, detailRan):
		return checker.Ran
	case p.Code == codeCanceled:
		return checker.Cancelled
	case strings.Contains(p.Detail, detailNotRun):
		return checker.NotRun
	}
	for _, k := range unknownOutcomeClasses {
		if strings.HasPrefix(p.Code, k) {
			return checker.Unknown
		}
	}
	return checker.NotRun
}

// canceller cancels a request at a random time.
type canceller struct {
	timer *time.Timer
	done  chan struct{}
}

// scheduleCancel decides at random whether the next request is cancelled, when, and whether by a
// cancel request or by a disconnect. It returns nil if the request isn't cancelled.
func (c *session) scheduleCancel(disconnect context.CancelFunc) *canceller {
	m := &c.loader.Load
	if c.random.Float64() >= m.CancelShare {
		return nil
	}
	k := &canceller{done: make(chan struct{})}
	d := time.Duration(c.random.Int64N(int64(m.MaximumCancelDelay)))
	n := c.conn
	if c.random.Float64() < m.DisconnectShare {
		k.timer = time.AfterFunc(d, func() { k.disconnect(disconnect) })
	} else {
		k.timer = time.AfterFunc(d, func() { k.cancel(n) })
	}
	return k
}

func (k *canceller) disconnect(f context.CancelFunc) {
	defer close(k.done)
	f()
}

func (k *canceller) cancel(c *pgconn.PgConn) {
	defer close(k.done)
	ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
	defer stop()
	// A cancel request that fails has no effect, and callers don't depend on it.
	_ = c.CancelRequest(ctx)
}

// finish stops the timer, or waits until a cancel in progress has completed. A late cancel request
// would otherwise cancel the session's next request.
func (k *canceller) finish() {
	if k == nil || k.timer.Stop() {
		return
	}
	<-k.done
}
