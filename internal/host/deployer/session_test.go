package deployer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// roamingSession is a session that moves to a random entry host with each step.
type roamingSession struct {
	t      *testing.T
	d      *deployer.Deployment
	id     int64
	random *rand.Rand
	conns  []*pgx.Conn
	steps  *atomic.Int64

	mark    string
	written int64
	seen    int64
}

const stepsPerSession = 60

func (r *roamingSession) run() {
	for range stepsPerSession {
		r.step()
		r.steps.Add(1)
	}
}

func (r *roamingSession) step() {
	i := r.random.IntN(len(r.conns))
	switch r.random.IntN(5) {
	case 0, 1:
		r.write(r.conns[i])
	case 2:
		// For a session without a mark, reads must return all acknowledged writes.
		c, err := pgx.Connect(r.t.Context(), "postgres://caller@"+r.d.Hosts[i].Address()+"/db?sslmode=disable")
		if err != nil {
			r.t.Error(err)
			return
		}
		r.read(c, "without mark")
		c.Close(context.Background())
	default:
		r.presentMark(r.conns[i])
		r.read(r.conns[i], "with mark")
	}
}

func (r *roamingSession) write(c *pgx.Conn) {
	r.presentMark(c)
	if _, err := c.Exec(r.t.Context(), "INSERT INTO t (id, v) VALUES ($1, $2)", r.id*1000+r.written+1, fmt.Sprint("s", r.id)); err != nil {
		r.t.Errorf("session %d: write: %v", r.id, err)
		return
	}
	r.written++
	r.mark = c.PgConn().ParameterStatus("cuminwick.mark")
}

func (r *roamingSession) presentMark(c *pgx.Conn) {
	if r.mark == "" {
		return
	}
	if _, err := c.Exec(r.t.Context(), "SET cuminwick.mark = '"+r.mark+"'"); err != nil {
		r.t.Errorf("session %d: set mark: %v", r.id, err)
	}
}

func (r *roamingSession) read(c *pgx.Conn, how string) {
	var own, all int64
	if err := c.QueryRow(r.t.Context(), "SELECT count(*) FROM t WHERE v = $1", fmt.Sprint("s", r.id)).Scan(&own); err != nil {
		r.t.Errorf("session %d: read: %v", r.id, err)
		return
	}
	if own != r.written {
		r.t.Errorf("session %d %s: sees %d of its own writes, wrote %d", r.id, how, own, r.written)
	}
	if err := c.QueryRow(r.t.Context(), "SELECT count(*) FROM t").Scan(&all); err != nil {
		r.t.Errorf("session %d: read: %v", r.id, err)
		return
	}
	if all < r.seen {
		r.t.Errorf("session %d %s: sees %d rows after %d", r.id, how, all, r.seen)
	}
	r.seen = all
	r.mark = c.PgConn().ParameterStatus("cuminwick.mark")
}

// Guards against stale reads. Sessions move between entry hosts with each statement, some without
// their mark, while replicas lag, stop, crash and recover. A session must see all its own writes,
// and the rows that it has seen must not disappear.
func TestRoamingSessions(t *testing.T) {
	runRoamingSessions(t, start(t))
}

