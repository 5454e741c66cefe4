package definer

import (
	"math"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
)

// Guards against seeds that draw the same fault twice, and pairs that no seed draws.
func TestMixedDrawsTwoFaults(t *testing.T) {
	seen := map[[2]Fault]bool{}
	n := len(mixedFaults)
	for i := range n * (n - 1) {
		s := Scenario{Mixed: true}
		s.DrawFaults(uint64(i))
		if s.Faults[0] == s.Faults[1] {
			t.Errorf("seed %d draws %s twice", i, s.Faults[0])
		}
		seen[[2]Fault{s.Faults[0], s.Faults[1]}] = true
	}
	if len(seen) != n*(n-1) {
		t.Errorf("%d of %d pairs are drawn", len(seen), n*(n-1))
	}
}

// Guards against a race that is removed before the other fault: it must be last, so that operators
// also apply configurations while the system recovers from that fault.
func TestRaceWithFaultDrawsOneMoreFault(t *testing.T) {
	seen := map[Fault]bool{}
	for i := range RaceFaultCount() {
		s := Scenario{RaceWithFault: true}
		s.DrawFaults(i)
		if len(s.Faults) != 2 || s.Faults[0] == OperatorsRace || s.Faults[1] != OperatorsRace {
			t.Errorf("seed %d draws %v", i, s.Faults)
		}
		seen[s.Faults[0]] = true
	}
	if len(seen) != len(raceFaults) {
		t.Errorf("%d of %d faults are drawn", len(seen), len(raceFaults))
	}
}

func TestLatency(t *testing.T) {
	for _, d := range Deployments() {
		a, b, c := d.Places[0], d.Places[1], d.Places[2]
		for name, e := range map[string]struct {
			from, to disturber.Place
			want     time.Duration
		}{
			"same zone":   {a, a, 0},
			"same region": {a, b, d.ZoneLatency},
			"region":      {a, c, d.RegionLatency},
			"region back": {c, b, d.RegionLatency},
			"caller":      {CallersPlace(), c, d.CallerLatency},
		} {
			t.Run(d.Name+" "+name, func(t *testing.T) {
				if l := d.Latency(disturber.Path{From: e.from, To: e.to}); l != e.want {
					t.Errorf("%v, want %v", l, e.want)
				}
			})
		}
	}
}

func TestLoadPercent(t *testing.T) {
	d := Deployments()[0]
	for name, e := range map[string]struct {
		scenario Scenario
		set      float64
		want     float64
	}{
		"not set":                  {Scenario{}, 0, 40},
		"set by scenario":          {Scenario{Utilisation: 1.3}, 0, 130},
		"set by command":           {Scenario{}, 90, 90},
		"command takes precedence": {Scenario{Utilisation: 0.5}, 130, 130},
	} {
		t.Run(name, func(t *testing.T) {
			if e.set > 0 {
				e.scenario.SetLoadPercent(e.set)
			}
			l := e.scenario.Load(&d)
			full := d.Capacity(l.ServiceTime) * float64(len(d.Groups))
			got := 100 * l.RequestsPerSecond * l.StatementsPerRequest() / full
			if math.Abs(got-e.want) > 0.001 || math.Abs(e.scenario.LoadPercent()-e.want) > 0.001 {
				t.Errorf("load of %f %%, reported as %f %%, want %f %%", got, e.scenario.LoadPercent(), e.want)
			}
		})
	}
}
