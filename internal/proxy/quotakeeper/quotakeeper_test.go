package quotakeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	window = 5 * time.Second
	// overage and slack are what the simulated deployment tolerates beyond a limit in a window.
	overage = 0.1
	slack   = 20

	inZone, betweenZones = 200 * time.Microsecond, 10 * time.Millisecond
)

// way is a way to count: by zone, or in one place for all zones.
type way uint8

const (
	byZone way = iota
	central
)

// host is a simulated entry host.
type host struct {
	declarer.Host
	keeper *Keeper
	world  *world
	// dark is set while the host neither answers nor refuses connections.
	dark bool
	// isolated is set while the host reaches no other host, though it serves callers.
	isolated bool
	// unlisted holds the hosts that aren't in this host's list.
	unlisted map[string]bool
}

// world is a simulated deployment.
type world struct {
	way way
	// zones is the number of availability zones.
	zones  int
	hosts  []*host
	limits map[string]limiter.Limit
	random *rand.Rand

	mu sync.Mutex
	// cut holds the zones that are cut off from the others.
	cut map[string]bool
	// granted holds the times of granted operations, and asked and refused their numbers, by customer.
	granted        map[string][]time.Duration
	asked, refused map[string]int
	// exact counts all operations of a customer in one place. What it refuses is beyond the limit, and
	// isn't counted in refused.
	exact limiter.Limiter
	// crossing counts the messages between zones.
	crossing int
	began    time.Time
}

// hostsPerZone is the number of hosts of each zone of a world of newWorld.
const hostsPerZone = 5

// newWorld returns a deployment of six zones.
func newWorld(w way, limits map[string]limiter.Limit) *world {
	return newWorldOf(w, 6, hostsPerZone, limits)
}

func newWorldOf(w way, zones, hosts int, limits map[string]limiter.Limit) *world {
	x := &world{
		way: w, zones: zones, limits: limits, random: rand.New(rand.NewPCG(1, 2)), cut: make(map[string]bool),
		exact:   limiter.Limiter{Parts: 1, Began: -time.Minute},
		granted: make(map[string][]time.Duration), asked: make(map[string]int), refused: make(map[string]int), began: time.Now(),
	}
	for z := range zones {
		for i := range hosts {
			n := fmt.Sprintf("h-%d-%d", z, i)
			x.hosts = append(x.hosts, &host{Host: declarer.Host{Name: n, Address: n, AvailabilityZone: fmt.Sprint("z", z)}, world: x})
		}
	}
	for _, h := range x.hosts {
		h.start()
	}
	return x
}

// start starts the host's process anew.
func (h *host) start() {
	x := h.world
	k := &Keeper{Self: h.Name, Zone: h.AvailabilityZone, Tolerance: limiter.Tolerance{Window: window, Overage: overage, Slack: slack}, Limit: x.limit, Counters: h.counters, Precedes: h.isAfter, Dial: h.dial, Now: x.now}
	for z := range x.zones {
		k.Zones = append(k.Zones, fmt.Sprint("z", z))
	}
	if x.way == central {
		k.Zone, k.Zones = "", []string{""}
	}
	k.Start()
	x.mu.Lock()
	h.keeper = k
	x.mu.Unlock()
}

func (x *world) now() time.Duration { return time.Since(x.began) }

func (x *world) limit(c string) (limiter.Limit, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m, ok := x.limits[c]
	return m, ok
}

// cutOff cuts a zone off from the others.
func (x *world) cutOff(zone string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cut[zone] = true
}

// find returns the host with the name.
func (x *world) find(name string) *host {
	return x.hosts[slices.IndexFunc(x.hosts, func(h *host) bool { return h.Name == name })]
}

// darken has a host stop to answer.
func (x *world) darken(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.find(name).dark = true
}

// unlist removes a host from the list of another, or from its own.
func (x *world) unlist(from, host string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.find(from)
	if h.unlisted == nil {
		h.unlisted = make(map[string]bool)
	}
	h.unlisted[host] = true
}

// pause has a host stop for a while, after which it goes on with what it knew.
func (x *world) pause(name string) {
	x.darken(name)
	time.Sleep(1200 * time.Millisecond)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.find(name).dark = false
}

