package deployer_test

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// BenchmarkStatements measures a read outside of transactions and a transaction of four reads, over one
// connection of a caller.
func BenchmarkStatements(b *testing.B) {
	d := startDeployment(b, 1, func(d *deployer.Deployment) {
		d.Server = deployer.ServerTemplate{Slots: 16, Connections: 32}
	})
	c := connect(b, d, 0, "")
	exec(b, c, "CREATE TABLE t (id bigint PRIMARY KEY, v text)")
	exec(b, c, "INSERT INTO t (id, v) VALUES (1, 'v')")
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			exec(b, c, "SELECT v FROM t WHERE id = $1", 1)
		}
	})
	b.Run("transaction", func(b *testing.B) {
		for b.Loop() {
			exec(b, c, "BEGIN")
			for range 4 {
				exec(b, c, "SELECT v FROM t WHERE id = $1", 1)
			}
			exec(b, c, "COMMIT")
		}
	})
}
