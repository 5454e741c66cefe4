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
	// The slow connection delivers readBytes every readTime, about 400 kB/s.
	readBytes = 4 << 10
	readTime  = 10 * time.Millisecond
)

// primary serves the streams of the replicas that dial it.
type primary struct {
	context context.Context
	store   *replicator.Store
	faults  injector.Faults
}

// dial connects a replica over a slow connection.
func (p *primary) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go p.run(p.context, far)
	return &slowConn{Conn: near}, nil
}

// run serves one stream until ctx ends.
func (p *primary) run(ctx context.Context, c net.Conn) {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	s := &streamer.Sender{Store: p.store, Faults: &p.faults, Conn: c, Backend: b}
	_ = s.Run(ctx)
}

// slowConn is a connection that delivers at most readBytes every readTime.
type slowConn struct {
	net.Conn
}

func (s *slowConn) Read(b []byte) (int, error) {
	_ = scheduler.Pause(context.Background(), readTime)
	return s.Conn.Read(b[:min(len(b), readBytes)])
}

// group is a primary and one replica that follows it.
type group struct {
	primary primary
	replica *replicator.Store
	faults  injector.Faults
}

// startGroup starts a primary and a replica until ctx ends.
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

// stopGroup stops the group and waits until reads in progress have returned.
func stopGroup(stop context.CancelFunc) {
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

// sinceContact returns the time since the replica's last contact with its primary.
func (g *group) sinceContact() time.Duration {
	now := time.Now()
	return g.replica.Status(now).SinceLastContact
}

// A COPY of 2 MB is one record, which a slow connection transfers in five seconds. Guards against a
// replica that counts only whole frames as contact: it would end the stream, entry hosts would assume
// that the primary is isolated and replace it, and the client's COPY would have an unknown outcome.
func TestPartsOfALargeRecordCountAsContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stopGroup(stop)
		g := startGroup(ctx, t)
		time.Sleep(time.Second)
		g.write(t, 2<<20)
		for range 800 {
			time.Sleep(readTime)
			if d := g.sinceContact(); d > 100*time.Millisecond {
				t.Fatalf("replica reports no contact with its primary for %v", d)
			}
		}
		if g.replica.Last() != g.primary.store.Last() {
			t.Errorf("replica at %s, primary at %s", g.replica.Last(), g.primary.store.Last())
		}
	})
}

// A replica accepts a higher term while a large record of the earlier term is in transfer. Guards
// against bytes of that record that count as contact, so that entry hosts would wait for a primary
// that cannot acknowledge, and against a replica that appends the record.
func TestBytesOfAnEarlierTermAreNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stopGroup(stop)
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
		if d := g.sinceContact(); d < time.Since(raised) {
			t.Errorf("last contact %v ago, with a primary of an earlier term", d)
		}
		if g.replica.Last() != last {
			t.Errorf("appended %s after the higher term was accepted", g.replica.Last())
		}
	})
}

// A replica is paused or isolated while a large record is in transfer. Guards against bytes that the
// kernel still accepts being counted as contact with the primary.
func TestPausedOrIsolatedReplicaHasNoContact(t *testing.T) {
	for _, s := range []injector.Settings{{Paused: true}, {Isolated: true}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stopGroup(stop)
			g := startGroup(ctx, t)
			time.Sleep(time.Second)
			g.write(t, 2<<20)
			time.Sleep(time.Second)
			g.faults.Change(func(f *injector.Settings) { *f = s })
			time.Sleep(400 * time.Millisecond)
			if d := g.sinceContact(); d < 390*time.Millisecond {
				t.Errorf("%+v: last contact with the primary %v ago", s, d)
			}
		})
	}
}
