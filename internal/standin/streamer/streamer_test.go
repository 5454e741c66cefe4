package streamer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/standin/injector"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
	"github.com/cuminwick/cuminwick/internal/standin/streamer"
)

const (
	// readBytes every readTime is what the line carries: 400 kB/s.
	readBytes = 4 << 10
	readTime  = 10 * time.Millisecond
)

// primary serves the streams of the replicas that dial it.
type primary struct {
	context context.Context
	store   *replicator.Store
	faults  injector.Faults
}

// dial opens a stream over a slow line.
func (p *primary) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go p.run(p.context, far)
	return &slow{Conn: near}, nil
}

func (p *primary) run(ctx context.Context, c net.Conn) {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	s := &streamer.Sender{Store: p.store, Faults: &p.faults, Conn: c, Backend: b}
	_ = s.Run(ctx)
}

// slow is a connection that takes its time to deliver.
type slow struct {
	net.Conn
}

func (s *slow) Read(b []byte) (int, error) {
	_ = scheduler.Pause(context.Background(), readTime)
	return s.Conn.Read(b[:min(len(b), readBytes)])
}

// group is a primary and one replica that follows it.
type group struct {
	primary primary
	replica *replicator.Store
	faults  injector.Faults
}

func startGroup(ctx context.Context, t *testing.T) *group {
	t.Helper()
	g := &group{primary: primary{context: ctx, store: &replicator.Store{Name: "db-1"}}, replica: &replicator.Store{Name: "db-2"}}
	g.primary.store.Start(1)
	if _, err := g.replica.Follow(1, replicator.PrimaryServer{Name: "db-1"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	p := &streamer.Puller{Store: g.replica, Faults: &g.faults, Dial: g.primary.dial}
	go p.Run(ctx)
	return g
}

// end stops the group and lets reads that are on their way come back.
func end(stop context.CancelFunc) {
	stop()
	time.Sleep(2 * readTime)
}

// write commits one record of n bytes.
func (g *group) write(t *testing.T, n int) {
	t.Helper()
	x := g.primary.store.Begin()
	x.Add(replicator.Change{Kind: replicator.CreateTable, Table: strings.Repeat("x", n), Definition: &replicator.Definition{}})
	if _, err := x.Commit(); err != nil {
		t.Fatal(err)
	}
}

// silence is how long ago the replica heard its primary.
func (g *group) silence() time.Duration {
	now := time.Now()
	return g.replica.Status(now).SinceLastContact
}

// A COPY of 2 MB is one record, and a slow line carries it in five seconds. A
// replica that counts only whole frames hears nothing for so long, and ends the
// stream; entry hosts take the primary for isolated, replace it, and the
// caller's COPY is answered as unknown.
func TestLargeRecordIsHeardWhileItComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer end(stop)
		g := startGroup(ctx, t)
		time.Sleep(time.Second)
		g.write(t, 2<<20)
		for range 800 {
			time.Sleep(readTime)
			if d := g.silence(); d > 100*time.Millisecond {
				t.Fatalf("replica hasn't heard its primary for %v", d)
			}
		}
		if g.replica.Last() != g.primary.store.Last() {
			t.Errorf("replica at %s, primary at %s", g.replica.Last(), g.primary.store.Last())
		}
	})
}

// A primary is fenced, or its replica is, while a large record is on its way.
// What still comes of it must neither count as hearing the primary, or entry
// hosts would wait for one that can't acknowledge, nor be taken over.
func TestBytesOfAnEarlierTermAreNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer end(stop)
		g := startGroup(ctx, t)
		time.Sleep(time.Second)
		last := g.replica.Last()
		g.write(t, 2<<20)
		time.Sleep(time.Second)
		if _, err := g.replica.RaiseTerm(2, time.Now()); err != nil {
			t.Fatal(err)
		}
		raised := time.Now()
		time.Sleep(time.Second)
		if d := g.silence(); d < time.Since(raised) {
			t.Errorf("heard a primary of an earlier term %v ago", d)
		}
		if g.replica.Last() != last {
			t.Errorf("took over %s after the fence", g.replica.Last())
		}
	})
}

// A replica is paused, or cut off from its peers, while a large record is on its
// way. Bytes that the kernel still takes are no word of the primary to it.
func TestPausedOrIsolatedReplicaHearsNothing(t *testing.T) {
	for _, s := range []injector.Settings{{Paused: true}, {Isolated: true}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer end(stop)
			g := startGroup(ctx, t)
			time.Sleep(time.Second)
			g.write(t, 2<<20)
			time.Sleep(time.Second)
			g.faults.Change(func(f *injector.Settings) { *f = s })
			time.Sleep(400 * time.Millisecond)
			if d := g.silence(); d < 390*time.Millisecond {
				t.Errorf("%+v: heard the primary %v ago", s, d)
			}
		})
	}
}
