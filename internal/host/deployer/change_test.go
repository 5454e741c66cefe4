package deployer_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// writer inserts rows through one entry host until stop is closed.
type writer struct {
	conn  *pgx.Conn
	host  int
	stop  chan struct{}
	done  chan struct{}
	saved int
	err   error
}

func (w *writer) run(ctx context.Context) {
	defer close(w.done)
	for !closed(w.stop) {
		id := fmt.Sprintf("%d-%d", w.host, w.saved)
		_, w.err = w.conn.Exec(ctx, "INSERT INTO t (id) VALUES ($1)", id)
		if w.err != nil {
			return
		}
		w.saved++
	}
}

// Guards against commits that time out when a group is reconfigured. Operators change the
// connections of a group's servers while callers insert rows. Each entry host then replaces the
// components that serve the group. A commit that still waited for confirmation by the former ones
// would wait until its timeout, and its outcome would be reported as unknown although the row is
// saved.
func TestServersChangeWhileWritesWait(t *testing.T) {
	d := start(t, func(d *deployer.Deployment) {
		d.Source = nil
		d.Gossip = true
	})
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id text PRIMARY KEY)")
	var l []*writer
	for i := range d.Hosts {
		for range 2 {
			w := &writer{conn: connect(t, d, i, ""), host: len(l), stop: make(chan struct{}), done: make(chan struct{})}
			l = append(l, w)
			go w.run(t.Context())
		}
	}
	f := *d.File
	for n := range 8 {
		f.DatabaseGroups = slices.Clone(f.DatabaseGroups)
		g := &f.DatabaseGroups[0]
		g.BackendServers = slices.Clone(g.BackendServers)
		g.BackendServers[n%len(g.BackendServers)].Connections = 17 + n
		if _, err := d.Apply(t.Context(), f); err != nil {
			t.Fatal(err)
		}
	}
	saved := 0
	for _, w := range l {
		close(w.stop)
		<-w.done
		saved += w.saved
		if w.err != nil {
			t.Errorf("writer %d after %d rows: %v, %s", w.host, w.saved, w.err, detail(w.err))
		}
	}
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != int64(saved) {
		t.Errorf("%d rows in the table, %d saved", n, saved)
	}
}
