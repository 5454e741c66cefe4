package gossiper

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "60")
	os.Exit(m.Run())
}

func TestFleetConverges(t *testing.T) {
	for _, tt := range []struct {
		name           string
		zones, perZone int
	}{
		{name: "one host", zones: 1, perZone: 1},
		{name: "three zones of three hosts", zones: 3, perZone: 3},
		{name: "one large zone", zones: 1, perZone: 60},
		{name: "many zones", zones: 12, perZone: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			newFleet(tt.zones, tt.perZone).converge(t, 2*time.Minute)
		})
	}
}

// An entry host loses power. If the others didn't declare it dead within seconds, the pools that it
// owned would stay without an owner.
func TestDeadHostIsDetected(t *testing.T) {
	f := newFleet(3, 3)
	f.converge(t, time.Minute)
	f.hosts["host-1-1"].up = false
	if d := f.converge(t, 10*time.Second); d > 5*time.Second {
		t.Errorf("death was detected after %s", d)
	}
}

// The network card of one host fails, so the host receives no messages. It must not declare the
// others dead, and the views must converge by themselves once the card works again.
func TestIsolatedHostDeclaresNobodyDead(t *testing.T) {
	f := newFleet(3, 3)
	f.converge(t, time.Minute)
	x := f.hosts["host-1-1"]
	f.blocked = func(a, b *node) bool { return (a == x) != (b == x) }
	f.run(30 * time.Second)
	for _, n := range f.names {
		for _, m := range f.names {
			r, _ := f.hosts[n].Find(m)
			if n != x.Self.Host && m != x.Self.Host && r.State == declarer.Dead {
				t.Errorf("%s has declared %s dead", n, m)
			}
			if n == x.Self.Host && r.State == declarer.Dead {
				t.Errorf("the isolated host has declared %s dead", m)
			}
		}
	}
	if v := x.View(f.now); len(v.Zones[1].Unreachable) != 2 {
		t.Errorf("unreachable for the isolated host: %v, want both others of its zone", v.Zones[1].Unreachable)
	}
	f.blocked = func(_, _ *node) bool { return false }
	f.converge(t, 30*time.Second)
}

// An availability zone is cut off from the others. Its hosts must not be declared dead, because the
// zone continues to serve; views must report it as cut off.
func TestCutOffZoneKeepsItsMembers(t *testing.T) {
	f := newFleet(3, 3)
	f.converge(t, time.Minute)
	f.run(10 * time.Second)
	f.blocked = func(a, b *node) bool {
		return (a.Self.AvailabilityZone == "zone-0") != (b.Self.AvailabilityZone == "zone-0")
	}
	f.run(time.Minute)
	if w := f.wrongEntries(); len(w) > 0 {
		t.Errorf("wrong entries while the zone is cut off: %v", w)
	}
	v := f.hosts["host-1-0"].View(f.now)
	if !v.Zones[0].CutOff || v.Zones[2].CutOff {
		t.Errorf("zones = %+v, want only the first one cut off", v.Zones)
	}
	f.blocked = func(_, _ *node) bool { return false }
	f.run(30 * time.Second)
	if v := f.hosts["host-1-0"].View(f.now); v.Zones[0].CutOff {
		t.Error("the zone is still reported as cut off")
	}
}

// A host is replaced by one of the same name whose clock is an hour behind, so that its incarnation
// is lower than that of its predecessor. It must become a live member nevertheless.
func TestReplacedHostWithClockSetBack(t *testing.T) {
	f := newFleet(2, 3)
	f.hosts["host-0-0"].up = false
	f.start("host-0-0", "zone-0", 9000)
	f.converge(t, time.Minute)
	f.hosts["host-0-0"].up = false
	f.run(time.Second)
	f.start("host-0-0", "zone-0", 3)
	f.converge(t, time.Minute)
}

// All hosts of a zone but one die at once, and there is no other zone to ask. The survivor can't
// confirm that they are dead, but must report all of them as unreachable. Otherwise its callers wait
// for pools without an owner.
func TestSoleSurvivorReportsOthersUnreachable(t *testing.T) {
	f := newFleet(1, 5)
	f.converge(t, time.Minute)
	for _, n := range f.names[:4] {
		f.hosts[n].up = false
	}
	f.run(10 * time.Second)
	v := f.hosts[f.names[4]].View(f.now)
	if !slices.Equal(v.Zones[0].Unreachable, f.names[:4]) {
		t.Errorf("unreachable = %v, want all other hosts", v.Zones[0].Unreachable)
	}
}

func TestLeaveAndDepart(t *testing.T) {
	f := newFleet(2, 3)
	f.converge(t, time.Minute)
	x := f.hosts["host-0-0"]
	f.perform(x, x.Leave(f.now))
	f.run(time.Second)
	for _, n := range f.names {
		if m, _ := f.hosts[n].Find("host-0-0"); m.State != declarer.Leaving {
			t.Errorf("state at %s = %s, want leaving", n, m.State)
		}
	}
	f.perform(x, x.Depart(f.now))
	x.up = false
	if d := f.converge(t, time.Second); d > time.Second/2 {
		t.Errorf("the departure reached all hosts after %s", d)
	}
}