func (x *world) counters(zone, customer string) []declarer.Host {
	var l []declarer.Host
	for _, h := range x.hosts {
		if zone == "" || h.AvailabilityZone == zone {
			l = append(l, h.Host)
		}
	}
	slices.SortFunc(l, func(a, b declarer.Host) int { return compareCounters(a.Name, b.Name, customer) })
	return l
}

// compareCounters compares two hosts in the order in which they count the customer's operations.
func compareCounters(a, b, customer string) int {
	return int(int32(xxhash.Sum64String(a+customer)>>33)) - int(int32(xxhash.Sum64String(b+customer)>>33))
}

// counters returns the counting hosts that this host lists.
func (h *host) counters(zone, customer string) []declarer.Host {
	l := h.world.counters(zone, customer)
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return slices.DeleteFunc(l, func(o declarer.Host) bool { return h.unlisted[o.Name] })
}

// isAfter reports whether another host precedes this one in the order by customer.
func (h *host) isAfter(o declarer.Host, customer string) bool {
	return compareCounters(o.Name, h.Name, customer) < 0
}

// peer is a connection between two simulated hosts.
type peer struct{ from, to *host }

func (h *host) dial(ctx context.Context, d declarer.Host) (Peer, error) {
	x := h.world
	p := &peer{from: h, to: x.find(d.Name)}
	return p, p.travel(ctx)
}

// travel lets a message and its answer pass, or blocks until ctx ends if they don't arrive.
func (p *peer) travel(ctx context.Context) error {
	x := p.from.world
	x.mu.Lock()
	d := inZone
	if p.from.AvailabilityZone != p.to.AvailabilityZone {
		d = betweenZones
		x.crossing += 2
	}
	lost := p.to.dark || p.from.dark || p.to.isolated || p.from.isolated || d == betweenZones && (x.cut[p.from.AvailabilityZone] || x.cut[p.to.AvailabilityZone])
	x.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(2 * d)
	return nil
}

func (p *peer) Take(ctx context.Context, o Operation, a Assignment) (limiter.Decision, error) {
	if err := p.travel(ctx); err != nil {
		return limiter.Decision{}, err
	}
	p.keeper().Heard()
	return p.keeper().Answer(ctx, o, a), nil
}

func (p *peer) Draw(ctx context.Context, customer string, n float64) (float64, error) {
	if err := p.travel(ctx); err != nil {
		return 0, err
	}
	p.keeper().Heard()
	return p.keeper().AnswerDraw(ctx, customer, n), nil
}

func (p *peer) Lists(ctx context.Context, host string) (bool, error) {
	if err := p.travel(ctx); err != nil {
		return false, err
	}
	return p.keeper().Lists(host), nil
}

func (p *peer) keeper() *Keeper {
	p.to.world.mu.Lock()
	defer p.to.world.mu.Unlock()
	return p.to.keeper
}

func (p *peer) Return(customer string) error {
	p.keeper().AnswerReturn(customer)
	return nil
}

func (p *peer) Ended() bool { return false }
func (p *peer) Close()      {}

// source sends a customer's operations at random times until a moment.
type source struct {
	customer string
	// rate is in operations a second. hosts are those that get them.
	rate  float64
	hosts []*host
	until time.Duration
}

// send sends the operations of a source.
func (x *world) send(s source) {
	for x.now() < s.until {
		x.mu.Lock()
		d := time.Duration(x.random.ExpFloat64() / s.rate * float64(time.Second))
		h := s.hosts[x.random.IntN(len(s.hosts))]
		x.mu.Unlock()
		time.Sleep(d)
		go x.operate(s.customer, h)
	}
}

