package deployer_test

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
)

// BenchmarkDecisionLog reads through one entry host without a log of its routing decisions, with a
// log line for each request, and with one for each hundredth.
func BenchmarkDecisionLog(b *testing.B) {
	for _, x := range []struct {
		name   string
		sample int
		output func(b *testing.B) io.Writer
	}{
		{name: "none"},
		{name: "discarded", sample: 1, output: func(*testing.B) io.Writer { return io.Discard }},
		{name: "file", sample: 1, output: logFile},
		{name: "file-one-in-100", sample: 100, output: logFile},
	} {
		b.Run(x.name, func(b *testing.B) {
			d := startDeployment(b, 1, func(d *deployer.Deployment) {
				d.Standalone = true
				d.Server = deployer.ServerTemplate{Slots: 64, Connections: 200}
				if x.output == nil {
					return
				}
				d.LogEncoder = &encoder.Encoder{Writer: x.output(b), QueueBytes: 4 << 20, SampleDecisions: x.sample}
				go d.LogEncoder.Run(b.Context())
			})
			c := connect(b, d, 0, "")
			exec(b, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
			b.SetParallelism(4)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				n, err := pgx.Connect(b.Context(), "postgres://app@"+d.Hosts[0].Address()+"/db?sslmode=disable")
				if err != nil {
					b.Error(err)
					return
				}
				defer n.Close(b.Context())
				for p.Next() {
					if _, err := n.Exec(b.Context(), "SELECT id FROM t WHERE id = 1"); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
			if d.LogEncoder != nil {
				b.ReportMetric(float64(d.LogEncoder.Dropped()), "dropped")
			}
		})
	}
}

func logFile(b *testing.B) io.Writer {
	f, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { f.Close() })
	return f
}
