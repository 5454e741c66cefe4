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

// failOnce leases connections whose first exchange ends with result and err. It records the batches
// that are sent.
type failOnce struct {
	Director
	result exchanger.Result
	err    error
	sent   [][]byte
}

func (f *failOnce) Choose(context.Context, Query) (Choice, error) {
	return Choice{Server: "a", Lessor: f, Primary: true}, nil
}

func (f *failOnce) Lease(context.Context, lessor.Demand) (lessor.Lease, error) { return f, nil }

func (f *failOnce) Parameters() map[string]string { return nil }

func (f *failOnce) Release(lessor.Return) {}

func (f *failOnce) Exchange(_ context.Context, x lessor.Exchange) (exchanger.Result, error) {
	f.sent = append(f.sent, x.Batch.AppendTo(nil))
	if len(f.sent) == 1 {
		return f.result, f.err
	}
	return exchanger.Result{Status: exchanger.InTransaction}, nil
}

// The first statement of a transaction, which is sent together with the BEGIN, is lost or refused
// and sent again. Without the BEGIN it would commit on its own, and the caller's ROLLBACK would
// have no effect.
func TestTransactionBeginsAgain(t *testing.T) {
	tests := []struct {
		name   string
		result exchanger.Result
		err    error
	}{
		{name: "not sent", err: exchanger.ErrNotSent},
		{name: "lost", err: exchanger.ErrLost},
		{name: "lease refused at the exchange", err: errors.WithType(lessor.ErrNotRun, lessor.ErrUnreachable)},
		{name: "fenced primary", result: exchanger.Result{Status: exchanger.Failed, Code: codeReadOnly}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &failOnce{result: tt.result, err: tt.err}
			s := &Session{Director: f, status: exchanger.InTransaction, deferredBegin: &deferredBegin{sql: "BEGIN ISOLATION LEVEL SERIALIZABLE"}}
			var k classifier.Classifier
			c, err := k.Classify("INSERT INTO t VALUES (1)")
			if err != nil {
				t.Fatal(err)
			}
			p := &plan{executed: []*prepared{{statement: c}}}
			p.batch.AddQuery(batcher.Pass, "INSERT INTO t VALUES (1)")
			if f := s.runAttempts(t.Context(), p, batcher.Sync); f != nil {
				t.Fatal(f)
			}
			if len(f.sent) != 2 || !bytes.Contains(f.sent[1], []byte("BEGIN ISOLATION LEVEL SERIALIZABLE")) {
				t.Errorf("batches sent: %q", f.sent)
			}
			if s.status != exchanger.InTransaction || s.deferredBegin != nil {
				t.Errorf("transaction state %q, deferred BEGIN %+v", s.status, s.deferredBegin)
			}
		})
	}
}