func (x *world) operate(customer string, h *host) {
	x.mu.Lock()
	k, dark := h.keeper, h.dark
	x.mu.Unlock()
	if dark {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := k.Admit(ctx, Operation{Customer: customer})
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asked[customer]++
	within := x.exact.Take(customer, x.limits[customer], x.now()).Granted
	if r != nil && within {
		x.refused[customer]++
	}
	if r != nil {
		return
	}
	x.granted[customer] = append(x.granted[customer], x.now())
}

// check reports each customer with more operations in a window than tolerated.
func (x *world) check(t *testing.T) {
	t.Helper()
	x.mu.Lock()
	defer x.mu.Unlock()
	for c, l := range x.granted {
		m := x.limits[c]
		tolerated := (m.Rate*window.Seconds()+m.Burst)*(1+overage) + slack
		n, from := 0, 0
		for i, at := range l {
			for at-l[from] > window {
				from++
			}
			n = max(n, i-from+1)
		}
		if float64(n) > tolerated {
			t.Errorf("customer %s: %d operations in a window, tolerated %.0f", c, n, tolerated)
		}
	}
}

// refusedShare returns the share of all operations that were refused below the limit, without those of a
// customer.
func (x *world) refusedShare(without string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	asked, refused := 0, 0
	for c := range x.asked {
		if c == without {
			continue
		}
		asked += x.asked[c]
		refused += x.refused[c]
	}
	return float64(refused) / float64(asked)
}

// total returns how many operations of the customers were granted, of all if none are named.
func (x *world) total(customers ...string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for c, l := range x.granted {
		if len(customers) == 0 || slices.Contains(customers, c) {
			n += len(l)
		}
	}
	return n
}

// customers returns the limits of n customers, a few of them large, and their usual demand.
func customers(n int, x float64) (limits map[string]limiter.Limit, usual map[string]float64) {
	limits, usual = make(map[string]limiter.Limit), make(map[string]float64)
	for i := range n {
		c := fmt.Sprint("c", i)
		usual[c] = 75 / float64(i+1)
		limits[c] = limiter.Limit{Rate: x * usual[c], Burst: x * usual[c]}
	}
	return limits, usual
}

// runUsual has all customers send their usual demand for d.
func (x *world) runUsual(usual map[string]float64, d time.Duration) {
	var w sync.WaitGroup
	for c, n := range usual {
		w.Go(func() { x.send(source{c, n, x.hosts, x.now() + d}) })
	}
	w.Wait()
	time.Sleep(2 * time.Second)
}

// Guards against refusals below the limit. Both ways refuse next to nothing at the usual demand; counted
// by zone, the messages between zones are a fraction of those of one counter for all zones.
func TestUsualDemandIsAdmitted(t *testing.T) {
	var crossing [2]int
	for _, w := range []way{byZone, central} {
		synctest.Test(t, func(t *testing.T) {
			limits, usual := customers(20, 1.6)
			x := newWorld(w, limits)
			x.runUsual(usual, 30*time.Second)
			x.check(t)
			if s := x.refusedShare(""); s > 0.001 {
				t.Errorf("way %d: share %.5f refused", w, s)
			}
			crossing[w] = x.crossing
			t.Logf("way %d: share %.5f of %d operations refused, %d messages between zones", w, x.refusedShare(""), x.total(), x.crossing)
		})
	}
	if crossing[byZone]*2 > crossing[central] {
		t.Errorf("%d messages between zones counted by zone, %d counted in one place", crossing[byZone], crossing[central])
	}
}

// Guards against a hot customer that exceeds its limit, or that costs it what others are owed.
func TestHotCustomerIsHeldToItsLimit(t *testing.T) {
	for _, w := range []way{byZone, central} {
		synctest.Test(t, func(t *testing.T) {
			limits, usual := customers(20, 1.6)
			x := newWorld(w, limits)
			go x.send(source{"c2", 7.5 * usual["c2"], x.hosts, 15 * time.Second})
			x.runUsual(usual, 20*time.Second)
			x.check(t)
			hot := float64(x.total("c2")) / (limits["c2"].Rate * 15)
			if hot < 0.95 {
				t.Errorf("way %d: hot customer got %.2f of its limit", w, hot)
			}
			if s := x.refusedShare("c2"); s > 0.001 {
				t.Errorf("way %d: share %.5f of the others refused", w, s)
			}
		})
	}
}

// Guards against limits that are exceeded while hosts that count fail, restart without what they knew,
// or are cut off, with a customer that uses whatever it gets.
func TestLimitHoldsThroughFailures(t *testing.T) {
	for name, fault := range map[string]func(x *world){
		"a zone is cut off": func(x *world) {
			x.cutOff("z1")
		},
		"all zones are cut off": func(x *world) {
			for z := range x.zones {
				x.cutOff(fmt.Sprint("z", z))
			}
		},
		"a counting host goes dark": func(x *world) {
			x.darken(x.counters("z1", "c0")[0].Name)
		},
		"a counting host is paused": func(x *world) {
			x.pause(x.counters("z1", "c0")[0].Name)
		},
		"counting hosts are paused again and again": func(x *world) {
			for range 3 {
				for z := range x.zones {
					go x.pause(x.counters(fmt.Sprint("z", z), "c0")[0].Name)
				}
				time.Sleep(2500 * time.Millisecond)
			}
		},
		"a counting host is isolated": func(x *world) {
			h := x.find(x.counters("z1", "c0")[0].Name)
			x.mu.Lock()
			defer x.mu.Unlock()
			h.isolated = true
		},
		"all hosts lose power": func(x *world) {
			for _, h := range x.hosts {
				h.start()
			}
		},
		"half of the hosts restart": func(x *world) {
			for i, h := range x.hosts {
				if i%2 == 0 {
					h.start()
				}
			}
		},
	} {
		t.Run(name+", few hosts", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newWorldOf(byZone, 2, 2, map[string]limiter.Limit{"c0": {Rate: 12, Burst: 12}})
				go func() {
					time.Sleep(6 * time.Second)
					fault(x)
				}()
				x.runUsual(map[string]float64{"c0": 60}, 16*time.Second)
				x.check(t)
			})
		})
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits, usual := customers(6, 1.6)
				x := newWorld(byZone, limits)
				go x.send(source{"c0", 5 * usual["c0"], x.hosts, 16 * time.Second})
				go x.send(source{"c3", 5 * usual["c3"], x.hosts, 16 * time.Second})
				go func() {
					time.Sleep(6 * time.Second)
					fault(x)
				}()
				x.runUsual(usual, 16*time.Second)
				x.check(t)
			})
		})
	}
}

