package settler

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

func TestNext(t *testing.T) {
	const (
		ack  = acknowledger.Acknowledged
		wait = acknowledger.Waiting
		gone = acknowledger.Superseded
		open = acknowledger.Undetermined
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
		{"commit superseded", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: gone}, Done, recorder.NotRun},
		{"commit undetermined without key", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: open}, Done, recorder.Unknown},
		{"commit undetermined with key", Evidence{Sent: true, CommitSent: true, Answer: AnswerCommitted, Commit: open, Key: "k"}, InsertTombstone, recorder.Unknown},
		{"answer lost without key", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost}, Done, recorder.Unknown},
		{"answer lost with key", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k"}, InsertTombstone, recorder.Unknown},
		{"tombstone not held yet", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.NotRun, RowCommit: wait}, WaitRow, recorder.Unknown},
		{"tombstone's primary superseded", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.NotRun, RowCommit: gone}, InsertTombstone, recorder.Unknown},
		{"tombstone held", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.NotRun, RowCommit: ack}, Done, recorder.NotRun},
		{"row says ran and is held", Evidence{Sent: true, CommitSent: true, Answer: AnswerLost, Key: "k", Row: recorder.Ran, RowCommit: ack}, Done, recorder.Ran},
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
