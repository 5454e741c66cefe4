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

// busy is a pool whose connections are granted with a token.
type busy struct {
	pool
	grants chan struct{}
}

func (b *busy) Lease(ctx context.Context, _ lessor.Demand) (lessor.Lease, error) {
	select {
	case <-b.grants:
		return &b.pool, nil
	case <-ctx.Done():
		return nil, unsent{ctx.Err()}
	}
}

func (b *busy) Load() gate.Load { return gate.Load{Slots: 1, Running: 1} }

// unsent marks an error as the lender does.
type unsent struct{ error }

func (u unsent) Unwrap() []error { return []error{u.error, lessor.ErrNotRun} }

// lent serves one lease of p and returns its other end and its result.
func lent(t *rapid.T, p lessor.Lessor, callUp bool) (*asker, net.Conn, chan error) {
	near, far := net.Pipe()
	s := &service{stream: far, conn: messenger.Conn{Stream: far}, pool: p, callUp: callUp}
	done := make(chan error, 1)
	go func() {
		done <- s.serve()
		far.Close()
	}()
	return &asker{T: t, conn: messenger.Conn{Stream: near}}, near, done
}

func (a *asker) expect(want messenger.Kind) []byte {
	k, b, err := a.conn.Read()
	if err != nil || k != want {
		a.Fatalf("message %q, %v, want %q", k, err, want)
	}
	return b
}

// A write waits in the owner's queue with its batch beside it. If it is cancelled
// there, or its host dies, it must vanish: a write that ran after its caller was
// told that it did not would be made twice. One that is granted runs once.
func TestCalledUpBatch(t *testing.T) {
	for _, how := range []string{"granted", "cancelled", "host gone", "cancelled before call"} {
		t.Run(how, rapid.MakeCheck(func(t *rapid.T) {
			p := &busy{grants: make(chan struct{}, 1)}
			a, near, done := lent(t, p, true)
			if how == "cancelled before call" {
				a.cancel(1)
			}
			if how != "cancelled before call" {
				a.expect(messenger.KindRequestBatch)
				a.send("echo")
			}
			switch how {
			case "granted":
				p.grants <- struct{}{}
				a.expect(messenger.KindLeased)
				a.receive("echo", "")
				a.must(a.conn.SendValue(messenger.KindRelease, messenger.Release{Clean: true}))
			case "host gone":
				near.Close()
			default:
				if how == "cancelled" {
					a.cancel(1)
				}
				var f messenger.Failure
				k, b, err := a.conn.Read()
				for k == messenger.KindRequestBatch && how != "cancelled" {
					k, b, err = a.conn.Read()
				}
				a.must(err)
				a.must(encoder.Unmarshal(b, &f))
				if k != messenger.KindRefused || f.Cause != messenger.CauseCancelled {
					t.Errorf("message %q, failure %+v", k, f)
				}
			}
			<-done
			if want := how == "granted"; len(p.sent) == 1 != want || len(p.returns) == 1 != want {
				t.Errorf("sent %q, returned %+v", p.sent, p.returns)
			}
		}))
	}
}

// The connection goes back with the answer where the sender vouches for it and the
// pool sees it idle. A sender that took a lent connection for returned would leave it
// and its locks to nobody.
func TestLeaseEndsWithAnswer(t *testing.T) {
	tests := []struct {
		query              string
		giveBack, returned bool
	}{
		{query: "echo", giveBack: true, returned: true},
		{query: "echo"},
		{query: "open", giveBack: true},
	}
	for _, tt := range tests {
		t.Run(tt.query, rapid.MakeCheck(func(t *rapid.T) {
			p := &pool{}
			a, near, done := lent(t, p, false)
			defer near.Close()
			a.expect(messenger.KindLeased)
			var b batcher.Batch
			b.AddQuery(batcher.Pass, tt.query)
			a.must(a.conn.SendValue(messenger.KindItems, messenger.Items{Items: []messenger.Item{{Type: batcher.Query, Raw: b.Raw(0)}}}))
			a.must(a.conn.SendValue(messenger.KindExecute, messenger.Execute{Sequence: 1, ReturnIfIdle: tt.giveBack}))
			a.begun(tt.query)
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
