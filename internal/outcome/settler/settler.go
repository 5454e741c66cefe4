// Package settler determines the outcome of a request, or the next step that is needed to determine it.
package settler

import (
	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// Answer is the backend server's answer to the statement that could commit the request.
type Answer string

// Answers of a backend server.
const (
	// AnswerNone: no answer has arrived yet.
	AnswerNone Answer = "none"
	// AnswerCommitted: the server committed the request in its own log. Whether replicas hold the
	// commit is in Evidence.Commit.
	AnswerCommitted Answer = "committed"
	// AnswerRolledBack: the server reported a rollback and is ready for the next statement. A
	// UniqueViolation on the key's own row doesn't count, because an earlier attempt may have run;
	// recorder.Decide handles that case.
	AnswerRolledBack Answer = "rolled-back"
	// AnswerLost: no answer will arrive, because the connection was lost or is dead.
	AnswerLost Answer = "lost"
)

// Evidence is what is known of one request.
type Evidence struct {
	// Sent reports whether any byte of the request may have reached a backend server.
	Sent bool
	// CommitSent reports whether any byte of the statement that commits the request may have reached
	// a backend server: of COMMIT in a transaction block, of the statement itself outside one.
	CommitSent bool
	Answer     Answer
	// Commit is the state of the request's commit. It is set with AnswerCommitted.
	Commit acknowledger.CommitState
	// Key is the idempotency key, empty if there is none.
	Key string
	// Row is the outcome in the key's row, which was found or inserted as a tombstone at a confirmed
	// primary. It is empty while the row isn't known.
	Row recorder.Outcome
	// RowCommit is the state of the mark that the primary's log had reached when Row was read or
	// inserted.
	RowCommit acknowledger.CommitState
	// Expired reports whether the caller's deadline has passed.
	Expired bool
}

// Step is what to do next to settle a request.
type Step string

// Steps of settling.
const (
	// Done: the outcome is final.
	Done Step = "done"
	// WaitAnswer: wait for the server's answer, or probe a connection that delivers no bytes.
	WaitAnswer Step = "wait-answer"
	// WaitCommit: wait until the state of the commit is final.
	WaitCommit Step = "wait-commit"
	// InsertTombstone: insert the key's tombstone at a confirmed primary, or look up the row if
	// there is one already.
	InsertTombstone Step = "insert-tombstone"
	// WaitRow: wait until the state of the row is final.
	WaitRow Step = "wait-row"
)

// Next returns the next step, and with Done the outcome.
//
// NotRun is returned only if nothing can have committed and nothing can commit later. In particular,
// a key that isn't found proves nothing while the original transaction may still commit, for instance
// over a dead connection to the same primary. So the key isn't merely looked up: a tombstone is
// inserted under it, and the unique constraint of the database decides.
func Next(e Evidence) (Step, recorder.Outcome) {
	switch {
	case !e.Sent, e.Answer == AnswerRolledBack:
		return Done, recorder.NotRun
	case !e.CommitSent && (e.Answer == AnswerLost || e.Expired):
		return Done, recorder.NotRun // the caller of Next must not send the commit after this
	case e.Answer == AnswerCommitted && e.Commit == acknowledger.Acknowledged:
		return Done, recorder.Ran
	case e.Answer == AnswerCommitted && e.Commit == acknowledger.Superseded:
		return Done, recorder.NotRun
	case rowSettled(e):
		return Done, e.Row
	case e.Expired:
		return Done, recorder.Unknown
	case e.Answer == AnswerNone:
		return WaitAnswer, recorder.Unknown
	case e.Answer == AnswerCommitted && e.Commit != acknowledger.Undetermined:
		return WaitCommit, recorder.Unknown
	}
	return nextByKey(e)
}

// rowSettled reports whether the key's row is known and acknowledged.
func rowSettled(e Evidence) bool {
	return e.Row != "" && e.RowCommit == acknowledger.Acknowledged
}

// nextByKey returns the next step of a request whose outcome only its key's row can determine.
func nextByKey(e Evidence) (Step, recorder.Outcome) {
	switch {
	case e.Key == "":
		return Done, recorder.Unknown
	case e.Row != "" && e.RowCommit == acknowledger.Waiting:
		return WaitRow, recorder.Unknown
	}
	return InsertTombstone, recorder.Unknown // also after the row's own primary was superseded
}

// AnswerOf returns the Answer for an error response with the SQLSTATE c. If fatal is set, the server
// ended the session with it.
//
// A server that ends the session may have committed the request before, and two SQLSTATEs are defined
// to mean that the outcome is unknown.
func AnswerOf(c string, fatal bool) Answer {
	const (
		statementCompletionUnknown   = "40003"
		transactionResolutionUnknown = "08007"
	)
	if fatal || c == statementCompletionUnknown || c == transactionResolutionUnknown {
		return AnswerLost
	}
	return AnswerRolledBack
}
