// Package settler decides which outcome of a request follows from what is known of it.
package settler

import (
	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// Answer is the backend server's answer to what could have committed the request.
type Answer string

// Answers of a backend server.
const (
	// AnswerNone: none has come yet.
	AnswerNone Answer = "none"
	// AnswerCommitted: the server committed it, at its own log only.
	AnswerCommitted Answer = "committed"
	// AnswerRolledBack: the server said that it was rolled back and is ready
	// again. A UniqueViolation on the key's own row isn't meant: an earlier attempt
	// may have run, and recorder.Decide tells what to do.
	AnswerRolledBack Answer = "rolled-back"
	// AnswerLost: none will come, the connection is gone or silent.
	AnswerLost Answer = "lost"
)

// Evidence is what is known of one request.
type Evidence struct {
	// Sent says that any byte of the request may have reached a backend server.
	Sent bool
	// CommitSent says that any byte of what could commit it may have: of
	// COMMIT in a transaction block, of the statement itself outside one.
	CommitSent bool
	Answer     Answer
	// Commit is the verdict on the committed mark, with AnswerCommitted.
	Commit acknowledger.CommitState
	// Key is the idempotency key, empty if there is none.
	Key string
	// Row is what the key's row says, found or inserted as a tombstone at a
	// confirmed primary; empty while it isn't known.
	Row recorder.Outcome
	// RowCommit is the verdict on the mark that the primary's log had reached when
	// Row was read or inserted.
	RowCommit acknowledger.CommitState
	// Expired says that the caller's deadline has passed.
	Expired bool
}

// Step is what has to be done next.
type Step string

// Steps of settling.
const (
	// Done: the outcome is final.
	Done Step = "done"
	// WaitAnswer: wait for the server's answer, or probe a silent connection.
	WaitAnswer Step = "wait-answer"
	// WaitCommit: wait for the verdict on the commit.
	WaitCommit Step = "wait-commit"
	// InsertTombstone: insert the key's tombstone at a confirmed primary, and look
	// the row up if there is one.
	InsertTombstone Step = "insert-tombstone"
	// WaitRow: wait for the verdict on the row.
	WaitRow Step = "wait-row"
)

// Next returns what to do next, and with Done the outcome.
//
// NotRun is returned only where nothing can have committed and nothing can
// commit later. In particular a key that isn't found proves nothing while the old
// transaction may still commit, for instance behind a connection gone silent
// under the same primary. So the key is never merely looked up: a tombstone is
// inserted in its place, and the database's own uniqueness decides.
func Next(e Evidence) (Step, recorder.Outcome) {
	switch {
	case !e.Sent, e.Answer == AnswerRolledBack:
		return Done, recorder.NotRun
	case !e.CommitSent && (e.Answer == AnswerLost || e.Expired):
		return Done, recorder.NotRun // and the caller of Next must not send it any more
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

func rowSettled(e Evidence) bool {
	return e.Row != "" && e.RowCommit == acknowledger.Acknowledged
}

func nextByKey(e Evidence) (Step, recorder.Outcome) {
	switch {
	case e.Key == "":
		return Done, recorder.Unknown
	case e.Row != "" && e.RowCommit == acknowledger.Waiting:
		return WaitRow, recorder.Unknown
	}
	return InsertTombstone, recorder.Unknown // also after the row's own primary was superseded
}

// AnswerOf returns what an error answer with the SQLSTATE c says of a
// request; fatal says that the server ended the session with it.
//
// A server that ends the session may have committed before it did so, and two
// SQLSTATEs say themselves that the outcome is open.
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