// runRoamingSessions moves sessions between all entry hosts while replicas fail.
func runRoamingSessions(t *testing.T, d *deployer.Deployment) {
	t.Helper()
	exec(t, connect(t, d, 0, ""), "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	var steps atomic.Int64
	var w sync.WaitGroup
	const sessions = 6
	for i := range int64(sessions) {
		r := &roamingSession{t: t, d: d, id: i + 1, random: rand.New(rand.NewPCG(1, uint64(i))), steps: &steps}
		for h := range d.Hosts {
			r.conns = append(r.conns, connect(t, d, h, ""))
		}
		w.Go(r.run)
	}
	s := d.Standins["db"].Servers
	// Only one replica at a time fails, as no write is acknowledged while two are failed.
	faults := []func(){
		func() { s[1].SetReplicationLag(50 * time.Millisecond) },
		func() { s[2].StopReplication(true) },
		func() { s[2].StopReplication(false) },
		func() { s[2].SetReplicationLag(time.Second) },
		func() { s[2].SetReplicationLag(0) },
		func() { s[1].Crash() },
		func() { s[1].Restart() },
		func() { s[1].SetReplicationLag(0) },
	}
	for i, f := range faults {
		for steps.Load() < int64((i+1)*sessions*stepsPerSession/(len(faults)+1)) && !t.Failed() {
			time.Sleep(time.Millisecond)
		}
		f()
	}
	w.Wait()
}

// Guards against false outcomes of cancelled requests. Most callers cancel before their request
// ends. A caller that is told "not run" repeats its write; if the first had run after all, the
// write would take effect twice.
func TestCancelledRequestsTellTheTruth(t *testing.T) {
	d := start(t, func(d *deployer.Deployment) { d.Server.ServiceTime = 2 * time.Millisecond })
	exec(t, connect(t, d, 0, ""), "CREATE TABLE t (id bigint PRIMARY KEY)")
	const workers, requests = 9, 60
	var mu sync.Mutex
	outcomes := make(map[int64]string)
	var w sync.WaitGroup
	for i := range int64(workers) {
		c := connect(t, d, int(i)%len(d.Hosts), "")
		draw := rand.New(rand.NewPCG(2, uint64(i)))
		w.Go(func() {
			for n := range int64(requests) {
				id := i*1000 + n
				o := insertCancelled(t, c, id, draw)
				mu.Lock()
				outcomes[id] = o
				mu.Unlock()
			}
		})
	}
	w.Wait()
	there := make(map[int64]bool)
	rows, err := connect(t, d, 1, "").Query(t.Context(), "SELECT id FROM t")
	if err != nil {
		t.Fatal(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		there[id] = true
	}
	count := make(map[string]int)
	for id, o := range outcomes {
		count[o]++
		if o == "ran" && !there[id] || o == "not-run" && there[id] {
			t.Errorf("request %d was reported as %s, the row is there: %t", id, o, there[id])
		}
	}
	if count["ran"] == 0 || count["not-run"] == 0 {
		t.Errorf("outcomes %v: nothing to compare", count)
	}
	t.Logf("outcomes %v", count)
}

// insertCancelled inserts id, cancels four of five such requests at a random moment, and returns
// the outcome that the caller received.
func insertCancelled(t *testing.T, c *pgx.Conn, id int64, draw *rand.Rand) string {
	var w sync.WaitGroup
	if draw.IntN(5) > 0 {
		after := time.Duration(draw.IntN(12000)) * time.Microsecond
		w.Go(func() {
			time.Sleep(after)
			_ = c.PgConn().CancelRequest(t.Context())
		})
	}
	_, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES ($1)", id)
	w.Wait()
	switch {
	case err == nil:
		return "ran"
	case strings.Contains(detail(err), "outcome=unknown"):
		return "unknown"
	case strings.Contains(detail(err), "outcome=not-run"), code(err) == "57014":
		return "not-run"
	}
	t.Errorf("request %d: %v", id, err)
	return ""
}

func detail(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Detail
	}
	return ""
}

func hint(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Hint
	}
	return ""
}

// Guards against requests that wait in a full queue until it is too late. There are more callers
// than the slots and the queue hold. The surplus must be refused with a hint.
func TestFullQueueRefuses(t *testing.T) {
	d := start(t, func(d *deployer.Deployment) {
		d.Server.ServiceTime = 50 * time.Millisecond
		d.Limits.QueueLength = 2
	})
	exec(t, connect(t, d, 0, ""), "CREATE TABLE t (id bigint PRIMARY KEY)")
	var refused, ran atomic.Int64
	var w sync.WaitGroup
	const callers = 12
	for i := range int64(callers) {
		c := connect(t, d, 0, "")
		w.Go(func() {
			// All callers continue until the first refusal, so that the queue stays full until
			// then.
			for n := int64(0); refused.Load() == 0; n++ {
				_, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES ($1)", i*1000+n)
				if err == nil {
					ran.Add(1)
					continue
				}
				refused.Add(1)
				p := new(pgconn.PgError)
				if !errors.As(err, &p) || p.Code != "53300" || !strings.Contains(p.Detail, "outcome=not-run") || !strings.Contains(p.Detail, "reason=queue-full") || p.Hint == "" {
					t.Errorf("refusal %v, detail %q, hint %q", err, detail(err), p.Hint)
				}
			}
		})
	}
	w.Wait()
	if n := query[int64](t, connect(t, d, 1, ""), "SELECT count(*) FROM t"); n != ran.Load() {
		t.Errorf("%d rows, %d requests were reported as ran", n, ran.Load())
	}
}
