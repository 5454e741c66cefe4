package deployer_test

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

const (
	// pointRead is the statement that callers prepare.
	pointRead = "SELECT v FROM point WHERE id = $1"
	pointRows = 1000
)

// BenchmarkPointReads makes point reads directly at a backend server and through one entry host in
// front of three, with one caller and with 32. The difference in processor time per read is the
// cost of the host. Unlike reads per second, it hardly depends on the load of the machine.
func BenchmarkPointReads(b *testing.B) {
	d := startDeployment(b, 1, func(d *deployer.Deployment) {
		d.MaximumHosts = 1
		near := deployer.Place{AvailabilityZone: "a", Region: "one"}
		d.Places = []deployer.Place{near, near, near}
		d.Server = deployer.ServerTemplate{Slots: 64, Connections: 128}
	})
	host := d.Hosts[0].Address()
	c := openConn(b, host)
	fillPoints(b, c)
	for _, n := range []int{1, 32} {
		b.Run(fmt.Sprintf("direct/callers=%d", n), func(b *testing.B) {
			readPoints(b, d, d.Standins["db"].Servers[0].Addr(), n)
		})
		b.Run(fmt.Sprintf("through/callers=%d", n), func(b *testing.B) {
			readPoints(b, d, host, n)
		})
	}
}

func openConn(b *testing.B, address string) *pgconn.PgConn {
	c, err := pgconn.Connect(b.Context(), "postgres://caller@"+address+"/db?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func fillPoints(b *testing.B, c *pgconn.PgConn) {
	for _, q := range []string{
		"CREATE TABLE point (id bigint PRIMARY KEY, v bigint)",
		"INSERT INTO point SELECT g, g FROM generate_series(1, " + strconv.Itoa(pointRows) + ") g",
	} {
		if _, err := c.Exec(b.Context(), q).ReadAll(); err != nil {
			b.Fatal(err)
		}
	}
}

// readPoints makes b.N reads with n callers and reports the cost of one read.
func readPoints(b *testing.B, d *deployer.Deployment, address string, n int) {
	l := make([]*pgconn.PgConn, n)
	for i := range l {
		l[i] = openConn(b, address)
		if _, err := l[i].Prepare(b.Context(), "point", pointRead, nil); err != nil {
			b.Fatal(err)
		}
	}
	var next atomic.Int64
	var w sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	polls, used := startedPolls(d), rusage()
	b.ResetTimer()
	for i := range l {
		w.Go(func() {
			for j := next.Add(1); j <= int64(b.N); j = next.Add(1) {
				if err := readPoint(b.Context(), l[i], j); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	w.Wait()
	b.StopTimer()
	u := rusage()
	runtime.ReadMemStats(&after)
	per := float64(b.N)
	b.ReportMetric(float64(processorTime(u)-processorTime(used))/1e3/per, "processor-us/read")
	b.ReportMetric(float64(u.Nvcsw-used.Nvcsw)/per, "switches/read")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/per, "allocs/read")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/per, "B/read")
	b.ReportMetric(float64(startedPolls(d)-polls)/per, "polls/read")
	b.ReportMetric(per/b.Elapsed().Seconds(), "reads/s")
}

func readPoint(ctx context.Context, c *pgconn.PgConn, n int64) error {
	k := strconv.FormatInt(n%pointRows+1, 10)
	r := c.ExecPrepared(ctx, "point", [][]byte{[]byte(k)}, nil, nil).Read()
	if r.Err != nil {
		return r.Err
	}
	if len(r.Rows) != 1 || string(r.Rows[0][0]) != k {
		return fmt.Errorf("point %s has %d rows", k, len(r.Rows))
	}
	return nil
}

// rusage returns the resource usage of the process. The voluntary context switches count how often
// a thread went to sleep, which is the largest cost when few requests run.
func rusage() syscall.Rusage {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return r
}

// processorTime returns the user and system time in nanoseconds.
func processorTime(r syscall.Rusage) int64 {
	return r.Utime.Nano() + r.Stime.Nano()
}

// startedPolls returns how many polls of backend servers the first host has started.
func startedPolls(d *deployer.Deployment) uint64 {
	var n uint64
	p := &d.Hosts[0].Director().Runtime().Groups["db"].Driver.(*switcher.Switcher).Driver().Polls
	for i := range p {
		n += p[i].Load()
	}
	return n
}
