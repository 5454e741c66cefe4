package deployer_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// Guards against stale results of speculative reads. A replica stops replicating right after its
// entry host has polled it. A read that runs there ahead of its read index lacks the latest row,
// which a session without a mark must see because it was acknowledged before. The host must discard
// the result and run the read again elsewhere, without an error for the caller.
func TestReplicaFallsBehindReadAhead(t *testing.T) {
	tests := []struct {
		name string
		pad  int
	}{
		{"short answer", 1},
		// The result is longer than what an entry host buffers before it writes to the caller.
		{"long answer", 40 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &speculativeReader{t: t, d: start(t), pad: tt.pad}
			r.run()
		})
	}
}

// speculativeReader writes through one entry host and reads through another.
type speculativeReader struct {
	t       *testing.T
	d       *deployer.Deployment
	pad     int
	written int
}

func (r *speculativeReader) run() {
	w := connect(r.t, r.d, 0, "")
	exec(r.t, w, "CREATE TABLE t (id bigint PRIMARY KEY, pad text)")
	s := r.d.Standins["db"].Servers
	const repeats, rounds = 2, 200
	for i := 0; sumMetric(r.t, r.d, `cuminwick_retries_total{result="allowed"}`) < repeats; i++ {
		if i == rounds {
			r.t.Fatalf("fewer than %d reads were run again in %d rounds, so the test checked nothing", repeats, rounds)
		}
		// The read lets the host observe that the replica has caught up. Then the replica falls
		// behind.
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

func (r *speculativeReader) write(c *pgx.Conn) {
	r.written++
	if _, err := c.Exec(r.t.Context(), "INSERT INTO t (id, pad) VALUES ($1, repeat('x', $2))", r.written, r.pad); err != nil {
		r.t.Fatal(err)
	}
}

// read reads all rows in a new session. It uses simple queries, as the Parse message before an
// extended query would make the host poll all servers.
func (r *speculativeReader) read() {
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
		r.t.Fatalf("a read returned %d of %d acknowledged rows, %v", n, r.written, l.Err())
	}
}
