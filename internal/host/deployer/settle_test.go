package deployer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// A firewall forgets the connections to the backend servers just as a request with
// a key is on its way, and the costing officer cancels while its fate is found out.
// Told "unknown", the officer would have to ask for the key by hand, though the
// database group can be asked within a moment. What the caller is told, what is
// there and what the outcome of the key is must agree.
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
			m := &muter{}
			d := start(t, failover, func(d *deployer.Deployment) {
				d.Dial = func(deployer.Place) deployer.Dial { return m.dial }
			})
			k := connect(t, d, 0, "")
			exec(t, k, "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
			exec(t, k, "INSERT INTO t (id, n) VALUES (1, 0)")
			exec(t, k, "/* key=before */ UPDATE t SET n = 0 WHERE id = 1")
			m.at.Store(&c.at)
			told := make(chan error, 1)
			go func() {
				var err error
				for i := 0; i < len(c.sql) && err == nil; i++ {
					_, err = k.Exec(t.Context(), c.sql[i])
				}
				told <- err
			}()
			for m.at.Load() != nil {
				time.Sleep(time.Millisecond)
			}
			if err := k.PgConn().CancelRequest(t.Context()); err != nil {
				t.Fatal(err)
			}
			err := <-told
			ran := err == nil || strings.Contains(detail(err), "outcome=ran")
			if !ran && !strings.Contains(detail(err), "outcome=not-run") {
				t.Fatalf("told neither ran nor not-run: %v, %q", err, detail(err))
			}
			n := query[int64](t, connect(t, d, 1, ""), "SELECT n FROM t WHERE id = 1")
			o, err := d.Hosts[2].Outcome(t.Context(), "db", "k", true)
			if err != nil || ran != (n == 1) || ran != (o == recorder.Ran) || ran == (o == recorder.NotRun) {
				t.Errorf("told that it ran: %t, took effect %d times, outcome of the key is %s, %v", ran, n, o, err)
			}
		})
	}
}
