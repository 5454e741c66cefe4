package runner

import (
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
}

func (a *admissionCounter) NotAdmitted(_ declarer.Server, i admitter.Importance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
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

// rank puts a ranked configuration in force on all hosts.
func (d *deployment) rank(a connpooler.AdmissionObserver) {
	priorities := map[string]uint8{"confirm": 0, "reschedule": 1, "browse": 2}
	for _, x := range d.nodes {
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
// of them. None of them is of the most important route, which fits alone.
func TestGoodputRecoversAfterRankedBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(24, 30, 1)
		var a admissionCounter
		d.rank(&a)
		l := runDeployment(t, d, 14*time.Second, func(at time.Duration) float64 {
			if at > 4*time.Second && at < 7*time.Second {
				return 3 * usualRate
			}
			return usualRate
		}, func(*deployment) {})
		if g := l.goodput(7+recoverySeconds, 14); g < minimumGoodput {
			t.Errorf("goodput %.3f after the burst", g)
		}
		if d.shed*100 > 3*d.arrivals || l.unknown > 0 {
			t.Errorf("servers shed %d of %d, %d unknown outcomes", d.shed, d.arrivals, l.unknown)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		t.Logf("%d refused by forecasts, by priority %v; %d periods began, %d ended", a.refused, a.byPriority, a.began, a.ended)
		// A host has three servers, and a period of refusals lasts for a second at least.
		if most := 24 * 3 * 4; a.refused == 0 || a.byPriority[0] > 0 || a.began == 0 || a.began > most || a.ended != a.began {
			t.Errorf("%d refused by forecasts, by priority %v; %d periods began, %d ended", a.refused, a.byPriority, a.began, a.ended)
		}
	})
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
