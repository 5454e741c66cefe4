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

// A backend server ends, and a server of another group starts at its address. If that server were
// accepted as a member of the group, it would count towards a majority, and a promotion in this
// group would fence the other group's primary.
func TestStrangerAtAddress(t *testing.T) {
	const expected = 11
	tests := []struct {
		name        string
		server      string
		identifier  uint64
		wrongServer bool
	}{
		{name: "the server itself, restarted", server: "db-1", identifier: expected},
		{name: "another name", server: "db-2", identifier: expected, wrongServer: true},
		{name: "same name in another group", server: "db-1", identifier: expected + 1, wrongServer: true},
		{name: "no identifier", server: "db-1", identifier: 0, wrongServer: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := startPrimary(t, &responder.Server{Name: "db-1", SystemIdentifier: expected})
			b := startPrimary(t, &responder.Server{Name: tt.server, SystemIdentifier: tt.identifier})
			var target atomic.Pointer[responder.Server]
			target.Store(a)
			c := &Client{Name: "db-1", Address: a.Addr(), User: "control", Dial: func(ctx context.Context, n, _ string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, n, target.Load().Addr())
			}}
			t.Cleanup(func() { _ = c.Close(context.Background()) })
			if _, err := c.Status(t.Context()); err != nil {
				t.Fatal(err)
			}
			target.Store(b)
			a.Crash()
			if _, err := c.Status(t.Context()); errors.Is(err, controller.ErrWrongServer) != tt.wrongServer || err != nil && !tt.wrongServer {
				t.Errorf("status: %v", err)
			}
			if _, err := c.RaiseTerm(t.Context(), 5); errors.Is(err, controller.ErrWrongServer) != tt.wrongServer || err != nil && !tt.wrongServer {
				t.Errorf("raise term: %v", err)
			}
			if got := b.Store().Status(time.Now()).Term; (got == marker.Term(5)) == tt.wrongServer {
				t.Errorf("term %d at the server that answered", got)
			}
		})
	}
}

// startPrimary runs s as the primary of term 1 until the end of the test.
func startPrimary(t *testing.T, s *responder.Server) *responder.Server {
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
