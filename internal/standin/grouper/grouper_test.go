package grouper

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// waitTimeout ends a run that would otherwise hang; it is not a limit on the servers' speed.
const waitTimeout = 20 * time.Second

// start runs a group of n servers until the test ends.
func start(t *testing.T, n int, change func(*responder.Server)) *Group {
	t.Helper()
	g := &Group{}
	for i := range n {
		s := &responder.Server{Name: fmt.Sprintf("db-%d", i+1), Address: "127.0.0.1:0"}
		if change != nil {
			change(s)
		}
		g.Servers = append(g.Servers, s)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("group: %v", err)
		}
	})
	<-g.Ready()
	return g
}

func connect(t *testing.T, s *responder.Server, extra string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), "postgres://anna@"+s.Addr()+"/records?sslmode=disable"+extra)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) pgconn.CommandTag {
	t.Helper()
	r, err := c.Exec(t.Context(), sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return r
}

// queryValue returns the single value that the query selects.
func queryValue[T any](t *testing.T, c *pgx.Conn, sql string, args ...any) T {
	t.Helper()
	var v T
	if err := c.QueryRow(t.Context(), sql, args...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

// sqlState returns the SQLSTATE of err, or its text if it is not an error of PostgreSQL.
func sqlState(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code
	}
	return fmt.Sprint(err)
}

// waitFor polls until the condition holds and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func client(t *testing.T, s *responder.Server) *commander.Client {
	c := &commander.Client{Name: s.Name, Address: s.Addr(), User: "control"}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func TestStatements(t *testing.T) {
	g := start(t, 1, nil)
	for _, mode := range []string{"", "&default_query_exec_mode=simple_protocol", "&default_query_exec_mode=describe_exec"} {
		t.Run(mode, func(t *testing.T) {
			c := connect(t, g.Servers[0], mode)
			exec(t, c, "DROP TABLE IF EXISTS note")
			exec(t, c, "CREATE TABLE note (id bigint PRIMARY KEY, body text NOT NULL, n int DEFAULT 7, at timestamptz DEFAULT now(), tag text UNIQUE)")
			exec(t, c, "CREATE TABLE IF NOT EXISTS note (id bigint)")
			exec(t, c, "INSERT INTO note (id, body, tag) VALUES ($1, $2, $3)", 1, "first", "a")
			exec(t, c, "INSERT INTO note (id, body, tag) VALUES (2, 'second', 'b'), (3, 'third', 'c')")
			if n := exec(t, c, "INSERT INTO note (id, body) VALUES (1, 'again') ON CONFLICT DO NOTHING").RowsAffected(); n != 0 {
				t.Errorf("conflicting insert affected %d rows", n)
			}
			_, err := c.Exec(t.Context(), "INSERT INTO note (id, body) VALUES (1, 'again')")
			if sqlState(err) != "23505" {
				t.Errorf("duplicate key: %v", err)
			}
			_, err = c.Exec(t.Context(), "INSERT INTO note (id, body, tag) VALUES (4, 'x', 'a')")
			if sqlState(err) != "23505" {
				t.Errorf("duplicate unique value: %v", err)
			}
			if v := queryValue[int64](t, c, "UPDATE note SET n = n + $1 WHERE id = $2 RETURNING n", 5, 1); v != 12 {
				t.Errorf("n = %d", v)
			}
			if v := queryValue[string](t, c, "SELECT body FROM note WHERE id = $1 AND n = 12", 1); v != "first" {
				t.Errorf("body = %q", v)
			}
			if v := queryValue[int64](t, c, "SELECT count(*) FROM note WHERE n < $1", 100); v != 3 {
				t.Errorf("count = %d", v)
			}
			if v := queryValue[string](t, c, "SELECT body FROM note ORDER BY id DESC LIMIT 1"); v != "third" {
				t.Errorf("last = %q", v)
			}
			if v := queryValue[time.Time](t, c, "SELECT at FROM note WHERE id = 2"); time.Since(v) > time.Hour {
				t.Errorf("at = %v", v)
			}
			if v := queryValue[int64](t, c, "SELECT sum(g) FROM generate_series(1, $1) g", 10); v != 55 {
				t.Errorf("sum = %d", v)
			}
			if n := exec(t, c, "DELETE FROM note WHERE id IN (2, 3)").RowsAffected(); n != 2 {
				t.Errorf("deleted %d", n)
			}
			for sql, code := range map[string]string{
				"SELEC 1":                             "42601",
				"SELECT * FROM nowhere":               "42P01",
				"SELECT nothing FROM note":            "42703",
				"INSERT INTO note VALUES (9)":         "23502",
				"CREATE TEMP TABLE x (id int)":        "0A000",
				"SELECT * FROM cuminwick_promote(99)": "55000",
			} {
				if _, err := c.Exec(t.Context(), sql); sqlState(err) != code {
					t.Errorf("%s: %v, want %s", sql, err, code)
				}
			}
		})
	}
}

// Guards against reads of uncommitted data, lost updates, and commits of failed transactions.
func TestTransactions(t *testing.T) {
	g := start(t, 1, nil)
	a, b := connect(t, g.Servers[0], ""), connect(t, g.Servers[0], "")
	exec(t, a, "CREATE TABLE line (id int PRIMARY KEY, v int)")
	exec(t, a, "INSERT INTO line VALUES (1, 0)")
	exec(t, a, "BEGIN")
	exec(t, a, "UPDATE line SET v = v + 1 WHERE id = 1")
	if v := queryValue[int](t, b, "SELECT v FROM line WHERE id = 1"); v != 0 {
		t.Errorf("read the uncommitted value %d", v)
	}
	done := make(chan error, 1)
	go func() {
		_, err := b.Exec(context.Background(), "UPDATE line SET v = v + 1 WHERE id = 1")
		done <- err
	}()
	exec(t, a, "SAVEPOINT s")
	exec(t, a, "UPDATE line SET v = 50 WHERE id = 1")
	exec(t, a, "ROLLBACK TO s")
	exec(t, a, "COMMIT")
	if err := <-done; err != nil {
		t.Error(err)
	}
	if v := queryValue[int](t, a, "SELECT v FROM line WHERE id = 1"); v != 2 {
		t.Errorf("v = %d, an update was lost", v)
	}
	exec(t, a, "BEGIN")
	if _, err := a.Exec(t.Context(), "SELECT 1/0"); sqlState(err) != "22012" {
		t.Error(err)
	}
	if _, err := a.Exec(t.Context(), "SELECT 1"); sqlState(err) != "25P02" {
		t.Error(err)
	}
	if r := exec(t, a, "COMMIT"); r.String() != "ROLLBACK" {
		t.Errorf("commit of a failed transaction answered %s", r)
	}
	exec(t, a, "BEGIN READ ONLY")
	if _, err := a.Exec(t.Context(), "DELETE FROM line"); sqlState(err) != "25006" {
		t.Error(err)
	}
	exec(t, a, "ROLLBACK")
}

func TestLargeResultAndCopy(t *testing.T) {
	g := start(t, 1, nil)
	c := connect(t, g.Servers[0], "")
	r, err := c.Query(t.Context(), "SELECT g, repeat('x', 1024) FROM generate_series(1, 65536) g")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for r.Next() {
		n += len(r.RawValues()[1])
	}
	if r.Err() != nil || n != 64<<20 {
		t.Errorf("%d bytes, %v", n, r.Err())
	}
	exec(t, c, "CREATE TABLE copied (id bigint, body text)")
	in := "1\ta\\tb\n2\t\\N\n"
	if _, err := c.PgConn().CopyFrom(t.Context(), strings.NewReader(in), "COPY copied FROM STDIN"); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if _, err := c.PgConn().CopyTo(t.Context(), &out, "COPY copied TO STDOUT"); err != nil {
		t.Fatal(err)
	}
	if out.String() != in {
		t.Errorf("copied %q, want %q", out.String(), in)
	}
}

// Guards against a canceled statement that keeps its slot: no other statement could run.
func TestCancelFreesTheSlot(t *testing.T) {
	g := start(t, 1, func(s *responder.Server) { s.Slots = 1 })
	a, b := connect(t, g.Servers[0], ""), connect(t, g.Servers[0], "")
	done := make(chan error, 1)
	go func() {
		_, err := a.Exec(context.Background(), "SELECT pg_sleep(600)")
		done <- err
	}()
	waitFor(t, "the statement holds its slot", func() bool { return g.Servers[0].StatementCounts().PrimaryReads == 1 })
	if err := a.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := <-done; sqlState(err) != "57014" {
		t.Error(err)
	}
	if v := queryValue[int](t, b, "SELECT 1"); v != 1 {
		t.Error(v)
	}
}

// Guards against a connection limit that is not enforced or that does not count control connections.
func TestConnectionLimit(t *testing.T) {
	g := start(t, 1, func(s *responder.Server) { s.MaximumConnections = 2 })
	connect(t, g.Servers[0], "")
	connect(t, g.Servers[0], "&application_name=cuminwick-control")
	_, err := pgx.Connect(t.Context(), "postgres://anna@"+g.Servers[0].Addr()+"/records?sslmode=disable")
	if sqlState(err) != "53300" {
		t.Error(err)
	}
}

// Guards against a wrong password that is accepted and a right one that is refused.
func TestPassword(t *testing.T) {
	g := start(t, 1, func(s *responder.Server) { s.Password = "geheim" })
	for p, code := range map[string]string{"geheim": "<nil>", "falsch": "28P01"} {
		c, err := pgx.Connect(t.Context(), "postgres://anna:"+p+"@"+g.Servers[0].Addr()+"/records?sslmode=disable")
		if sqlState(err) != code {
			t.Errorf("%s: %v", p, err)
		}
		if err == nil {
			c.Close(t.Context())
		}
	}
}

// The primary is isolated with writes that reached no replica, and another server is promoted.
// Guards against a former primary that accepts writes after it received the higher term, or that
// keeps the unreplicated records when it rejoins as a replica.
func TestPromotionAndTruncation(t *testing.T) {
	g := start(t, 3, nil)
	s := g.Servers
	a := connect(t, s[0], "")
	exec(t, a, "CREATE TABLE line (id int PRIMARY KEY)")
	exec(t, a, "INSERT INTO line VALUES (1)")
	waitFor(t, "the replicas catch up", func() bool {
		return s[1].Store().Last() == s[0].Store().Last() && s[2].Store().Last() == s[0].Store().Last()
	})
	s[0].Isolate(true)
	exec(t, a, "INSERT INTO line VALUES (2)")
	exec(t, a, "BEGIN")
	exec(t, a, "INSERT INTO line VALUES (3)")
	x := t.Context()
	for _, i := range []int{1, 2} {
		if _, err := client(t, s[i]).RaiseTerm(x, 2); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := client(t, s[1]).RaiseTerm(x, 2); sqlState(err) != "55000" {
		t.Error(err)
	}
	if _, err := client(t, s[1]).Promote(x, 2); err != nil {
		t.Fatal(err)
	}
	if _, err := client(t, s[2]).Follow(x, 2, "db-2", s[1].Addr()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "db-3 follows", func() bool { return s[2].Store().Last() == s[1].Store().Last() })
	if _, err := client(t, s[0]).RaiseTerm(x, 2); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Exec(x, "COMMIT"); sqlState(err) != "25006" {
		t.Errorf("commit on a fenced server: %v", err)
	}
	b := connect(t, s[1], "")
	exec(t, b, "INSERT INTO line VALUES (4)")
	s[0].Isolate(false)
	if _, err := client(t, s[0]).Follow(x, 2, "db-2", s[1].Addr()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "db-1 follows", func() bool { return s[0].Store().Last() == s[1].Store().Last() })
	c := connect(t, s[0], "")
	if n := queryValue[int](t, c, "SELECT sum(id) FROM line"); n != 5 {
		t.Errorf("sum on the former primary is %d, want 5", n)
	}
	if _, err := c.Exec(x, "INSERT INTO line VALUES (9)"); sqlState(err) != "25006" {
		t.Errorf("write on a replica: %v", err)
	}
}

// Guards against injected faults that have no effect, or that persist after they are cleared.
func TestFaults(t *testing.T) {
	g := start(t, 2, nil)
	s := g.Servers
	a := connect(t, s[0], "")
	exec(t, a, "CREATE TABLE line (id int PRIMARY KEY)")
	s[1].StopReplication(true)
	exec(t, a, "INSERT INTO line VALUES (1)")
	if s[1].Store().Last() == s[0].Store().Last() {
		t.Error("replica applied records while replication was stopped")
	}
	s[1].StopReplication(false)
	waitFor(t, "the replica catches up", func() bool { return s[1].Store().Last() == s[0].Store().Last() })
	s[1].SetReplicationLag(time.Hour)
	exec(t, a, "CREATE TABLE late (id int)")
	if s[1].Store().Last() == s[0].Store().Last() {
		t.Error("replica does not lag")
	}
	s[1].SetReplicationLag(0)
	waitFor(t, "the replica catches up", func() bool { return s[1].Store().Last() == s[0].Store().Last() })
	s[0].Crash()
	waitFor(t, "the connection is closed", func() bool { _, err := a.Exec(t.Context(), "SELECT 1"); return err != nil })
	s[0].Restart()
	waitFor(t, "the server answers again with its log kept", func() bool {
		c, err := pgx.Connect(t.Context(), "postgres://anna@"+s[0].Addr()+"/records?sslmode=disable")
		if err != nil {
			return false
		}
		defer c.Close(t.Context())
		return queryValue[int](t, c, "SELECT count(*) FROM line") == 1
	})
	s[1].Pause(true)
	x, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if _, err := client(t, s[1]).Status(x); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a paused server answered: %v", err)
	}
	s[1].Pause(false)
	if _, err := client(t, s[1]).Status(t.Context()); err != nil {
		t.Error(err)
	}
}
