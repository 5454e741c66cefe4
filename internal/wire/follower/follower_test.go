package follower_test

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
)

// follow feeds the types of a server's messages and returns those that the
// caller gets, made-up ones in lower case brackets.
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
		t.Errorf("batch not answered by %q", messages)
	}
	return got
}

func batch(items string, answers ...batcher.Answer) *batcher.Batch {
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
		{name: "simple query", batch: batch("Q"), messages: "TDDCZ", want: "TDDCZ"},
		{name: "several statements in a query", batch: batch("Q"), messages: "TDCCZ", want: "TDCCZ"},
		{name: "extended query", batch: batch("PBDES"), messages: "12TDCZ", want: "12TDCZ"},
		{name: "parse the caller didn't send", batch: batch("PBDES", batcher.Discard), messages: "12TDCZ", want: "2TDCZ"},
		{name: "parse that isn't sent", batch: batch("PBDES", batcher.Inject), messages: "2TDCZ", want: "[1]2TDCZ"},
		{name: "parse neither sent nor answered", batch: batch("PBES", batcher.Omit), messages: "2CZ", want: "2CZ"},
		{name: "close answered in its place", batch: batch("BEC", batcher.Pass, batcher.Pass, batcher.Inject), messages: "2C", want: "2C[3]"},
		{name: "error skips to the sync", batch: batch("PBEPBES", batcher.Discard), messages: "EZ", want: "EZ"},
		{name: "nothing made up after an error", batch: batch("PBECS", batcher.Pass, batcher.Pass, batcher.Pass, batcher.Inject), messages: "1EZ", want: "1EZ"},
		{name: "notices and parameters at any time", batch: batch("PBES", batcher.Discard), messages: "N1S2CZ", want: "NS2CZ"},
		{name: "flush", batch: batch("PDH"), messages: "1tT", want: "1tT"},
		{name: "begun query", batch: batch("Q").WithBegin("BEGIN"), messages: "CTDCZ", want: "TDCZ"},
		{name: "begun query that fails at begin", batch: batch("Q").WithBegin("BEGIN"), messages: "EZ", want: "EZ"},
		{name: "begun extended query", batch: batch("PBES").WithBegin("BEGIN"), messages: "12C12CZ", want: "12CZ"},
		{name: "begun extended query that fails at begin", batch: batch("PBES").WithBegin("BEGIN"), messages: "12EZ", want: "EZ"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := follow(t, tt.batch, tt.messages); got != tt.want {
				t.Errorf("caller gets %q, want %q", got, tt.want)
			}
		})
	}
}

// A BEGIN is cancelled while the first statement of its transaction is already
// under way. Outside a transaction the statement would take effect at once,
// although its caller was told that it was cancelled.
func TestBeginStandsInTheRequestOfItsStatement(t *testing.T) {
	q := batch("Q").WithBegin("BEGIN")
	if len(q.Items) != 1 || string(q.Body(0)) != "BEGIN; x\x00" {
		t.Errorf("simple query %q in %d items", q.Body(0), len(q.Items))
	}
	e := batch("PBES").WithBegin("BEGIN")
	for i := range e.Items {
		if s := e.Items[i].Type == batcher.Sync; s != (i == len(e.Items)-1) {
			t.Errorf("item %d is %q", i, e.Items[i].Type)
		}
	}
}
