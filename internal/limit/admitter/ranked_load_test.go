package admitter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// rankedRoute is a kind of requests of the load tests.
type rankedRoute struct {
	// weight is the route's part of the requests, and worth that of an answer within the objective.
	weight, worth      int
	work               time.Duration
	objective, timeout time.Duration
}

// rankedRoutes are those of a database group: closing a sale, looking up a price, loyalty points.
var rankedRoutes = []rankedRoute{
	{weight: 1, worth: 4, work: 3 * ms, objective: 250 * ms, timeout: 800 * ms},
	{weight: 3, worth: 1, work: 15 * ms, objective: 500 * ms, timeout: 1200 * ms},
	{weight: 3, worth: 1, work: 9 * ms, objective: time.Second, timeout: 800 * ms},
}

// rankedSlots is the number of slots of the load tests.
const rankedSlots = 4

// loadSeeds are the seeds that each load is played with.
var loadSeeds = []uint64{0, 1, 2}

// waitPart is the part of an objective that a request may wait; the rest is for its work.
const waitPart = 4

// rankedCustomer is a customer of the load tests.
type rankedCustomer struct {
	name string
	// weight is the customer's part of the requests, which is its share too.
	weight   int
	priority uint8
}

// rankedLoad is a random load on a queue in virtual time.
type rankedLoad struct {
	q         Queue
	customers []rankedCustomer
	// load is the load by route relative to the capacity at a time, and factor that of a customer
	// relative to its usual one, always 1 if nil.
	load   func(route int, at time.Duration) float64
	factor func(customer int, at time.Duration) float64
	length time.Duration
	seed   uint64

	now     time.Duration
	events  rankedEvents
	results []*rankedResult
}

// rankedResult is one request and its outcome.
type rankedResult struct {
	entry           Entry
	route, customer int
	at, endedAt     time.Duration
	work            time.Duration
	ran             bool
}

type rankedEvent struct {
	at     time.Duration
	do     func()
	number int
}

// rankedEvents is a heap of events by time.
type rankedEvents []rankedEvent

func (l rankedEvents) Len() int      { return len(l) }
func (l rankedEvents) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l rankedEvents) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].number < l[j].number
}
func (l *rankedEvents) Push(x any) { *l = append(*l, x.(rankedEvent)) }
func (l *rankedEvents) Pop() any {
	n := len(*l) - 1
	e := (*l)[n]
	*l = (*l)[:n]
	return e
}

// steady returns a load that is the same for all routes and times.
func steady(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

// workPerWeight is the work of rankedRoutes weighted by their parts of the requests.
func workPerWeight() time.Duration {
	var w time.Duration
	for _, r := range rankedRoutes {
		w += time.Duration(r.weight) * r.work
	}
	return w
}

func (l *rankedLoad) after(d time.Duration, do func()) {
	heap.Push(&l.events, rankedEvent{at: l.now + d, do: do, number: len(l.events) + len(l.results)<<16})
}

// run plays the load and returns all requests in the order of their arrival.
func (l *rankedLoad) run() []*rankedResult {
	l.q.Slots = rankedSlots
	if l.q.Teams != nil {
		l.q.SetTeams(l.q.Teams, 0)
	}
	if len(l.customers) == 0 {
		l.customers = []rankedCustomer{{name: "a", weight: 1}}
	}
	if l.factor == nil {
		l.factor = func(int, time.Duration) float64 { return 1 }
	}
	weights := 0
	for _, c := range l.customers {
		weights += c.weight
	}
	for r := range rankedRoutes {
		for c := range l.customers {
			// Each has its own random numbers, so that a change of one leaves the others as they are.
			random := rand.New(rand.NewPCG(uint64(r)+l.seed<<8, uint64(c)))
			l.arrive(random, r, c, float64(l.customers[c].weight)/float64(weights))
		}
	}
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(rankedEvent)
		l.now = e.at
		e.do()
	}
	return l.results
}

// arrive schedules the requests of a customer, which has the given part of the load, for a route.
func (l *rankedLoad) arrive(random *rand.Rand, route, customer int, part float64) {
	rate := part * l.load(route, l.now) * l.factor(customer, l.now) * rankedSlots * float64(rankedRoutes[route].weight) / workPerWeight().Seconds()
	// With a rate of zero, the load is looked up again after a while.
	gap, offer := 100*ms, false
	if rate > 0 {
		gap, offer = time.Duration(random.ExpFloat64()/rate*float64(time.Second)), true
		// A longer gap would keep a load that changes meanwhile out.
		if gap > 500*ms {
			gap, offer = 500*ms, false
		}
	}
	if l.now+gap > l.length {
		return
	}
	l.after(gap, func() {
		if offer {
			l.offer(random, route, customer)
		}
		l.arrive(random, route, customer, part)
	})
}

