package inquirer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

const (
	// nowSQL asks for the backend server's clock.
	nowSQL = "SELECT now()"
	// timeLayout is how PostgreSQL writes a time with its zone.
	timeLayout = "2006-01-02 15:04:05.999999-07"
	// maximumSkew is the largest difference between this host's clock and the
	// backend server's at which keys are forgotten.
	maximumSkew = 5 * time.Minute
)

// ErrClockSkew says that two clocks differ too much to forget keys by them.
const ErrClockSkew = errors.ConstError("clocks differ")

// Expire forgets the keys whose first attempt is older than retention.
//
// A clock that has jumped ahead would forget keys of requests that are still
// being repeated, and the repeats would run a second time. So the backend
// server's clock must agree first.
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
