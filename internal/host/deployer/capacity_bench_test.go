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

// parkedCallers is how many callers an entry host holds at the coming size:
// 7.2 million before 2,600 hosts, rounded up.
const parkedCallers = 2800

// BenchmarkParkedCallers opens callers at one entry host, each of which has
// made one request or none, and reports the memory in use for one of them. The
// callers' own ends are in it too; they hold a socket and neither a buffer nor
// a goroutine.
func BenchmarkParkedCallers(b *testing.B) {
	for n, requests := range map[string]int{"fresh": 0, "after-a-read": 1} {
		b.Run(n, func(b *testing.B) {
			d := startShared(b, 1, func(d *deployer.Deployment) { d.MaximumHosts = 1 })
			var s usage
			for b.Loop() {
				s.add(parked(b, d.Hosts[0].Address(), requests))
			}
			per := float64(b.N) * parkedCallers
			b.ReportMetric(float64(s.heap)/per, "heap-B/caller")
			b.ReportMetric(float64(s.stack)/per, "stack-B/caller")
			b.ReportMetric(float64(s.goroutines)/per, "goroutines/caller")
		})
	}
}

// parked returns what callers at an entry host take, and hangs them up.
func parked(b *testing.B, address string, requests int) usage {
	before := take()
	l := make([]net.Conn, parkedCallers)
	for i := range l {
		l[i] = enter(b, address)
		for range requests {
			askOnce(b, l[i])
		}
	}
	u := take().since(before)
	for _, c := range l {
		c.Close()
	}
	until(b, "callers to be gone", func() bool { return runtime.NumGoroutine() <= before.goroutines+parkedCallers/100 })
	return u
}

// enter connects as a caller without a driver, whose memory would count.
func enter(b *testing.B, address string) net.Conn {
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

// askOnce makes one read.
func askOnce(b *testing.B, c net.Conn) {
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

// idleTime is how long a deployment is watched at rest.
const idleTime = time.Second

// BenchmarkIdleGroups watches one or three entry hosts before groups without
// callers. The difference between three hosts and one, halved, is what a host
// costs; the rest is the stand-ins. An operation is a second at rest.
func BenchmarkIdleGroups(b *testing.B) {
	for _, h := range []int{1, 3} {
		for _, g := range []int{1, 10, 50} {
			b.Run(fmt.Sprintf("hosts=%d/groups=%d", h, g), func(b *testing.B) {
				d := startShared(b, 1, func(d *deployer.Deployment) {
					d.MaximumHosts = h
					d.Groups = names(g)
				})
				rest(b, d)
			})
		}
	}
}

// names returns the names of n groups.
func names(n int) []string {
	l := make([]string, n)
	for i := range l {
		l[i] = fmt.Sprintf("db%d", i)
	}
	return l
}

// rest reports what the process spends a second at rest.
func rest(b *testing.B, d *deployer.Deployment) {
	time.Sleep(idleTime) // the first polls and connections aren't what is measured
	before, sent := take(), sentBytes(d)
	start := time.Now()
	for b.Loop() {
		time.Sleep(idleTime)
	}
	t := time.Since(start).Seconds()
	after := take()
	g := float64(len(d.Groups))
	b.ReportMetric(float64((after.processor-before.processor).Microseconds())/t/g, "processor-us/s/group")
	b.ReportMetric(float64(sentBytes(d)-sent)/t/g, "sent-B/s/group")
	b.ReportMetric(float64(after.heap)/g, "heap-B/group")
	b.ReportMetric(float64(after.stack)/g, "stack-B/group")
	b.ReportMetric(float64(after.goroutines)/g, "goroutines/group")
}

// sentBytes returns what all hosts have sent to others.
func sentBytes(d *deployer.Deployment) uint64 {
	var n uint64
	for _, h := range d.Hosts {
		n += h.PeerTraffic().Sent
	}
	return n
}

// usage is what the process holds and has spent.
type usage struct {
	heap, stack int64
	goroutines  int
	processor   time.Duration
}

// take collects garbage and returns what remains in use.
func take() usage {
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

// BenchmarkStatus asks for a backend server's status at the entry host that
// owns its pool and at one that asks the owner, as each driver does ten times a
// second for each server. The processor's time is that of all ends together.
func BenchmarkStatus(b *testing.B) {
	d := startShared(b, 1, nil)
	own, away := owner(b, d)
	for n, i := range map[string]int{"owner": own, "through-owner": away} {
		c := d.Hosts[i].Director().Runtime().Groups["db"].Driver.(*switcher.Switcher).Driver().Controls[primary(b, d)]
		b.Run(n, func(b *testing.B) {
			before := take()
			measure(b, d.Hosts[i], func() {
				if _, err := c.Status(b.Context()); err != nil {
					b.Fatal(err)
				}
			})
			u := take().since(before)
			b.ReportMetric(float64(u.processor.Microseconds())/float64(b.N), "processor-us/op")
		})
	}
}

// BenchmarkBusyGroup has one caller write without a pause at an entry host that
// doesn't own the primary's pool. Its commits are waited for by statuses back
// to back. The processor's time is that of all hosts, stand-ins and the caller.
func BenchmarkBusyGroup(b *testing.B) {
	d := startShared(b, 1, nil)
	_, away := owner(b, d)
	c := dial(b, d)[away*callersPerHost]
	if _, err := c.Exec(b.Context(), "CREATE TABLE t (id bigint PRIMARY KEY)"); err != nil {
		b.Fatal(err)
	}
	before := take()
	n := 0
	measure(b, d.Hosts[away], func() {
		if _, err := c.Exec(b.Context(), "INSERT INTO t (id) VALUES ($1)", n); err != nil {
			b.Fatal(err)
		}
		n++
	})
	u := take().since(before)
	b.ReportMetric(float64(u.processor.Microseconds())/float64(b.N), "processor-us/op")
	b.ReportMetric(100*u.processor.Seconds()/b.Elapsed().Seconds(), "%core")
}
