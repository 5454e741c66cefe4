package disturber

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
)

var (
	clientPlace = Place{AvailabilityZone: "ost-wien", Region: "ost"}
	serverPlace = Place{AvailabilityZone: "west-ibk", Region: "west"}
)

// startEchoServer starts a server that sends back what it receives and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// newNetwork returns a network with an echo server at serverPlace, and the address of the server.
func newNetwork(t *testing.T) (*Network, string) {
	t.Helper()
	n := &Network{Latency: func(Path) time.Duration { return time.Millisecond }, BytesPerSecond: 4 << 20}
	n.Open(t.Context())
	a := startEchoServer(t)
	n.SetPlace(a, serverPlace)
	return n, a
}

// exchange sends bytes on a connection and checks that they come back.
func exchange(t *testing.T, c net.Conn) {
	t.Helper()
	b := make([]byte, 5)
	if _, err := c.Write([]byte("hallo")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "hallo" {
		t.Fatalf("%q %v", b, err)
	}
}

// dial connects to the address from clientPlace.
func dial(t *testing.T, n *Network, a string) net.Conn {
	t.Helper()
	c, err := n.Dialer(clientPlace)(t.Context(), "tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestCountsRegionBytes(t *testing.T) {
	n, a := newNetwork(t)
	exchange(t, dial(t, n, a))
	if b := n.LinkBytes(); b != 10 {
		t.Errorf("%d bytes between regions", b)
	}
}

// Guards against a partition that lets a dial through or breaks open connections. These continue
// afterwards, because TCP retransmits what was lost.
func TestCut(t *testing.T) {
	n, a := newNetwork(t)
	c := dial(t, n, a)
	exchange(t, c)
	n.Cut("ost-wien", "west-ibk", true)
	x, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	if _, err := n.Dialer(clientPlace)(x, "tcp", a); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dialled through a partition: %v", err)
	}
	n.Cut("ost-wien", "west-ibk", false)
	exchange(t, c)
}

// Guards against a silenced connection that reports an error or delivers data. Both ends stay
// open, as when a middlebox has lost the state of the connection, and a new connection works.
func TestSilence(t *testing.T) {
	n, a := newNetwork(t)
	c := dial(t, n, a)
	exchange(t, c)
	if s := n.Silence("west-ibk", "ost-wien"); s != 1 {
		t.Fatalf("%d connections went silent", s)
	}
	if _, err := c.Write([]byte("hallo")); err != nil {
		t.Fatal(err)
	}
	exchange(t, dial(t, n, a))
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if k, err := c.Read(make([]byte, 1)); k != 0 || !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
		t.Errorf("silent connection gave %d bytes, %v", k, err)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Guards against connections that get the full bandwidth of a shared link each: every byte waits
// for those before it.
func TestLinkIsShared(t *testing.T) {
	l := &Link{BytesPerSecond: 1000}
	t0 := time.Unix(0, 0)
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		n := []int{1000, 1000, 2000}[i]
		if d := l.Reserve(n, t0).Sub(t0); d != want {
			t.Errorf("chunk %d leaves after %v, want %v", i, d, want)
		}
	}
	if d := l.Reserve(500, t0.Add(time.Minute)).Sub(t0); d != time.Minute+time.Second/2 {
		t.Errorf("after an idle minute the chunk leaves after %v", d)
	}
}

// Guards against datagrams that pass a partition, or are delivered after it instead of
// lost. Datagrams sent after it arrive.
func TestDatagrams(t *testing.T) {
	n, _ := newNetwork(t)
	loopback := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	a, err := n.Listener(clientPlace)(loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := n.Listener(serverPlace)(loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	n.Cut("ost-wien", "west-ibk", true)
	if _, err := a.WriteTo([]byte("lost"), b.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	n.Cut("ost-wien", "west-ibk", false)
	if _, err := a.WriteTo([]byte("hallo"), b.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	m := make([]byte, 10)
	k, _, err := b.ReadFrom(m)
	if err != nil || string(m[:k]) != "hallo" {
		t.Errorf("%q %v", m[:k], err)
	}
	if l := n.LinkBytes(); l != 5 {
		t.Errorf("%d bytes between regions", l)
	}
}

// Guards against an isolation that also cuts off the neighbour in the host's zone, or that leaves
// a path of the host open. Where callers can still reach the host, all its other paths must be cut,
// so that it differs from a host that everything reaches.
func TestIsolate(t *testing.T) {
	n, a := newNetwork(t)
	host := Place{AvailabilityZone: clientPlace.AvailabilityZone, Region: clientPlace.Region, EntryHost: "entry-a"}
	callers := Place{AvailabilityZone: "callers"}
	for name, c := range map[string]struct {
		path    Path
		maximum Isolation
	}{
		"to a backend server": {Path{From: host, To: serverPlace}, NotIsolated},
		"back":                {Path{From: serverPlace, To: host}, NotIsolated},
		"to its neighbour":    {Path{From: host, To: clientPlace}, NotIsolated},
		"from a caller":       {Path{From: callers, To: host}, IsolatedExceptCallers},
		"from its neighbour":  {Path{From: clientPlace, To: serverPlace}, FullyIsolated},
		"to itself":           {Path{From: host, To: host}, FullyIsolated},
	} {
		for i := NotIsolated; i <= FullyIsolated; i++ {
			n.Isolate("entry-a", i)
			if on, _ := n.cutState(c.path); on != (i > c.maximum) {
				t.Errorf("%s, isolation %d: cut is %t", name, i, on)
			}
		}
	}
	x, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	if _, err := n.Dialer(host)(x, "tcp", a); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("dialled while isolated: %v", err)
	}
	n.Isolate("entry-a", NotIsolated)
	d, err := n.Dialer(host)(t.Context(), "tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	exchange(t, d)
}
