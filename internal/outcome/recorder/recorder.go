// Package recorder records the outcome of a non-repeatable request in the transaction of the request itself.
package recorder

import (
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Outcome is what became of a request.
type Outcome string

// Outcomes of a request.
const (
	// Ran: the request took effect, and a majority of the instances holds it.
	Ran Outcome = "ran"
	// NotRun: nothing of the request took effect, and nothing ever will.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// MaximumKeyBytes is the greatest length of an idempotency key.
const MaximumKeyBytes = 128

// ErrKey is returned for an idempotency key of the wrong form.
const ErrKey = errors.ConstError("idempotency key not valid")

// CheckKey returns nil if k is an idempotency key: 1 to MaximumKeyBytes ASCII
// letters, digits and -._:/ signs. Such a key needs no quoting in SQL.
func CheckKey(k string) error {
	if k == "" || len(k) > MaximumKeyBytes {
		return errors.Annotatef(ErrKey, "%d bytes, want 1 to %d", len(k), MaximumKeyBytes)
	}
	for i := range len(k) {
		if !keyByte(k[i]) {
			return errors.Annotatef(ErrKey, "byte %q at %d", k[i], i)
		}
	}
	return nil
}

func keyByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == ':' || c == '/'
}

// Table is the outcome table of each database group.
const Table = "cuminwick_outcome"

// CreateTable makes the outcome table; it is run once for each database group.
// recorded_at is in seconds since 1970.
const CreateTable = "CREATE TABLE IF NOT EXISTS " + Table + " (key text PRIMARY KEY, outcome text NOT NULL, recorded_at bigint NOT NULL)"

// SQLSTATEs that tell the recorder something.
const (
	// UniqueViolation answers Reserve or Tombstone if the row is there already.
	UniqueViolation = "23505"
	// UndefinedTable answers every statement before CreateTable was run.
	UndefinedTable = "42P01"
)

// Attempt is one attempt to run the request of a key. Each has a row of its own,
// and rows are only inserted, never updated. A statement of an earlier attempt
// that arrives late therefore always meets an existing row, which is an error
// that aborts its transaction; an update would merely match no row, and the
// statements sent behind it would run a second time.
type Attempt struct {
	Key string
	// Number counts from 1. The next one is used once the one before is
	// settled as not run.
	Number int
	// RecordedAt is the time of the first attempt in seconds since 1970, zero while
	// it has no row. The rows of later attempts bear it, so that they don't outlast
	// the first one, and it is that of the key's first row which ends its time.
	RecordedAt int64
}

// First returns the first attempt for key k.
func First(k string) Attempt {
	return Attempt{Key: k, Number: 1}
}

// recordedAt returns the value of the recorded_at column. The first row gets the
// backend server's time: that of an entry host whose clock was set back by more than
// the retention would have the key forgotten at once, and a repeat would run again.
func (a Attempt) recordedAt() string {
	if a.RecordedAt == 0 {
		return "date_part('epoch', now())::bigint"
	}
	return strconv.FormatInt(a.RecordedAt, 10)
}

// row returns the value of the key column; # is no byte of a key.
func (a Attempt) row() string {
	return fmt.Sprintf("%s#%d", a.Key, a.Number)
}

// Reserve returns the statement that goes first in the transaction of the
// request. It shares the transaction's fate. A UniqueViolation says that the key
// is taken: the transaction must be rolled back and the row looked up.
func (a Attempt) Reserve() string {
	return a.insert(Ran)
}

// Tombstone returns the statement that settles the attempt as not run, in a
// transaction of its own. While the attempt's transaction is open it waits for its
// end. A UniqueViolation says that a row is there, which must be looked up.
// After success the attempt's transaction can't commit any more, wherever its
// statements are still on their way.
func (a Attempt) Tombstone() string {
	return a.insert(NotRun)
}

func (a Attempt) insert(o Outcome) string {
	return fmt.Sprintf("INSERT INTO %s (key, outcome, recorded_at) VALUES ('%s', '%s', %s)", Table, a.row(), o, a.recordedAt())
}

// LookUp returns the statement that reads the attempt's outcome and
// recorded_at; it has one row or none.
func (a Attempt) LookUp() string {
	return fmt.Sprintf("SELECT outcome, recorded_at FROM %s WHERE key = '%s'", Table, a.row())
}

// Expire returns the statement that forgets the keys whose first attempt is older
// than retention. A request that is repeated after that runs again.
func Expire(now time.Time, retention time.Duration) string {
	return fmt.Sprintf("DELETE FROM %s WHERE recorded_at < %d", Table, now.Add(-retention).Unix())
}

// Row is the answer to LookUp.
type Row struct {
	// Found says whether there is a row.
	Found      bool
	Outcome    Outcome
	RecordedAt int64
}

// Decision is what to do with a keyed request after a look-up.
type Decision string

// Decisions on a keyed request.
const (
	// Run: reserve the attempt and run the request in the same transaction.
	Run Decision = "run"
	// AlreadyRan: don't run it; once the row is acknowledged, answer that it ran.
	AlreadyRan Decision = "already-ran"
	// LookUpNext: look the next attempt up.
	LookUpNext Decision = "look-up-next"
)

// Decide returns what to do after the attempt's row was looked up at the
// primary, and the attempt to do it with.
func Decide(a Attempt, r Row) (Decision, Attempt) {
	switch {
	case !r.Found:
		return Run, a
	case r.Outcome == Ran:
		return AlreadyRan, a
	}
	return LookUpNext, Attempt{Key: a.Key, Number: a.Number + 1, RecordedAt: r.RecordedAt}
}
