package loader

import (
	"context"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// Parts of an error that say what became of a request.
const (
	detailNotRun  = "outcome=not-run"
	detailUnknown = "outcome=unknown"
	detailRan     = "outcome=ran"
	codeCanceled  = "57014"
)

// openClasses are the classes of SQLSTATE after which a statement's effect is
// open when nothing else is said: lost connections, unknown completion, and
// shutdowns.
var openClasses = []string{"08", "40003", "57P"}

// conclude notes what the caller was told. gaveUp says that the caller's own
// patience or wish ended the request, so that a lost connection is its doing.
func (c *session) conclude(r *checker.Request, err error, gaveUp bool) {
	r.Outcome, r.Code = classify(err)
	var p *pgconn.PgError
	r.ConnectionLost = err != nil && !errors.As(err, &p) && !errors.Is(err, errRolledBack) && !gaveUp
}

// classify turns a request's error into its outcome and SQLSTATE.
func classify(err error) (checker.Outcome, string) {
	if err == nil {
		return checker.Ran, ""
	}
	var n errNotCommitted
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
	for _, k := range openClasses {
		if strings.HasPrefix(p.Code, k) {
			return checker.Unknown
		}
	}
	return checker.NotRun
}

// canceller cancels a request at a random moment.
type canceller struct {
	timer *time.Timer
	done  chan struct{}
}

// armCancel draws whether the next request is cancelled, when and how.
func (c *session) armCancel(leave context.CancelFunc) *canceller {
	m := &c.loader.Load
	if c.random.Float64() >= m.CancelShare {
		return nil
	}
	k := &canceller{done: make(chan struct{})}
	d := time.Duration(c.random.Int64N(int64(m.MaximumCancelDelay)))
	n := c.conn
	if c.random.Float64() < m.DisconnectShare {
		k.timer = time.AfterFunc(d, func() { k.leave(leave) })
	} else {
		k.timer = time.AfterFunc(d, func() { k.cancel(n) })
	}
	return k
}

func (k *canceller) leave(f context.CancelFunc) {
	defer close(k.done)
	f()
}

func (k *canceller) cancel(c *pgconn.PgConn) {
	defer close(k.done)
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	// A cancel that doesn't arrive has no effect, which is a caller's everyday life.
	_ = c.CancelRequest(ctx)
}

// disarm returns when no cancel of the request is under way any more, so that
// a late one can't hit the session's next request.
func (k *canceller) disarm() {
	if k == nil || k.timer.Stop() {
		return
	}
	<-k.done
}