// Guards against two hosts that count for one zone since their lists of hosts differ, while a watch of the
// hosts isn't answered, with a customer that uses whatever it gets.
func TestHostsWithDifferentListsCountOnce(t *testing.T) {
	for name, unlist := range map[string]func(x *world, order []declarer.Host){
		"a host doesn't list itself": func(x *world, l []declarer.Host) {
			x.unlist(l[0].Name, l[0].Name)
		},
		"only the second host lists the first": func(x *world, l []declarer.Host) {
			for _, h := range l {
				if h.Name != l[1].Name {
					x.unlist(h.Name, l[0].Name)
				}
			}
		},
		"only other zones list the first": func(x *world, l []declarer.Host) {
			for _, h := range l {
				x.unlist(h.Name, l[0].Name)
			}
		},
		"the first host lists itself and no other host of its zone does": func(x *world, l []declarer.Host) {
			for _, h := range l[1:] {
				x.unlist(h.Name, l[0].Name)
			}
		},
		"only the second host doesn't list the first": func(x *world, l []declarer.Host) {
			x.unlist(l[1].Name, l[0].Name)
		},
		"other zones don't list the first": func(x *world, l []declarer.Host) {
			for _, h := range x.hosts {
				if h.AvailabilityZone != l[0].AvailabilityZone {
					x.unlist(h.Name, l[0].Name)
				}
			}
		},
	} {
		for _, hosts := range []int{2, 4} {
			t.Run(fmt.Sprintf("%s, %d hosts a zone", name, hosts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newWorldOf(byZone, 2, hosts, map[string]limiter.Limit{"c0": {Rate: 12, Burst: 12}})
					for z := range x.zones {
						unlist(x, x.counters(fmt.Sprint("z", z), "c0"))
					}
					x.runUsual(map[string]float64{"c0": 60}, 16*time.Second)
					x.check(t)
					if n := x.total(); n < 16*12*9/10 {
						t.Errorf("%d operations ran of a customer with a limit of 12 a second, in 16 s", n)
					}
				})
			})
		}
	}
}

// Guards against a host that counts on while it leaves, after the next one has begun to count.
func TestLeavingHostCountsWhileItIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newWorldOf(byZone, 2, 3, map[string]limiter.Limit{"c0": {Rate: 12, Burst: 12}})
		go func() {
			time.Sleep(6 * time.Second)
			for z := range x.zones {
				l := x.counters(fmt.Sprint("z", z), "c0")
				x.find(l[0].Name).keeper.Leave()
				time.Sleep(time.Second)
				x.unlist(l[1].Name, l[0].Name)
			}
		}()
		x.runUsual(map[string]float64{"c0": 60}, 16*time.Second)
		x.check(t)
	})
}

