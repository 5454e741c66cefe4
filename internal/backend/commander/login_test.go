package commander_test

import (
	"context"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// Logins take longer than the timeout of a poll, as over a slow network or on a busy host. If each
// poll restarted the login, the entry host would never reach the server and would refuse its
// callers although the server works.
func TestSlowLogin(t *testing.T) {
	s := &responder.Server{Name: "db-a", Address: "127.0.0.1:0", ConnectTime: 300 * time.Millisecond, Primary: true}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	<-s.Ready()
	c := &commander.Client{Name: "db-a", Address: s.Addr(), User: "u"}
	for {
		x, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		r, err := c.Status(x)
		cancel()
		if err == nil {
			if r.BackendServer != "db-a" {
				t.Errorf("status of %q", r.BackendServer)
			}
			break
		}
		if t.Context().Err() != nil {
			t.Fatal("the server is never reached")
		}
	}
	stop()
	<-ended
}
