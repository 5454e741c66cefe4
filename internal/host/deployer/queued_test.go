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

// knownOwner waits until the hosts have heard of each other and returns what owner
// does.
func knownOwner(t *testing.T, d *deployer.Deployment) (own, away int) {
	t.Helper()
	p := primary(t, d)
	until(t, "pool owner", func() bool {
		n := d.Hosts[0].PoolOwner("db", p)
		for _, h := range d.Hosts {
			if n == "" || h.PoolOwner("db", p) != n {
				return false
			}
		}
		return true
	})
	return owner(t, d)
}

// sleepers are more than the slots that a server with two is ever given, see
// watch.resize.
const sleepers = 5

// occupy has callers of host i hold the slots of the primary until they are
// cancelled or their host dies.
func occupy(t *testing.T, d *deployer.Deployment, i int) (release func()) {
	t.Helper()
	exec(t, connect(t, d, i, ""), "CREATE TABLE held (id bigint PRIMARY KEY)")
	var l []*pgx.Conn
	for j := range sleepers {
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
	inQueue(t, d, i, 0)
	return func() {
		stop()
		w.Wait()
	}
}

// inQueue waits until n requests are at host i besides the sleepers, behind which
// they come.
func inQueue(t *testing.T, d *deployer.Deployment, i, n int) {
	t.Helper()
	until(t, "requests in queue", func() bool {
		l := queue(t, d, i)
		return l.Running+l.Waiting == sleepers+n
	})
}

// queue returns the primary's queue at host i, which owns its pool.
func queue(t *testing.T, d *deployer.Deployment, i int) gate.Load {
	t.Helper()
	l := d.Hosts[i].Director().Runtime().Groups["db"].Lessors[primary(t, d)]
	return l.(interface{ Load() gate.Load }).Load()
}

// The owner dies with writes in its queue, some of which have their batch there
// already. A caller who is told that a write didn't run repeats it: had it run, the
// line would be booked twice. A write with a key is settled without the caller.
func TestOwnerKilledWithQueuedWrites(t *testing.T) {
	for name, pause := range map[string]time.Duration{"as they come": 0, "called up": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			d := startShared(t, 2, nil)
			own, away := knownOwner(t, d)
			c := []*pgx.Conn{connect(t, d, away, ""), connect(t, d, away, ""), connect(t, d, away, "")}
			exec(t, c[0], "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
			exec(t, c[0], "/* key=zero */ INSERT INTO t (id, n) VALUES (1, 0), (2, 0), (3, 0)")
			release := occupy(t, d, own)
			errs := make([]error, len(c))
			var w sync.WaitGroup
			for i, q := range []string{
				"UPDATE t SET n = n + 1 WHERE id = 1",
				"/* key=two */ UPDATE t SET n = n + 1 WHERE id = 2",
				"BEGIN; UPDATE t SET n = n + 1 WHERE id = 3; COMMIT",
			} {
				w.Go(func() { _, errs[i] = c[i].Exec(t.Context(), q) })
			}
			inQueue(t, d, own, len(c))
			time.Sleep(pause)
			d.Kill(own)
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
					t.Errorf("write %d doubled", i)
				case i == 1 && err != nil:
					t.Errorf("write with key: %v", err)
				}
			}
		})
	}
}

// A caller cancels a write that waits at the owner with its batch beside it. It is
// told that nothing ran, and nothing may run later, when the slots are free.
func TestCancelledInOwnersQueue(t *testing.T) {
	d := startShared(t, 1, nil)
	own, away := knownOwner(t, d)
	c := connect(t, d, away, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "/* key=zero */ INSERT INTO t (id) VALUES (0)")
	release := occupy(t, d, own)
	for _, q := range []string{"INSERT INTO t (id) VALUES (1)", "/* key=two */ INSERT INTO t (id) VALUES (2)", "BEGIN; INSERT INTO t (id) VALUES (3); COMMIT"} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			var err error
			var w sync.WaitGroup
			w.Go(func() { _, err = c.Exec(t.Context(), q) })
			inQueue(t, d, own, 1)
			time.Sleep(pause)
			cancelAt(t, d, own, c)
			w.Wait()
			if code(err) != "57014" || !strings.HasPrefix(detail(err), "outcome=not-run") {
				t.Errorf("%s: %v, %s", q, err, detail(err))
			}
		}
	}
	release()
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 1 {
		t.Errorf("%d lines, want 1", n)
	}
}

// Requests after which the connection goes back with the answer come between ones
// that change settings, fail, or leave a transaction open. A session that meets
// another's setting reads the wrong schema or books under the wrong name.
func TestConnectionsGoBackAsTheyCame(t *testing.T) {
	d := startShared(t, 1, func(d *deployer.Deployment) { d.Server.Slots = 1 })
	_, away := knownOwner(t, d)
	a, b := connect(t, d, away, ""), connect(t, d, away, "")
	exec(t, a, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, a, "SET statement_timeout = '12340ms'")
	for i := range 20 {
		exec(t, a, "INSERT INTO t (id) VALUES ($1)", i)
		exec(t, a, "BEGIN")
		exec(t, a, "SET statement_timeout = '43210ms'")
		exec(t, a, []string{"COMMIT", "ROLLBACK"}[i%2])
		if _, err := b.Exec(t.Context(), "INSERT INTO t (id) VALUES ($1)", i); code(err) != "23505" {
			t.Fatalf("second line %d: %v", i, err)
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
