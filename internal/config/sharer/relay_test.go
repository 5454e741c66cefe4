package sharer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/member/arranger"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

func TestRelaysSpareThePlatform(t *testing.T) {
	for _, c := range []struct{ hosts, apply, rest int }{{1, 27, 60}, {3, 33, 60}, {9, 55, 120}} {
		t.Run(fmt.Sprintf("hosts=%d", 3*c.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion()
				defer r.end()
				r.settle(c.hosts)
				r.apply(t, 1, applier.InForce)
				r.store.ResetCalls()
				x, d := r.apply(t, 2, applier.InForce)
				a := r.store.Calls()
				r.expect(t, 2, adopter.Confirmed)
				if len(x.Zones) != 3 || x.Zones[0].InForce != c.hosts {
					t.Errorf("zones %+v", x.Zones)
				}
				r.store.ResetCalls()
				time.Sleep(time.Minute)
				b := r.store.Calls()
				t.Logf("calls of an apply %+v after %s, calls of a minute at rest %+v", a, d, b)
				if a.Total() > c.apply || b.Total() > c.rest {
					t.Errorf("%d calls for an apply, %d a minute at rest", a.Total(), b.Total())
				}
			})
		})
	}
}

// A zone is at rest, and hosts report to their relay while it holds back the
// questions of others. Such news must not make the relay's answer look as if it
// didn't reach the platform: the hosts would all turn to the platform at once,
// several calls each, and back again.
func TestReportsLeaveSightsAsTheyAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		for n := range 3 {
			r.start(fmt.Sprintf("h%d", n), "1", "z0")
		}
		time.Sleep(time.Minute)
		x, _ := r.find(r.firstRelay("z0"))
		m := &reportingMember{relay: x.host}
		m.report(t)
		for n := range 9 {
			time.Sleep(500 * time.Millisecond)
			g := m.reportAfter(t, 2900*time.Millisecond)
			a := x.host.Advise(t.Context(), follower.Consultation{Wait: 3 * time.Second, Host: "f", Incarnation: "1"})
			<-g
			if a.Sight == nil || a.Sight.Age > adopter.MaximumSightAge {
				t.Errorf("answer %d shows %+v, want a sight of at most %s", n, a.Sight, adopter.MaximumSightAge)
			}
		}
	})
}

// reportingMember is a host that reports to a relay again and again.
type reportingMember struct {
	relay     *follower.Host
	registrar string
	reports   uint64
}

// report tells the relay of a further revision.
func (m *reportingMember) report(t *testing.T) {
	m.reports++
	r := &follower.MemberReport{
		Member:    encoder.HostReport{Host: "g", Incarnation: "1", Ready: declarer.Revision(m.reports)},
		Registrar: m.registrar,
		Sequence:  m.reports,
	}
	a := m.relay.Advise(t.Context(), follower.Consultation{Wait: time.Second, Host: "g", Incarnation: "1", Report: r})
	if a.Held == nil {
		t.Errorf("relay doesn't hold report %d", m.reports)
		return
	}
	m.registrar = a.Held.Registrar
}

// reportAfter does so after d, and closes what it returns when the relay has answered.
func (m *reportingMember) reportAfter(t *testing.T, d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(d)
		m.report(t)
	}()
	return done
}

// A relay's process is killed. Its zone's hosts must turn to another one, and an
// operator mustn't wait for it longer than for any dead host, nor twice.
func TestRelayDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.store.SetHost(accessor.Host{Name: "h1", Kind: accessor.EntryHost, State: accessor.HostLive})
		r.settle(5)
		r.apply(t, 1, applier.InForce)
		n := r.firstRelay("z0")
		x, _ := r.find(n)
		x.platform.setCut(true)
		x.stop()
		r.remove(n)
		if _, d := r.apply(t, 2, applier.InForce); d > 2*applier.DefaultAcknowledgementTimeout {
			t.Errorf("in force after %s", d)
		}
		time.Sleep(20 * time.Second)
		r.expect(t, 2, adopter.Confirmed)
		if _, d := r.apply(t, 3, applier.InForce); d > time.Second {
			t.Errorf("apply waited %s for a relay that was known dead", d)
		}
		r.expect(t, 3, adopter.Confirmed)
	})
}

