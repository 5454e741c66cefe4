package listener_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/cuminwick/cuminwick/internal/peer/certifier"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
)

// host is one end of the protocol on loopback.
type host struct {
	name     string
	address  string
	socket   net.PacketConn
	links    *linker.Table
	dialer   *dialer.Dialer
	listener *listener.Listener
	stop     context.CancelFunc
	// speaks is the name in which the host speaks.
	speaks atomic.Value
	// revision is the one in force, which Heard moves up unless stuck.
	revision atomic.Uint64
	stuck    atomic.Bool
}

// book holds the addresses of all hosts of a test.
type book struct {
	sync.Map
}

func (b *book) locate(n string) (string, bool) {
	a, ok := b.Load(n)
	if !ok {
		return "", false
	}
	return a.(string), true
}

func authority(t testing.TB) *certifier.Authority {
	t.Helper()
	a, err := certifier.New("authority", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func start(t testing.TB, a *certifier.Authority, b *book, name string, f listener.ForwardHandler) *host {
	t.Helper()
	return startProbing(t, a, b, name, f, 0)
}

// startProbing starts a host that looks for silent links at the given interval. With
// a short one, a machine that is busy with other tests makes working links look silent.
func startProbing(t testing.TB, a *certifier.Authority, b *book, name string, f listener.ForwardHandler, interval time.Duration) *host {
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
	h := &host{name: name, address: u.LocalAddr().String(), socket: u}
	h.speaks.Store(name)
	self := func() encoder.Sender {
		return encoder.Sender{Host: h.speaks.Load().(string), Incarnation: 1, Revision: h.revision.Load()}
	}
	h.links = &linker.Table{Self: name}
	h.listener = &listener.Listener{
		Transport: q, Securer: s, Links: h.links, Self: self, Forwards: f, PeerStreams: 16,
		CatchUp: func(_ context.Context, x encoder.Sender) error {
			if h.stuck.Load() {
				return errors.New("revision not to be had")
			}
			h.revision.Store(x.Revision)
			return nil
		},
		HandshakeTimeout: 300 * time.Millisecond,
		Routes: []listener.Route{
			listener.Handle(encoder.KindObserve, observe),
		},
		Log: &log.Logger{Handler: discard.New()},
	}
	h.dialer = &dialer.Dialer{
		Transport: q, Securer: s, Links: h.links, Self: self, Locate: b.locate, PeerStreams: 16,
		Serve: h.listener.Serve, ConnectTimeout: time.Second, ProbeInterval: interval,
	}
	b.Store(name, h.address)
	x, stop := context.WithCancel(context.Background())
	h.stop = stop
	go h.listener.Run(x)
	go h.dialer.Run(x)
	t.Cleanup(func() {
		stop()
		q.Close()
		u.Close()
	})
	return h
}

func observe(_ context.Context, _ encoder.Sender, q encoder.Observe) (encoder.ObserveAnswer, error) {
	if q.Name == "" {
		return encoder.ObserveAnswer{}, &encoder.Refusal{Reason: encoder.ReasonQueueFull, RetryAfter: time.Second}
	}
	return encoder.ObserveAnswer{Reachable: true}, nil
}

// echo grants and sends back what it gets.
type echo struct {
	ended chan error
}

func (e echo) HandleForward(_ context.Context, f *listener.ForwardRequest) error {
	if f.BackendServer == "absent" {
		return &encoder.Refusal{Reason: encoder.ReasonNotOwner, RetryAfter: time.Second}
	}
	if err := f.Grant(encoder.Grant{Generation: 5}); err != nil {
		return err
	}
	_, err := io.Copy(f.Stream, f.Stream)
	if e.ended != nil {
		e.ended <- err
	}
	return err
}

func TestOneConnectionCarriesCallsOfBothSides(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	y := start(t, a, b, "b", nil)
	for _, d := range []*host{x, y, x} {
		to := map[string]string{"a": "b", "b": "a"}[d.name]
		r, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), d.dialer, to, encoder.KindObserve, encoder.Observe{Name: "s"})
		if err != nil || !r.Reachable {
			t.Fatalf("call from %s: %+v, %v", d.name, r, err)
		}
	}
	if n, m := len(x.links.All()), len(y.links.All()); n != 1 || m != 1 {
		t.Errorf("%d and %d connections for one pair", n, m)
	}
}

// A revision has come into force at one host and not yet at another. A request
// that the first one forwards must be served under the new revision or refused
// as not run; a heartbeat must not wait for that.
func TestForwardMovesTheOwnerUp(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	y := start(t, a, b, "b", echo{})
	x.revision.Store(8)
	s, _, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{})
	if err != nil || y.revision.Load() != 8 {
		t.Fatalf("forwarded at revision %d, %v", y.revision.Load(), err)
	}
	s.Close()
	x.revision.Store(9)
	y.stuck.Store(true)
	var r *encoder.Refusal
	if _, _, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{}); !errors.As(err, &r) || r.Reason != encoder.ReasonRevision {
		t.Errorf("forwarded to a host that is behind: %v", err)
	}
	_, err = dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), x.dialer, "b", encoder.KindObserve, encoder.Observe{Name: "s"})
	if err != nil {
		t.Errorf("a question that no configuration decides was refused: %v", err)
	}
}

