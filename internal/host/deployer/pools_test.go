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

// startDeployment runs n entry hosts in each zone in front of one group of three backend servers.
// set, if not nil, changes the deployment before it starts.
func startDeployment(t testing.TB, n int, set func(d *deployer.Deployment)) *deployer.Deployment {
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
		Driver:        lenientDriverSettings(),
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

// primary returns the name of the primary that the first entry host has confirmed.
func primary(t testing.TB, d *deployer.Deployment) string {
	t.Helper()
	v, err := d.Hosts[0].Director().Runtime().Groups["db"].Driver.WaitPrimary(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v.Primary
}

// poolOwner returns the index of the host that owns the primary's pool and that of a forwarding
// host. It waits, as a host that has just started reports no owner until it has ranked the members.
func poolOwner(t testing.TB, d *deployer.Deployment) (owner, forwarder int) {
	t.Helper()
	p := primary(t, d)
	last := d.Hosts[len(d.Hosts)-1]
	waitFor(t, "an owner of the pool", func() bool { return last.PoolOwner("db", p) != "" })
	name := last.PoolOwner("db", p)
	owner, forwarder = -1, -1
	for i, h := range d.Hosts {
		if name == h.Settings.HostName {
			owner = i
		} else {
			forwarder = i
		}
	}
	if owner < 0 || forwarder < 0 {
		t.Fatalf("no owner or no forwarding host for %s", p)
	}
	return owner, forwarder
}

// waitFor returns once holds returns true, and fails the test if it ends before.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatalf("timed out waiting for %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func TestForwardedStatements(t *testing.T) {
	d := startDeployment(t, 1, nil)
	owner, forwarder := poolOwner(t, d)
	c := connect(t, d, forwarder, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	t.Run("extended", func(t *testing.T) {
		for i := range 20 {
			exec(t, c, "INSERT INTO t (id, v) VALUES ($1, $2)", i, "x")
		}
		if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 20 {
			t.Errorf("count = %d, want 20", n)
		}
	})
	t.Run("copy larger than the stream's window", func(t *testing.T) {
		var b bytes.Buffer
		for i := range 5000 {
			fmt.Fprintf(&b, "%d\t%s\n", 1000+i, strings.Repeat("y", 800))
		}
		g, err := c.PgConn().CopyFrom(t.Context(), &b, "COPY t (id, v) FROM STDIN")
		if err != nil || g.RowsAffected() != 5000 {
			t.Fatalf("copy in: %v %v", g, err)
		}
	})
	t.Run("copy that the caller aborts", func(t *testing.T) {
		r := io.MultiReader(strings.NewReader("900000\tz\n"), failingReader{})
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
	if n := d.Hosts[forwarder].PoolConnections("db", primary(t, d)); n != 0 {
		t.Errorf("the forwarding host holds %d connections to the primary", n)
	}
	if n := d.Hosts[owner].PoolConnections("db", primary(t, d)); n == 0 {
		t.Error("the owner holds no connection to the primary")
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// cancelAt sends a cancel request with c's key to host i.
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

// Guards against cancel requests that have no effect. A load balancer may send a cancel request to
// another entry host than the one that has the session. That host must forward it, or the statement
// would run on and the caller would wait.
func TestCancelAtAnotherHost(t *testing.T) {
	d := startDeployment(t, 1, nil)
	for i := range d.Hosts {
		t.Run(d.Hosts[i].Settings.HostName, func(t *testing.T) {
			c := connect(t, d, i, "")
			done := make(chan struct{})
			var w sync.WaitGroup
			w.Go(func() {
				// A cancel request that arrives before the statement has no effect.
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

// Guards against a lost transaction that goes unreported. The entry host that owns the pool is
// killed while a caller of another host is in a transaction. The caller must get an error, nothing
// of the transaction may be saved, and the session must be able to continue through the next owner.
func TestOwnerKilledInTransaction(t *testing.T) {
	d := startDeployment(t, 2, nil)
	owner, forwarder := poolOwner(t, d)
	c := connect(t, d, forwarder, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	d.Kill(owner)
	if _, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES (2)"); code(err) != "08006" {
		t.Fatalf("statement in the lost transaction: %v", err)
	}
	exec(t, c, "ROLLBACK")
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 0 {
		t.Errorf("count = %d, want 0", n)
	}
	exec(t, c, "INSERT INTO t (id) VALUES (3)")
}

// Guards against a wrong outcome of a COMMIT. The owner is killed after it has passed the COMMIT on
// and before its response. The forwarding host cannot determine whether it ran; a caller that was
// told it did not would repeat the transaction and write twice.
func TestOwnerKilledBeforeAnswerToCommit(t *testing.T) {
	d := startDeployment(t, 2, nil)
	owner, forwarder := poolOwner(t, d)
	c := connect(t, d, forwarder, "")
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
	d.Kill(owner)
	w.Wait()
	if code(err) != "40003" {
		t.Fatalf("COMMIT: %v", err)
	}
	if !strings.Contains(err.Error(), "known") {
		t.Errorf("message %q does not say that the outcome is not known", err)
	}
}

// Guards against errors during a planned change of ownership. The owner of a pool is drained under
// load and restarted. No request may fail, and the pool must move to the next owner and back.
func TestOwnershipMoves(t *testing.T) {
	d := startDeployment(t, 2, nil)
	owner, forwarder := poolOwner(t, d)
	p := primary(t, d)
	c := connect(t, d, forwarder, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	former := d.Hosts[owner].Settings.HostName
	work := func(i int) { exec(t, c, "INSERT INTO t (id) VALUES ($1)", i) }
	n := 0
	for ; n < 50; n++ {
		work(n)
	}
	d.Drain(owner)
	for d.Hosts[forwarder].PoolOwner("db", p) == former || n < 100 {
		work(n)
		n++
	}
	if err := d.AwaitStopped(t.Context(), owner); err != nil {
		t.Fatal(err)
	}
	next := -1
	for i, h := range d.Hosts {
		if h.Settings.HostName == d.Hosts[forwarder].PoolOwner("db", p) {
			next = i
		}
	}
	waitFor(t, "connections of the next owner", func() bool { work(n); n++; return d.Hosts[next].PoolConnections("db", p) > 0 })
	h, err := d.Restart(t.Context(), owner)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the pool to move back", func() bool { work(n); n++; return h.PoolConnections("db", p) > 0 })
	waitFor(t, "idle connections of the former owner to close", func() bool { return d.Hosts[next].PoolConnections("db", p) == 0 })
	if m := query[int64](t, c, "SELECT count(*) FROM t"); m != int64(n) {
		t.Errorf("count = %d, want %d", m, n)
	}
}

// cutOffRoster lists all hosts as live, but locates the peers of one host, and that host for its
// peers, at deadAddress.
type cutOffRoster struct {
	*runner.Roster
	from, host, deadAddress string
}

func (c cutOffRoster) Locate(h string) (string, bool) {
	if c.from == c.host || h == c.host {
		return c.deadAddress, true
	}
	return c.Roster.Locate(h)
}

// Guards against refusals by a host that could serve. An entry host cannot reach any other, but it
// still reaches the backend servers. The first request of its callers may be delayed, but none may
// be refused.
func TestHostCutOffFromOwner(t *testing.T) {
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d := startDeployment(t, 1, func(d *deployer.Deployment) {
		d.Members = func(h string, r *runner.Roster) runner.Members {
			return cutOffRoster{Roster: r, from: h, host: "entry-c", deadAddress: s.LocalAddr().String()}
		}
	})
	p := primary(t, d)
	if d.Hosts[2].PoolOwner("db", p) == "entry-c" {
		t.Fatal("the isolated host owns the primary's pool")
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
	// Idle connections are soon closed, so the count after the last write may be zero.
	if most != 1 {
		t.Errorf("at most %d connections to the primary at a time, want 1", most)
	}
}

// Guards against responses that reach the wrong caller, which would disclose data of one customer
// to another. Many callers of one entry host share the stream connection to the owner, most of them
// cancel requests, and the owner is killed in the middle.
func TestAnswersStayWithTheirCallers(t *testing.T) {
	d := startDeployment(t, 2, nil)
	owner, forwarder := poolOwner(t, d)
	const callers, requests = 16, 60
	var w sync.WaitGroup
	half := make(chan struct{}, callers)
	for i := range callers {
		c := connect(t, d, forwarder, "")
		r := rand.New(rand.NewPCG(1, uint64(i)))
		w.Go(func() {
			for j := range requests {
				if j == requests/2 {
					half <- struct{}{}
				}
				requestOrCancel(t, c, r, fmt.Sprintf("%d-%d", i, j))
			}
		})
	}
	for range callers {
		<-half
	}
	d.Kill(owner)
	w.Wait()
}

// requestOrCancel makes a request whose result contains want, cancels about half of all requests,
// and checks that the rows received belong to the request.
func requestOrCancel(t *testing.T, c *pgx.Conn, r *rand.Rand, want string) {
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
				t.Errorf("row %.20q of %d bytes in the result of %q", v, len(v), want)
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

// Guards against too many backend connections. Nine entry hosts lease connections for 36 callers
// from backend servers that accept 16 connections each. If each host had its own pool, the servers
// would refuse connections, and callers would get errors while the servers are idle.
func TestConnectionsOfNineHostsStayWithinLimit(t *testing.T) {
	d := startDeployment(t, 3, func(d *deployer.Deployment) {
		d.Server.ServiceTime = time.Millisecond
		// All hosts keep running, and one that gets little processor time must not be considered
		// lost.
		d.MinimumPeerTimeout = time.Minute
	})
	var w sync.WaitGroup
	for _, h := range d.Hosts {
		for range callersPerHost {
			w.Go(func() { leaseAndRead(t, h, 12) })
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

// leaseAndRead reads n times from each backend server through h, in turn with a lease for writes
// and one for reads.
func leaseAndRead(t *testing.T, h *runner.Host, n int) {
	for i := range n {
		for s, l := range h.Director().Runtime().Groups["db"].Lessors {
			e, err := l.Lease(t.Context(), lessor.Demand{Write: i%2 == 0})
			if err != nil {
				t.Errorf("lease of %s: %v", s, err)
				continue
			}
			var q batcher.Batch
			q.AddQuery(batcher.Pass, "SELECT 1")
			r, err := e.Exchange(t.Context(), lessor.Exchange{Batch: &q, Output: discardOutput{}})
			if err != nil || r.Code != "" {
				t.Errorf("exchange with %s: %+v, %v", s, r, err)
			}
			e.Release(lessor.Return{Clean: err == nil && r.Status == 'I'})
		}
	}
}
