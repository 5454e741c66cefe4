package deployer_test

import (
	"strings"
	"testing"
	"time"
)

// Guards against metrics that are documented but never updated, with which an operator would miss a
// fault.
func TestMetricsCountCallerRequests(t *testing.T) {
	d := start(t, defaultFailover)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	if _, err := c.Exec(t.Context(), "SELECT nonsense FROM t"); err == nil {
		t.Error("a read of an unknown column succeeded")
	}
	if err := c.PgConn().CancelRequest(t.Context()); err != nil {
		t.Error(err)
	}
	d.Standins["db"].Servers[0].Crash()
	// The first write may have been in progress at the primary, so its outcome may be unknown.
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
		for sumMetric(t, d, m) == 0 {
			if t.Context().Err() != nil {
				t.Fatalf("%s stays zero", m)
			}
			time.Sleep(time.Millisecond)
		}
	}
}
