package requester_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
)

// slowService is a platform over a slow link. It sends 16 kB of an object of 64 kB per second.
type slowService struct {
	conns chan net.Conn
	done  chan struct{}
}

func (s *slowService) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

func (s *slowService) Close() error   { return nil }
func (s *slowService) Addr() net.Addr { return &net.TCPAddr{} }

func (s *slowService) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	s.conns <- b
	return a, nil
}

func (s *slowService) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b, _ := json.Marshal(accessor.Object{Kind: "k", Name: "n", Version: 1, Value: make([]byte, 64<<10)})
	for len(b) > 0 {
		n := min(len(b), 16<<10)
		_, _ = w.Write(b[:n])
		_ = http.NewResponseController(w).Flush()
		b = b[n:]
		time.Sleep(time.Second)
	}
}

func (s *slowService) run(h *http.Server) { _ = h.Serve(s) }

// The transfer of an object over a slow link takes longer than the timeout. Guards against ending and
// repeating such a call: the object would never arrive, and the calls would saturate the link.
func TestCallGoesOnWhileItsAnswerArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowService{conns: make(chan net.Conn), done: make(chan struct{})}
		h := &http.Server{Handler: s}
		go s.run(h)
		x := &http.Transport{DialContext: s.dial, DisableKeepAlives: true}
		c := requester.Client{Address: "platform", HTTP: &http.Client{Transport: x}, Timeout: 1500 * time.Millisecond}
		o, err := c.Get(t.Context(), "k", "n")
		if err != nil || len(o.Value) != 64<<10 {
			t.Errorf("%d bytes, %v", len(o.Value), err)
		}
		close(s.done)
		h.Close()
		time.Sleep(2 * time.Second) // until the handler has ended
	})
}
