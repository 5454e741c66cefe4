package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"github.com/cuminwick/cuminwick/internal/metric/collector"
)

func TestHandler(t *testing.T) {
	c := collector.New()
	c.CallerConnections.Set(3)
	s := &Server{
		Gatherer:       c.Registry,
		Ready:          func() error { return errors.New("draining") },
		Administration: http.NotFoundHandler(),
	}
	tests := []struct {
		name, path string
		status     int
		contains   string
	}{
		{name: "live without a check", path: "/livez", status: 200, contains: "ok"},
		{name: "not ready", path: "/readyz", status: 503, contains: "draining"},
		{name: "metrics", path: "/metrics", status: 200, contains: "cuminwick_caller_connections 3"},
		{name: "administration", path: "/v1/groups", status: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, tt.path, nil))
			if w.Code != tt.status || !strings.Contains(w.Body.String(), tt.contains) {
				t.Errorf("status %d, body %q, want status %d, body containing %q", w.Code, w.Body.String(), tt.status, tt.contains)
			}
		})
	}
}

func TestRunEndsWithContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, stop := context.WithCancel(t.Context())
	s := &Server{Listener: l, Gatherer: collector.New().Registry}
	e := make(chan error, 1)
	go func() { e <- s.Run(c) }()
	r, err := http.Get("http://" + l.Addr().String() + "/livez")
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
	r.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	stop()
	if err := <-e; err != nil {
		t.Errorf("Run returned %v, want nil", err)
	}
}
