package follower_test

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
)

// follow passes the types of a backend server's messages to a Follower and returns those that the
// caller gets, synthesized ones in square brackets.
func follow(t *testing.T, b *batcher.Batch, messages string) string {
	t.Helper()
	f := follower.Follower{Batch: b}
	got := ""
	inject := func() {
		for m, ok := f.NextInjected(); ok; m, ok = f.NextInjected() {
			got += "[" + string(m) + "]"
		}
	}
	inject()
	for i := range len(messages) {
		if f.Accept(messages[i]) {
			got += messages[i : i+1]
		}
		inject()
	}
	if !f.Done() {
		t.Errorf("batch isn't answered by %q", messages)
	}
	return got
}

// newBatch returns a batch of messages with the types in items. Items without an element in answers
// have Pass.
func newBatch(items string, answers ...batcher.Answer) *batcher.Batch {
	b := &batcher.Batch{}
	for i := range len(items) {
		a := batcher.Pass
		if i < len(answers) {
			a = answers[i]
		}
		b.AddBody(items[i], a, []byte("x\x00"))
	}
	return b
}

func TestFollow(t *testing.T) {
	tests := []struct {
		name           string
		batch          *batcher.Batch
		messages, want string
	}{
		{name: "simple query", batch: newBatch("Q"), messages: "TDDCZ", want: "TDDCZ"},
		{name: "several statements in a query", batch: newBatch("Q"), messages: "TDCCZ", want: "TDCCZ"},
		{name: "extended query", batch: newBatch("PBDES"), messages: "12TDCZ", want: "12TDCZ"},
		{name: "parse the caller didn't send", batch: newBatch("PBDES", batcher.Discard), messages: "12TDCZ", want: "2TDCZ"},
		{name: "parse that isn't sent", batch: newBatch("PBDES", batcher.Inject), messages: "2TDCZ", want: "[1]2TDCZ"},
		{name: "parse neither sent nor answered", batch: newBatch("PBES", batcher.Omit), messages: "2CZ", want: "2CZ"},
		{name: "close that isn't sent", batch: newBatch("BEC", batcher.Pass, batcher.Pass, batcher.Inject), messages: "2C", want: "2C[3]"},
		{name: "error skips up to the sync", batch: newBatch("PBEPBES", batcher.Discard), messages: "EZ", want: "EZ"},
		{name: "nothing synthesized after an error", batch: newBatch("PBECS", batcher.Pass, batcher.Pass, batcher.Pass, batcher.Inject), messages: "1EZ", want: "1EZ"},
		{name: "notices and parameter statuses between answers", batch: newBatch("PBES", batcher.Discard), messages: "N1S2CZ", want: "NS2CZ"},
		{name: "flush", batch: newBatch("PDH"), messages: "1tT", want: "1tT"},
		{name: "query with begin", batch: newBatch("Q").WithBegin("BEGIN"), messages: "CTDCZ", want: "TDCZ"},
		{name: "query with begin that fails at begin", batch: newBatch("Q").WithBegin("BEGIN"), messages: "EZ", want: "EZ"},
		{name: "extended query with begin", batch: newBatch("PBES").WithBegin("BEGIN"), messages: "12C12CZ", want: "12CZ"},
		{name: "extended query with begin that fails at begin", batch: newBatch("PBES").WithBegin("BEGIN"), messages: "12EZ", want: "EZ"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := follow(t, tt.batch, tt.messages); got != tt.want {
				t.Errorf("caller gets %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a BEGIN that is cancelled on its own, while the first statement of its transaction is
// already sent. The statement would then run outside a transaction and take effect, although the caller
// received the answer that it was cancelled.
func TestBeginStandsInTheRequestOfItsStatement(t *testing.T) {
	q := newBatch("Q").WithBegin("BEGIN")
	if len(q.Items) != 1 || string(q.Body(0)) != "BEGIN; x\x00" {
		t.Errorf("simple query has body %q and %d items, want BEGIN and the query in one item", q.Body(0), len(q.Items))
	}
	e := newBatch("PBES").WithBegin("BEGIN")
	for i := range e.Items {
		if s := e.Items[i].Type == batcher.Sync; s != (i == len(e.Items)-1) {
			t.Errorf("item %d has type %q, want one Sync, at the end", i, e.Items[i].Type)
		}
	}
}

// Guards against messages that answer something else: after one, each answer belongs to the request
// before. Every message of an answer must be expected where PostgreSQL sends it.
func TestExpects(t *testing.T) {
	tests := []struct {
		name  string
		batch *batcher.Batch
		// messages are expected, except for the last one if surplus is set.
		messages string
		surplus  bool
	}{
		{name: "rows", batch: newBatch("Q"), messages: "TDDCZ"},
		{name: "no rows", batch: newBatch("Q"), messages: "TCZ"},
		{name: "several results", batch: newBatch("Q"), messages: "CTDCICZ"},
		{name: "error after a result", batch: newBatch("Q"), messages: "TDCTDEZ"},
		{name: "copy in", batch: newBatch("Q"), messages: "GCZ"},
		{name: "copy in that fails", batch: newBatch("Q"), messages: "GEZ"},
		{name: "copy out", batch: newBatch("Q"), messages: "HdddcCZ"},
		{name: "messages of the server's own", batch: newBatch("Q"), messages: "NSATNDASCNSAZ"},
		{name: "extended", batch: newBatch("PBDES"), messages: "12TDDCZ"},
		{name: "description of a statement", batch: newBatch("PDS"), messages: "1tTZ"},
		{name: "description without rows", batch: newBatch("PDS"), messages: "1tnZ"},
		{name: "suspended portal", batch: newBatch("BEES"), messages: "2DsDCZ"},
		{name: "error of the implicit commit", batch: newBatch("PBES"), messages: "12CEZ"},
		{name: "copy out by execute", batch: newBatch("PBES"), messages: "12HdcCZ"},
		{name: "close", batch: newBatch("CS"), messages: "3Z"},
		{name: "ready first", batch: newBatch("Q"), messages: "Z", surplus: true},
		{name: "ready within rows", batch: newBatch("Q"), messages: "TDZ", surplus: true},
		{name: "second ready", batch: newBatch("Q"), messages: "CZZ", surplus: true},
		{name: "row without description", batch: newBatch("Q"), messages: "D", surplus: true},
		{name: "row after a result", batch: newBatch("Q"), messages: "TDCD", surplus: true},
		{name: "description within rows", batch: newBatch("Q"), messages: "TDT", surplus: true},
		{name: "second error", batch: newBatch("Q"), messages: "EE", surplus: true},
		{name: "result after an error", batch: newBatch("Q"), messages: "ET", surplus: true},
		{name: "copy data without copy out", batch: newBatch("Q"), messages: "Td", surplus: true},
		{name: "copy both", batch: newBatch("Q"), messages: "W", surplus: true},
		{name: "parse complete to a query", batch: newBatch("Q"), messages: "1", surplus: true},
		{name: "authentication", batch: newBatch("Q"), messages: "R", surplus: true},
		{name: "key", batch: newBatch("Q"), messages: "K", surplus: true},
		{name: "command complete to a parse", batch: newBatch("PBES"), messages: "C", surplus: true},
		{name: "second parse complete", batch: newBatch("PBES"), messages: "11", surplus: true},
		{name: "second command complete", batch: newBatch("PBES"), messages: "12CC", surplus: true},
		{name: "description of an execute", batch: newBatch("PBES"), messages: "12T", surplus: true},
		{name: "second parameter description", batch: newBatch("PDS"), messages: "1tt", surplus: true},
		{name: "ready instead of a bind complete", batch: newBatch("PBES"), messages: "1Z", surplus: true},
		{name: "answer after an error", batch: newBatch("PBES"), messages: "1E2", surplus: true},
		{name: "answer after a flush", batch: newBatch("PH"), messages: "11", surplus: true},
		{name: "answer to what isn't sent", batch: newBatch("PBES", batcher.Inject), messages: "1", surplus: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := follower.Follower{Batch: tt.batch}
			for i := range len(tt.messages) {
				for _, ok := f.NextInjected(); ok; _, ok = f.NextInjected() {
				}
				if want := i < len(tt.messages)-1 || !tt.surplus; f.Expects(tt.messages[i]) != want {
					t.Fatalf("message %d of %q: expected %t", i, tt.messages, !want)
				}
				f.Accept(tt.messages[i])
			}
			if f.NextInjected(); !tt.surplus && !f.Done() {
				t.Error("batch isn't answered")
			}
		})
	}
}
