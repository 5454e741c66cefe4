package driver

import (
	"context"
	"slices"
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

// An entry host starts while a server of another group has a replica's address. Its first
// answer is all that the host ever had from there, but its identifier isn't the others'.
func TestStrangerBeforeFirstAnswer(t *testing.T) {
	r := newRig(t, 1, near)
	p := r.primary()
	l := slices.DeleteFunc(slices.Clone(r.group.Servers), func(s *responder.Server) bool { return s == p })
	l[0].Crash()
	stranger := r.startStranger(l[0])
	d := r.startDriver()
	r.awaitStranger(d, l[0].Name)
	r.awaitConfirmed(d)
	l[1].Crash()
	r.awaitStale(d, d.Now())
	if _, err := d.WaitPrimary(r.ctx); err == nil {
		t.Error("a primary confirmed by a stranger")
	}
	if g := stranger.Store().Status(time.Now()); g.Term != 1 {
		t.Errorf("stranger was moved to term %d", g.Term)
	}
}

// The same where no other replica answers: one identifier stands against one, and neither
// server may be taken for the group's.
func TestStrangerAgainstPrimary(t *testing.T) {
	r := newRig(t, 1, near)
	p := r.primary()
	var stranger *responder.Server
	for _, s := range r.group.Servers {
		if s == p {
			continue
		}
		s.Crash()
		if stranger == nil {
			stranger = r.startStranger(s)
		}
	}
	d := r.startDriver()
	r.awaitStranger(d, stranger.Name)
	if _, err := d.WaitPrimary(r.ctx); err == nil {
		t.Error("a primary confirmed by a stranger")
	}
	if g := stranger.Store().Status(time.Now()); g.Term != 1 {
		t.Errorf("stranger was moved to term %d", g.Term)
	}
}

// startDriver starts the driver of one more entry host.
func (r *rig) startDriver() *Driver {
	o := r.drivers[0]
	d := &Driver{Group: o.Group, Host: "entry-late", Controls: r.controls(r.dialer(0)), Platform: r.store, Settings: o.Settings, Log: o.Log}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	r.tb.Cleanup(func() {
		stop()
		<-done
	})
	return d
}

// awaitConfirmed returns once the driver has confirmed a primary.
func (r *rig) awaitConfirmed(d *Driver) {
	ctx, stop := context.WithTimeout(r.ctx, limit)
	defer stop()
	for {
		_, err := d.WaitPrimary(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			r.tb.Fatalf("the two others are a majority: %v", err)
		}
	}
}

// awaitStranger returns once the driver has refused an answer of the named server.
func (r *rig) awaitStranger(d *Driver, name string) {
	ctx, stop := context.WithTimeout(r.ctx, limit)
	defer stop()
	for {
		if s, ok := d.View().Server(name); ok && s.Failures > 0 && !s.Answered {
			return
		}
		if ctx.Err() != nil {
			r.tb.Fatalf("no answer of %s was refused: %+v", name, d.View())
		}
		time.Sleep(time.Millisecond)
	}
}
