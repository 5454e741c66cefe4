// Package recorder records the outcome of a non-repeatable request in the transaction of the request itself.
package recorder

import (
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Outcome is the outcome of a request.
type Outcome string

// Outcomes of a request.
const (
	// Ran: the request took effect, and a majority of the instances holds its commit.
	Ran Outcome = "ran"
	// NotRun: nothing of the request took effect, and nothing ever will.
	NotRun Outcome = "not-run"
	// Unknown: the request may or may not have run.
	Unknown Outcome = "unknown"
)

// MaximumKeyBytes is the maximum length of an idempotency key.
const MaximumKeyBytes = 128

// ErrKey is returned for a malformed idempotency key.
const ErrKey = errors.ConstError("idempotency key not valid")

// CheckKey returns an ErrKey unless k is an idempotency key: 1 to MaximumKeyBytes ASCII letters, digits
// and characters of -._:/. Such a key needs no escaping in SQL.
func CheckKey(k string) error {
	if k == "" || len(k) > MaximumKeyBytes {
		return errors.Annotatef(ErrKey, "%d bytes, want 1 to %d", len(k), MaximumKeyBytes)
	}
	for i := range len(k) {
		if !isKeyByte(k[i]) {
			return errors.Annotatef(ErrKey, "byte %q at %d", k[i], i)
		}
	}
	return nil
}

func isKeyByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == ':' || c == '/'
}

// Table is the outcome table of each database group.
const Table = "cuminwick_outcome"

// CreateTable is the statement that creates the outcome table. It is run once for each database group.
// recorded_at is in seconds since 1970.
const CreateTable = "CREATE TABLE IF NOT EXISTS " + Table + " (key text PRIMARY KEY, outcome text NOT NULL, recorded_at bigint NOT NULL)"

// SQLSTATEs of the statements that this package returns.
const (
	// UniqueViolation is the error of Reserve and Tombstone if the row already exists.
	UniqueViolation = "23505"
	// UndefinedTable is the error of every statement if CreateTable wasn't run.
	UndefinedTable = "42P01"
)

// Attempt is one attempt to run the request of a key. Each attempt has a row of its own, and rows are
// only inserted, never updated. A statement of an earlier attempt that arrives late therefore always
// conflicts with an existing row, and the error aborts its transaction. An update would merely match
// no row, and the statements sent after it would run a second time.
type Attempt struct {
	Key string
	// Number counts from 1. The next number is used once the previous attempt is settled as not
	// run.
	Number int
	// RecordedAt is the time of the first attempt in seconds since 1970, zero while that has no
	// row. The rows of later attempts have the same time, so that all rows of a key expire
	// together.
	RecordedAt int64
}

// First returns the first attempt of key k.
func First(k string) Attempt {
	return Attempt{Key: k, Number: 1}
}

// recordedAt returns the SQL expression for the recorded_at column. The first row gets the backend
// server's time: with the time of an entry host whose clock was set back by more than the retention,
// the key would expire immediately, and a retry would run the request again.
func (a Attempt) recordedAt() string {
	if a.RecordedAt == 0 {
		return "date_part('epoch', now())::bigint"
	}
	return strconv.FormatInt(a.RecordedAt, 10)
}

// rowKey returns the value of the key column. CheckKey doesn't allow # in a key, so the value is
// unambiguous.
func (a Attempt) rowKey() string {
	return fmt.Sprintf("%s#%d", a.Key, a.Number)
}

// Reserve returns the first statement of the request's transaction, which inserts the attempt's row as
// Ran. The row is committed or rolled back with the transaction. After a UniqueViolation the
// transaction must be rolled back and the row looked up.
func (a Attempt) Reserve() string {
	return a.insert(Ran)
}

// Tombstone returns the statement that settles the attempt as NotRun, for a transaction of its own.
// While the attempt's transaction is open, the statement waits until that ends. After a
// UniqueViolation the existing row must be looked up. After success the attempt's transaction can't
// commit, even if statements of it are still in flight.
func (a Attempt) Tombstone() string {
	return a.insert(NotRun)
}

func (a Attempt) insert(o Outcome) string {
	return fmt.Sprintf("INSERT INTO %s (key, outcome, recorded_at) VALUES ('%s', '%s', %s)", Table, a.rowKey(), o, a.recordedAt())
}

// LookUp returns the statement that reads the attempt's outcome and recorded_at, as one row or none.
func (a Attempt) LookUp() string {
	return fmt.Sprintf("SELECT outcome, recorded_at FROM %s WHERE key = '%s'", Table, a.rowKey())
}

// Expire returns the statement that deletes the keys whose first attempt is older than retention. A
// request that is retried after that runs again.
func Expire(now time.Time, retention time.Duration) string {
	return fmt.Sprintf("DELETE FROM %s WHERE recorded_at < %d", Table, now.Add(-retention).Unix())
}

// Row is the result of LookUp.
type Row struct {
	// Found reports whether there is a row.
	Found   bool
	Outcome Outcome
	// RecordedAt is in seconds since 1970.
	RecordedAt int64
}

// Decision is how to continue with a keyed request after a look-up.
type Decision string

// Decisions on a keyed request.
const (
	// Run: reserve the attempt and run the request in the same transaction.
	Run Decision = "run"
	// AlreadyRan: don't run the request. Once the row is acknowledged, report that it ran.
	AlreadyRan Decision = "already-ran"
	// LookUpNext: look up the next attempt.
	LookUpNext Decision = "look-up-next"
)

// Decide returns the decision after the row r of attempt a was looked up at the primary, and the
// attempt to which it applies.
func Decide(a Attempt, r Row) (Decision, Attempt) {
	switch {
	case !r.Found:
		return Run, a
	case r.Outcome == Ran:
		return AlreadyRan, a
	}
	return LookUpNext, Attempt{Key: a.Key, Number: a.Number + 1, RecordedAt: r.RecordedAt}
}
