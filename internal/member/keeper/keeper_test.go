package keeper

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/quic-go/quic-go"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/peer/certifier"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
)

// member is an entry host reduced to its membership.
type member struct {
	keeper *Keeper
	links  *linker.Table
	socket net.PacketConn
	stop   context.CancelFunc
	ended  chan struct{}
}

func start(t testing.TB, a *certifier.Authority, name, zone string, seeds ...string) *member {
	t.Helper()
	c, err := a.Issue(time.Now(), time.Hour, name)
	if err != nil {
		t.Fatal(err)
	}
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	q := &quic.Transport{Conn: u}
	s := &securer.Securer{
		Certificate: func() *tls.Certificate { return &c },
		Authority:   func() *x509.CertPool { return a.Pool() },
	}
	l := &log.Logger{Handler: discard.New()}
	m := &member{links: &linker.Table{Self: name}, socket: u, ended: make(chan struct{})}
	k := &Keeper{
		Self: declarer.Member{
			Host: name, AvailabilityZone: zone, Region: "region",
			Address: u.LocalAddr().String(), Incarnation: uint64(time.Now().UnixMilli()),
		},
		Seeds: seeds,
		Log:   l,
	}
	self := func() encoder.Sender { return encoder.Sender{Host: name, Incarnation: k.Incarnation()} }
	n := &listener.Listener{
		Transport: q, Securer: s, Links: m.links, Self: self, HandshakeTimeout: time.Second, PeerStreams: 16,
		Routes: k.Routes(), Log: l,
	}
	k.Dialer = &dialer.Dialer{
		Transport: q, Securer: s, Links: m.links, Self: self, Locate: k.Locate, Serve: n.Serve,
		ConnectTimeout: time.Second, PeerStreams: 16,
	}
	m.keeper = k
	k.Prepare()
	x, stop := context.WithCancel(context.Background())
	m.stop = stop
	go n.Run(x)
	go k.Dialer.Run(x)
	go func() {
		k.Run(x)
		q.Close()
		u.Close()
		close(m.ended)
	}()
	t.Cleanup(m.kill)
	return m
}

func (m *member) kill() {
	m.stop()
	<-m.ended
}

// live returns the number of live members in m's view.
func (m *member) live() int {
	n := 0
	for _, x := range m.keeper.View().Members {
		if x.State == declarer.Live {
			n++
		}
	}
	return n
}

// await waits until each of the members has n live members in its view.
func await(t testing.TB, n int, l ...*member) {
	t.Helper()
	for _, m := range l {
		for m.live() != n {
			select {
			case <-t.Context().Done():
				t.Fatalf("%s has %d live members, want %d", m.keeper.Self.Host, m.live(), n)
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}

func newAuthority(t testing.TB) *certifier.Authority {
	t.Helper()
	a, err := certifier.New("authority", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// One entry host is killed, another one leaves in an orderly way, and a new one joins. The views of
// the others must follow, over real connections.
func TestMembersJoinAndLeave(t *testing.T) {
	a := newAuthority(t)
	x := start(t, a, "x", "wien")
	s := x.keeper.Self.Address
	y := start(t, a, "y", "wien", s)
	z := start(t, a, "z", "graz", s)
	w := start(t, a, "w", "graz", s)
	await(t, 4, x, y, z, w)
	w.kill()
	await(t, 3, x, y, z)
	y.keeper.Leave()
	await(t, 2, x, y, z)
	v := start(t, a, "w", "graz", s)
	await(t, 3, x, z, v)
}

// linkIdleTime is longer than the time after which unused links are closed.
const linkIdleTime = 75 * time.Second

// BenchmarkMembers reports the cost of membership per host over real connections, with all hosts in
// this process.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []struct{ zones, perZone int }{{3, 1}, {3, 3}, {3, 10}, {3, 30}, {1, 90}} {
		b.Run(fmt.Sprintf("%dx%d", n.zones, n.perZone), func(b *testing.B) {
			a := newAuthority(b)
			before := heapSize()
			var l []*member
			var s []string
			for i := range n.zones * n.perZone {
				m := start(b, a, fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%n.zones), s...)
				s = []string{m.keeper.Self.Address}
				l = append(l, m)
			}
			await(b, len(l), l...)
			// Wait until the links that were opened for joining have been closed as idle.
			time.Sleep(linkIdleTime)
			t0, c0 := traffic(l), processorTime()
			const span = 10 * time.Second
			for b.Loop() {
				time.Sleep(span)
			}
			t1, c1 := traffic(l), processorTime()
			d := span.Seconds() * float64(b.N) * float64(len(l))
			links := 0
			for _, m := range l {
				links += len(m.links.All())
			}
			b.ReportMetric(float64(t1.Sent-t0.Sent)/d, "sent-B/s/host")
			b.ReportMetric(float64(t1.Received-t0.Received)/d, "received-B/s/host")
			b.ReportMetric((c1-c0).Seconds()/d*100, "%core/host")
			b.ReportMetric(float64(heapSize()-before)/float64(len(l))/1024, "KiB/host")
			b.ReportMetric(float64(links)/float64(len(l)), "links/host")
		})
	}
}

// BenchmarkDeath reports the time until all others have declared a host dead that lost power. Each
// iteration starts and stops another host.
func BenchmarkDeath(b *testing.B) {
	a := newAuthority(b)
	first := start(b, a, "first", "zone-0")
	l := []*member{first}
	for i := range 8 {
		l = append(l, start(b, a, fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%3), first.keeper.Self.Address))
	}
	await(b, len(l), l...)
	var d []time.Duration
	for i := 0; b.Loop(); i++ {
		v := start(b, a, fmt.Sprintf("victim-%d", i), fmt.Sprintf("zone-%d", i%3), first.keeper.Self.Address)
		await(b, len(l)+1, append(l, v)...)
		time.Sleep(time.Duration(i) * 37 * time.Millisecond)
		begin := time.Now()
		v.socket.Close()
		v.stop()
		await(b, len(l), l...)
		d = append(d, time.Since(begin))
	}
	slices.Sort(d)
	b.ReportMetric(d[len(d)/2].Seconds(), "s/median")
	b.ReportMetric(d[len(d)-1].Seconds(), "s/worst")
}

func traffic(l []*member) linker.Traffic {
	var t linker.Traffic
	for _, m := range l {
		x := m.links.Traffic()
		t.Sent += x.Sent
		t.Received += x.Received
	}
	return t
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapSize() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