func TestRefusalsAreTyped(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	start(t, a, b, "b", echo{})
	start(t, a, b, "c", nil)
	tests := []struct {
		name   string
		call   func() error
		reason encoder.Reason
	}{
		{name: "handler's own reason", reason: encoder.ReasonQueueFull, call: func() error {
			_, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), x.dialer, "b", encoder.KindObserve, encoder.Observe{})
			return err
		}},
		{name: "unknown kind", reason: encoder.ReasonUnknownKind, call: func() error {
			_, err := dialer.Call[int, int](t.Context(), x.dialer, "b", "later", 1)
			return err
		}},
		{name: "body of another type", reason: encoder.ReasonMalformed, call: func() error {
			_, err := dialer.Call[string, int](t.Context(), x.dialer, "b", encoder.KindObserve, "text")
			return err
		}},
		{name: "forward refused", reason: encoder.ReasonNotOwner, call: func() error {
			_, _, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{BackendServer: "absent"})
			return err
		}},
		{name: "forward to a host without pools", reason: encoder.ReasonNotOwner, call: func() error {
			_, _, err := x.dialer.Forward(t.Context(), "c", encoder.Forward{})
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r *encoder.Refusal
			if err := tt.call(); !errors.As(err, &r) || r.Reason != tt.reason {
				t.Errorf("got %v, want refusal %s", err, tt.reason)
			}
		})
	}
}

func TestForwardCarriesBytes(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	start(t, a, b, "b", echo{})
	s, g, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{BackendServer: "s"})
	if err != nil || g.Generation != 5 {
		t.Fatalf("Forward = %+v, %v", g, err)
	}
	w := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
	go func() {
		s.Write(w)
		s.CloseWrite()
	}()
	got, err := io.ReadAll(s)
	if err != nil || !bytes.Equal(got, w) {
		t.Errorf("%d bytes came back of %d, %v", len(got), len(w), err)
	}
}

// The host that forwards dies in the middle of a transaction, or its caller
// goes away. The owner of the connection must learn of it, and must not take
// what it got for the whole transaction.
func TestAbortReachesTheOwner(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	e := echo{ended: make(chan error, 1)}
	start(t, a, b, "b", e)
	s, _, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{})
	if err != nil {
		t.Fatal(err)
	}
	s.Write([]byte("BEGIN"))
	s.Abort()
	if err := <-e.ended; err == nil {
		t.Error("the owner saw an orderly end")
	}
}

// A stranger reaches the peer port, or a host of one name poses as another.
// Neither may get a message in.
func TestStrangersAreRejected(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	y := start(t, a, b, "b", nil)
	z := start(t, authority(t), b, "z", nil)
	call := func(h *host, to string) error {
		_, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), h.dialer, to, encoder.KindObserve, encoder.Observe{Name: "s"})
		return err
	}
	b.Store("posing", y.address)
	for _, err := range []error{call(z, "a"), call(x, "z"), call(x, "posing")} {
		if err == nil || !strings.Contains(err.Error(), "certificate") {
			t.Errorf("let in, or another fault: %v", err)
		}
	}
	x.speaks.Store("c")
	var r *encoder.Refusal
	if err := call(x, "b"); !errors.As(err, &r) || r.Reason != encoder.ReasonMalformed {
		t.Errorf("message in another's name: %v", err)
	}
}

// A broken or hostile peer opens a stream and sends nothing, or announces a
// huge message. The stream must end and cost no memory.
func TestBadRequestsEnd(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	y := start(t, a, b, "b", nil)
	if _, err := x.dialer.DialSeed(t.Context(), y.address); err != nil {
		t.Fatal(err)
	}
	l := x.links.Find("b")
	for _, m := range [][]byte{{0}, {255, 255, 255, 255}, {0, 0, 0, 1, 255}} {
		s, err := l.Conn.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		s.Write(m)
		var r encoder.Answer
		if err := encoder.Read(s, &r); err != nil || r.Refusal == nil {
			t.Errorf("%v: answer %+v, %v; want a refusal", m, r, err)
		}
	}
}

func TestBackoffAfterFailure(t *testing.T) {
	a, b := authority(t), &book{}
	b.Store("gone", "127.0.0.1:9")
	x := start(t, a, b, "a", nil)
	x.dialer.ConnectTimeout = 20 * time.Millisecond
	var last error
	for range 200 {
		_, _, last = x.dialer.Forward(t.Context(), "gone", encoder.Forward{})
		if errors.Is(last, dialer.ErrBackoff) {
			return
		}
	}
	t.Errorf("no attempt was held back: %v", last)
}
