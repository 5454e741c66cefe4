package deployer_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// start runs three entry hosts in front of one group of three backend servers.
func start(t *testing.T, change ...func(*deployer.Deployment)) *deployer.Deployment {
	t.Helper()
	return startDeployment(t, 1, func(d *deployer.Deployment) {
		for _, c := range change {
			c(d)
		}
	})
}

// lenientDriverSettings returns thresholds under which a machine that is busy with other tests is
// not mistaken for a lost primary. Tests of failover use the defaults.
func lenientDriverSettings() driver.Settings {
	s := driver.Defaults()
	s.Observer.SuspicionTimeout = 10 * time.Second
	s.Observer.RefusalTimeout = 10 * time.Second
	s.Observer.IsolationTimeout = 10 * time.Second
	s.Observer.NoPrimaryTimeout = 10 * time.Second
	s.Observer.MaximumStatusAge = 10 * time.Second
	s.NoMajorityTimeout = 20 * time.Second
	return s
}

// defaultFailover makes a deployment use the default thresholds of failover.
func defaultFailover(d *deployer.Deployment) {
	d.Driver = driver.Defaults()
}

func connect(t testing.TB, d *deployer.Deployment, i int, options string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), "postgres://caller@"+d.Hosts[i].Address()+"/db?sslmode=disable"+options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t testing.TB, c *pgx.Conn, sql string, a ...any) pgconn.CommandTag {
	t.Helper()
	g, err := c.Exec(t.Context(), sql, a...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return g
}

func query[T any](t *testing.T, c *pgx.Conn, sql string, a ...any) T {
	t.Helper()
	var v T
	if err := c.QueryRow(t.Context(), sql, a...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

func code(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code
	}
	return ""
}

func TestDriverFeatures(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	t.Run("prepared statements", func(t *testing.T) {
		for i := range 20 {
			exec(t, c, "INSERT INTO t (id, v) VALUES ($1, $2)", i, "x")
		}
		if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 20 {
			t.Errorf("count = %d, want 20", n)
		}
	})
	t.Run("named statement outlives its connection", func(t *testing.T) {
		if _, err := c.Prepare(t.Context(), "mine", "SELECT v FROM t WHERE id = $1"); err != nil {
			t.Fatal(err)
		}
		for i := range 5 {
			if v := query[string](t, c, "mine", i); v != "x" {
				t.Errorf("v = %q", v)
			}
			exec(t, c, "UPDATE t SET v = 'x' WHERE id = $1", i)
		}
	})
	t.Run("batch", func(t *testing.T) {
		b := &pgx.Batch{}
		for i := 100; i < 110; i++ {
			b.Queue("INSERT INTO t (id, v) VALUES ($1, 'b')", i)
		}
		b.Queue("SELECT count(*) FROM t WHERE v = 'b'")
		r := c.SendBatch(t.Context(), b)
		for range 10 {
			if _, err := r.Exec(); err != nil {
				t.Fatal(err)
			}
		}
		var n int64
		if err := r.QueryRow().Scan(&n); err != nil || n != 10 {
			t.Errorf("count = %d, %v", n, err)
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("copy", func(t *testing.T) {
		g, err := c.PgConn().CopyFrom(t.Context(), strings.NewReader("200\tc\n201\tc\n"), "COPY t (id, v) FROM STDIN")
		if err != nil || g.RowsAffected() != 2 {
			t.Fatalf("copy in: %v %v", g, err)
		}
		var s strings.Builder
		if _, err := c.PgConn().CopyTo(t.Context(), &s, "COPY t TO STDOUT"); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(s.String(), "201\tc\n") {
			t.Errorf("copy out lacks a row: %q", s.String())
		}
	})
	t.Run("several statements in one text", func(t *testing.T) {
		exec(t, c, "INSERT INTO t (id, v) VALUES (300, 'm'); UPDATE t SET v = 'n' WHERE id = 300")
		if v := query[string](t, c, "SELECT v FROM t WHERE id = 300"); v != "n" {
			t.Errorf("v = %q", v)
		}
	})
	t.Run("empty text", func(t *testing.T) { exec(t, c, "") })
	t.Run("session setting applies on each backend connection", func(t *testing.T) {
		exec(t, c, "SET search_path TO a, b")
		for range 5 {
			exec(t, c, "UPDATE t SET v = 'x' WHERE id = 1")
			if v := query[string](t, c, "SHOW search_path"); v != "a, b" {
				t.Fatalf("search_path = %q", v)
			}
		}
		o := connect(t, d, 0, "")
		if v := query[string](t, o, "SHOW search_path"); v == "a, b" {
			t.Error("another session sees the setting")
		}
		exec(t, c, "DISCARD ALL")
		// The simple protocol is used, as DISCARD ALL leaves the cache of prepared statements of
		// pgx.
		if v := query[string](t, c, "SHOW search_path", pgx.QueryExecModeSimpleProtocol); v == "a, b" {
			t.Error("DISCARD ALL left the setting")
		}
	})
	t.Run("setting of a transaction that was rolled back", func(t *testing.T) {
		exec(t, c, "BEGIN")
		exec(t, c, "SET search_path TO z")
		exec(t, c, "ROLLBACK")
		if v := query[string](t, c, "SHOW search_path", pgx.QueryExecModeSimpleProtocol); v == "z" {
			t.Error("ROLLBACK left the setting")
		}
	})
}

func TestErrorsInTransaction(t *testing.T) {
	d := start(t)
	c := connect(t, d, 1, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	if _, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES (1)"); code(err) != "23505" {
		t.Fatalf("duplicate: %v", err)
	}
	if _, err := c.Exec(t.Context(), "SELECT 1"); code(err) != "25P02" {
		t.Fatalf("in failed transaction: %v", err)
	}
	if g := exec(t, c, "COMMIT"); g.String() != "ROLLBACK" {
		t.Errorf("commit of a failed transaction: %s", g)
	}
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 0 {
		t.Errorf("count = %d, want 0", n)
	}
	if _, err := c.Exec(t.Context(), "SELEKT"); code(err) != "42601" {
		t.Errorf("syntax error: %v", err)
	}
	if _, err := c.Exec(t.Context(), "SELECT * FROM nowhere WHERE id = $1", 1); code(err) != "42P01" {
		t.Errorf("undefined table: %v", err)
	}
}

// Guards against a transaction that stays open after a refusal. A statement in a transaction is
// refused before it reaches a backend server. The caller assumes that its transaction has failed
// and begins another one; if the first were still open, the COMMIT of the second would save the
// writes of the first.
func TestRefusalAbortsTransaction(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	if _, err := c.Exec(t.Context(), "SET cuminwick.mark = 'x'"); code(err) != "22023" {
		t.Fatalf("refused statement: %v", err)
	}
	if _, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES (2)"); code(err) != "25P02" {
		t.Fatalf("statement after the refusal: %v", err)
	}
	if g := exec(t, c, "COMMIT"); g.String() != "ROLLBACK" {
		t.Errorf("commit after the refusal: %s", g)
	}
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t (id) VALUES (3)")
	exec(t, c, "COMMIT")
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 1 {
		t.Errorf("count = %d, want 1", n)
	}
}

func TestCancelRunning(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	for range 3 {
		done := make(chan struct{})
		var w sync.WaitGroup
		w.Go(func() {
			// A cancel request that arrives before the statement has no effect.
			for !closed(done) {
				_ = c.PgConn().CancelRequest(t.Context())
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
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestMarks(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	m := c.PgConn().ParameterStatus("cuminwick.mark")
	if m == "" {
		t.Fatal("no mark after a write")
	}
	if s := query[string](t, c, "SHOW cuminwick.mark"); s != m {
		t.Errorf("SHOW cuminwick.mark = %q, reported %q", s, m)
	}
	o := connect(t, d, 1, "&cuminwick.mark="+m)
	if n := query[int64](t, o, "SELECT count(*) FROM t"); n != 0 {
		t.Errorf("count = %d", n)
	}
	for name, token := range map[string]string{"truncated": m[:len(m)-4], "forged": "A" + m[1:len(m)-2] + "AA"} {
		t.Run(name, func(t *testing.T) {
			_, err := o.Exec(t.Context(), "SET cuminwick.mark = '"+token+"'")
			if code(err) != "22023" {
				t.Errorf("SET with a %s mark: %v", name, err)
			}
			if _, err := pgx.Connect(t.Context(), "postgres://caller@"+d.Hosts[0].Address()+"/db?sslmode=disable&cuminwick.mark="+token); code(err) != "22023" {
				t.Errorf("startup with a %s mark: %v", name, err)
			}
		})
	}
}

// Guards against false outcomes across a failover. A primary crashes while a session goes on
// writing. A write may take longer, or have an unknown outcome because its response was lost, but
// acknowledged writes must be there afterwards.
func TestPrimaryCrash(t *testing.T) {
	d := start(t, defaultFailover)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	codes := make(map[int64]string)
	for i := range int64(20) {
		if i == 10 {
			d.Standins["db"].Servers[0].Crash()
		}
		_, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES ($1)", i)
		codes[i] = code(err)
		if err != nil && code(err) != "40003" {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	if codes[19] != "" {
		t.Errorf("last write after the crash: SQLSTATE %s", codes[19])
	}
	for i, e := range codes {
		n := query[int64](t, c, "SELECT count(*) FROM t WHERE id = $1", i)
		if e == "" && n != 1 {
			t.Errorf("write %d was acknowledged and is there %d times", i, n)
		}
	}
}
