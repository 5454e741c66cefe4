package deployer_test

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// queuedRequests returns how many requests are queued for backend servers at all entry hosts.
func queuedRequests(t *testing.T, d *deployer.Deployment) float64 {
	t.Helper()
	return sumMetric(t, d, "cuminwick_queued_requests{")
}

// sumMetric returns the sum of all metrics whose name and labels begin with prefix over all entry
// hosts.
func sumMetric(t *testing.T, d *deployer.Deployment, prefix string) float64 {
	t.Helper()
	n := 0.0
	for _, h := range d.Hosts {
		r, err := http.Get("http://" + h.AdministrationAddress() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		s := bufio.NewScanner(r.Body)
		for s.Scan() {
			name, v, _ := strings.Cut(s.Text(), " ")
			if strings.HasPrefix(name, prefix) {
				f, err := strconv.ParseFloat(v, 64)
				if err != nil {
					t.Fatal(err)
				}
				n += f
			}
		}
	}
	return n
}

// Guards against a transaction that stays open after a cancelled COMMIT. All slots of the primary
// are in use when a caller sends its COMMIT, which it cancels while it is queued. The caller is
// told that nothing ran. If the transaction stayed open, the next statements would be part of it:
// they would see the row that was not saved, and their writes would be lost with the connection.
func TestCommitRefusedEndsTransaction(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	// An entry host admits up to twice as many requests as the server has slots, to cover round
	// trips.
	const slotHolders = 5
	done := make(chan struct{})
	var w sync.WaitGroup
	var l []*pgx.Conn
	for range slotHolders {
		s := connect(t, d, 0, "")
		exec(t, s, "BEGIN")
		exec(t, s, "SELECT count(*) FROM t")
		l = append(l, s)
	}
	for _, s := range l {
		ended := make(chan struct{})
		w.Go(func() {
			defer close(ended)
			_, _ = s.Exec(t.Context(), "SELECT pg_sleep(600)")
		})
		w.Go(func() {
			<-done
			for !closed(ended) {
				_ = s.PgConn().CancelRequest(t.Context())
			}
		})
	}
	for queuedRequests(t, d) == 0 {
		time.Sleep(time.Millisecond)
	}
	answered := make(chan struct{})
	w.Go(func() {
		for !closed(answered) {
			_ = c.PgConn().CancelRequest(t.Context())
		}
	})
	_, err := c.Exec(t.Context(), "COMMIT")
	close(answered)
	close(done)
	w.Wait()
	if code(err) != "57014" || !strings.Contains(detail(err), "outcome=not-run") {
		t.Fatalf("COMMIT: %v, detail %q", err, detail(err))
	}
	if s := c.PgConn().TxStatus(); s != 'I' {
		t.Errorf("transaction status %q after the COMMIT", s)
	}
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 0 {
		t.Errorf("session sees %d rows whose insert was not run", n)
	}
	exec(t, c, "INSERT INTO t (id) VALUES (2)")
	if n := query[int64](t, connect(t, d, 1, ""), "SELECT count(*) FROM t"); n != 1 {
		t.Errorf("another session sees %d rows, want 1", n)
	}
}
