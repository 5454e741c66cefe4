package granter

import (
	"context"
	"net"
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// tokenPool is a pool that grants a connection for each token.
type tokenPool struct {
	fakePool
	grants chan struct{}
}

func (b *tokenPool) Lease(ctx context.Context, _ lessor.Demand) (lessor.Lease, error) {
	select {
	case <-b.grants:
		return &b.fakePool, nil
	case <-ctx.Done():
		return nil, notRunError{ctx.Err()}
	}
}

func (b *tokenPool) Load() gate.Load { return gate.Load{Slots: 1, Running: 1} }

// notRunError adds lessor.ErrNotRun to an error, as the lender does.
type notRunError struct{ error }

func (u notRunError) Unwrap() []error { return []error{u.error, lessor.ErrNotRun} }

// startLease serves one lease of p and returns the forwarding host's end and the result of serve.
func startLease(t *rapid.T, p lessor.Lessor, batchHeld bool) (*forwardingHost, net.Conn, chan error) {
	near, far := net.Pipe()
	s := &service{stream: far, conn: messenger.Conn{Stream: far}, pool: p, batchHeld: batchHeld}
	done := make(chan error, 1)
	go func() {
		done <- s.serve()
		far.Close()
	}()
	return &forwardingHost{T: t, conn: messenger.Conn{Stream: near}}, near, done
}

func (a *forwardingHost) expect(want messenger.Kind) []byte {
	k, b, err := a.conn.Read()
	if err != nil || k != want {
		a.Fatalf("message %q, %v, want %q", k, err, want)
	}
	return b
}

// Guards against writes that run twice. The batch of a write that waits in the pool owner's queue
// has already arrived; if the write is cancelled there, or its host fails, the batch must be
// dropped, since the caller is told that it didn't run and may retry it. A granted write runs once.
func TestRequestedBatch(t *testing.T) {
	for _, scenario := range []string{"granted", "cancelled", "host failed", "cancelled before batch request"} {
		t.Run(scenario, rapid.MakeCheck(func(t *rapid.T) {
			p := &tokenPool{grants: make(chan struct{}, 1)}
			a, near, done := startLease(t, p, true)
			if scenario == "cancelled before batch request" {
				a.cancel(1)
			}
			if scenario != "cancelled before batch request" {
				a.expect(messenger.KindRequestBatch)
				a.send("echo")
			}
			switch scenario {
			case "granted":
				p.grants <- struct{}{}
				a.expect(messenger.KindLeased)
				a.receive("echo", "")
				a.must(a.conn.SendValue(messenger.KindRelease, messenger.Release{Clean: true}))
			case "host failed":
				near.Close()
			default:
				if scenario == "cancelled" {
					a.cancel(1)
				}
				var f messenger.Failure
				k, b, err := a.conn.Read()
				for k == messenger.KindRequestBatch && scenario != "cancelled" {
					k, b, err = a.conn.Read()
				}
				a.must(err)
				a.must(encoder.Unmarshal(b, &f))
				if k != messenger.KindRefused || f.Cause != messenger.CauseCancelled {
					t.Errorf("message %q, failure %+v", k, f)
				}
			}
			<-done
			if want := scenario == "granted"; len(p.sent) == 1 != want || len(p.returns) == 1 != want {
				t.Errorf("sent %q, returned %+v", p.sent, p.returns)
			}
		}))
	}
}

// Guards against connections that are never released. The connection is returned with the result
// if the sender allows it and the connection is idle afterwards. If the sender assumed this for a
// connection that is still leased, it and its locks would never be released.
func TestLeaseEndsWithResult(t *testing.T) {
	tests := []struct {
		query                  string
		returnIfIdle, returned bool
	}{
		{query: "echo", returnIfIdle: true, returned: true},
		{query: "echo"},
		{query: "open", returnIfIdle: true},
	}
	for _, tt := range tests {
		t.Run(tt.query, rapid.MakeCheck(func(t *rapid.T) {
			p := &fakePool{}
			a, near, done := startLease(t, p, false)
			defer near.Close()
			a.expect(messenger.KindLeased)
			var b batcher.Batch
			b.AddQuery(batcher.Pass, tt.query)
			a.must(a.conn.SendValue(messenger.KindItems, messenger.Items{Items: []messenger.Item{{Type: batcher.Query, Raw: b.Raw(0)}}}))
			a.must(a.conn.SendValue(messenger.KindExecute, messenger.Execute{Sequence: 1, ReturnIfIdle: tt.returnIfIdle}))
			a.expectOutput(tt.query)
			var r messenger.Result
			a.must(encoder.Unmarshal(a.expect(messenger.KindResult), &r))
			if r.Returned != tt.returned {
				t.Fatalf("result %+v", r)
			}
			if !tt.returned {
				a.must(a.conn.SendValue(messenger.KindRelease, messenger.Release{Clean: tt.query != "open"}))
			}
			if err := <-done; err != nil || len(p.returns) != 1 {
				t.Errorf("error %v, returned %+v", err, p.returns)
			}
		}))
	}
}
