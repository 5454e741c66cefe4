package inquirer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

const (
	// nowSQL reads the backend server's clock.
	nowSQL = "SELECT now()"
	// timeLayout is PostgreSQL's text format of a timestamptz.
	timeLayout = "2006-01-02 15:04:05.999999-07"
	// maximumSkew is the largest difference between this host's clock and the backend server's
	// with which keys are deleted.
	maximumSkew = 5 * time.Minute
)

// ErrClockSkew is returned when the clocks of this host and of the backend server differ by more than
// maximumSkew.
const ErrClockSkew = errors.ConstError("clocks differ")

// Expire deletes the keys whose first attempt is older than retention at the time now of this host.
//
// If this host's clock has jumped ahead, that would delete keys of requests which are still being
// retried, and the retries would run a second time. So Expire compares it with the backend server's
// clock first and returns ErrClockSkew if they differ too much.
func (i *Inquirer) Expire(ctx context.Context, now time.Time, retention time.Duration) error {
	r, err := i.run(ctx, nowSQL)
	if err != nil {
		return errors.Annotate(err, "ask for the time")
	}
	if r.Code != "" || len(r.Rows) != 1 || len(r.Rows[0]) != 1 {
		return errors.Annotatef(ErrUnexpectedAnswer, "SQLSTATE %q to question for the time", r.Code)
	}
	t, err := time.Parse(timeLayout, r.Rows[0][0])
	if err != nil {
		return errors.Annotatef(err, "read time %q", r.Rows[0][0])
	}
	if d := now.Sub(t).Abs(); d > maximumSkew {
		return errors.Annotatef(ErrClockSkew, "by %s, keys are kept", d)
	}
	e, err := i.run(ctx, recorder.Expire(now, retention))
	if err != nil {
		return errors.Annotate(err, "forget old keys")
	}
	if e.Code != "" && e.Code != recorder.UndefinedTable {
		return errors.Annotatef(ErrUnexpectedAnswer, "SQLSTATE %s to forgetting old keys", e.Code)
	}
	return nil
}
