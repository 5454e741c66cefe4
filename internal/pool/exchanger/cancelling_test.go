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

// dice draws for several goroutines at a time.
type dice struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (d *dice) draw(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.IntN(n)
}

// pause is between one and n milliseconds.
func (d *dice) pause(n int) time.Duration {
	return time.Duration(1+d.draw(n)) * time.Millisecond
}

// backend is a server process behind one connection. It runs each query for a while
// and is interrupted by a cancel that arrives meanwhile, whoever it was for.
type backend struct {
	conn net.Conn
	dice *dice

	mu        sync.Mutex
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
			a = b.work(n)
		}
		if _, err := b.conn.Write(append(a, follower.ReadyForQuery, 0, 0, 0, 5, Idle)); err != nil {
			return
		}
	}
}

func (b *backend) work(n int) []byte {
	b.mu.Lock()
	b.running, b.interrupt = n, make(chan struct{})
	i := b.interrupt
	b.mu.Unlock()
	defer b.end()
	select {
	case <-i:
		return []byte("E\x00\x00\x00\x0cC57014\x00\x00")
	case <-time.After(b.dice.pause(60)):
		return []byte("C\x00\x00\x00\x06X\x00")
	}
}

func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = 0
}

// arrive lets a cancel take effect, and returns the query that it hit, zero for none.
func (b *backend) arrive() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.running
	if n != 0 {
		b.running = 0
		close(b.interrupt)
	}
	return n
}

// ways are the cancels of one query on their way to the server.
type ways struct {
	t       *testing.T
	backend *backend
	query   int
	dice    *dice
	hits    *atomic.Int64
}

// Cancel takes a while, may not reach the server at all, and may lose sight of a
// request that arrives all the same.
func (w *ways) Cancel(context.Context, string, uint32, uint32) error {
	d := w.dice.pause(100)
	switch w.dice.draw(6) {
	case 0:
		return errors.New("connection refused")
	case 1:
		go w.run(d)
		time.Sleep(w.dice.pause(25))
		return errors.WithType(errors.New("timeout"), dialer.ErrUnseen)
	default:
		time.Sleep(d)
		w.hit()
		return nil
	}
}

func (w *ways) run(d time.Duration) {
	time.Sleep(d)
	w.hit()
}

func (w *ways) hit() {
	switch n := w.backend.arrive(); n {
	case 0:
	case w.query:
		w.hits.Add(1)
	default:
		w.t.Errorf("cancel of query %d hit query %d", w.query, n)
	}
}

type discarded struct{}

func (discarded) Frame(byte, []byte, bool, bool) error { return nil }

// A caller cancels while its answer is on the way, and the cancel arrives after
// the connection went to the next caller. That caller's booking is broken off
// without its doing. Cancels are sent, repeated, lost, or arrive after their sender
// has given up waiting for the server to close their connection.
func TestLateCancelNeverHitsTheNextUse(t *testing.T) {
	var hits atomic.Int64
	replaced := 0
	for seed := range uint64(900) {
		synctest.Test(t, func(t *testing.T) {
			u := &uses{t: t, dice: &dice{source: rand.New(rand.NewPCG(1, seed))}, hits: &hits}
			u.open()
			for n := 1; n <= 20; n++ {
				u.use(n)
			}
			u.conn.Close()
			// The last cancels arrive; virtual time ends with this function.
			time.Sleep(time.Second)
			replaced += u.replaced
		})
	}
	t.Logf("%d hits, %d replaced", hits.Load(), replaced)
	if hits.Load() < 1000 || replaced < 100 {
		t.Errorf("%d cancels hit their query and %d connections were replaced, the test shows nothing", hits.Load(), replaced)
	}
}

// uses are the queries of one caller after the other over a pooled connection.
type uses struct {
	t        *testing.T
	dice     *dice
	hits     *atomic.Int64
	conn     *keeper.Conn
	backend  *backend
	replaced int
}

func (u *uses) open() {
	near, far := net.Pipe()
	u.conn = &keeper.Conn{Conn: &dialer.Conn{Conn: near, Reader: framer.Reader{Source: bufio.NewReader(near)}}}
	u.backend = &backend{conn: far, dice: u.dice}
	go u.backend.run()
}

// use runs query n, which its caller cancels most of the time, and settles the
// connection as its pool does, or leaves that to the next query.
func (u *uses) use(n int) {
	ctx, stop := context.WithTimeout(u.t.Context(), u.dice.pause(80))
	defer stop()
	if u.conn.FinishCancel != nil && u.dice.draw(2) == 0 {
		if err := u.conn.FinishCancel(context.Background()); err != nil {
			u.replace()
		}
		u.conn.FinishCancel = nil
	}
	w := &ways{t: u.t, backend: u.backend, query: n, dice: u.dice, hits: u.hits}
	x := &Exchange{Conn: u.conn, Canceller: w, Batch: &batcher.Batch{}, Output: discarded{}}
	x.Batch.AddQuery(batcher.Pass, strconv.Itoa(n))
	_, err := x.Run(ctx)
	switch {
	case errors.Is(err, ErrNotSent):
		u.replace()
	case err != nil:
		u.t.Errorf("query %d: %v", n, err)
	}
	time.Sleep(u.dice.pause(20))
}

func (u *uses) replace() {
	u.replaced++
	u.conn.Close()
	u.open()
}
