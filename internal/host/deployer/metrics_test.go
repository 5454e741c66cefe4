package deployer_test

import (
	"strings"
	"testing"
	"time"
)

// An operator is called at night and looks at the metrics. One that is listed on
// the page and never counts would tell that all is well.
func TestMetricsCountWhatCallersDo(t *testing.T) {
	d := start(t, failover)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	if _, err := c.Exec(t.Context(), "SELECT nonsense FROM t"); err == nil {
		t.Error("an unknown column was read")
	}
	if err := c.PgConn().CancelRequest(t.Context()); err != nil {
		t.Error(err)
	}
	d.Standins["db"].Servers[0].Crash()
	// The first one may have been on its way to the primary, and is told as unknown.
	for n := 2; ; n++ {
		_, err := c.Exec(t.Context(), "INSERT INTO t (id) VALUES ($1)", n)
		if err == nil {
			break
		}
		if !strings.Contains(detail(err), "outcome=unknown") {
			t.Fatal(err)
		}
	}
	for _, m := range []string{
		`cuminwick_caller_connections`,
		`cuminwick_logins_total{result="accepted"}`,
		`cuminwick_requests_total{outcome="ran"}`,
		`cuminwick_requests_total{outcome="not-run"}`,
		`cuminwick_request_seconds_count`,
		`cuminwick_cancels_total{stage="finished"}`,
		`cuminwick_write_gap_seconds_count`,
		`cuminwick_peer_forwards_total{result="granted"}`,
		`cuminwick_routing_decisions_total`,
		`cuminwick_status_polls_total{cause="rest"}`,
	} {
		for total(t, d, m) == 0 {
			if t.Context().Err() != nil {
				t.Fatalf("%s counts nothing", m)
			}
			time.Sleep(time.Millisecond)
		}
	}
}
