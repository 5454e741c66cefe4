package driver

import (
	"context"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// Both replicas are gone, and servers of another group, with the same names and the
// same term, have taken over their addresses. They hold none of this group's
// records: a line that was acknowledged because of them would be lost with the primary.
func TestStrangersAreNoMajority(t *testing.T) {
	r := newRig(t, 1, near)
	d, p := r.drivers[0], r.primary()
	var strangers []*responder.Server
	for _, s := range r.group.Servers {
		if s != p {
			s.Crash()
			strangers = append(strangers, r.startStranger(s))
		}
	}
	m, err := r.write(r.ctx, p, r.insert())
	if err != nil {
		t.Fatal(err)
	}
	r.awaitStale(d, d.Now())
	if _, err := d.WaitPrimary(r.ctx); err == nil {
		t.Error("a primary confirmed by strangers")
	}
	ctx, stop := context.WithTimeout(r.ctx, 50*time.Millisecond)
	defer stop()
	if err := d.WaitAcknowledged(ctx, m); err == nil {
		t.Error("acknowledged by strangers")
	}
	for _, s := range strangers {
		if g := s.Store().Status(time.Now()); g.Term != 1 {
			t.Errorf("stranger at %s was moved to term %d", s.Addr(), g.Term)
		}
	}
}

// startStranger starts another group's primary at the address of a crashed server.
func (r *rig) startStranger(s *responder.Server) *responder.Server {
	x := &responder.Server{Name: s.Name, Address: s.Addr(), SystemIdentifier: s.SystemIdentifier + 1, Primary: true}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	r.tb.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			r.tb.Error(err)
		}
	})
	<-x.Ready()
	return x
}
