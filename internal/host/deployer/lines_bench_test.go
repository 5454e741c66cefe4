package deployer_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
)

// BenchmarkLogLines compares requests without a decision log with requests for each of which a log
// line is written to a file.
func BenchmarkLogLines(b *testing.B) {
	b.Run("none", func(b *testing.B) { benchmarkLines(b, nil) })
	b.Run("file", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "lines"))
		if err != nil {
			b.Fatal(err)
		}
		e := &encoder.Encoder{Writer: f, QueueBytes: 4 << 20}
		x, stop := context.WithCancel(b.Context())
		ended := make(chan error)
		go func() { ended <- e.Run(x) }()
		benchmarkLines(b, e)
		stop()
		<-ended
		s, err := f.Stat()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(s.Size())/float64(b.N), "log-B/op")
		b.ReportMetric(float64(e.Dropped())/float64(b.N), "dropped/op")
	})
}

func benchmarkLines(b *testing.B, e *encoder.Encoder) {
	d := startDeployment(b, 1, func(d *deployer.Deployment) {
		d.Server = deployer.ServerTemplate{Slots: 16, Connections: 32}
		d.LogEncoder = e
		if e != nil {
			d.Log = &log.Logger{Handler: e, Level: log.InfoLevel}
		}
	})
	c := connectAll(b, d)
	if _, err := c[0].Exec(b.Context(), "CREATE TABLE t (id bigint PRIMARY KEY)"); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	l := runRequests(b, c, int64(b.N))
	b.StopTimer()
	if len(l) > 0 {
		b.Fatalf("%d requests failed, first: %v", len(l), l[0])
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
