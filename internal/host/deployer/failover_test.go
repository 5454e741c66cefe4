package deployer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/standin/injector"
)

// A backend server answers a COMMIT with a code by which it doesn't know itself
// whether the transaction lasts, and either may be true. A costing officer whose
// line is told as saved must find it, once; one that is told as not run may book
// it again, so it must never come. With a key the outcome is settled, not open.
func TestServerCallsCommitOpen(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "/* key=first */ INSERT INTO t (id) VALUES (0)")
	id := 0
	for _, f := range []injector.CommitFailure{{Code: "40003", Committed: true}, {Code: "40003"}, {Code: "08007", Committed: true}, {Code: "08007"}} {
		for _, keyed := range []bool{true, false} {
			for _, form := range [][]string{{"%s"}, {"BEGIN", "%s", "COMMIT"}} {
				id++
				t.Run(fmt.Sprintf("%s lasts=%t key=%t statements=%d", f.Code, f.Committed, keyed, len(form)), func(t *testing.T) {
					failCommit(t, connect(t, d, id%3, ""), id, form, keyed, d.Standins["db"].Servers[0].FailCommit, f)
					n := query[int64](t, c, "SELECT count(*) FROM t WHERE id = $1", id)
					if !keyed && (n == 1) != f.Committed {
						t.Errorf("a write without key is there %d times", n)
					}
				})
			}
		}
	}
}

// failCommit writes row id while its commit fails, and checks what is told.
func failCommit(t *testing.T, c *pgx.Conn, id int, form []string, keyed bool, set func(injector.CommitFailure), f injector.CommitFailure) {
	t.Helper()
	if keyed {
		exec(t, c, fmt.Sprintf("SET cuminwick.idempotency_key = 'open-%d'", id))
	}
	set(f)
	var err error
	for _, q := range form {
		q = strings.ReplaceAll(q, "%s", fmt.Sprintf("INSERT INTO t (id) VALUES (%d)", id))
		_, err = c.Exec(t.Context(), q)
	}
	set(injector.CommitFailure{})
	if !keyed {
		if code(err) != f.Code {
			t.Errorf("told %v, want the server's own word", err)
		}
		return
	}
	if strings.Contains(detail(err), "outcome=unknown") || f.Committed && err != nil {
		t.Errorf("told %v, detail %q", err, detail(err))
	}
	n := query[int64](t, c, fmt.Sprintf("SELECT count(*) FROM t WHERE id = %d", id))
	if (n == 1) != (err == nil) {
		t.Errorf("told %v, and the row is there %d times", err, n)
	}
}
