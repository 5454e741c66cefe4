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

// The platform calls of an apply and of a minute at rest are bounded, because only relays read from and
// report to the platform.
func TestRelaysSpareThePlatform(t *testing.T) {
	for _, c := range []struct{ hosts, apply, rest int }{{1, 27, 60}, {3, 33, 60}, {9, 55, 120}} {
		t.Run(fmt.Sprintf("hosts=%d", 3*c.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion()
				defer r.end()
				r.settle(c.hosts)
				r.applyQueueLength(t, 1, applier.InForce)
				r.store.ResetCalls()
				x, d := r.applyQueueLength(t, 2, applier.InForce)
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

// A zone is at rest, and hosts report to their relay while it holds back the questions of others. A
// report must not make the sights in the relay's answers seem older. Otherwise the other hosts would
// assume that the relay doesn't reach the platform: all would switch to the platform at once, with
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

// reportingMember is a host that reports to a relay repeatedly.
type reportingMember struct {
	relay     *follower.Host
	registrar string
	reports   uint64
}

// report reports a further revision as ready.
func (m *reportingMember) report(t *testing.T) {
	m.reports++
	r := &follower.MemberReport{
		Member:    encoder.HostReport{Host: "g", Incarnation: "1", Ready: declarer.Revision(m.reports)},
		Registrar: m.registrar,
		Sequence:  m.reports,
	}
	a := m.relay.Advise(t.Context(), follower.Consultation{Wait: time.Second, Host: "g", Incarnation: "1", Report: r})
	if a.Registration == nil {
		t.Errorf("relay doesn't confirm report %d", m.reports)
		return
	}
	m.registrar = a.Registration.Registrar
}

// reportAfter calls report after d and closes the returned channel when the relay has answered.
func (m *reportingMember) reportAfter(t *testing.T, d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(d)
		m.report(t)
	}()
	return done
}

// A relay's process is killed. The hosts of its zone must switch to another relay, and an operator
// must not wait for it longer than for any failed host, nor twice.
func TestRelayFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.store.SetHost(accessor.Host{Name: "h1", Kind: accessor.EntryHost, State: accessor.HostLive})
		r.settle(5)
		r.applyQueueLength(t, 1, applier.InForce)
		n := r.firstRelay("z0")
		x, _ := r.find(n)
		x.platform.setCut(true)
		x.stop()
		r.remove(n)
		if _, d := r.applyQueueLength(t, 2, applier.InForce); d > 2*applier.DefaultAcknowledgementTimeout {
			t.Errorf("in force after %s", d)
		}
		time.Sleep(20 * time.Second)
		r.expect(t, 2, adopter.Confirmed)
		if _, d := r.applyQueueLength(t, 3, applier.InForce); d > time.Second {
			t.Errorf("apply waited %s for a relay that had been removed", d)
		}
		r.expect(t, 3, adopter.Confirmed)
	})
}

// A relay is cut off from the platform but still answers its hosts. They must not rely on its outdated
// head: they follow each change through another relay or the platform, and only the relay itself is
// missing.
func TestRelayCutOffFromPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		for n := range 15 {
			r.store.SetHost(accessor.Host{Name: fmt.Sprintf("h%d", n), Kind: accessor.EntryHost, State: accessor.HostLive})
		}
		r.settle(5)
		r.applyQueueLength(t, 1, applier.InForce)
		n := r.firstRelay("z0")
		x, _ := r.find(n)
		x.platform.setCut(true)
		a, _ := r.applyQueueLength(t, 2, applier.Accepted)
		if len(a.Missing) != 1 || a.Missing[0].Host != n {
			t.Errorf("missing %+v", a.Missing)
		}
		time.Sleep(20 * time.Second)
		r.expect(t, 2, adopter.Confirmed, n)
		x.platform.setCut(false)
		time.Sleep(30 * time.Second)
		r.expect(t, 2, adopter.Confirmed)
		r.applyQueueLength(t, 3, applier.InForce)
	})
}

// The hosts of a zone can't reach their relays, but all reach the platform. Each must follow the
// platform itself, within its call budget, and return to the relays once they answer.
func TestZoneWithoutRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.settle(5)
		r.applyQueueLength(t, 1, applier.InForce)
		z := r.zone("z0")
		for _, n := range z {
			r.setUnreachable(n, true)
		}
		time.Sleep(30 * time.Second)
		r.expect(t, 1, adopter.Confirmed)
		r.store.ResetCalls()
		time.Sleep(time.Minute)
		t.Logf("calls of a minute without relays in one of three zones: %+v", r.store.Calls())
		if c := r.store.Calls(); c.Total() > 20*(len(z)+4) {
			t.Errorf("%+v in a minute", c)
		}
		r.applyQueueLength(t, 2, applier.InForce)
		r.expect(t, 2, adopter.Confirmed)
		for _, n := range z {
			r.setUnreachable(n, false)
		}
		time.Sleep(30 * time.Second)
		r.expect(t, 2, adopter.Confirmed)
		r.store.ResetCalls()
		r.applyQueueLength(t, 3, applier.InForce)
		if c := r.store.Calls(); c.Total() > 45 {
			t.Errorf("%+v for an apply after the relays are back", c)
		}
	})
}

// Hosts that report through a relay, and a relay itself, are stopped as planned; one host is started
// again under the same name. No apply may wait for the hosts that left, or count the new incarnation
// as ready because the old one was.
func TestHostsBehindRelaysReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.settle(5)
		r.applyQueueLength(t, 1, applier.InForce)
		l := arranger.Rank("z0", r.zone("z0"))
		for i, n := range []string{l[4], l[0], l[3]} {
			x, _ := r.find(n)
			r.markLeaving(n)
			time.Sleep(20 * time.Second)
			x.host.Deregister(t.Context())
			x.stop()
			r.remove(n)
			time.Sleep(2 * time.Second)
			if _, d := r.applyQueueLength(t, 2+i, applier.InForce); d > time.Second {
				t.Errorf("apply waited %s for host %s that had left", d, n)
			}
		}
		r.start(l[4], "2", "z0")
		time.Sleep(30 * time.Second)
		r.applyQueueLength(t, 5, applier.InForce)
		r.expect(t, 5, adopter.Confirmed)
	})
}

// The platform is down for ten minutes. The hosts must not treat that as a failure of their relays and
// make more calls than hosts without relays do. Afterwards all return to their relays.
func TestOutageWithRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion()
		defer r.end()
		r.settle(5)
		r.applyQueueLength(t, 1, applier.InForce)
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
		r.applyQueueLength(t, 2, applier.InForce)
		if c := r.store.Calls(); c.Total() > 45 {
			t.Errorf("%+v for an apply after the outage", c)
		}
	})
}
