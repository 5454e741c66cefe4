package deployer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/session/signer"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// startShared runs n entry hosts in each zone before one group of three
// backend servers, with changes to the deployment made by set.
func startShared(t testing.TB, n int, set func(d *deployer.Deployment)) *deployer.Deployment {
	t.Helper()
	d := &deployer.Deployment{
		Places: []deployer.Place{
			{AvailabilityZone: "a", Region: "one"},
			{AvailabilityZone: "b", Region: "one"},
			{AvailabilityZone: "c", Region: "two"},
		},
		HostsPerPlace: n,
		Groups:        []string{"db"},
		Service:       "db",
		Server:        deployer.ServerTemplate{Slots: 2, Connections: 16},
		Platform:      new(storekeeper.Store),
		Source:        func(_ string, f *file.File) runner.Source { return runner.FixedSource{Revision: 1, File: f} },
		Marks:         &signer.Signer{Deployment: "test", Keys: []signer.Key{{ID: 1, Secret: []byte("0123456789abcdef")}}},
		Driver:        patient(),
		Log:           &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
	if set != nil {
		set(d)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	})
	return d
}

// primary returns the name of the primary as the first entry host sees it.
func primary(t testing.TB, d *deployer.Deployment) string {
	t.Helper()
	v, err := d.Hosts[0].Director().Runtime().Groups["db"].Driver.WaitPrimary(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v.Primary
}

// owner returns the number of the host that owns the primary's pool, and of
// one that forwards to it. A host that has just started names no owner until it has
// ranked the members.
func owner(t testing.TB, d *deployer.Deployment) (own, away int) {
	t.Helper()
	p := primary(t, d)
	last := d.Hosts[len(d.Hosts)-1]
	until(t, "an owner of the pool", func() bool { return last.PoolOwner("db", p) != "" })
	name := last.PoolOwner("db", p)
	own, away = -1, -1
	for i, h := range d.Hosts {
		if name == h.Settings.HostName {
			own = i
		} else {
			away = i
		}
	}
	if own < 0 || away < 0 {
		t.Fatalf("no owner and other host for %s", p)
	}
	return own, away
}

// until waits for a condition.
func until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatalf("waited for %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func TestForwardedStatements(t *testing.T) {
	d := startShared(t, 1, nil)
	own, away := owner(t, d)
	c := connect(t, d, away, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	t.Run("extended", func(t *testing.T) {
		for i := range 20 {
			exec(t, c, "INSERT INTO t (id, v) VALUES ($1, $2)", i, "x")
		}
		if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 20 {
			t.Errorf("count = %d, want 20", n)
		}
	})
	t.Run("copy above the stream's window", func(t *testing.T) {
		var b bytes.Buffer
		for i := range 5000 {
			fmt.Fprintf(&b, "%d\t%s\n", 1000+i, strings.Repeat("y", 800))
		}
		g, err := c.PgConn().CopyFrom(t.Context(), &b, "COPY t (id, v) FROM STDIN")
		if err != nil || g.RowsAffected() != 5000 {
			t.Fatalf("copy in: %v %v", g, err)
		}
	})
	t.Run("copy that the caller fails", func(t *testing.T) {
		r := io.MultiReader(strings.NewReader("900000\tz\n"), failing{})
		if _, err := c.PgConn().CopyFrom(t.Context(), r, "COPY t (id, v) FROM STDIN"); err == nil {
			t.Fatal("failed copy was accepted")
		}
		if n := query[int64](t, c, "SELECT count(*) FROM t WHERE id = 900000"); n != 0 {
			t.Error("failed copy took effect")
		}
	})
	t.Run("large result", func(t *testing.T) {
		r, err := c.Query(t.Context(), "SELECT id, v FROM t WHERE id >= 1000 ORDER BY id")
		if err != nil {
			t.Fatal(err)
		}
		n := int64(1000)
		for ; r.Next(); n++ {
			v := r.RawValues()
			if len(v[1]) != 800 {
				t.Fatalf("row %d: %d bytes", n, len(v[1]))
			}
		}
		if r.Err() != nil || n != 6000 {
			t.Errorf("%d rows, %v", n-1000, r.Err())
		}
	})
	t.Run("one long value", func(t *testing.T) {
		if v := query[string](t, c, "SELECT repeat('q', 3000000)"); len(v) != 3000000 {
			t.Errorf("%d bytes", len(v))
		}
	})
	t.Run("transaction", func(t *testing.T) {
		exec(t, c, "BEGIN")
		exec(t, c, "DELETE FROM t WHERE id < 5")
		exec(t, c, "ROLLBACK")
		if n := query[int64](t, c, "SELECT count(*) FROM t WHERE id < 5"); n != 5 {
			t.Errorf("count = %d, want 5", n)
		}
	})
	if n := d.Hosts[away].PoolConnections("db", primary(t, d)); n != 0 {
		t.Errorf("the host that forwards holds %d connections to the primary", n)
	}
	if n := d.Hosts[own].PoolConnections("db", primary(t, d)); n == 0 {
		t.Error("the owner holds no connection to the primary")
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// cancelAt sends c's cancel key to another entry host.
func cancelAt(t *testing.T, d *deployer.Deployment, i int, c *pgx.Conn) {
	t.Helper()
	n, err := net.Dial("tcp", d.Hosts[i].Address())
	if err != nil {
		t.Error(err)
		return
	}
	defer n.Close()
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, 80877102)
	b = binary.BigEndian.AppendUint32(b, c.PgConn().PID())
	b = append(b, c.PgConn().SecretKey()...)
	n.Write(b)
	io.Copy(io.Discard, n)
}

// A balancer hands the cancel request to any entry host, not to the one that
// holds the session. Without forwarding the statement would run on, and the
// caller who pressed cancel would wait.
func TestCancelAtAnotherHost(t *testing.T) {
	d := startShared(t, 1, nil)
	for i := range d.Hosts {
		t.Run(d.Hosts[i].Settings.HostName, func(t *testing.T) {
			c := connect(t, d, i, "")
			done := make(chan struct{})
			var w sync.WaitGroup
			w.Go(func() {
				// A cancel request that comes before the statement does nothing.
				for !closed(done) {
					cancelAt(t, d, (i+1)%len(d.Hosts), c)
				}
			})
			_, err := c.Exec(t.Context(), "SELECT pg_sleep(60)")
			close(done)
			w.Wait()
			if code(err) != "57014" {
				t.Fatalf("cancelled statement: %v", err)
			}
			if n := query[int64](t, c, "SELECT 7"); n != 7 {
				t.Fatalf("after cancel: %d", n)
			}
		})
	}
}

// The entry host that owns the pool dies while a caller of another host is in
// a transaction. The caller must learn that nothing of it lasts, and can do it
// again over the owner's successor.
func TestOwnerKilledInTransaction(t *testing.T) {
	d := startShared(t, 2, nil)
	own, away := owner(t, d)
	c := connect(t, d, away, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	d.Kill(own)
	if _, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES (2)"); code(err) != "08006" {
		t.Fatalf("statement in the lost transaction: %v", err)
	}
	exec(t, c, "ROLLBACK")
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 0 {
		t.Errorf("count = %d, want 0", n)
	}
	exec(t, c, "INSERT INTO t (id) VALUES (3)")
}

// The owner dies after it passed a COMMIT on and before its answer came back.
// Nobody can tell from the outside whether it ran; a caller who was told that
// it did not would book twice.
func TestOwnerKilledBeforeAnswerToCommit(t *testing.T) {
	d := startShared(t, 2, nil)
	own, away := owner(t, d)
	c := connect(t, d, away, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	p := primary(t, d)
	for _, s := range d.Standins["db"].Servers {
		if s.Name == p {
			s.Pause(true)
		}
	}
	var err error
	var w sync.WaitGroup
	w.Go(func() { _, err = c.Exec(t.Context(), "COMMIT") })
	d.Kill(own)
	w.Wait()
	if code(err) != "40003" {
		t.Fatalf("COMMIT: %v", err)
	}
	if !strings.Contains(err.Error(), "known") {
		t.Errorf("message %q doesn't say that the outcome isn't known", err)
	}
}

// The owner of a pool is stopped as planned under load, and comes back. No
// request may fail, and the pool moves with its owner.
func TestOwnershipMoves(t *testing.T) {
	d := startShared(t, 2, nil)
	own, away := owner(t, d)
	p := primary(t, d)
	c := connect(t, d, away, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	was := d.Hosts[own].Settings.HostName
	work := func(i int) { exec(t, c, "INSERT INTO t (id) VALUES ($1)", i) }
	n := 0
	for ; n < 50; n++ {
		work(n)
	}
	d.Drain(own)
	for d.Hosts[away].PoolOwner("db", p) == was || n < 100 {
		work(n)
		n++
	}
	if err := d.AwaitStopped(t.Context(), own); err != nil {
		t.Fatal(err)
	}
	next := -1
	for i, h := range d.Hosts {
		if h.Settings.HostName == d.Hosts[away].PoolOwner("db", p) {
			next = i
		}
	}
	until(t, "connections of the next owner", func() bool { work(n); n++; return d.Hosts[next].PoolConnections("db", p) > 0 })
	h, err := d.Restart(t.Context(), own)
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the pool to move back", func() bool { work(n); n++; return h.PoolConnections("db", p) > 0 })
	until(t, "idle connections of the former owner to close", func() bool { return d.Hosts[next].PoolConnections("db", p) == 0 })
	if m := query[int64](t, c, "SELECT count(*) FROM t"); m != int64(n) {
		t.Errorf("count = %d, want %d", m, n)
	}
}

// cut shows all hosts as live and leads to some of them nowhere.
type cut struct {
	*runner.Roster
	from, host, nowhere string
}

func (c cut) Locate(h string) (string, bool) {
	if c.from == c.host || h == c.host {
		return c.nowhere, true
	}
	return c.Roster.Locate(h)
}

// An entry host loses its way to all others, while it still reaches the
// backend servers. Its callers may notice the first request's delay; refusing
// them would waste what the host can serve.
func TestHostCutOffFromOwner(t *testing.T) {
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d := startShared(t, 1, func(d *deployer.Deployment) {
		d.Members = func(h string, r *runner.Roster) runner.Members {
			return cut{Roster: r, from: h, host: "entry-c", nowhere: s.LocalAddr().String()}
		}
	})
	p := primary(t, d)
	if d.Hosts[2].PoolOwner("db", p) == "entry-c" {
		t.Fatal("the host that is cut off owns the primary's pool")
	}
	c := connect(t, d, 2, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	most := 0
	for i := range 20 {
		exec(t, c, "INSERT INTO t (id) VALUES ($1)", i)
		most = max(most, d.Hosts[2].PoolConnections("db", p))
	}
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 20 {
		t.Errorf("count = %d, want 20", n)
	}
	// An idle one is closed soon, so the last look alone may find none.
	if most != 1 {
		t.Errorf("at most %d connections to the primary at a time, want 1", most)
	}
}

// Many callers of one entry host share the stream connection to the owner,
// most of them cancel, and the owner dies on the way. An answer that came to
// another caller would show one customer's data to another.
func TestAnswersStayWithTheirCallers(t *testing.T) {
	d := startShared(t, 2, nil)
	own, away := owner(t, d)
	const callers, requests = 16, 60
	var w sync.WaitGroup
	half := make(chan struct{}, callers)
	for i := range callers {
		c := connect(t, d, away, "")
		r := rand.New(rand.NewPCG(1, uint64(i)))
		w.Go(func() {
			for j := range requests {
				if j == requests/2 {
					half <- struct{}{}
				}
				ask(t, c, r, fmt.Sprintf("%d-%d", i, j))
			}
		})
	}
	for range callers {
		<-half
	}
	d.Kill(own)
	w.Wait()
}

// ask makes one request that only its own answer fits, and may cancel it.
func ask(t *testing.T, c *pgx.Conn, r *rand.Rand, want string) {
	q := c.PgConn().Exec(t.Context(), "BEGIN; SELECT repeat('"+want+" ', 3000); COMMIT")
	if r.IntN(2) == 0 {
		x, stop := context.WithTimeout(t.Context(), time.Duration(r.IntN(3))*time.Millisecond)
		<-x.Done()
		stop()
		c.PgConn().CancelRequest(t.Context())
	}
	for q.NextResult() {
		for q.ResultReader().NextRow() {
			if v := string(q.ResultReader().Values()[0]); v != strings.Repeat(want+" ", 3000) {
				t.Errorf("answer %.20q of %d bytes to %q", v, len(v), want)
			}
		}
	}
	var p *pgconn.PgError
	if err := q.Close(); err != nil && !errors.As(err, &p) {
		t.Errorf("request %s: %v", want, err)
	}
	if c.PgConn().TxStatus() != 'I' {
		c.PgConn().Exec(t.Context(), "ROLLBACK").Close()
	}
}

// Nine entry hosts borrow for 36 callers from backend servers that accept 16
// connections. If each host kept a pool of its own, servers would refuse
// connections, and callers would get errors while the servers are idle.
func TestConnectionsOfNineHostsStayWithinLimit(t *testing.T) {
	d := startShared(t, 3, func(d *deployer.Deployment) {
		d.Server.ServiceTime = time.Millisecond
		// No host is gone here; one that is short of processors mustn't pass for it.
		d.MinimumPeerTimeout = time.Minute
	})
	var w sync.WaitGroup
	for _, h := range d.Hosts {
		for range callersPerHost {
			w.Go(func() { borrow(t, h, 12) })
		}
	}
	w.Wait()
	for _, s := range d.Standins["db"].Servers {
		n := 0
		for _, h := range d.Hosts {
			n += h.PoolConnections("db", s.Name)
		}
		if n == 0 || n > 13 {
			t.Errorf("%d connections for requests to %s, 3 of 16 are reserved", n, s.Name)
		}
	}
}

// borrow reads n times from each backend server through h, with a lease for
// reads and one as writes get it.
func borrow(t *testing.T, h *runner.Host, n int) {
	for i := range n {
		for s, l := range h.Director().Runtime().Groups["db"].Lessors {
			e, err := l.Lease(t.Context(), lessor.Demand{Write: i%2 == 0})
			if err != nil {
				t.Errorf("lease of %s: %v", s, err)
				continue
			}
			var q batcher.Batch
			q.AddQuery(batcher.Pass, "SELECT 1")
			r, err := e.Exchange(t.Context(), lessor.Exchange{Batch: &q, Output: drop{}})
			if err != nil || r.Code != "" {
				t.Errorf("exchange with %s: %+v, %v", s, r, err)
			}
			e.Release(lessor.Return{Clean: err == nil && r.Status == 'I'})
		}
	}
}
