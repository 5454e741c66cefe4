package deployer_test

import (
	"context"
	"database/sql"
	"errors"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/lib/pq"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/settings/declarer"
)

// Guards against a host that only works with pgx. lib/pq uses the protocol in another way: it
// parses each statement under a name, and runs COPY through a prepared statement.
func TestSecondDriver(t *testing.T) {
	d := start(t, func(d *deployer.Deployment) {
		// Without the long timeout, a lost cancel request would look like one that took effect
		// late.
		d.CallerLimits = func(l *declarer.Limits) { l.RequestTimeout = time.Hour }
	})
	b, err := sql.Open("postgres", "postgres://caller@"+d.Hosts[0].Address()+"/db?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.Close() })
	must := func(t *testing.T, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	count := func(t *testing.T, want int64) {
		t.Helper()
		var n int64
		must(t, b.QueryRowContext(t.Context(), "SELECT count(*) FROM t").Scan(&n))
		if n != want {
			t.Errorf("%d rows, want %d", n, want)
		}
	}
	_, err = b.ExecContext(t.Context(), "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	must(t, err)
	t.Run("prepared statement", func(t *testing.T) {
		s, err := b.PrepareContext(t.Context(), "INSERT INTO t (id, v) VALUES ($1, $2)")
		must(t, err)
		defer s.Close()
		for i := range 10 {
			_, err = s.ExecContext(t.Context(), i, "x")
			must(t, err)
		}
		count(t, 10)
	})
	t.Run("error in a transaction", func(t *testing.T) {
		x, err := b.BeginTx(t.Context(), nil)
		must(t, err)
		_, err = x.ExecContext(t.Context(), "INSERT INTO t (id) VALUES (10)")
		must(t, err)
		_, err = x.ExecContext(t.Context(), "INSERT INTO t (id) VALUES (1)")
		var p *pq.Error
		if !errors.As(err, &p) || p.Code != "23505" {
			t.Errorf("error %v", err)
		}
		must(t, x.Rollback())
		count(t, 10)
	})
	t.Run("copy", func(t *testing.T) {
		x, err := b.BeginTx(t.Context(), nil)
		must(t, err)
		s, err := x.PrepareContext(t.Context(), "COPY t (id, v) FROM STDIN")
		must(t, err)
		for i := range 20 {
			_, err = s.ExecContext(t.Context(), strconv.Itoa(100+i), "c")
			must(t, err)
		}
		_, err = s.ExecContext(t.Context())
		must(t, err)
		must(t, s.Close())
		must(t, x.Commit())
		count(t, 30)
	})
	t.Run("cancel", func(t *testing.T) {
		x, cancel := context.WithCancel(t.Context())
		reads := func() (n int64) {
			for _, s := range d.Standins["db"].Servers {
				n += s.StatementCounts().PrimaryReads + s.StatementCounts().ReplicaReads
			}
			return n
		}
		before := reads()
		done := make(chan error, 1)
		go func() {
			_, err := b.ExecContext(x, "SELECT pg_sleep(600)")
			done <- err
		}()
		// The driver sends one cancel request, which has no effect if it arrives before the
		// statement.
		for reads() == before {
			runtime.Gosched()
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) && !cancelled(err) {
			t.Errorf("error %v", err)
		}
		count(t, 30)
	})
}

func cancelled(err error) bool {
	var p *pq.Error
	return errors.As(err, &p) && p.Code == "57014"
}
