package commander

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// A backend server ends, and one of another group starts at its address. If that one
// were taken for the group's, it would count towards a majority, and a promotion here
// would fence the other group's primary.
func TestStrangerAtAddress(t *testing.T) {
	const wanted = 11
	tests := []struct {
		name       string
		server     string
		identifier uint64
		stranger   bool
	}{
		{name: "the server itself, restarted", server: "db-1", identifier: wanted},
		{name: "another name", server: "db-2", identifier: wanted, stranger: true},
		{name: "same name in another group", server: "db-1", identifier: wanted + 1, stranger: true},
		{name: "no identifier", server: "db-1", identifier: 0, stranger: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := serve(t, &responder.Server{Name: "db-1", SystemIdentifier: wanted})
			b := serve(t, &responder.Server{Name: tt.server, SystemIdentifier: tt.identifier})
			var at atomic.Pointer[responder.Server]
			at.Store(a)
			c := &Client{Name: "db-1", Address: a.Addr(), User: "control", Dial: func(ctx context.Context, n, _ string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, n, at.Load().Addr())
			}}
			t.Cleanup(func() { _ = c.Close(context.Background()) })
			if _, err := c.Status(t.Context()); err != nil {
				t.Fatal(err)
			}
			at.Store(b)
			a.Crash()
			if _, err := c.Status(t.Context()); errors.Is(err, controller.ErrWrongServer) != tt.stranger || err != nil && !tt.stranger {
				t.Errorf("status: %v", err)
			}
			if _, err := c.RaiseTerm(t.Context(), 5); errors.Is(err, controller.ErrWrongServer) != tt.stranger || err != nil && !tt.stranger {
				t.Errorf("raise term: %v", err)
			}
			if got := b.Store().Status(time.Now()).Term; (got == marker.Term(5)) == tt.stranger {
				t.Errorf("term %d at the server that answered", got)
			}
		})
	}
}

// serve starts a server as primary of term 1.
func serve(t *testing.T, s *responder.Server) *responder.Server {
	s.Address, s.Primary = "127.0.0.1:0", true
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	<-s.Ready()
	return s
}
