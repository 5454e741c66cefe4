package deployer_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// A replica stops taking over writes just after its entry host has last asked
// it. A read that runs there ahead of its read index lacks the latest line; were
// it shown, a reviewer without a mark would miss what was acknowledged before.
// It is run again elsewhere, and the reviewer notices nothing.
func TestReplicaFallsBehindReadAhead(t *testing.T) {
	tests := []struct {
		name string
		pad  int
	}{
		{"short answer", 1},
		// The answer is longer than what an entry host collects before it writes.
		{"long answer", 40 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &aheadReader{t: t, d: start(t), pad: tt.pad}
			r.run()
		})
	}
}

// aheadReader writes at one entry host and reads at another.
type aheadReader struct {
	t       *testing.T
	d       *deployer.Deployment
	pad     int
	written int
}

func (r *aheadReader) run() {
	w := connect(r.t, r.d, 0, "")
	exec(r.t, w, "CREATE TABLE t (id bigint PRIMARY KEY, pad text)")
	s := r.d.Standins["db"].Servers
	const repeats, rounds = 2, 200
	for i := 0; total(r.t, r.d, `cuminwick_retries_total{result="allowed"}`) < repeats; i++ {
		if i == rounds {
			r.t.Fatalf("fewer than %d reads were run again in %d rounds, the test shows nothing", repeats, rounds)
		}
		// The host learns that the replica has caught up, then it falls behind.
		r.read()
		s[1].StopReplication(true)
		r.write(w)
		r.read()
		s[1].StopReplication(false)
		for s[1].Store().Last() != s[0].Store().Last() {
			r.read()
		}
	}
}

func (r *aheadReader) write(c *pgx.Conn) {
	r.written++
	if _, err := c.Exec(r.t.Context(), "INSERT INTO t (id, pad) VALUES ($1, repeat('x', $2))", r.written, r.pad); err != nil {
		r.t.Fatal(err)
	}
}

// read reads all lines in a session of its own. Simple queries are used, as the
// Parse before an extended one would have the host ask all servers.
func (r *aheadReader) read() {
	c, err := pgx.Connect(r.t.Context(), "postgres://caller@"+r.d.Hosts[1].Address()+"/db?sslmode=disable&default_query_exec_mode=simple_protocol")
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close(context.Background())
	l, err := c.Query(r.t.Context(), "SELECT id, pad FROM t")
	if err != nil {
		r.t.Fatal(err)
	}
	n := 0
	for l.Next() {
		n++
	}
	if l.Err() != nil || n != r.written {
		r.t.Fatalf("a read shows %d of %d acknowledged lines, %v", n, r.written, l.Err())
	}
}