// Hosts die and are replaced, zones and hosts are cut off and datagrams are lost, in any order. Once
// the faults end, all views must become correct again.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 5).Draw(t, "hosts"))
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "loss"), 1))
		f.lose = func() bool { return r.IntN(10) < 2 }
		f.run(5 * time.Second)
		incarnation := uint64(1)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			n := f.hosts[rapid.SampledFrom(f.names).Draw(t, "host")]
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				n.up = false
			case 1:
				n.up = false
				incarnation++
				f.start(n.Self.Host, n.Self.AvailabilityZone, incarnation)
			case 2:
				z := n.Self.AvailabilityZone
				f.blocked = func(a, b *node) bool { return (a.Self.AvailabilityZone == z) != (b.Self.AvailabilityZone == z) }
			case 3:
				f.blocked = func(a, b *node) bool { return (a.Self.Host == n.Self.Host) != (b.Self.Host == n.Self.Host) }
			case 4:
				f.blocked = func(_, _ *node) bool { return false }
			}
			f.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		f.blocked = func(_, _ *node) bool { return false }
		f.lose = func() bool { return false }
		limit := f.now + 3*time.Minute
		for len(f.verifiableWrongEntries()) > 0 {
			if f.now > limit {
				t.Fatalf("wrong entry after the faults ended: %+v", f.verifiableWrongEntries()[0])
			}
			f.run(time.Second)
		}
	})
}

// verifiableWrongEntries returns the wrong entries except those of dead hosts whose death no two
// observers can confirm: hosts of a zone without a live host, and hosts that the sole survivor of
// the fleet reports as unreachable.
func (f *fleet) verifiableWrongEntries() []wrongEntry {
	return slices.DeleteFunc(f.wrongEntries(), f.isUnverifiable)
}

func (f *fleet) isUnverifiable(m wrongEntry) bool {
	n := f.hosts[m.subject]
	if n.up {
		return false
	}
	up, zone := 0, 0
	for _, o := range f.hosts {
		if o.up {
			up++
		}
		if o.up && o.Self.AvailabilityZone == n.Self.AvailabilityZone {
			zone++
		}
	}
	if zone == 0 {
		return true
	}
	return up == 1 && slices.Contains(f.hosts[m.viewer].unreachableHosts(), m.subject)
}

// BenchmarkControlTraffic runs a converged fleet in virtual time and reports the bytes per second
// that one host sends, with estimates for headers and acknowledgements.
func BenchmarkControlTraffic(b *testing.B) {
	for _, n := range []struct {
		name           string
		zones, perZone int
	}{
		{"3x3", 3, 3}, {"3x10", 3, 10}, {"3x30", 3, 30}, {"1x100", 1, 100}, {"8x25", 8, 25}, {"13x50", 13, 50},
	} {
		b.Run(n.name, func(b *testing.B) {
			f := newFleet(n.zones, n.perZone)
			f.converge(b, 5*time.Minute)
			f.run(10 * time.Second)
			for _, h := range f.names {
				f.hosts[h].bytes = 0
			}
			const span = 20
			begin := time.Now()
			for b.Loop() {
				f.run(span * time.Second)
			}
			d := time.Since(begin)
			total, most := 0, 0
			for _, h := range f.names {
				total += f.hosts[h].bytes
				most = max(most, f.hosts[h].bytes)
			}
			s := float64(span * b.N)
			b.ReportMetric(float64(total)/float64(len(f.names))/s, "bytes/s/host")
			b.ReportMetric(float64(most)/s, "bytes/s/busiest")
			b.ReportMetric(float64(d.Microseconds())/float64(len(f.names))/s, "cpu-µs/s/host")
		})
	}
}

// newLargeGossiper returns a Gossiper with about 2,600 members in 26 zones.
func newLargeGossiper() *Gossiper {
	f := newFleet(1, 1)
	n := f.hosts["host-0-0"]
	for z := range 26 {
		for h := range 100 {
			n.mergeMember(0, declarer.Member{
				Host: fmt.Sprintf("host-%d-%d", z, h), AvailabilityZone: fmt.Sprintf("zone-%d", z), Region: "region",
				Address: "10.0.0.1:7432", Incarnation: 1,
			}, "")
		}
	}
	n.arrange(0)
	return n.Gossiper
}

// BenchmarkAtSize measures the methods of one host among about 2,600.
func BenchmarkAtSize(b *testing.B) {
	g := newLargeGossiper()
	b.Run("tick", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			g.Tick(0)
		}
	})
	b.Run("receive", func(b *testing.B) {
		m := declarer.Message{Digest: g.digest()}
		h := g.sources[0]
		b.ReportAllocs()
		for b.Loop() {
			g.Receive(0, h, 1, m)
		}
	})
	b.Run("view", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			g.View(0)
		}
	})
	b.Run("member-comes", func(b *testing.B) {
		b.ReportAllocs()
		i := uint64(1)
		for b.Loop() {
			i++
			g.Receive(0, g.sources[0], 1, declarer.Message{Updates: []declarer.Member{{
				Host: "host-5-5", AvailabilityZone: "zone-5", Region: "region", Address: "10.0.0.1:7432", Incarnation: i,
			}}})
		}
	})
	b.Run("memory", func(b *testing.B) {
		var m, n runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		var x *Gossiper
		for b.Loop() {
			x = newLargeGossiper()
		}
		runtime.GC()
		runtime.ReadMemStats(&n)
		b.ReportMetric(float64(n.HeapAlloc-m.HeapAlloc)/1024, "KiB")
		runtime.KeepAlive(x)
	})
}
