package deployer_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
)

// agreedPoolOwner waits until all hosts report the same pool owner, and returns what poolOwner
// returns.
func agreedPoolOwner(t *testing.T, d *deployer.Deployment) (owner, forwarder int) {
	t.Helper()
	p := primary(t, d)
	waitFor(t, "pool owner", func() bool {
		n := d.Hosts[0].PoolOwner("db", p)
		for _, h := range d.Hosts {
			if n == "" || h.PoolOwner("db", p) != n {
				return false
			}
		}
		return true
	})
	return poolOwner(t, d)
}

// slotHolders is more than the number of requests admitted at a time to a server with two slots. To
// cover round trips, an entry host admits up to twice as many requests as the server has slots.
const slotHolders = 5

// occupySlots occupies the primary's slots with callers of host i, until release is called or the
// host is killed.
func occupySlots(t *testing.T, d *deployer.Deployment, i int) (release func()) {
	t.Helper()
	exec(t, connect(t, d, i, ""), "CREATE TABLE held (id bigint PRIMARY KEY)")
	var l []*pgx.Conn
	for j := range slotHolders {
		c := connect(t, d, i, "")
		exec(t, c, "BEGIN")
		exec(t, c, "INSERT INTO held (id) VALUES ($1)", j)
		l = append(l, c)
	}
	ctx, stop := context.WithCancel(t.Context())
	var w sync.WaitGroup
	for _, c := range l {
		w.Go(func() { c.Exec(ctx, "SELECT pg_sleep(600)") })
	}
	awaitQueued(t, d, i, 0)
	return func() {
		stop()
		w.Wait()
	}
}

// awaitQueued waits until n requests are running or queued at host i in addition to those of
// occupySlots.
func awaitQueued(t *testing.T, d *deployer.Deployment, i, n int) {
	t.Helper()
	waitFor(t, "requests in queue", func() bool {
		l := queueLoad(t, d, i)
		return l.Running+l.Waiting == slotHolders+n
	})
}

// queueLoad returns the load of the primary's queue at host i, which owns its pool.
func queueLoad(t *testing.T, d *deployer.Deployment, i int) gate.Load {
	t.Helper()
	l := d.Hosts[i].Director().Runtime().Groups["db"].Lessors[primary(t, d)]
	return l.(interface{ Load() gate.Load }).Load()
}

// Guards against writes that are reported as not run but take effect. The owner is killed with
// writes in its queue, some of which have their batch there already. A caller that is told that a
// write did not run repeats it; if it had run, it would take effect twice. The outcome of a write
// with an idempotency key must be determined without the caller.
func TestOwnerKilledWithQueuedWrites(t *testing.T) {
	for name, pause := range map[string]time.Duration{"owner killed at once": 0, "owner killed after 100 ms": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(t, 2, nil)
			owner, forwarder := agreedPoolOwner(t, d)
			c := []*pgx.Conn{connect(t, d, forwarder, ""), connect(t, d, forwarder, ""), connect(t, d, forwarder, "")}
			exec(t, c[0], "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
			exec(t, c[0], "/* key=zero */ INSERT INTO t (id, n) VALUES (1, 0), (2, 0), (3, 0)")
			release := occupySlots(t, d, owner)
			errs := make([]error, len(c))
			var w sync.WaitGroup
			for i, q := range []string{
				"UPDATE t SET n = n + 1 WHERE id = 1",
				"/* key=two */ UPDATE t SET n = n + 1 WHERE id = 2",
				"BEGIN; UPDATE t SET n = n + 1 WHERE id = 3; COMMIT",
			} {
				w.Go(func() { _, errs[i] = c[i].Exec(t.Context(), q) })
			}
			awaitQueued(t, d, owner, len(c))
			time.Sleep(pause)
			d.Kill(owner)
			release()
			w.Wait()
			for i, err := range errs {
				n := query[int64](t, c[i], "SELECT n FROM t WHERE id = $1", i+1)
				t.Logf("write %d: count %d, %v", i, n, err)
				switch {
				case err == nil && n != 1:
					t.Errorf("write %d ran %d times", i, n)
				case err != nil && code(err) != "40003" && n != 0:
					t.Errorf("write %d ran %d times: %v", i, n, err)
				case n > 1:
					t.Errorf("write %d took effect more than once", i)
				case i == 1 && err != nil:
					t.Errorf("write with key: %v", err)
				}
			}
		})
	}
}

// Guards against a cancelled write that runs later. A caller cancels a write that is queued at the
// owner together with its batch. It is told that nothing ran, so nothing may run when slots become
// free.
func TestCancelledInOwnersQueue(t *testing.T) {
	d := startDeployment(t, 1, nil)
	owner, forwarder := agreedPoolOwner(t, d)
	c := connect(t, d, forwarder, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "/* key=zero */ INSERT INTO t (id) VALUES (0)")
	release := occupySlots(t, d, owner)
	for _, q := range []string{"INSERT INTO t (id) VALUES (1)", "/* key=two */ INSERT INTO t (id) VALUES (2)", "BEGIN; INSERT INTO t (id) VALUES (3); COMMIT"} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			var err error
			var w sync.WaitGroup
			w.Go(func() { _, err = c.Exec(t.Context(), q) })
			awaitQueued(t, d, owner, 1)
			time.Sleep(pause)
			cancelAt(t, d, owner, c)
			w.Wait()
			if code(err) != "57014" || !strings.HasPrefix(detail(err), "outcome=not-run") {
				t.Errorf("%s: %v, %s", q, err, detail(err))
			}
		}
	}
	release()
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 1 {
		t.Errorf("%d rows, want 1", n)
	}
}

// Guards against session settings that leak to another session. Requests whose connection is
// returned with the response run between requests that change settings, fail, or leave a
// transaction open. A session with another session's settings would read the wrong schema or write
// under the wrong name.
func TestReturnedConnectionsAreReset(t *testing.T) {
	d := startDeployment(t, 1, func(d *deployer.Deployment) { d.Server.Slots = 1 })
	_, forwarder := agreedPoolOwner(t, d)
	a, b := connect(t, d, forwarder, ""), connect(t, d, forwarder, "")
	exec(t, a, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, a, "SET statement_timeout = '12340ms'")
	for i := range 20 {
		exec(t, a, "INSERT INTO t (id) VALUES ($1)", i)
		exec(t, a, "BEGIN")
		exec(t, a, "SET statement_timeout = '43210ms'")
		exec(t, a, []string{"COMMIT", "ROLLBACK"}[i%2])
		if _, err := b.Exec(t.Context(), "INSERT INTO t (id) VALUES ($1)", i); code(err) != "23505" {
			t.Fatalf("second insert of row %d: %v", i, err)
		}
		if v := query[string](t, b, "SHOW statement_timeout"); v == "12340ms" || v == "43210ms" {
			t.Fatalf("statement_timeout of the other session: %s", v)
		}
		want := []string{"43210ms", "12340ms"}[i%2]
		exec(t, b, "UPDATE t SET id = id WHERE id = 0")
		if v := query[string](t, a, "SHOW statement_timeout"); v != want {
			t.Fatalf("statement_timeout %s, want %s", v, want)
		}
		exec(t, a, "SET statement_timeout = '12340ms'")
	}
}
