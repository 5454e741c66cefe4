package deployer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// Guards against contradictory outcomes of a cancelled request with an idempotency key. A firewall
// drops the connections to the backend servers while the request is in progress, and the caller
// cancels while the host determines the outcome. The host must not report "unknown", after which
// the caller would have to query the outcome of the key, as the host itself can query the database
// group soon after. The outcome reported to the caller, the rows and the recorded outcome of the
// key must agree.
func TestCancelWhileKeySettles(t *testing.T) {
	const update = "UPDATE t SET n = n + 1 WHERE id = 1"
	for name, c := range map[string]struct {
		at  string
		sql []string
	}{
		"key's row":               {"cuminwick_outcome", []string{"/* key=k */ " + update}},
		"statement":               {"n + 1", []string{"/* key=k */ " + update}},
		"commit":                  {"COMMIT", []string{"/* key=k */ " + update}},
		"commit of a transaction": {"COMMIT", []string{"/* key=k */ BEGIN", update, "COMMIT"}},
	} {
		t.Run(name, func(t *testing.T) {
			m := &silencer{}
			d := start(t, defaultFailover, func(d *deployer.Deployment) {
				d.Dial = func(deployer.Place) deployer.Dial { return m.dial }
			})
			k := connect(t, d, 0, "")
			exec(t, k, "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
			exec(t, k, "INSERT INTO t (id, n) VALUES (1, 0)")
			exec(t, k, "/* key=before */ UPDATE t SET n = 0 WHERE id = 1")
			m.trigger.Store(&c.at)
			result := make(chan error, 1)
			go func() {
				var err error
				for i := 0; i < len(c.sql) && err == nil; i++ {
					_, err = k.Exec(t.Context(), c.sql[i])
				}
				result <- err
			}()
			for m.trigger.Load() != nil {
				time.Sleep(time.Millisecond)
			}
			if err := k.PgConn().CancelRequest(t.Context()); err != nil {
				t.Fatal(err)
			}
			err := <-result
			ran := err == nil || strings.Contains(detail(err), "outcome=ran")
			if !ran && !strings.Contains(detail(err), "outcome=not-run") {
				t.Fatalf("reported outcome is neither ran nor not-run: %v, %q", err, detail(err))
			}
			n := query[int64](t, connect(t, d, 1, ""), "SELECT n FROM t WHERE id = 1")
			o, err := d.Hosts[2].Outcome(t.Context(), "db", "k", true)
			if err != nil || ran != (n == 1) || ran != (o == recorder.Ran) || ran == (o == recorder.NotRun) {
				t.Errorf("reported as ran: %t, took effect %d times, outcome of the key is %s, %v", ran, n, o, err)
			}
		})
	}
}