func (l *rankedLoad) offer(random *rand.Rand, route, customer int) {
	r, c := rankedRoutes[route], l.customers[customer]
	x := &rankedResult{route: route, customer: customer, at: l.now}
	x.work = time.Duration(float64(r.work) * (0.5 + random.Float64()))
	x.entry = Entry{
		Team: c.name, Class: ClassRead, Importance: RankedImportance(uint8(route), c.priority), Owner: x,
		Deadline: l.now + r.timeout, Objective: l.now + r.objective/waitPart,
	}
	l.results = append(l.results, x)
	l.q.Offer(&x.entry, l.now)
	l.settle()
	if x.entry.State == StateWaiting {
		l.after(r.timeout, func() { l.q.Expire(&x.entry, l.now); l.settle() })
	}
}

// settle takes in the decisions of the queue's last call.
func (l *rankedLoad) settle() {
	for _, e := range l.q.Refused {
		e.Owner.(*rankedResult).endedAt = l.now
	}
	for _, e := range slices.Clone(l.q.Granted) {
		x := e.Owner.(*rankedResult)
		x.ran = true
		l.after(x.work, func() {
			x.endedAt = l.now
			l.q.Release(e, l.now)
			l.settle()
		})
	}
}

// inTime reports whether the request was answered within its objective and timeout.
func (x *rankedResult) inTime() bool {
	r := rankedRoutes[x.route]
	return x.ran && x.endedAt-x.at <= min(r.objective, r.timeout)
}

// rankedSum is what became of the requests that match a condition. Worth is that of the answers in time, and
// offered what it would be if all were in time.
type rankedSum struct {
	count, inTime, refused, refusedPromptly, worth, offered int
}

func sumOf(l []*rankedResult, match func(x *rankedResult) bool) rankedSum {
	var s rankedSum
	for _, x := range l {
		if !match(x) {
			continue
		}
		s.count++
		s.offered += rankedRoutes[x.route].worth
		if x.inTime() {
			s.inTime++
			s.worth += rankedRoutes[x.route].worth
		}
		if !x.ran {
			s.refused++
			if x.endedAt-x.at <= 50*ms {
				s.refusedPromptly++
			}
		}
	}
	return s
}

func (s rankedSum) partInTime() float64 { return float64(s.inTime) / float64(max(1, s.count)) }

func everyResult(*rankedResult) bool { return true }

func ofRoute(r int) func(*rankedResult) bool {
	return func(x *rankedResult) bool { return x.route == r }
}

// between returns a condition for requests of a route that arrive from start on and before end.
func between(r int, start, end time.Duration) func(*rankedResult) bool {
	return func(x *rankedResult) bool { return x.route == r && x.at >= start && x.at < end }
}

// checkLoad checks the most important route, and how soon refusals are sent.
func checkLoad(t *testing.T, load float64, l []*rankedResult) {
	t.Helper()
	if p := sumOf(l, ofRoute(0)).partInTime(); p < 0.99 {
		t.Errorf("load %.1f: %.4f of the most important requests in time, want 0.99", load, p)
	}
	// A few refusals say nothing of nine in ten.
	if s := sumOf(l, everyResult); s.refused >= 50 && s.refusedPromptly*10 < s.refused*9 {
		t.Errorf("load %.1f: %d of %d refusals within 50 ms, want 90%%", load, s.refusedPromptly, s.refused)
	}
	for _, x := range l {
		if !x.ran && (x.entry.State != StateRefused || x.entry.RetryAfter < minimumRetryAfter) {
			t.Fatalf("load %.1f: request that didn't run is in state %v, retry after %v", load, x.entry.State, x.entry.RetryAfter)
		}
	}
}

