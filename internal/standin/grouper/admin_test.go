package grouper

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

func postFault(t *testing.T, s *responder.Server, body string) int {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.AdminAddr()+"/fault", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	return r.StatusCode
}

func getDump(t *testing.T, s *responder.Server) replicator.Dump {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.AdminAddr()+"/dump", nil)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var d replicator.Dump
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil {
		t.Fatal(err)
	}
	return d
}

// Servers that run in separate processes receive their faults over HTTP. Guards against settings
// that the admin handler ignores, and against unknown keys and malformed durations that it accepts.
func TestFaultsOverHTTP(t *testing.T) {
	g := start(t, 2, func(s *responder.Server) { s.AdminAddress = "127.0.0.1:0" })
	a, b := g.Servers[0], g.Servers[1]
	c := connect(t, a, "")
	for body, want := range map[string]int{
		`{"replication-lag":"1h","leaving":true}`: http.StatusNoContent,
		`{"replication-lag":"soon"}`:              http.StatusBadRequest,
		`{"replcation-lag":"1s"}`:                 http.StatusBadRequest,
	} {
		if k := postFault(t, b, body); k != want {
			t.Errorf("%s: %d, want %d", body, k, want)
		}
	}
	exec(t, c, "CREATE TABLE note (id int PRIMARY KEY, body text)")
	exec(t, c, "INSERT INTO note VALUES (1, 'a')")
	if d := getDump(t, b); len(d.Tables) != 0 {
		t.Errorf("replica does not lag: %+v", d)
	}
	if s, err := client(t, b).Status(t.Context()); err != nil || !s.Leaving {
		t.Errorf("%+v %v", s, err)
	}
	if k := postFault(t, b, `{"replication-lag":"0s"}`); k != http.StatusNoContent {
		t.Error(k)
	}
	waitFor(t, "the replica has the row", func() bool { return len(getDump(t, b).Tables["note"].Rows) == 1 })
	if k := postFault(t, a, `{"crashed":true}`); k != http.StatusNoContent {
		t.Error(k)
	}
	waitFor(t, "the connection is closed", func() bool { _, err := c.Exec(t.Context(), "SELECT 1"); return err != nil })
	if k := postFault(t, a, `{"crashed":false}`); k != http.StatusNoContent {
		t.Error(k)
	}
	waitFor(t, "the server answers again", func() bool { _, err := client(t, a).Status(t.Context()); return err == nil })
}
