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

// roamer is one session that moves between entry hosts with each step.
type roamer struct {
	t     *testing.T
	d     *deployer.Deployment
	id    int64
	draw  *rand.Rand
	conns []*pgx.Conn
	steps *atomic.Int64

	token   string
	written int64
	seen    int64
}

const roamerSteps = 60

func (r *roamer) run() {
	for range roamerSteps {
		r.step()
		r.steps.Add(1)
	}
}

func (r *roamer) step() {
	i := r.draw.IntN(len(r.conns))
	switch r.draw.IntN(5) {
	case 0, 1:
		r.write(r.conns[i])
	case 2:
		// A session that has lost its mark is treated as if it had seen everything.
		c, err := pgx.Connect(r.t.Context(), "postgres://caller@"+r.d.Hosts[i].Address()+"/db?sslmode=disable")
		if err != nil {
			r.t.Error(err)
			return
		}
		r.read(c, "without mark")
		c.Close(context.Background())
	default:
		r.bring(r.conns[i])
		r.read(r.conns[i], "with mark")
	}
}

func (r *roamer) write(c *pgx.Conn) {
	r.bring(c)
	if _, err := c.Exec(r.t.Context(), "INSERT INTO t (id, v) VALUES ($1, $2)", r.id*1000+r.written+1, fmt.Sprint("s", r.id)); err != nil {
		r.t.Errorf("session %d: write: %v", r.id, err)
		return
	}
	r.written++
	r.token = c.PgConn().ParameterStatus("cuminwick.mark")
}

func (r *roamer) bring(c *pgx.Conn) {
	if r.token == "" {
		return
	}
	if _, err := c.Exec(r.t.Context(), "SET cuminwick.mark = '"+r.token+"'"); err != nil {
		r.t.Errorf("session %d: bring mark: %v", r.id, err)
	}
}

func (r *roamer) read(c *pgx.Conn, how string) {
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
	r.token = c.PgConn().ParameterStatus("cuminwick.mark")
}

// Sessions roam between entry hosts with each statement, some without their
// mark, while replicas lag, stop, crash and come back. A costing officer would
// miss a line that was saved, or see a budget go back to an older version.
func TestRoamingSessions(t *testing.T) {
	roam(t, start(t))
}

// roam has sessions move between all entry hosts while replicas fail.
func roam(t *testing.T, d *deployer.Deployment) {
	t.Helper()
	exec(t, connect(t, d, 0, ""), "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	var steps atomic.Int64
	var w sync.WaitGroup
	const sessions = 6
	for i := range int64(sessions) {
		r := &roamer{t: t, d: d, id: i + 1, draw: rand.New(rand.NewPCG(1, uint64(i))), steps: &steps}
		for h := range d.Hosts {
			r.conns = append(r.conns, connect(t, d, h, ""))
		}
		w.Go(r.run)
	}
	s := d.Standins["db"].Servers
	// One replica at a time is out of action, as no write is acknowledged with two.
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
		for steps.Load() < int64((i+1)*sessions*roamerSteps/(len(faults)+1)) && !t.Failed() {
			time.Sleep(time.Millisecond)
		}
		f()
	}
	w.Wait()
}

// Most callers cancel before their request ends. One that was told "not run"
// sends its line again; if it had run after all, the budget has the line twice.
func TestCancelledRequestsTellTheTruth(t *testing.T) {
	d := start(t, func(d *deployer.Deployment) { d.Server.ServiceTime = 2 * time.Millisecond })
	exec(t, connect(t, d, 0, ""), "CREATE TABLE t (id bigint PRIMARY KEY)")
	const workers, requests = 9, 60
	var mu sync.Mutex
	told := make(map[int64]string)
	var w sync.WaitGroup
	for i := range int64(workers) {
		c := connect(t, d, int(i)%len(d.Hosts), "")
		draw := rand.New(rand.NewPCG(2, uint64(i)))
		w.Go(func() {
			for n := range int64(requests) {
				id := i*1000 + n
				o := insertCancelled(t, c, id, draw)
				mu.Lock()
				told[id] = o
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
	for id, o := range told {
		count[o]++
		if o == "ran" && !there[id] || o == "not-run" && there[id] {
			t.Errorf("request %d was told %s, there is %t", id, o, there[id])
		}
	}
	if count["ran"] == 0 || count["not-run"] == 0 {
		t.Errorf("outcomes %v: nothing to compare", count)
	}
	t.Logf("outcomes %v", count)
}

// insertCancelled inserts id, cancels four of five such requests at a random
// moment, and returns what the caller was told.
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

// More callers come than the slots and the queue hold. The surplus must be told
// so, with a hint, instead of waiting for a turn that comes too late.
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
			// The first refusal ends it for all, so that the queue stays full until then.
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
		t.Errorf("%d rows, %d requests were told that they ran", n, ran.Load())
	}
}