// Guards against an overload that costs the most important requests as much as the others, against
// refusals that are held back, and against the collapse of what the answers are worth.
func TestMostImportantAreServedAtAnyLoad(t *testing.T) {
	for _, name := range []string{"one customer", "many customers"} {
		for _, seed := range loadSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				worth := map[float64]int{}
				for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
					l := loadOf(name, seed, steady(load), 20*time.Second).run()
					checkLoad(t, load, l)
					worth[load] = sumOf(l, everyResult).worth
					t.Logf("load %.1f: worth %d; in time by route %.4f %.4f %.4f; %+v", load, worth[load], sumOf(l, ofRoute(0)).partInTime(),
						sumOf(l, ofRoute(1)).partInTime(), sumOf(l, ofRoute(2)).partInTime(), sumOf(l, everyResult))
				}
				if worth[3]*100 < worth[1]*95 {
					t.Errorf("worth %d at 3 times the capacity, below 95%% of the %d at 1", worth[3], worth[1])
				}
			})
		}
	}
}

// loadOf returns a load of one customer or of many with shares.
func loadOf(customers string, seed uint64, load func(int, time.Duration) float64, length time.Duration) *rankedLoad {
	l := &rankedLoad{load: load, length: length, seed: seed}
	if customers == "many customers" {
		l.customers, l.q.Teams = manyCustomers()
	}
	return l
}

// Guards against a burst of one route that costs more important ones, and that outlasts its cause.
func TestBursts(t *testing.T) {
	tests := []struct {
		name      string
		customers string
		route     int
		factor    float64
		length    time.Duration
	}{
		{name: "least important", route: 2, factor: 2.5, length: 6 * time.Second},
		{name: "least important, many customers", customers: "many customers", route: 2, factor: 2.5, length: 6 * time.Second},
		{name: "most important", route: 0, factor: 1.8, length: 4 * time.Second},
	}
	const start, end = 4 * time.Second, 16 * time.Second
	for _, tt := range tests {
		for _, seed := range loadSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", tt.name, seed), func(t *testing.T) {
				over := start + tt.length
				burst := func(route int, at time.Duration) float64 {
					if route == tt.route && at >= start && at < over {
						return 0.9 * tt.factor
					}
					return 0.9
				}
				l, usual := loadOf(tt.customers, seed, burst, end).run(), loadOf(tt.customers, seed, steady(0.9), end).run()
				checkLoad(t, 0.9, l)
				for r := range rankedRoutes {
					during := sumOf(l, between(r, start, over)).partInTime()
					t.Logf("route %d: in time %.4f during the burst, %.4f from 2 s after its end, %.4f without it", r, during,
						sumOf(l, between(r, over+2*time.Second, end)).partInTime(), sumOf(usual, between(r, over+2*time.Second, end)).partInTime())
					if r < tt.route && during < 0.99 {
						t.Errorf("route %d: %.4f in time during a burst of route %d, want 0.99", r, during, tt.route)
					}
				}
				after := func(x *rankedResult) bool { return x.at >= over+2*time.Second }
				if a, b := sumOf(l, after), sumOf(usual, after); a.worth*b.offered*100 < b.worth*a.offered*98 {
					t.Errorf("worth %d of %d from 2 s after the end of the burst, without it %d of %d", a.worth, a.offered, b.worth, b.offered)
				}
			})
		}
	}
}

// manyCustomers returns 81 customers, of which each ninth is large.
func manyCustomers() ([]rankedCustomer, map[string]TeamLimit) {
	var l []rankedCustomer
	shares := map[string]TeamLimit{}
	for i := range 81 {
		c := rankedCustomer{name: "c" + strconv.Itoa(i), weight: 100, priority: uint8(i % 2)}
		if i%9 == 0 {
			c.weight = 600
		}
		l = append(l, c)
		shares[c.name] = TeamLimit{Share: c.weight}
	}
	return l, shares
}

// Guards against a customer that sends ten times its usual load at the cost of the other eighty.
func TestFloodOfOneCustomerCostsOthersLittle(t *testing.T) {
	for _, flooding := range []int{0, 1, 2, 9} {
		for _, seed := range loadSeeds {
			others := func(factor float64) rankedSum {
				l := loadOf("many customers", seed, steady(0.8), 20*time.Second)
				l.factor = func(c int, _ time.Duration) float64 {
					if c == flooding {
						return factor
					}
					return 1
				}
				return sumOf(l.run(), func(x *rankedResult) bool { return x.customer != flooding })
			}
			usual, flooded := others(1), others(10)
			t.Logf("customer %d, seed %d: usual %+v, flooded %+v", flooding, seed, usual, flooded)
			if a, b := usual.partInTime(), flooded.partInTime(); b < 0.99*a {
				t.Errorf("flood of customer %d, seed %d: %.4f of the others' requests in time, %.4f without it", flooding, seed, b, a)
			}
		}
	}
}
