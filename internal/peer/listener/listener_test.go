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

// host is an entry host on a loopback address.
type host struct {
	name     string
	address  string
	socket   net.PacketConn
	links    *linker.Table
	dialer   *dialer.Dialer
	listener *listener.Listener
	stop     context.CancelFunc
	// senderName is the host name in the Sender of each message.
	senderName atomic.Value
	// revision is the revision in force. CatchUp raises it unless catchUpFails is set.
	revision     atomic.Uint64
	catchUpFails atomic.Bool
}

// addressBook holds the addresses of all hosts of a test by name.
type addressBook struct {
	sync.Map
}

func (b *addressBook) locate(n string) (string, bool) {
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

func start(t testing.TB, a *certifier.Authority, b *addressBook, name string, f listener.ForwardHandler) *host {
	t.Helper()
	return startProbing(t, a, b, name, f, 0)
}

// startProbing starts a host that checks for silent links at the given interval, or at the default
// one if zero. With a short interval, working links may appear silent on a machine that is busy
// with other tests.
func startProbing(t testing.TB, a *certifier.Authority, b *addressBook, name string, f listener.ForwardHandler, interval time.Duration) *host {
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
	h.senderName.Store(name)
	self := func() encoder.Sender {
		return encoder.Sender{Host: h.senderName.Load().(string), Incarnation: 1, Revision: h.revision.Load()}
	}
	h.links = &linker.Table{Self: name}
	h.listener = &listener.Listener{
		Transport: q, Securer: s, Links: h.links, Self: self, Forwards: f, PeerStreams: 16,
		CatchUp: func(_ context.Context, x encoder.Sender) error {
			if h.catchUpFails.Load() {
				return errors.New("revision unavailable")
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

// echo is a ForwardHandler that grants a request and echoes the bytes that follow. It refuses
// requests for the backend server "absent".
type echo struct {
	// ended, if set, receives the result of each echo.
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
	a, b := authority(t), &addressBook{}
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
		t.Errorf("%d and %d connections between two hosts, want 1", n, m)
	}
}

// A revision is in force at one host and not yet at another. If the other host served a forwarded
// request under the old revision, the request would be decided by an outdated configuration. It has
// to catch up first or refuse the request. Other requests must not wait for that.
func TestForwardMakesPoolOwnerCatchUp(t *testing.T) {
	a, b := authority(t), &addressBook{}
	x := start(t, a, b, "a", nil)
	y := start(t, a, b, "b", echo{})
	x.revision.Store(8)
	s, _, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{})
	if err != nil || y.revision.Load() != 8 {
		t.Fatalf("pool owner at revision %d after the grant, want 8; error %v", y.revision.Load(), err)
	}
	s.Close()
	x.revision.Store(9)
	y.catchUpFails.Store(true)
	var r *encoder.Refusal
	if _, _, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{}); !errors.As(err, &r) || r.Reason != encoder.ReasonRevision {
		t.Errorf("Forward to a host that fails to catch up: got %v, want a refusal for the revision", err)
	}
	_, err = dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), x.dialer, "b", encoder.KindObserve, encoder.Observe{Name: "s"})
	if err != nil {
		t.Errorf("request that doesn't require the revision failed: %v", err)
	}
}

// A host refuses a request. If the refusal arrived without its type and reason, the caller couldn't
// tell that the request had no effect.
func TestRefusalsAreTyped(t *testing.T) {
	a, b := authority(t), &addressBook{}
	x := start(t, a, b, "a", nil)
	start(t, a, b, "b", echo{})
	start(t, a, b, "c", nil)
	tests := []struct {
		name   string
		call   func() error
		reason encoder.Reason
	}{
		{name: "reason of the handler", reason: encoder.ReasonQueueFull, call: func() error {
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
	a, b := authority(t), &addressBook{}
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
		t.Errorf("%d of %d bytes echoed, or bytes differ; error %v", len(got), len(w), err)
	}
}

// The forwarding host fails in the middle of a transaction, or its caller disconnects. If the pool
// owner saw an orderly end of the stream, it would treat an incomplete transaction as complete.
func TestAbortReachesPoolOwner(t *testing.T) {
	a, b := authority(t), &addressBook{}
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
		t.Error("the pool owner read an orderly end of an aborted stream")
	}
}

// A host with a certificate of another authority dials or is dialed, a host accepts connections at
// the address of another one, or it sends messages in the name of another one. If any of these were
// accepted, the host could act as a member of the deployment or as another host.
func TestUnauthorizedPeersAreRejected(t *testing.T) {
	a, b := authority(t), &addressBook{}
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
			t.Errorf("got %v, want a certificate error", err)
		}
	}
	x.senderName.Store("c")
	var r *encoder.Refusal
	if err := call(x, "b"); !errors.As(err, &r) || r.Reason != encoder.ReasonMalformed {
		t.Errorf("message in the name of another host: got %v, want a refusal as malformed", err)
	}
}

// A faulty or malicious peer opens a stream and sends an incomplete request, announces a huge
// message, or sends one that can't be decoded. If these weren't refused, such streams would
// accumulate and use memory.
func TestMalformedRequestsAreRefused(t *testing.T) {
	a, b := authority(t), &addressBook{}
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

// A host is unreachable. Without backoff, each request to it would dial the host again and wait for
// the timeout.
func TestBackoffAfterFailure(t *testing.T) {
	a, b := authority(t), &addressBook{}
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
	t.Errorf("no attempt failed with ErrBackoff; last error %v", last)
}