// Guards against a host that waits for each of its zone's hosts in turn before it counts, while all of them
// are without power.
func TestHostBesideDarkOnesCountsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newWorldOf(byZone, 2, 24, map[string]limiter.Limit{"c": {Rate: 100, Burst: 100}})
		l := x.counters("z0", "c")
		for _, h := range l[1:] {
			x.darken(h.Name)
		}
		began := time.Now()
		for range 20 {
			if r := x.find(l[0].Name).keeper.Admit(t.Context(), Operation{Customer: "c"}); r != nil {
				t.Errorf("refused: %+v", r)
			}
		}
		// It looks for any host that answers first, in its zone and then outside.
		if d, most := time.Since(began), 2*drawTimeout+zoneContacts*passTimeout; d > most {
			t.Errorf("20 operations took %v, want %v at most", d, most)
		}
	})
}

// Guards against waits for a counting host that has failed: after the first one the next host of the
// zone is asked at once.
func TestDarkCounterIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newWorld(byZone, map[string]limiter.Limit{"c": {Rate: 100, Burst: 100}})
		time.Sleep(time.Second)
		l := x.counters("z0", "c")
		x.darken(l[0].Name)
		asking := x.find(l[hostsPerZone-1].Name)
		var lost []string
		asking.keeper.peers.lost = func(h string, _ error) { lost = append(lost, h) }
		for i, most := range []time.Duration{takeTimeout + 10*inZone, 10 * inZone, 10 * inZone} {
			began := time.Now()
			if r := asking.keeper.Admit(t.Context(), Operation{Customer: "c"}); r != nil || time.Since(began) > most {
				t.Errorf("operation %d: %+v after %v", i, r, time.Since(began))
			}
		}
		time.Sleep(time.Second) // until draws have ended
		asking.keeper.Admit(t.Context(), Operation{Customer: "c"})
		time.Sleep(time.Second)
		if len(lost) != 1 || lost[0] != l[0].Name {
			t.Errorf("reported as lost: %q, want the dark host once", lost)
		}
	})
}

// Guards against operations that run uncounted: a host that reaches none that counts refuses them, and
// says when to come back.
func TestUnreachableCountersRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newWorld(byZone, map[string]limiter.Limit{"c": {Rate: 100, Burst: 100}, "free": {}})
		l := x.counters("z0", "c")
		for _, h := range l[:hostsPerZone-1] {
			x.darken(h.Name)
		}
		asking := x.find(l[hostsPerZone-1].Name)
		if r := asking.keeper.Admit(t.Context(), Operation{Customer: "c"}); r == nil || !r.Unreachable || r.RetryAfter <= 0 {
			t.Errorf("refusal %+v", r)
		}
		for _, c := range []string{"free", "unknown"} {
			if r := asking.keeper.Admit(t.Context(), Operation{Customer: c}); r != nil {
				t.Errorf("%s, without a limit: %+v", c, r)
			}
		}
	})
}

// Guards against a limit that operations use up which have not run, as no server had a connection.
func TestReturnedTokenIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newWorld(byZone, map[string]limiter.Limit{"c": {Rate: 0.001, Burst: 36}})
		for _, h := range x.hosts[:hostsPerZone] {
			for i := range 100 {
				if r := h.keeper.Admit(t.Context(), Operation{Customer: "c"}); r != nil {
					t.Fatalf("operation %d refused: %+v", i, r)
				}
				h.keeper.Return("c")
			}
		}
	})
}

// Guards against accounts that are kept for customers that are no longer declared.
func TestForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newWorld(byZone, map[string]limiter.Limit{"c": {Rate: 1, Burst: 1}})
		k := x.hosts[0].keeper
		time.Sleep(10 * time.Second)
		k.Take(t.Context(), Operation{Customer: "c"}, AssignmentOpen)
		delete(x.limits, "c")
		k.Forget()
		if d := k.Take(t.Context(), Operation{Customer: "c"}, AssignmentOpen); !d.Granted {
			t.Errorf("customer that this host doesn't know: %+v", d)
		}
	})
}
