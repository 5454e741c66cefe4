package driver

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// Guards against counting servers of another group towards a majority. Both replicas are down, and
// servers of another group, with the same names and the same term, have taken over their addresses.
// They hold none of this group's records: a write that was acknowledged because of them would be
// lost with the primary.
func TestOtherGroupsServersAreNoMajority(t *testing.T) {
	r := newRig(t, 1, noLatency)
	d, p := r.drivers[0], r.primary()
	var others []*responder.Server
	for _, s := range r.group.Servers {
		if s != p {
			s.Crash()
			others = append(others, r.startOtherGroupsServer(s))
		}
	}
	m, err := r.write(r.ctx, p, r.insert())
	if err != nil {
		t.Fatal(err)
	}
	r.awaitStale(d, d.Now())
	if _, err := d.WaitPrimary(r.ctx); err == nil {
		t.Error("a primary confirmed by servers of another group")
	}
	ctx, stop := context.WithTimeout(r.ctx, 50*time.Millisecond)
	defer stop()
	if err := d.WaitAcknowledged(ctx, m); err == nil {
		t.Error("acknowledged by servers of another group")
	}
	for _, s := range others {
		if g := s.Store().Status(time.Now()); g.Term != 1 {
			t.Errorf("the other group's server at %s was moved to term %d", s.Addr(), g.Term)
		}
	}
}

// startOtherGroupsServer starts another group's primary at the address of a crashed server.
func (r *rig) startOtherGroupsServer(s *responder.Server) *responder.Server {
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

// Guards against trusting the first answer from an address. An entry host starts while a server of
// another group has a replica's address, so that no earlier answer from there shows the change; only
// the system identifiers of the other servers do.
func TestOtherGroupsServerBeforeFirstAnswer(t *testing.T) {
	r := newRig(t, 1, noLatency)
	p := r.primary()
	l := slices.DeleteFunc(slices.Clone(r.group.Servers), func(s *responder.Server) bool { return s == p })
	l[0].Crash()
	other := r.startOtherGroupsServer(l[0])
	d := r.startDriver()
	r.awaitRefusedAnswer(d, l[0].Name)
	r.awaitConfirmed(d)
	l[1].Crash()
	r.awaitStale(d, d.Now())
	if _, err := d.WaitPrimary(r.ctx); err == nil {
		t.Error("a primary confirmed by a server of another group")
	}
	if g := other.Store().Status(time.Now()); g.Term != 1 {
		t.Errorf("the other group's server was moved to term %d", g.Term)
	}
}

// Guards against trusting either of two servers with different system identifiers. An entry host
// starts while a server of another group has a replica's address and the other replica is down: with
// one identifier against one, neither server may count as the group's.
func TestOtherGroupsServerAgainstPrimary(t *testing.T) {
	r := newRig(t, 1, noLatency)
	p := r.primary()
	var other *responder.Server
	for _, s := range r.group.Servers {
		if s == p {
			continue
		}
		s.Crash()
		if other == nil {
			other = r.startOtherGroupsServer(s)
		}
	}
	d := r.startDriver()
	r.awaitRefusedAnswer(d, other.Name)
	if _, err := d.WaitPrimary(r.ctx); err == nil {
		t.Error("a primary confirmed by a server of another group")
	}
	if g := other.Store().Status(time.Now()); g.Term != 1 {
		t.Errorf("the other group's server was moved to term %d", g.Term)
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
	ctx, stop := context.WithTimeout(r.ctx, hangTimeout)
	defer stop()
	for {
		_, err := d.WaitPrimary(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			r.tb.Fatalf("no confirmed primary though the group's two servers are a majority: %v", err)
		}
	}
}

// awaitRefusedAnswer returns once the driver has refused an answer of the named server.
func (r *rig) awaitRefusedAnswer(d *Driver, name string) {
	ctx, stop := context.WithTimeout(r.ctx, hangTimeout)
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
