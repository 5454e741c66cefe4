package gossiper

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

const (
	interval     = 500 * time.Millisecond
	latency      = 5 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	overhead     = 28 + 30 + 45 // bytes per datagram: UDP and IP headers, QUIC, the sender in the envelope
	ackPacket    = 28 + 30      // bytes per acknowledgement: UDP and IP headers, QUIC
)

// fleet simulates several hosts and the network between them in virtual time.
type fleet struct {
	now   time.Duration
	queue events
	hosts map[string]*node
	names []string
	// blocked reports whether no message gets from a to b.
	blocked func(a, b *node) bool
	// lose reports whether the next datagram is lost.
	lose func() bool
	// order numbers the scheduled events.
	order int
	// sent counts the datagrams that were sent.
	sent int
}

// node is a simulated host.
type node struct {
	*Gossiper
	// up is false once the host has failed.
	up bool
	// bytes counts the bytes that the host has sent, including acknowledgements.
	bytes int
}

// event is a function to run at a virtual time. Events of the same time run in the order in which
// they were scheduled.
type event struct {
	at       time.Duration
	order    int
	callback func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

func newFleet(zones, perZone int) *fleet {
	f := &fleet{
		hosts:   map[string]*node{},
		blocked: func(_, _ *node) bool { return false },
		lose:    func() bool { return false },
	}
	for z := range zones {
		for h := range perZone {
			f.start(fmt.Sprintf("host-%d-%d", z, h), fmt.Sprintf("zone-%d", z), 1)
		}
	}
	return f
}

func (f *fleet) start(name, zone string, incarnation uint64) *node {
	n := &node{up: true, Gossiper: &Gossiper{
		Self: declarer.Member{
			Host: name, AvailabilityZone: zone, Region: "region", Incarnation: incarnation,
			Address: fmt.Sprintf("10.0.0.1:%d", incarnation),
		},
		Interval: interval, SuspectAfter: 3 * interval, ZoneInterval: 5 * time.Second, ForgetAfter: time.Hour,
	}}
	if f.hosts[name] == nil {
		f.names = append(f.names, name)
	}
	f.hosts[name] = n
	n.Start(f.now)
	n.SetHints(f.names)
	f.schedule(tickInterval, func() { f.tick(n) })
	return n
}

func (f *fleet) tick(n *node) {
	if !n.up {
		return
	}
	f.perform(n, n.Tick(f.now))
	f.schedule(tickInterval, func() { f.tick(n) })
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now + d, order: f.order, callback: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.callback()
	}
	f.now = end
}

// reachable returns the node of a host if a can exchange messages with it, else nil.
func (f *fleet) reachable(a *node, host string) *node {
	b := f.hosts[host]
	if b == nil || !b.up || !a.up || f.blocked(a, b) || f.blocked(b, a) {
		return nil
	}
	return b
}

func (f *fleet) perform(n *node, l []Action) {
	for _, a := range l {
		switch a.Kind {
		case Send:
			f.send(n, a)
		case Sync:
			f.sync(n, a.To)
		case Probe:
			m := f.reachable(n, a.To)
			isReachable := m != nil && m.Self.Incarnation >= a.Subject.Incarnation
			f.schedule(time.Second/2, func() { f.perform(n, n.RecordObservation(f.now, a.Subject, n.Self.Host, isReachable)) })
		case Observe:
			f.observe(n, a)
		}
	}
}

func (f *fleet) send(n *node, a Action) {
	b, err := encoder.Marshal(a.Message)
	if err != nil {
		panic(err)
	}
	f.sent++
	n.bytes += len(b) + overhead
	to := f.hosts[a.To]
	if to == nil || !to.up || !n.up || f.blocked(n, to) || f.lose() {
		return
	}
	to.bytes += ackPacket
	from, inc := n.Self.Host, n.Self.Incarnation
	f.schedule(latency, func() {
		if to.up && f.hosts[a.To] == to {
			f.perform(to, to.Receive(f.now, from, inc, a.Message))
		}
	})
}

func (f *fleet) sync(n *node, host string) {
	q := n.SyncRequest()
	f.schedule(latency, func() {
		to := f.reachable(n, host)
		if to == nil {
			return
		}
		a, l := to.AnswerSync(f.now, q)
		f.perform(to, l)
		b, err := encoder.Marshal(a)
		if err != nil {
			panic(err)
		}
		to.bytes += len(b) + overhead
		f.schedule(latency, func() { f.perform(n, n.ApplySyncAnswer(f.now, host, a)) })
	})
}

func (f *fleet) observe(n *node, a Action) {
	o := f.reachable(n, a.To)
	if o == nil {
		return
	}
	m := f.reachable(o, a.Subject.Host)
	isReachable := m != nil && m.Self.Incarnation >= a.Subject.Incarnation
	f.schedule(time.Second/2, func() { f.perform(n, n.RecordObservation(f.now, a.Subject, a.To, isReachable)) })
}

// wrongEntry is an entry of a running host's view that differs from the state of the fleet.
type wrongEntry struct {
	viewer, subject string
	entry           declarer.Member
}

func (f *fleet) wrongEntries() []wrongEntry {
	var l []wrongEntry
	for _, a := range f.names {
		n := f.hosts[a]
		if !n.up {
			continue
		}
		for _, b := range f.names {
			m, ok := n.Find(b)
			live := ok && m.State != declarer.Dead
			if live != f.hosts[b].up || (live && m.Incarnation != f.hosts[b].Self.Incarnation) {
				l = append(l, wrongEntry{a, b, m})
			}
		}
	}
	return l
}

// converge runs the fleet until all views are correct and returns how long it took.
func (f *fleet) converge(t testing.TB, limit time.Duration) time.Duration {
	t.Helper()
	b := f.now
	for len(f.wrongEntries()) > 0 {
		if f.now-b > limit {
			w := f.wrongEntries()
			t.Fatalf("after %s %d entries are wrong, the first: %+v", limit, len(w), w[0])
		}
		f.run(tickInterval)
	}
	return f.now - b
}