// A relay is cut off from the platform, and can still be asked. Its hosts must
// not go on with what it knew: they follow each change by another way, and only the
// relay itself is missing.
func TestRelayCutOffFromPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		for n := range 15 {
			r.store.SetHost(accessor.Host{Name: fmt.Sprintf("h%d", n), Kind: accessor.EntryHost, State: accessor.HostLive})
		}
		r.settle(5)
		r.apply(t, 1, applier.InForce)
		n := r.firstRelay("z0")
		x, _ := r.find(n)
		x.platform.setCut(true)
		a, _ := r.apply(t, 2, applier.Accepted)
		if len(a.Missing) != 1 || a.Missing[0].Host != n {
			t.Errorf("missing %+v", a.Missing)
		}
		time.Sleep(20 * time.Second)
		r.expect(t, 2, adopter.Confirmed, n)
		x.platform.setCut(false)
		time.Sleep(30 * time.Second)
		r.expect(t, 2, adopter.Confirmed)
		r.apply(t, 3, applier.InForce)
	})
}

// No host of a zone gets through to a relay, while all reach the platform. Each
// must follow it by itself, within its call budget, and go back to the relays when
// they answer.
func TestZoneWithoutRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.settle(5)
		r.apply(t, 1, applier.InForce)
		z := r.zone("z0")
		for _, n := range z {
			r.setSilent(n, true)
		}
		time.Sleep(30 * time.Second)
		r.expect(t, 1, adopter.Confirmed)
		r.store.ResetCalls()
		time.Sleep(time.Minute)
		t.Logf("calls of a minute without relays in one of three zones: %+v", r.store.Calls())
		if c := r.store.Calls(); c.Total() > 20*(len(z)+4) {
			t.Errorf("%+v in a minute", c)
		}
		r.apply(t, 2, applier.InForce)
		r.expect(t, 2, adopter.Confirmed)
		for _, n := range z {
			r.setSilent(n, false)
		}
		time.Sleep(30 * time.Second)
		r.expect(t, 2, adopter.Confirmed)
		r.store.ResetCalls()
		r.apply(t, 3, applier.InForce)
		if c := r.store.Calls(); c.Total() > 45 {
			t.Errorf("%+v for an apply after the relays are back", c)
		}
	})
}

// Hosts that report through a relay, and a relay itself, are stopped as planned;
// one host comes back under its name. No change may wait for those that left, nor
// take the new one for ready because the old one was.
func TestHostsBehindRelaysReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.settle(5)
		r.apply(t, 1, applier.InForce)
		l := arranger.Rank("z0", r.zone("z0"))
		for i, n := range []string{l[4], l[0], l[3]} {
			x, _ := r.find(n)
			r.markLeaving(n)
			time.Sleep(20 * time.Second)
			x.host.Depart(t.Context())
			x.stop()
			r.remove(n)
			time.Sleep(2 * time.Second)
			if _, d := r.apply(t, 2+i, applier.InForce); d > time.Second {
				t.Errorf("apply waited %s for host %s that had left", d, n)
			}
		}
		r.start(l[4], "2", "z0")
		time.Sleep(30 * time.Second)
		r.apply(t, 5, applier.InForce)
		r.expect(t, 5, adopter.Confirmed)
	})
}

// The platform is down for ten minutes. No host may take that for a dead relay and
// make more calls than before there were relays; afterwards all go back to them.
func TestOutageWithRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.settle(5)
		r.apply(t, 1, applier.InForce)
		r.store.ResetCalls()
		r.store.SetOutage(true)
		time.Sleep(10 * time.Minute)
		c := r.store.Calls()
		t.Logf("calls of 15 hosts in ten minutes of outage: %+v", c)
		if c.Total() > 15*10*40 {
			t.Errorf("%+v in an outage", c)
		}
		r.store.SetOutage(false)
		time.Sleep(time.Minute)
		r.expect(t, 1, adopter.Confirmed)
		r.store.ResetCalls()
		r.apply(t, 2, applier.InForce)
		if c := r.store.Calls(); c.Total() > 45 {
			t.Errorf("%+v for an apply after the outage", c)
		}
	})
}
