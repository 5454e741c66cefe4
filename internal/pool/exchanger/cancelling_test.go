package exchanger

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// randomizer is a random source that several goroutines may use.
type randomizer struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (d *randomizer) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.IntN(n)
}

// delay returns a duration between 1 and n milliseconds.
func (d *randomizer) delay(n int) time.Duration {
	return time.Duration(1+d.intN(n)) * time.Millisecond
}

// backend simulates the server process of one connection. A query takes a random time. A cancel
// request interrupts the query that runs when it arrives, whichever query it was sent for.
type backend struct {
	conn   net.Conn
	random *randomizer

	mu sync.Mutex
	// running is the number of the query that runs, zero for none.
	running   int
	interrupt chan struct{}
}

func (b *backend) run() {
	r := framer.Reader{Source: bufio.NewReader(b.conn)}
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		var a []byte
		if f.Type == batcher.Query {
			n, _ := strconv.Atoi(strings.TrimRight(string(f.Body()), "\x00"))
			a = b.runQuery(n)
		}
		if _, err := b.conn.Write(append(a, follower.ReadyForQuery, 0, 0, 0, 5, Idle)); err != nil {
			return
		}
	}
}

func (b *backend) runQuery(n int) []byte {
	b.mu.Lock()
	b.running, b.interrupt = n, make(chan struct{})
	i := b.interrupt
	b.mu.Unlock()
	defer b.end()
	select {
	case <-i:
		return []byte("E\x00\x00\x00\x0cC57014\x00\x00")
	case <-time.After(b.random.delay(60)):
		return []byte("C\x00\x00\x00\x06X\x00")
	}
}

func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = 0
}

// cancelRunning interrupts the running query and returns its number, zero for none.
func (b *backend) cancelRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.running
	if n != 0 {
		b.running = 0
		close(b.interrupt)
	}
	return n
}

// unreliableCanceller sends the cancel requests of one query with delays and losses.
type unreliableCanceller struct {
	t       *testing.T
	backend *backend
	query   int
	random  *randomizer
	hits    *atomic.Int64
}

// Cancel delivers a cancel request after a random delay, fails to connect, or returns
// ErrCancelUnconfirmed although the request arrives later.
func (w *unreliableCanceller) Cancel(context.Context, string, uint32, uint32) error {
	d := w.random.delay(100)
	switch w.random.intN(6) {
	case 0:
		return errors.New("connection refused")
	case 1:
		go w.hitAfter(d)
		time.Sleep(w.random.delay(25))
		return errors.WithType(errors.New("timeout"), dialer.ErrCancelUnconfirmed)
	default:
		time.Sleep(d)
		w.hit()
		return nil
	}
}

func (w *unreliableCanceller) hitAfter(d time.Duration) {
	time.Sleep(d)
	w.hit()
}

func (w *unreliableCanceller) hit() {
	switch n := w.backend.cancelRunning(); n {
	case 0:
	case w.query:
		w.hits.Add(1)
	default:
		w.t.Errorf("cancel of query %d hit query %d", w.query, n)
	}
}

// discarded is an Output that drops the answer.
type discarded struct{}

func (discarded) Frame(byte, []byte, bool, bool) error { return nil }

// A caller cancels while its answer is in flight, and the cancel request arrives after the
// connection was given to the next caller, whose statement is then cancelled by mistake. Cancel
// requests are repeated, lost, or arrive after their sender has timed out waiting for the server to
// close the cancel connection.
func TestLateCancelNeverHitsTheNextUse(t *testing.T) {
	var hits atomic.Int64
	replaced := 0
	for seed := range uint64(900) {
		synctest.Test(t, func(t *testing.T) {
			u := &sharedConnection{t: t, random: &randomizer{source: rand.New(rand.NewPCG(1, seed))}, hits: &hits}
			u.open()
			for n := 1; n <= 20; n++ {
				u.runQuery(n)
			}
			u.conn.Close()
			// Lets the last cancel requests arrive, since virtual time ends with this function.
			time.Sleep(time.Second)
			replaced += u.replaced
		})
	}
	t.Logf("%d hits, %d replaced", hits.Load(), replaced)
	if hits.Load() < 1000 || replaced < 100 {
		t.Errorf("%d cancels hit their query and %d connections were replaced, too few for the test to be meaningful", hits.Load(), replaced)
	}
}

// sharedConnection is a pooled connection on which several callers run queries in turn.
type sharedConnection struct {
	t       *testing.T
	random  *randomizer
	hits    *atomic.Int64
	conn    *keeper.Conn
	backend *backend
	// replaced counts the connections that had to be closed.
	replaced int
}

func (u *sharedConnection) open() {
	near, far := net.Pipe()
	u.conn = &keeper.Conn{Conn: &dialer.Conn{Conn: near, Reader: framer.Reader{Source: bufio.NewReader(near)}}}
	u.backend = &backend{conn: far, random: u.random}
	go u.backend.run()
}

// runQuery runs query n, which its caller usually cancels. At random, it settles the connection
// first, as the pool does, or leaves that to the Exchange.
func (u *sharedConnection) runQuery(n int) {
	ctx, stop := context.WithTimeout(u.t.Context(), u.random.delay(80))
	defer stop()
	if u.conn.FinishCancel != nil && u.random.intN(2) == 0 {
		if err := u.conn.FinishCancel(context.Background()); err != nil {
			u.replace()
		}
		u.conn.FinishCancel = nil
	}
	w := &unreliableCanceller{t: u.t, backend: u.backend, query: n, random: u.random, hits: u.hits}
	x := &Exchange{Conn: u.conn, Canceller: w, Batch: &batcher.Batch{}, Output: discarded{}}
	x.Batch.AddQuery(batcher.Pass, strconv.Itoa(n))
	_, err := x.Run(ctx)
	switch {
	case errors.Is(err, ErrNotSent):
		u.replace()
	case err != nil:
		u.t.Errorf("query %d: %v", n, err)
	}
	time.Sleep(u.random.delay(20))
}

func (u *sharedConnection) replace() {
	u.replaced++
	u.conn.Close()
	u.open()
}
