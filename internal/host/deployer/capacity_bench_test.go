package deployer_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// idleCallers is the number of callers that an entry host holds at the planned size: 7.2 million in
// front of 2,600 hosts, rounded up.
const idleCallers = 2800

// BenchmarkIdleCallers opens callers at one entry host, each of which has made one request or none,
// and reports the memory in use per caller. It includes the callers' side of the connections, which
// holds a socket but neither a buffer nor a goroutine.
func BenchmarkIdleCallers(b *testing.B) {
	for n, requests := range map[string]int{"fresh": 0, "after-a-read": 1} {
		b.Run(n, func(b *testing.B) {
			d := startDeployment(b, 1, func(d *deployer.Deployment) { d.MaximumHosts = 1 })
			var s usage
			for b.Loop() {
				s.add(measureCallers(b, d.Hosts[0].Address(), requests))
			}
			per := float64(b.N) * idleCallers
			b.ReportMetric(float64(s.heap)/per, "heap-B/caller")
			b.ReportMetric(float64(s.stack)/per, "stack-B/caller")
			b.ReportMetric(float64(s.goroutines)/per, "goroutines/caller")
		})
	}
}

// measureCallers returns what the connections of idleCallers callers at an entry host use, and
// closes them.
func measureCallers(b *testing.B, address string, requests int) usage {
	before := currentUsage()
	l := make([]net.Conn, idleCallers)
	for i := range l {
		l[i] = connectWithoutDriver(b, address)
		for range requests {
			readOnce(b, l[i])
		}
	}
	u := currentUsage().since(before)
	for _, c := range l {
		c.Close()
	}
	waitFor(b, "callers to disconnect", func() bool { return runtime.NumGoroutine() <= before.goroutines+idleCallers/100 })
	return u
}

// connectWithoutDriver connects as a caller. It uses no driver, whose memory would be included in
// the measurement.
func connectWithoutDriver(b *testing.B, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	const parameters = "user\x00caller\x00database\x00db\x00\x00"
	m := binary.BigEndian.AppendUint32(nil, uint32(8+len(parameters)))
	m = binary.BigEndian.AppendUint32(m, 3<<16)
	if _, err := c.Write(append(m, parameters...)); err != nil {
		b.Fatal(err)
	}
	awaitReady(b, c)
	return c
}

// readOnce makes one read.
func readOnce(b *testing.B, c net.Conn) {
	const text = "SELECT 1\x00"
	m := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(4+len(text)))
	if _, err := c.Write(append(m, text...)); err != nil {
		b.Fatal(err)
	}
	awaitReady(b, c)
}

// awaitReady reads up to ReadyForQuery.
func awaitReady(b *testing.B, c net.Conn) {
	for {
		var h [5]byte
		if _, err := io.ReadFull(c, h[:]); err != nil {
			b.Fatal(err)
		}
		m := make([]byte, binary.BigEndian.Uint32(h[1:])-4)
		if _, err := io.ReadFull(c, m); err != nil {
			b.Fatal(err)
		}
		switch h[0] {
		case 'Z':
			return
		case 'E':
			b.Fatalf("entry host: %q", m)
		}
	}
}

// idleInterval is the time for which an idle deployment is measured in one operation, and the
// warm-up before.
const idleInterval = time.Second

// BenchmarkIdleGroups measures one or three entry hosts in front of groups without callers. Half of
// the difference between three hosts and one is the cost of a host; the rest is the cost of the
// stand-ins. An operation is one idle second.
func BenchmarkIdleGroups(b *testing.B) {
	for _, h := range []int{1, 3} {
		for _, g := range []int{1, 10, 50} {
			b.Run(fmt.Sprintf("hosts=%d/groups=%d", h, g), func(b *testing.B) {
				d := startDeployment(b, 1, func(d *deployer.Deployment) {
					d.MaximumHosts = h
					d.Groups = groupNames(g)
				})
				measureIdleGroups(b, d)
			})
		}
	}
}

// groupNames returns the names of n groups.
func groupNames(n int) []string {
	l := make([]string, n)
	for i := range l {
		l[i] = fmt.Sprintf("db%d", i)
	}
	return l
}

