package deployer_test

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against acknowledged writes that are lost in a failover. The replicas receive nothing from
// a primary that still accepts writes. However a commit is sent, its caller must not be told that
// the row is saved: if the primary were lost now, the row would be lost too.
func TestNoCommitIsAcknowledgedByThePrimaryAlone(t *testing.T) {
	tests := []struct {
		name  string
		texts []string
	}{
		{name: "statement of its own", texts: []string{"INSERT INTO t (id) VALUES (1)"}},
		{name: "several statements", texts: []string{"INSERT INTO t (id) VALUES (1); INSERT INTO t (id) VALUES (2)"}},
		{name: "transaction", texts: []string{"BEGIN", "INSERT INTO t (id) VALUES (1)", "COMMIT"}},
		{name: "transaction that ends with its first text", texts: []string{"BEGIN", "INSERT INTO t (id) VALUES (1); COMMIT"}},
		{name: "transaction in one text", texts: []string{"BEGIN; INSERT INTO t (id) VALUES (1); COMMIT"}},
		{name: "error after the commit", texts: []string{"BEGIN; INSERT INTO t (id) VALUES (1); COMMIT; SELECT * FROM nowhere"}},
		{name: "error after the commit of a transaction begun before", texts: []string{"BEGIN", "INSERT INTO t (id) VALUES (1); COMMIT; SELECT * FROM nowhere"}},
		{name: "with a key", texts: []string{"/* key=one */ INSERT INTO t (id) VALUES (1)"}},
	}
	d := start(t)
	exec(t, connect(t, d, 0, ""), "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, connect(t, d, 0, ""), "/* key=zero */ INSERT INTO t (id) VALUES (0)")
	for _, s := range d.Standins["db"].Servers[1:] {
		s.StopReplication(true)
	}
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := connect(t, d, 0, "&statement_timeout=300")
			for i, q := range tt.texts {
				q = strings.NewReplacer("(1)", fmt.Sprintf("(%d)", 10*n+1), "(2)", fmt.Sprintf("(%d)", 10*n+2)).Replace(q)
				_, err := c.Exec(t.Context(), q)
				last := i == len(tt.texts)-1
				if last && code(err) != "40003" || !last && err != nil {
					t.Fatalf("%s: %v", q, err)
				}
			}
			if s := c.PgConn().TxStatus(); s != 'I' {
				t.Errorf("transaction state %c after the commit", s)
			}
		})
	}
}
