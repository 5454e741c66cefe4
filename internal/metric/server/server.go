// Package server serves metrics and health checks over HTTP.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
)

// Check returns nil while all is well, and otherwise why not.
type Check func() error

// Server answers /metrics, /livez and /readyz on the administration address.
type Server struct {
	// Listener is closed when Run ends.
	Listener net.Listener
	// TLS serves HTTPS if it is set.
	TLS      *tls.Config
	Gatherer prometheus.Gatherer
	// Live fails when only a restart can help.
	Live Check
	// Ready fails while new callers should be sent elsewhere.
	Ready Check
	// Administration answers all other paths, if it is set.
	Administration http.Handler
}

// Bounds on what a client of the administration address may take up.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	stopTimeout   = 5 * time.Second
	headerBytes   = 16 << 10
)

// Run serves until ctx ends, then lets requests in progress finish.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	c, stop := context.WithCancel(ctx)
	x := stopper{server: h, ended: make(chan struct{})}
	go x.run(c)
	err := h.Serve(s.listener())
	stop()
	<-x.ended
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return wrapper.Wrap(err, "serve administration", s.Listener.Addr().String())
}

func (s *Server) listener() net.Listener {
	if s.TLS == nil {
		return s.Listener
	}
	return tls.NewListener(s.Listener, s.TLS)
}

// stopper ends an HTTP server when a context ends.
type stopper struct {
	server *http.Server
	ended  chan struct{}
}

func (s stopper) run(ctx context.Context) {
	defer close(s.ended)
	<-ctx.Done()
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.server.Shutdown(c); err != nil {
		_ = s.server.Close()
	}
}

// Handler returns what answers requests.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	m.Handle("GET /livez", checker{check: s.Live})
	m.Handle("GET /readyz", checker{check: s.Ready})
	if s.Administration != nil {
		m.Handle("/", s.Administration)
	}
	return m
}

// checker answers 200 or, with the reason, 503.
type checker struct {
	check Check
}

// ServeHTTP runs the check.
func (c checker) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var err error
	if c.check != nil {
		err = c.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}
