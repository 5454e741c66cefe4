package server

import (
	"bytes"
	"context"
	"testing"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// flaky lends a connection whose first exchange ends as told, and notes what was
// sent over it and over those that follow.
type flaky struct {
	Director
	result exchanger.Result
	err    error
	sent   [][]byte
}

func (f *flaky) Choose(context.Context, Query) (Choice, error) {
	return Choice{Server: "a", Lessor: f, Primary: true}, nil
}

func (f *flaky) Lease(context.Context, lessor.Demand) (lessor.Lease, error) { return f, nil }

func (f *flaky) Parameters() map[string]string { return nil }

func (f *flaky) Release(lessor.Return) {}

func (f *flaky) Exchange(_ context.Context, x lessor.Exchange) (exchanger.Result, error) {
	f.sent = append(f.sent, x.Batch.Append(nil))
	if len(f.sent) == 1 {
		return f.result, f.err
	}
	return exchanger.Result{Status: exchanger.InTransaction}, nil
}

// The first statement of a transaction, with which its BEGIN travels, is lost or
// refused and done again. Without the BEGIN it would commit by itself, and the
// caller's ROLLBACK would undo nothing.
func TestTransactionBeginsAgain(t *testing.T) {
	tests := []struct {
		name   string
		result exchanger.Result
		err    error
	}{
		{name: "not sent", err: exchanger.ErrNotSent},
		{name: "lost", err: exchanger.ErrLost},
		{name: "refused with the exchange", err: errors.WithType(lessor.ErrNotRun, lessor.ErrUnreachable)},
		{name: "fenced primary", result: exchanger.Result{Status: exchanger.Failed, Code: codeReadOnly}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &flaky{result: tt.result, err: tt.err}
			s := &Session{Director: f, status: exchanger.InTransaction, begun: &beginning{sql: "BEGIN ISOLATION LEVEL SERIALIZABLE"}}
			var k classifier.Classifier
			c, err := k.Classify("INSERT INTO t VALUES (1)")
			if err != nil {
				t.Fatal(err)
			}
			p := &plan{parts: []*prepared{{statement: c}}}
			p.batch.AddQuery(batcher.Pass, "INSERT INTO t VALUES (1)")
			if f := s.attempts(t.Context(), p, batcher.Sync); f != nil {
				t.Fatal(f)
			}
			if len(f.sent) != 2 || !bytes.Contains(f.sent[1], []byte("BEGIN ISOLATION LEVEL SERIALIZABLE")) {
				t.Errorf("sent %q", f.sent)
			}
			if s.status != exchanger.InTransaction || s.begun != nil {
				t.Errorf("status %q, begun %+v", s.status, s.begun)
			}
		})
	}
}
