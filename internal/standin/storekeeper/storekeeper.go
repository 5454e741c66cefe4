// Package storekeeper is a stand-in for the platform's object service and host list.
package storekeeper

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// DefaultAddress is where the stand-in listens unless told otherwise.
const DefaultAddress = "127.0.0.1:7400"

// Server offers a Store over HTTP and JSON.
type Server struct {
	// Address is the listening address; port 0 picks a free one.
	Address string
	// Store holds the objects; a new one is made if unset.
	Store *Store

	listener net.Listener
}

// Listen opens the address and returns the actual one. Run calls it if it wasn't called before.
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

// Run serves until ctx ends; waiting watches are cut off then.
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
