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

// servingHosts is how many of the twelve hosts of startServing serve the group.
const servingHosts = 6

// startServing runs four entry hosts in each of three zones and returns when two of
// each serve the group and the others follow.
func startServing(t testing.TB, set func(d *deployer.Deployment)) *deployer.Deployment {
	t.Helper()
	d := startShared(t, 4, set)
	awaitParts(t, d, servingHosts)
	return d
}

// awaitParts waits until n hosts serve the group and the rest follow.
func awaitParts(t testing.TB, d *deployer.Deployment, n int) {
	t.Helper()
	until(t, "the hosts' parts", func() bool {
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

// beside returns the hosts of a zone without the primary, those that follow first.
func beside(t testing.TB, d *deployer.Deployment) (following, serving []int) {
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

// polls returns how often the host has polled a server of the group.
func polls(h *runner.Host) uint64 {
	var n uint64
	c := h.Director().Runtime().Groups["db"].Driver.(*switcher.Switcher).Counts()
	for i := range pacer.CauseCount {
		n += c.Polls[i]
	}
	return n
}

// worker writes lines through one host and reads each back, until it is told to stop.
type worker struct {
	t     *testing.T
	c     *pgx.Conn
	first int64
	lines atomic.Int64
	end   atomic.Bool
}

func (w *worker) run() {
	for !w.end.Load() && !w.t.Failed() {
		i := w.first + w.lines.Load()
		if _, err := w.c.Exec(w.t.Context(), "INSERT INTO t (id) VALUES ($1)", i); err != nil {
			w.t.Errorf("write %d: %v", i, err)
			return
		}
		var n int64
		if err := w.c.QueryRow(w.t.Context(), "SELECT count(*) FROM t WHERE id = $1", i).Scan(&n); err != nil || n != 1 {
			w.t.Errorf("line %d is there %d times, %v", i, n, err)
			return
		}
		w.lines.Add(1)
	}
}

// begin has a worker write at host i; the function that it returns ends it and
// checks what is there.
func begin(t *testing.T, d *deployer.Deployment, i int) (w *worker, finish func()) {
	w = &worker{t: t, c: connect(t, d, i, "")}
	exec(t, w.c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	var g sync.WaitGroup
	g.Go(w.run)
	return w, func() {
		w.end.Store(true)
		g.Wait()
		if n := query[int64](t, w.c, "SELECT count(*) FROM t"); n != w.lines.Load() {
			t.Errorf("%d lines, want %d", n, w.lines.Load())
		}
	}
}

// more waits until the worker has done n more lines.
func (w *worker) more(n int64) {
	m := w.lines.Load() + n
	until(w.t, "more lines", func() bool { return w.lines.Load() >= m || w.t.Failed() })
}

// A costing officer is connected to a host that polls no backend server. Each of
// her lines must be acknowledged, and she must see it at once, also at another
// host to which her session roams.
func TestReadYourWritesAtFollower(t *testing.T) {
	d := startServing(t, nil)
	following, _ := beside(t, d)
	i := following[0]
	before := polls(d.Hosts[i])
	w, finish := begin(t, d, i)
	w.more(100)
	finish()
	o := connect(t, d, following[1], "")
	if n := query[int64](t, o, "SELECT count(*) FROM t"); n != w.lines.Load() {
		t.Errorf("%d lines at another host without a mark, want %d", n, w.lines.Load())
	}
	if n := polls(d.Hosts[i]) - before; n != 0 || serves(d, i) {
		t.Errorf("a host that follows polled %d times, part %s", n, d.Hosts[i].Part("db"))
	}
}

// The hosts of a zone that serve the group lose power one after the other, while
// commits of a caller at a third one wait for their word. Each is acknowledged all
// the same and the caller gets no error; in the end the hosts that are left serve.
func TestServingHostsKilled(t *testing.T) {
	d := startServing(t, nil)
	following, serving := beside(t, d)
	w, finish := begin(t, d, following[0])
	w.more(20)
	for _, i := range serving {
		d.Kill(i)
		w.more(20)
	}
	until(t, "the hosts that are left to serve", func() bool {
		w.more(1)
		return serves(d, following[0]) && serves(d, following[1]) || t.Failed()
	})
	w.more(20)
	finish()
}

// The hosts that serve a group are stopped as planned, one after the other, and
// come back. Callers of the hosts that follow them notice nothing.
func TestServingHostsDrained(t *testing.T) {
	d := startServing(t, nil)
	following, serving := beside(t, d)
	w, finish := begin(t, d, following[0])
	w.more(20)
	for _, i := range serving {
		d.Drain(i)
		w.more(20)
		if err := d.AwaitStopped(t.Context(), i); err != nil {
			t.Error(err)
		}
		h, err := d.Restart(t.Context(), i)
		if err != nil {
			t.Fatal(err)
		}
		d.Hosts[i] = h
		w.more(20)
	}
	until(t, "the former hosts to serve", func() bool {
		return t.Failed() || serves(d, serving[0]) && serves(d, serving[1]) && !serves(d, following[0])
	})
	finish()
}

// An operator takes a backend server out of service at any host, most likely at one
// that runs no driver for the group. The primary would stay where it is.
func TestHandOverAtFollower(t *testing.T) {
	d := startServing(t, nil)
	following, _ := beside(t, d)
	p := primary(t, d)
	w, finish := begin(t, d, following[0])
	w.more(10)
	if err := d.Hosts[following[1]].HandOver(t.Context(), "db", p); err != nil {
		t.Fatal(err)
	}
	until(t, "another primary", func() bool { return t.Failed() || primary(t, d) != p })
	w.more(10)
	finish()
}

// Sessions roam between hosts most of which poll no backend server, while replicas
// lag, stop, crash and come back. What a follower was told a moment ago mustn't
// stand for what is: a costing officer would miss a line that was saved.
func TestRoamingSessionsAmongFollowers(t *testing.T) {
	d := startShared(t, 3, func(d *deployer.Deployment) { d.ServingHosts = 1 })
	awaitParts(t, d, 3)
	roam(t, d)
}

// fence shows all hosts as live, and leads neither from the one that is alone to
// others nor from them to it until it is opened. A connection that another host made
// would serve both ways.
type fence struct {
	*runner.Roster
	open    *atomic.Bool
	from    string
	alone   string
	nowhere string
}

func (f fence) Locate(h string) (string, bool) {
	if !f.open.Load() && (f.from == f.alone || h == f.alone) {
		return f.nowhere, true
	}
	return f.Roster.Locate(h)
}

// A host reaches none of those that serve the group, but the backend servers. Its
// callers would be refused for as long as that lasts if it only followed, so it
// looks after the group itself; once the others answer again it stops that, and
// callers notice neither.
func TestNoServingHostAnswers(t *testing.T) {
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	open := new(atomic.Bool)
	// Which hosts serve follows from their names, so the deployment before tells.
	alone := ""
	t.Run("before", func(t *testing.T) {
		d := startServing(t, nil)
		following, _ := beside(t, d)
		alone = d.Hosts[following[0]].Settings.HostName
	})
	d := startShared(t, 4, func(d *deployer.Deployment) {
		d.Members = func(h string, r *runner.Roster) runner.Members {
			return fence{Roster: r, open: open, from: h, alone: alone, nowhere: s.LocalAddr().String()}
		}
	})
	i := -1
	for n, h := range d.Hosts {
		if h.Settings.HostName == alone {
			i = n
		}
	}
	until(t, "all to be members", func() bool { return d.Hosts[i].Part("db") == switcher.PartStandingIn })
	w, finish := begin(t, d, i)
	w.more(20)
	if p := d.Hosts[i].Part("db"); p != switcher.PartStandingIn {
		t.Errorf("part %s, want a driver of its own", p)
	}
	open.Store(true)
	until(t, "the host to follow", func() bool { return t.Failed() || !serves(d, i) })
	w.more(20)
	finish()
}
