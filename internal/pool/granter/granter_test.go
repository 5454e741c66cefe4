package granter

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

// fakePool leases one fake connection, which echoes batches. A batch that begins with "wait" ends
// only when it is cancelled, one with "hold" when it receives a token. The batch "open" leaves a
// transaction open, so that its connection isn't returned to the pool.
type fakePool struct {
	tokens    chan struct{}
	mu        sync.Mutex
	returns   []lessor.Return
	cancelled []string
	sent      []string
}

func (p *fakePool) Lease(ctx context.Context, _ lessor.Demand) (lessor.Lease, error) {
	return p, ctx.Err()
}

func (p *fakePool) Parameters() map[string]string { return nil }

func (p *fakePool) Release(r lessor.Return) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returns = append(p.returns, r)
}

func (p *fakePool) Exchange(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	q := "none"
	if len(x.Batch.Items) > 0 && len(x.Batch.Raw(0)) > 4 {
		q = strings.TrimRight(string(x.Batch.Body(0)), "\x00")
	}
	p.mu.Lock()
	p.sent = append(p.sent, q)
	p.mu.Unlock()
	for i := range 3 {
		if err := x.Output.Frame('D', []byte(q+strconv.Itoa(i)), true, true); err != nil {
			return exchanger.Result{}, err
		}
	}
	switch q[:min(4, len(q))] {
	case "wait":
		<-ctx.Done()
	case "hold":
		<-p.tokens
	}
	if ctx.Err() != nil {
		p.mu.Lock()
		p.cancelled = append(p.cancelled, q)
		p.mu.Unlock()
		return exchanger.Result{Status: 'I', Code: "57014", Tag: q}, nil
	}
	r := exchanger.Result{Status: 'I', Tag: q, Returned: x.ReturnIfIdle}
	if q == "open" {
		r.Status, r.Returned = 'T', false
	}
	return r, nil
}

// forwardingHost is the forwarding host's end of a lease.
type forwardingHost struct {
	*rapid.T
	conn     messenger.Conn
	sequence uint64
}

func (a *forwardingHost) send(q string) {
	a.sequence++
	var b batcher.Batch
	b.AddQuery(batcher.Pass, q)
	m := messenger.Items{Items: []messenger.Item{{Type: batcher.Query, Raw: b.Raw(0)}}}
	a.must(a.conn.SendValue(messenger.KindItems, m))
	a.must(a.conn.SendValue(messenger.KindExecute, messenger.Execute{Sequence: a.sequence}))
}

func (a *forwardingHost) cancel(n uint64) {
	a.must(a.conn.SendValue(messenger.KindCancel, messenger.Cancel{Sequence: n}))
}

// expectOutput reads the output of q, after which q is in progress.
func (a *forwardingHost) expectOutput(q string) {
	for i := range 3 {
		if k, b, err := a.conn.Read(); err != nil || k != messenger.KindOutput || string(b[2:]) != q+strconv.Itoa(i) {
			a.Fatalf("output %q %q to %q, %v", k, b, q, err)
		}
	}
}

// receive reads the response to q and fails if it contains parts of another one.
func (a *forwardingHost) receive(q, code string) {
	for i := 0; ; i++ {
		k, b, err := a.conn.Read()
		a.must(err)
		if k == messenger.KindOutput {
			if got := string(b[2:]); got != q+strconv.Itoa(i) {
				a.Fatalf("output %q to %q", got, q)
			}
			continue
		}
		var r messenger.Result
		a.must(encoder.Unmarshal(b, &r))
		if r.Sequence != a.sequence || r.Tag != q && r.Failure == nil || r.Code != code && r.Failure == nil {
			a.Fatalf("result %+v to %d %q, want code %q", r, a.sequence, q, code)
		}
		return
	}
}

func (a *forwardingHost) must(err error) {
	if err != nil {
		a.Fatal(err)
	}
}

// Guards against cancels that end the wrong exchange and against leases that are never released.
// Many cancels arrive when the response is already on its way, and would then end the next request
// of the lease; a forwarding host can fail at any moment, and its lease would keep its connection
// and locks forever.
func TestCancelsAndLossesOfLeases(t *testing.T) {
	rapid.Check(t, checkLease)
}

func checkLease(t *rapid.T) {
	near, far := net.Pipe()
	p := &fakePool{tokens: make(chan struct{}, 1)}
	s := &service{stream: far, conn: messenger.Conn{Stream: far}, pool: p}
	done := make(chan error, 1)
	go func() {
		done <- s.serve()
		far.Close()
	}()
	a := &forwardingHost{T: t, conn: messenger.Conn{Stream: near}}
	if k, _, err := a.conn.Read(); err != nil || k != messenger.KindLeased {
		t.Fatalf("message %q, %v", k, err)
	}
	want := 0
	for i := range rapid.IntRange(0, 6).Draw(t, "exchanges") {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			q := fmt.Sprintf("echo%d-", i)
			a.send(q)
			a.receive(q, "")
		case 1:
			q := fmt.Sprintf("wait%d-", i)
			a.send(q)
			a.cancel(a.sequence)
			a.receive(q, "57014")
			want++
		case 2:
			q := fmt.Sprintf("echo%d-", i)
			a.cancel(a.sequence)
			a.send(q)
			a.receive(q, "")
		case 3:
			q := fmt.Sprintf("hold%d-", i)
			a.send(q)
			a.expectOutput(q)
			a.cancel(a.sequence - 1)
			// The pipe accepts this cancel only when the previous one has been handled.
			a.cancel(0)
			p.tokens <- struct{}{}
			a.receive(q, "")
		}
	}
	ending := rapid.SampledFrom([]string{"release", "close", "close in exchange"}).Draw(t, "end")
	switch ending {
	case "release":
		a.must(a.conn.SendValue(messenger.KindRelease, messenger.Release{Clean: true}))
	case "close in exchange":
		a.send("wait")
	}
	if ending != "release" {
		near.Close()
	}
	err := <-done
	near.Close()
	if (err == nil) != (ending == "release") {
		t.Errorf("%s: error %v", ending, err)
	}
	if len(p.returns) != 1 || p.returns[0].Clean != (ending == "release") {
		t.Errorf("%s: returned %+v", ending, p.returns)
	}
	for _, q := range p.cancelled {
		if !strings.HasPrefix(q, "wait") {
			t.Errorf("%q was cancelled", q)
		}
	}
	if n := len(p.cancelled); n > want+1 {
		t.Errorf("%d exchanges cancelled, want %d", n, want)
	}
}
