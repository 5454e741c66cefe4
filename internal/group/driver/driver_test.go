package driver

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/standin/grouper"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// hangTimeout bounds waits that would hang if a test fails.
const hangTimeout = 30 * time.Second

// noLatency is a deployment without latency.
var noLatency = definer.Deployment{Places: []disturber.Place{{AvailabilityZone: "a"}, {AvailabilityZone: "b"}, {AvailabilityZone: "c"}}}

// rig is a test setup of a group of three stand-in servers and the drivers of several entry hosts.
type rig struct {
	tb      testing.TB
	ctx     context.Context
	group   *grouper.Group
	store   *storekeeper.Store
	drivers []*Driver
	lines   int
	// conns holds the open connections by host and server.
	conns map[string]*pgconn.PgConn
	// caller is the index of the host that sends requests.
	caller  int
	network disturber.Network
	places  []disturber.Place
}

// newRig starts a group over a network with the latencies of a deployment.
func newRig(tb testing.TB, hosts int, p definer.Deployment) *rig {
	ctx, stop := context.WithCancel(context.Background())
	r := &rig{tb: tb, ctx: ctx, group: &grouper.Group{}, store: &storekeeper.Store{}, places: p.Places, conns: map[string]*pgconn.PgConn{}}
	r.network.Latency = p.Latency
	r.network.Open(ctx)
	r.store.SetLatency(2 * p.ZoneLatency)
	at := map[string]disturber.Place{}
	for i, q := range p.Places {
		at[fmt.Sprintf("db-%d", i+1)] = q
	}
	for i, q := range p.Places {
		d := r.network.Dialer(q)
		s := &responder.Server{Name: fmt.Sprintf("db-%d", i+1), Address: "127.0.0.1:0", ConnectTime: p.ConnectTime}
		s.Dial = func(ctx context.Context, name, a string) (net.Conn, error) {
			// A replica dials when it starts, before the group is ready.
			r.network.SetPlace(a, at[name])
			return d(ctx, "tcp", a)
		}
		r.group.Servers = append(r.group.Servers, s)
	}
	done := make(chan struct{}, hosts+1)
	failed := make(chan error, 1)
	go func() { failed <- r.group.Run(ctx); done <- struct{}{} }()
	select {
	case <-r.group.Ready():
	case err := <-failed:
		stop()
		tb.Fatalf("start database group: %v", err)
	}
	g := declarer.DatabaseGroup{Name: "kalkul"}
	for i, s := range r.group.Servers {
		r.network.SetPlace(s.Addr(), p.Places[i])
		g.BackendServers = append(g.BackendServers, declarer.BackendServer{Name: s.Name, Address: s.Addr()})
	}
	for i := range hosts {
		r.store.SetHost(accessor.Host{Name: fmt.Sprintf("entry-%d", i), Kind: accessor.EntryHost, State: accessor.HostLive})
	}
	for i := range hosts {
		d := &Driver{Group: g, Host: fmt.Sprintf("entry-%d", i), Controls: r.controls(r.dialer(i)), Platform: r.store, Settings: Defaults(), Log: &log.Logger{Handler: json.New(io.Discard)}}
		r.drivers = append(r.drivers, d)
		go func() { _ = d.Run(ctx); done <- struct{}{} }()
	}
	tb.Cleanup(func() {
		stop()
		for range hosts + 1 {
			<-done
		}
	})
	r.await(hosts)
	r.exec("CREATE TABLE line (id int PRIMARY KEY)")
	return r
}

func (r *rig) dialer(host int) func(context.Context, string, string) (net.Conn, error) {
	return r.network.Dialer(r.places[host%len(r.places)])
}

func (r *rig) controls(dial func(context.Context, string, string) (net.Conn, error)) map[string]controller.Control {
	m := map[string]controller.Control{}
	for _, s := range r.group.Servers {
		c := &commander.Client{Name: s.Name, Address: s.Addr(), User: "control", Dial: dial}
		r.tb.Cleanup(func() { _ = c.Close(context.Background()) })
		m[s.Name] = c
	}
	return m
}

// await returns when the first n hosts have a view with a confirmed primary.
func (r *rig) await(n int) {
	ctx, stop := context.WithTimeout(r.ctx, hangTimeout)
	defer stop()
	for _, d := range r.drivers[:n] {
		if _, err := d.WaitPrimary(ctx); err != nil {
			r.tb.Fatal(err)
		}
	}
}

