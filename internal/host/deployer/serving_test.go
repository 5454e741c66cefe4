package deployer_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/group/pacer"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/host/runner"
)

// servingHosts is the number of the twelve hosts of startServing that serve the group.
const servingHosts = 6

// startServing runs four entry hosts in each of three zones and returns when two in each zone serve
// the group and the others follow.
func startServing(t testing.TB, set func(d *deployer.Deployment)) *deployer.Deployment {
	t.Helper()
	d := startDeployment(t, 4, set)
	awaitParts(t, d, servingHosts)
	return d
}

// awaitParts waits until n hosts serve the group and the others follow.
func awaitParts(t testing.TB, d *deployer.Deployment, n int) {
	t.Helper()
	waitFor(t, "the hosts' parts", func() bool {
		serving := 0
		for _, h := range d.Hosts {
			switch h.Part("db") {
			case switcher.PartServing:
				serving++
			case switcher.PartStandingIn:
				return false
			}
		}
		return serving == n
	})
}

func serves(d *deployer.Deployment, i int) bool {
	p := d.Hosts[i].Part("db")
	return p == switcher.PartServing || p == switcher.PartStandingIn
}

// hostsInReplicaZone returns the indices of the hosts in a zone without the primary, those that
// follow and those that serve.
func hostsInReplicaZone(t testing.TB, d *deployer.Deployment) (following, serving []int) {
	t.Helper()
	p := primary(t, d)
	o := ""
	for _, b := range d.File.DatabaseGroups[0].BackendServers {
		if b.Name != p {
			o = b.AvailabilityZone
		}
	}
	for i, h := range d.Hosts {
		switch {
		case h.Settings.AvailabilityZone != o:
		case serves(d, i):
			serving = append(serving, i)
		default:
			following = append(following, i)
		}
	}
	return following, serving
}

// polls returns how many times the host has polled servers of the group.
func polls(h *runner.Host) uint64 {
	var n uint64
	c := h.Director().Runtime().Groups["db"].Driver.(*switcher.Switcher).Counts()
	for i := range pacer.CauseCount {
		n += c.Polls[i]
	}
	return n
}

// worker inserts rows through one host and reads back each, until stop is set.
type worker struct {
	t       *testing.T
	conn    *pgx.Conn
	firstID int64
	written atomic.Int64
	stop    atomic.Bool
}

func (w *worker) run() {
	for !w.stop.Load() && !w.t.Failed() {
		i := w.firstID + w.written.Load()
		if _, err := w.conn.Exec(w.t.Context(), "INSERT INTO t (id) VALUES ($1)", i); err != nil {
			w.t.Errorf("write %d: %v", i, err)
			return
		}
		var n int64
		if err := w.conn.QueryRow(w.t.Context(), "SELECT count(*) FROM t WHERE id = $1", i).Scan(&n); err != nil || n != 1 {
			w.t.Errorf("row %d is there %d times, %v", i, n, err)
			return
		}
		w.written.Add(1)
	}
}

// startWorker starts a worker at host i. finish stops it and checks the number of rows.
func startWorker(t *testing.T, d *deployer.Deployment, i int) (w *worker, finish func()) {
	w = &worker{t: t, conn: connect(t, d, i, "")}
	exec(t, w.conn, "CREATE TABLE t (id bigint PRIMARY KEY)")
	var g sync.WaitGroup
	g.Go(w.run)
	return w, func() {
		w.stop.Store(true)
		g.Wait()
		if n := query[int64](t, w.conn, "SELECT count(*) FROM t"); n != w.written.Load() {
			t.Errorf("%d rows, want %d", n, w.written.Load())
		}
	}
}

// awaitWrites waits until the worker has inserted n more rows.
func (w *worker) awaitWrites(n int64) {
	m := w.written.Load() + n
	waitFor(w.t, "more rows", func() bool { return w.written.Load() >= m || w.t.Failed() })
}

// Guards against stale reads at a following host, which polls no backend server. Each write of a
// session there must be acknowledged and visible at once, also to a session without a mark at
// another following host.
func TestReadYourWritesAtFollower(t *testing.T) {
	d := startServing(t, nil)
	following, _ := hostsInReplicaZone(t, d)
	i := following[0]
	before := polls(d.Hosts[i])
	w, finish := startWorker(t, d, i)
	w.awaitWrites(100)
	finish()
	o := connect(t, d, following[1], "")
	if n := query[int64](t, o, "SELECT count(*) FROM t"); n != w.written.Load() {
		t.Errorf("%d rows at another host without a mark, want %d", n, w.written.Load())
	}
	if n := polls(d.Hosts[i]) - before; n != 0 || serves(d, i) {
		t.Errorf("a following host polled %d times, part %s", n, d.Hosts[i].Part("db"))
	}
}

