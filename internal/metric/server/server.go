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

// Check returns nil if the check passes, and otherwise an error with the reason.
type Check func() error

// Server answers /metrics, /livez and /readyz on the administration address. Its fields are set before
// Run. A nil Live or Ready always passes.
type Server struct {
	// Listener accepts the connections. Run closes it.
	Listener net.Listener
	// TLS is the configuration of HTTPS. If it is nil, HTTP is served.
	TLS *tls.Config
	// Gatherer provides the metrics.
	Gatherer prometheus.Gatherer
	// Live fails when the process can recover only by a restart.
	Live Check
	// Ready fails while new callers should be routed to other hosts.
	Ready Check
	// Administration answers all other paths. If it is nil, they are answered with 404.
	Administration http.Handler
}

// Limits on the resources that a client of the administration address can occupy, and on the time
// for requests in progress to finish.
const (
	headerTimeout      = 5 * time.Second
	idleTimeout        = time.Minute
	stopTimeout        = 5 * time.Second
	maximumHeaderBytes = 16 << 10
)

// Run serves until ctx ends, and then waits up to stopTimeout for requests in progress to finish.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
	}
	c, stop := context.WithCancel(ctx)
	x := stopper{server: h, ended: make(chan struct{})}
	go x.run(c)
	err := h.Serve(s.serveListener())
	stop()
	<-x.ended
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return wrapper.Wrap(err, "serve administration", s.Listener.Addr().String())
}

// serveListener returns Listener, with TLS if that is set.
func (s *Server) serveListener() net.Listener {
	if s.TLS == nil {
		return s.Listener
	}
	return tls.NewListener(s.Listener, s.TLS)
}

// stopper shuts down an HTTP server when a context ends.
type stopper struct {
	server *http.Server
	// ended is closed when the server has been shut down.
	ended chan struct{}
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

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	m.Handle("GET /livez", checkHandler{check: s.Live})
	m.Handle("GET /readyz", checkHandler{check: s.Ready})
	if s.Administration != nil {
		m.Handle("/", s.Administration)
	}
	return m
}

// checkHandler answers 200, or 503 with the reason if the check fails.
type checkHandler struct {
	check Check
}

// ServeHTTP implements http.Handler.
func (c checkHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
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
