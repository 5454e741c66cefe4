package settler

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// A request that is reported as not run is run again by its caller. If Next returned NotRun for a
// request that has committed or may still commit, the request would run twice; if it returned Ran for
// one without an acknowledged commit, a failover could lose it.
func TestNext(t *testing.T) {
	const (
		ack          = acknowledger.Acknowledged
		wait         = acknowledger.Waiting
		superseded   = acknowledger.Superseded
		undetermined = acknowledger.Undetermined
	)
	tests := []struct {
		name     string
		evidence Evidence
		step     Step
		outcome  recorder.Outcome
	}{
		{"nothing sent", Evidence{Answer: AnswerNone}, Done, recorder.NotRun},
		{"rolled back", Evidence{Sent: true, CommitSent: true, Answer: AnswerRolledBack}, Done, recorder.NotRun},
		{"connection lost before COMMIT", Evidence{Sent: true, Answer: AnswerLost}, Done, recorder.NotRun},
		{"deadline before COMMIT", Evidence{Sent: true, Answer: AnswerNone, Expired: true}, Done, recorder.NotRun},
		{"no answer yet", Evidence{Sent: true, CommitSent: true, Answer: AnswerNone}, WaitAnswer, recorder.Unknown},
		{"no answer by the deadline", Evidence{Sent: true, CommitSent: true, Answer: AnswerNone, Key: "k", Expired: true}, Done, recorder.Unknown},
		{"commit acknowledged", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: ack}, Done, recorder.Ran},
		{"commit acknowledged after the deadline", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: ack, Expired: true}, Done, recorder.Ran},
		{"commit waits", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: wait}, WaitCommit, recorder.Unknown},
		{"replicas lag past the deadline", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: wait, Expired: true}, Done, recorder.Unknown},
		{"commit superseded", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: superseded}, Done, recorder.NotRun},
		{"commit undetermined without key", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: undetermined}, Done, recorder.Unknown},
		{"commit undetermined with key", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: undetermined, Key: "k"}, InsertTombstone, recorder.Unknown},
		{"answer lost without key", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost}, Done, recorder.Unknown},
		{"answer lost with key", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k"}, InsertTombstone, recorder.Unknown},
		{"tombstone not acknowledged yet", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.NotRun, RowCommit: wait}, WaitRow, recorder.Unknown},
		{"tombstone's primary superseded", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.NotRun, RowCommit: superseded}, InsertTombstone, recorder.Unknown},
		{"tombstone acknowledged", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.NotRun, RowCommit: ack}, Done, recorder.NotRun},
		{"row with outcome ran acknowledged", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.Ran, RowCommit: ack}, Done, recorder.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, o := Next(tt.evidence)
			if s != tt.step || o != tt.outcome {
				t.Errorf("Next = %s, %s; want %s, %s", s, o, tt.step, tt.outcome)
			}
		})
	}
}

// An error response that leaves the outcome open must not be taken for a rollback, because the request
// would then be run again.
func TestAnswerOf(t *testing.T) {
	tests := []struct {
		code  string
		fatal bool
		want  Answer
	}{
		{"23505", false, AnswerRolledBack},
		{"25006", false, AnswerRolledBack},
		{"40003", false, AnswerLost},
		{"08007", false, AnswerLost},
		{"57P01", true, AnswerLost},
	}
	for _, tt := range tests {
		t.Run(tt.code, func(t *testing.T) {
			if got := AnswerOf(tt.code, tt.fatal); got != tt.want {
				t.Errorf("AnswerOf = %s, want %s", got, tt.want)
			}
		})
	}
}