// Guards against lost commits when serving hosts fail. The hosts of a zone that serve the group are
// killed one after the other while a following host waits for them to confirm commits. Each commit
// must be acknowledged without an error, and the remaining hosts must serve the group in the end.
func TestServingHostsKilled(t *testing.T) {
	d := startServing(t, nil)
	following, serving := hostsInReplicaZone(t, d)
	w, finish := startWorker(t, d, following[0])
	w.awaitWrites(20)
	for _, i := range serving {
		d.Kill(i)
		w.awaitWrites(20)
	}
	waitFor(t, "the remaining hosts to serve", func() bool {
		w.awaitWrites(1)
		return serves(d, following[0]) && serves(d, following[1]) || t.Failed()
	})
	w.awaitWrites(20)
	finish()
}

// Guards against errors during a rolling restart. The hosts that serve a group are drained one
// after the other and restarted. Callers of the hosts that follow them must get no error.
func TestServingHostsDrained(t *testing.T) {
	d := startServing(t, nil)
	following, serving := hostsInReplicaZone(t, d)
	w, finish := startWorker(t, d, following[0])
	w.awaitWrites(20)
	for _, i := range serving {
		d.Drain(i)
		w.awaitWrites(20)
		if err := d.AwaitStopped(t.Context(), i); err != nil {
			t.Error(err)
		}
		h, err := d.Restart(t.Context(), i)
		if err != nil {
			t.Fatal(err)
		}
		d.Hosts[i] = h
		w.awaitWrites(20)
	}
	waitFor(t, "the former hosts to serve", func() bool {
		return t.Failed() || serves(d, serving[0]) && serves(d, serving[1]) && !serves(d, following[0])
	})
	finish()
}

// Guards against a hand-over that has no effect at a following host. An operator may take a backend
// server out of service through any host, most likely through one that runs no driver for the
// group. The primary must still change.
func TestHandOverAtFollower(t *testing.T) {
	d := startServing(t, nil)
	following, _ := hostsInReplicaZone(t, d)
	p := primary(t, d)
	w, finish := startWorker(t, d, following[0])
	w.awaitWrites(10)
	if err := d.Hosts[following[1]].HandOver(t.Context(), "db", p); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "another primary", func() bool { return t.Failed() || primary(t, d) != p })
	w.awaitWrites(10)
	finish()
}

// Guards against stale reads from cached states. Sessions move between hosts most of which poll no
// backend server, while replicas lag, stop, crash and recover. A following host must not use a
// state that it received earlier as the current one, or a session would miss an acknowledged row.
func TestRoamingSessionsAmongFollowers(t *testing.T) {
	d := startDeployment(t, 3, func(d *deployer.Deployment) { d.ServingHosts = 1 })
	awaitParts(t, d, 3)
	runRoamingSessions(t, d)
}

// isolatedRoster lists all hosts as live, but until reachable is set it locates the peers of the
// isolated host, and that host for its peers, at deadAddress. Both directions are needed, as a
// connection carries requests both ways no matter which host opened it.
type isolatedRoster struct {
	*runner.Roster
	reachable   *atomic.Bool
	from        string
	isolated    string
	deadAddress string
}

func (f isolatedRoster) Locate(h string) (string, bool) {
	if !f.reachable.Load() && (f.from == f.isolated || h == f.isolated) {
		return f.deadAddress, true
	}
	return f.Roster.Locate(h)
}

// Guards against refusals by a host that reaches the backend servers but none of the hosts that
// serve the group. If it only followed, its callers would be refused for as long as that lasts. It
// must run a driver of its own, stop it when a serving host is reachable again, and callers must
// get no error during either change.
func TestNoServingHostAnswers(t *testing.T) {
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	open := new(atomic.Bool)
	// Which hosts serve depends only on their names, so another deployment with the same names
	// shows it.
	alone := ""
	t.Run("before", func(t *testing.T) {
		d := startServing(t, nil)
		following, _ := hostsInReplicaZone(t, d)
		alone = d.Hosts[following[0]].Settings.HostName
	})
	d := startDeployment(t, 4, func(d *deployer.Deployment) {
		d.Members = func(h string, r *runner.Roster) runner.Members {
			return isolatedRoster{Roster: r, reachable: open, from: h, isolated: alone, deadAddress: s.LocalAddr().String()}
		}
	})
	i := -1
	for n, h := range d.Hosts {
		if h.Settings.HostName == alone {
			i = n
		}
	}
	waitFor(t, "the isolated host to run a driver", func() bool { return d.Hosts[i].Part("db") == switcher.PartStandingIn })
	w, finish := startWorker(t, d, i)
	w.awaitWrites(20)
	if p := d.Hosts[i].Part("db"); p != switcher.PartStandingIn {
		t.Errorf("part %s, want a driver of its own", p)
	}
	open.Store(true)
	waitFor(t, "the host to follow", func() bool { return t.Failed() || !serves(d, i) })
	w.awaitWrites(20)
	finish()
}
