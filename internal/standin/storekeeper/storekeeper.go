// Package storekeeper implements a stand-in for the platform's object service and host list, with fault
// injection.
package storekeeper

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// DefaultAddress is the listening address if Server.Address is empty.
const DefaultAddress = "127.0.0.1:7400"

// Server serves a Store as JSON over HTTP. Its fields are set before Listen and Run.
type Server struct {
	// Address is the listening address, DefaultAddress if empty; port 0 selects a free port.
	Address string
	// Store holds the objects; Listen creates an empty one if it is nil.
	Store *Store

	listener net.Listener
}

// Listen opens the listening address and returns the actual one. Run calls it if it was not called
// before.
func (s *Server) Listen() (string, error) {
	if s.listener != nil {
		return s.listener.Addr().String(), nil
	}
	if s.Store == nil {
		s.Store = &Store{}
	}
	if s.Address == "" {
		s.Address = DefaultAddress
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return "", errors.Annotatef(err, "listen on %s", s.Address)
	}
	s.listener = l
	return l.Addr().String(), nil
}

// Run serves until ctx ends, which closes all connections, including those of watches.
func (s *Server) Run(ctx context.Context) error {
	a, err := s.Listen()
	if err != nil {
		return err
	}
	h := &http.Server{
		Handler:           s.Store.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	err = h.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotatef(err, "serve platform stand-in on %s", a)
}
