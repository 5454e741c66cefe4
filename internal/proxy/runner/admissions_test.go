package runner

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// admissionCounter counts the calls of all pools of a deployment.
type admissionCounter struct {
	mu                    sync.Mutex
	refused, began, ended int
	byPriority            map[uint8]int
	// last is when the last request was refused.
	last time.Time
}

func (a *admissionCounter) NotAdmitted(_ declarer.Server, i admitter.Importance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
	a.last = time.Now()
	if a.byPriority == nil {
		a.byPriority = make(map[uint8]int)
	}
	a.byPriority[i.Level()]++
}

func (a *admissionCounter) RefusalsBegan(declarer.Server, forecaster.Forecast) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began++
}

func (a *admissionCounter) RefusalsEnded(_ declarer.Server, _ int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended++
}

// rank puts a ranked configuration in force on one of so many hosts.
func (d *deployment) rank(a connpooler.AdmissionObserver, every int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	priorities := map[string]uint8{"confirm": 0, "reschedule": 1, "browse": 2}
	for i, x := range d.nodes {
		if i%every > 0 {
			continue
		}
		x.host.pools.admissions = a
		c := *x.host.Board.Configuration()
		c.Version, c.Ranked, c.Routes = 2, true, maps.Clone(c.Routes)
		for n, r := range c.Routes {
			r.Priority = priorities[n]
			c.Routes[n] = r
		}
		x.host.Board.Configure(&c)
	}
}

// Guards against a burst that outlives its cause under ranks: forecasts that aren't lifted, and hosts that
// admit and refuse in turn. Requests are refused without a round trip, with a pair of log lines for many
// of them. None of them is of the most important route, which fits alone. The same holds while only
// every second host has the ranked configuration, and if the owners of all servers' connections lose power
// while their forecasts are in force.
func TestGoodputRecoversAfterRankedBurst(t *testing.T) {
	const hosts = 24
	for name, c := range map[string]struct {
		every        int
		injectFaults func(*deployment)
		// settled is when the last cause of a loss has ended, in seconds.
		settled int
	}{
		"all ranked":        {1, func(*deployment) {}, 7},
		"every second":      {2, func(*deployment) {}, 7},
		"owners lose power": {1, (*deployment).restartOwners, 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(hosts, 30, 1)
				var a admissionCounter
				d.rank(&a, c.every)
				l := runDeployment(t, d, 14*time.Second, func(at time.Duration) float64 {
					if at > 4*time.Second && at < 7*time.Second {
						return 3 * usualRate
					}
					return usualRate
				}, c.injectFaults)
				if g := l.goodput(c.settled+recoverySeconds, 14); g < minimumGoodput {
					t.Errorf("goodput %.3f after the burst", g)
				}
				a.check(t, hosts)
				if at := a.last.Sub(d.began); at > time.Duration(c.settled+recoverySeconds)*time.Second {
					t.Errorf("a host refuses a request by a forecast at %s", at)
				}
			})
		})
	}
}

// restartOwners power cycles the owners of all servers' connections during the burst.
func (d *deployment) restartOwners() {
	time.Sleep(5 * time.Second)
	for _, s := range d.servers {
		d.mu.Lock()
		h := d.nodes[0].host
		d.mu.Unlock()
		o, ok := h.pools.owner(s.declared)
		i := 0
		if _, err := fmt.Sscanf(o.Name, "h-%d", &i); !ok || err != nil {
			panic("server " + s.declared.ID + " has no owner")
		}
		go d.restart(uint64(i))
	}
}

// check checks the counts after a burst of 3 s.
func (a *admissionCounter) check(t *testing.T, hosts int) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Logf("%d refused by forecasts, by priority %v; %d periods began, %d ended", a.refused, a.byPriority, a.began, a.ended)
	// A host has three servers, and a period of refusals lasts for a second at least.
	if most := hosts * 3 * 4; a.refused == 0 || a.byPriority[0] > 0 || a.began == 0 || a.began > most || a.ended != a.began {
		t.Errorf("%d refused by forecasts, by priority %v; %d periods began, %d ended", a.refused, a.byPriority, a.began, a.ended)
	}
}

// Guards against pools that keep the ranks of an earlier configuration, or that have none: both those of
// own connections and those of links follow the configuration in force.
func TestPoolsFollowRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &customerDialer{}
		p := &pools{self: "h", board: &blackboard.Board{}, dialer: d, observer: d, roster: &roster{}}
		p.setServers([]declarer.Server{{ID: "i", Group: "g"}})
		for v, ranked := range []bool{false, true, false} {
			p.board.Configure(&declarer.Configuration{Version: uint64(v + 1), Ranked: ranked})
			own := p.ownPool("i", false)
			links := p.borrowedPool(declarer.Server{ID: "i", Group: "g"}, declarer.Host{Name: "o"})
			if own.Ranked() != ranked || links.Ranked() != ranked {
				t.Errorf("ranked %t: own %t, links %t", ranked, own.Ranked(), links.Ranked())
			}
		}
	})
}

// priorityCounter counts requests that aren't admitted, by priority.
type priorityCounter struct {
	Counter
	counts map[uint8]int
}

func (c *priorityCounter) NotAdmitted(priority uint8) { c.counts[priority]++ }

// Guards the lines by which operators see that this host refuses by forecast, and since when and until
// when; the requests in between are only counted.
func TestAdmissionLines(t *testing.T) {
	h := memory.New()
	c := &priorityCounter{counts: make(map[uint8]int)}
	a := &admissions{log: &log.Logger{Handler: h, Level: log.InfoLevel}, counter: c}
	s := declarer.Server{ID: "i-1", Group: "db"}
	a.RefusalsBegan(s, forecaster.Forecast{Admits: 15, For: 120 * time.Millisecond})
	for range 3 {
		a.NotAdmitted(s, 17)
	}
	a.RefusalsEnded(s, 3)
	type line struct {
		Message string
		Fields  log.Fields
	}
	var got []line
	for _, e := range h.Entries {
		got = append(got, line{e.Message, e.Fields})
	}
	want := []line{
		{"requests not admitted by forecast", log.Fields{"server": "i-1", "database-group": "db", "admits": 15, "for": "120ms"}},
		{"requests admitted again", log.Fields{"server": "i-1", "database-group": "db", "refused": 3}},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if c.counts[2] != 3 || len(c.counts) != 1 {
		t.Errorf("counted %v", c.counts)
	}
}