func (r *rig) server(name string) *responder.Server {
	for _, s := range r.group.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (r *rig) primary() *responder.Server {
	return r.server(r.drivers[0].View().Primary)
}

func (r *rig) connect(ctx context.Context, s *responder.Server) (*pgconn.PgConn, error) {
	f, err := pgconn.ParseConfig("postgres://anna@" + s.Addr() + "/kalkul?sslmode=disable")
	if err != nil {
		return nil, err
	}
	f.DialFunc = r.dialer(r.caller)
	return pgconn.ConnectConfig(ctx, f)
}

// conn returns the connection of the caller's host to the server, and opens it if necessary.
func (r *rig) conn(ctx context.Context, s *responder.Server) (*pgconn.PgConn, error) {
	k := fmt.Sprint(r.caller, s.Name)
	if c := r.conns[k]; c != nil && !c.IsClosed() {
		return c, nil
	}
	c, err := r.connect(ctx, s)
	if err != nil {
		return nil, err
	}
	r.conns[k] = c
	return c, nil
}

// write runs one statement at the server and returns its mark, without waiting
// for its acknowledgement.
func (r *rig) write(ctx context.Context, s *responder.Server, sql string) (marker.Mark, error) {
	c, err := r.conn(ctx, s)
	if err != nil {
		return marker.Mark{}, err
	}
	if err := c.Exec(ctx, sql).Close(); err != nil {
		return marker.Mark{}, err
	}
	return s.Store().Last(), nil
}

// exec runs a statement, and repeats it like a retrying caller until it is acknowledged. It returns
// the time of the acknowledgement.
func (r *rig) exec(sql string) time.Time {
	ctx, stop := context.WithTimeout(r.ctx, hangTimeout)
	defer stop()
	d := r.drivers[r.caller]
	for ctx.Err() == nil {
		v, err := d.WaitPrimary(ctx)
		if err != nil {
			continue
		}
		x, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		m, err := r.write(x, r.server(v.Primary), sql)
		cancel()
		if err != nil {
			d.PollNow()
			time.Sleep(time.Millisecond)
			continue
		}
		if d.WaitAcknowledged(ctx, m) == nil {
			return time.Now()
		}
	}
	r.tb.Fatalf("never acknowledged: %s", sql)
	return time.Time{}
}

// insert returns a statement that inserts a line with a new id.
func (r *rig) insert() string {
	r.lines++
	return fmt.Sprintf("INSERT INTO line VALUES (%d) ON CONFLICT DO NOTHING", r.lines)
}

// count returns how many lines the server holds.
func (r *rig) count(s *responder.Server) string {
	c, err := r.connect(r.ctx, s)
	if err != nil {
		r.tb.Fatal(err)
	}
	defer c.Close(context.Background())
	o := c.ExecParams(r.ctx, "SELECT count(*) FROM line", nil, nil, nil, nil).Read()
	if o.Err != nil || len(o.Rows) != 1 {
		r.tb.Fatal(o.Err)
	}
	return string(o.Rows[0][0])
}

// failure is one kind of loss of a primary: begin makes the server fail, end recovers it.
type failure struct {
	name       string
	begin, end func(*responder.Server)
}

var failures = []failure{
	{"crashed", (*responder.Server).Crash, (*responder.Server).Restart},
	{"isolated", func(s *responder.Server) { s.Isolate(true) }, func(s *responder.Server) { s.Isolate(false) }},
	{"paused", func(s *responder.Server) { s.Pause(true) }, func(s *responder.Server) { s.Pause(false) }},
}

// Guards against an outage of writes or lost acknowledged writes after a loss of the primary. It
// crashes, is isolated from its replicas while it still accepts connections, or is paused, and later
// recovers. Writes must continue at another server after a short gap, and every acknowledged line
// must be readable at every server, also at the old primary once it follows the new one.
func TestPrimaryLost(t *testing.T) {
	for _, b := range failures {
		t.Run(b.name, func(t *testing.T) {
			r := newRig(t, 3, noLatency)
			r.exec(r.insert())
			old := r.primary()
			b.begin(old)
			var m marker.Mark
			if b.name == "isolated" {
				m, _ = r.write(r.ctx, old, "INSERT INTO line VALUES (-1)")
			}
			r.exec(r.insert())
			if now := r.primary(); now == old {
				t.Fatalf("%s is still primary", old.Name)
			}
			if b.name == "isolated" {
				r.checkLost(m)
			}
			b.end(old)
			r.exec(r.insert())
			r.checkReads(3)
		})
	}
}

func (r *rig) wait(m marker.Mark) error {
	ctx, stop := context.WithTimeout(r.ctx, hangTimeout)
	defer stop()
	return r.drivers[0].WaitCommit(ctx, m)
}

// checkLost expects that the commit is reported as superseded, or after two promotions in a row as
// superseded or undetermined.
func (r *rig) checkLost(m marker.Mark) {
	err := r.wait(m)
	if errors.Is(err, ErrSuperseded) {
		return
	}
	if r.drivers[0].View().Term > m.Term+1 && errors.Is(err, ErrUndetermined) {
		return
	}
	r.tb.Errorf("write at the isolated primary: %v, want %v", err, ErrSuperseded)
}

// checkReads reads at every server once it covers a read index.
func (r *rig) checkReads(want int) {
	ctx, stop := context.WithTimeout(r.ctx, hangTimeout)
	defer stop()
	d := r.drivers[1]
	m, err := d.ReadIndex(ctx)
	if err != nil {
		r.tb.Fatal(err)
	}
	for _, s := range r.group.Servers {
		if err := d.WaitCovered(ctx, s.Name, m); err != nil {
			r.tb.Fatal(err)
		}
		if got := r.count(s); got != fmt.Sprint(want) {
			r.tb.Errorf("%s holds %s lines, want %d", s.Name, got, want)
		}
	}
}

// Guards against acknowledging writes without a majority. Both replicas are down. The primary still
// commits, but the line would be lost with it: it must not be acknowledged, and new writes must be
// refused. Both must succeed once the replicas are back.
func TestMajorityLost(t *testing.T) {
	r := newRig(t, 1, noLatency)
	d, p := r.drivers[0], r.primary()
	for _, s := range r.group.Servers {
		if s != p {
			s.Crash()
		}
	}
	crashed := d.Now()
	m, err := r.write(r.ctx, p, r.insert())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(r.ctx, 50*time.Millisecond)
	defer stop()
	if err := d.WaitAcknowledged(ctx, m); err == nil {
		t.Error("acknowledged without a majority")
	}
	r.awaitStale(d, crashed)
	if _, err := d.WaitPrimary(r.ctx); err == nil {
		t.Error("primary confirmed without a majority")
	}
	for _, s := range r.group.Servers {
		if s != p {
			s.Restart()
		}
	}
	if err := r.wait(m); err != nil {
		t.Errorf("after the replicas are back: %v", err)
	}
}

// awaitStale returns once all answers from before the given time are stale. Until then such an answer
// may still be recorded if this process was paused for a while.
func (r *rig) awaitStale(d *Driver, before time.Duration) {
	ctx, stop := context.WithTimeout(r.ctx, hangTimeout)
	defer stop()
	for v := d.View(); v.HasMajority() || v.At <= before+d.Settings.Observer.MaximumStatusAge; v = d.View() {
		if ctx.Err() != nil {
			r.tb.Fatalf("a majority still answers: %+v", v)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a planned hand-over that rolls back an open transaction or interrupts writes for
// good. An operator hands the primary over; then the new primary's server reports that it is leaving
// while a transaction is open there. The transaction must be able to commit first, and writes must
// continue at another server.
func TestHandOver(t *testing.T) {
	r := newRig(t, 2, noLatency)
	r.exec(r.insert())
	old := r.primary()
	if err := r.drivers[0].HandOver(r.ctx, old.Name); err != nil {
		t.Fatal(err)
	}
	r.exec(r.insert())
	now := r.primary()
	if now == old {
		t.Errorf("%s is still primary", old.Name)
	}
	c, err := r.connect(r.ctx, now)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(context.Background())
	if err := c.Exec(r.ctx, "BEGIN; INSERT INTO line VALUES (-1)").Close(); err != nil {
		t.Fatal(err)
	}
	now.ReportLeaving(true)
	for !r.drivers[0].HandingOver() || !r.drivers[1].HandingOver() {
		time.Sleep(time.Millisecond)
	}
	if err := c.Exec(r.ctx, "COMMIT").Close(); err != nil {
		t.Errorf("transaction ended by the planned hand-over: %v", err)
	}
	for r.primary() == now {
		time.Sleep(time.Millisecond)
	}
	r.exec(r.insert())
	r.checkReads(4)
}