// measureIdleGroups reports what the process uses per second and group while there are no callers.
func measureIdleGroups(b *testing.B, d *deployer.Deployment) {
	time.Sleep(idleInterval) // excludes the first polls and connections
	before, sent := currentUsage(), sentBytes(d)
	start := time.Now()
	for b.Loop() {
		time.Sleep(idleInterval)
	}
	t := time.Since(start).Seconds()
	after := currentUsage()
	g := float64(len(d.Groups))
	b.ReportMetric(float64((after.processor-before.processor).Microseconds())/t/g, "processor-us/s/group")
	b.ReportMetric(float64(sentBytes(d)-sent)/t/g, "sent-B/s/group")
	b.ReportMetric(float64(after.heap)/g, "heap-B/group")
	b.ReportMetric(float64(after.stack)/g, "stack-B/group")
	b.ReportMetric(float64(after.goroutines)/g, "goroutines/group")
}

// sentBytes returns the number of bytes that all hosts have sent to other hosts.
func sentBytes(d *deployer.Deployment) uint64 {
	var n uint64
	for _, h := range d.Hosts {
		n += h.PeerTraffic().Sent
	}
	return n
}

// usage is the memory and goroutines in use by the process and the processor time that it has used.
type usage struct {
	heap, stack int64
	goroutines  int
	processor   time.Duration
}

// currentUsage returns the usage of the process after garbage collection.
func currentUsage() usage {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		heap:       int64(m.HeapAlloc),
		stack:      int64(m.StackInuse),
		goroutines: runtime.NumGoroutine(),
		processor:  time.Duration(r.Utime.Nano() + r.Stime.Nano()),
	}
}

func (u usage) since(o usage) usage {
	return usage{
		heap:       u.heap - o.heap,
		stack:      u.stack - o.stack,
		goroutines: u.goroutines - o.goroutines,
		processor:  u.processor - o.processor,
	}
}

func (u *usage) add(o usage) {
	u.heap += o.heap
	u.stack += o.stack
	u.goroutines += o.goroutines
	u.processor += o.processor
}

// BenchmarkStatus requests a backend server's status at the entry host that owns its pool and at
// one that forwards the request to the owner, as each driver does ten times a second for each
// server. The processor time is that of the whole process, with all hosts and stand-ins.
func BenchmarkStatus(b *testing.B) {
	d := startDeployment(b, 1, nil)
	owner, forwarder := poolOwner(b, d)
	for n, i := range map[string]int{"owner": owner, "through-owner": forwarder} {
		c := d.Hosts[i].Director().Runtime().Groups["db"].Driver.(*switcher.Switcher).Driver().Controls[primary(b, d)]
		b.Run(n, func(b *testing.B) {
			before := currentUsage()
			measureTraffic(b, d.Hosts[i], func() {
				if _, err := c.Status(b.Context()); err != nil {
					b.Fatal(err)
				}
			})
			u := currentUsage().since(before)
			b.ReportMetric(float64(u.processor.Microseconds())/float64(b.N), "processor-us/op")
		})
	}
}

// BenchmarkBusyGroup writes without a pause through one caller at an entry host that does not own
// the primary's pool. Hosts poll statuses back to back to confirm its commits. The processor time
// is the sum of all hosts, stand-ins and the caller.
func BenchmarkBusyGroup(b *testing.B) {
	d := startDeployment(b, 1, nil)
	_, forwarder := poolOwner(b, d)
	c := connectAll(b, d)[forwarder*callersPerHost]
	if _, err := c.Exec(b.Context(), "CREATE TABLE t (id bigint PRIMARY KEY)"); err != nil {
		b.Fatal(err)
	}
	before := currentUsage()
	n := 0
	measureTraffic(b, d.Hosts[forwarder], func() {
		if _, err := c.Exec(b.Context(), "INSERT INTO t (id) VALUES ($1)", n); err != nil {
			b.Fatal(err)
		}
		n++
	})
	u := currentUsage().since(before)
	b.ReportMetric(float64(u.processor.Microseconds())/float64(b.N), "processor-us/op")
	b.ReportMetric(100*u.processor.Seconds()/b.Elapsed().Seconds(), "%core")
}
