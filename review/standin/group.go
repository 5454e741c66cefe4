package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// entry is one committed write.
type entry struct {
	id, item, data string
}

// group is one service with its instances. Its exported fields are set before use.
type group struct {
	name        string
	sync        int
	promoteTime time.Duration
	connections int
	record      *record

	mu        sync.Mutex
	changed   *sync.Cond
	instances []*instance
	primary   *instance
	term      uint64
	// token is the highest fencing token of an order so far.
	token uint64
	// violations describes each promotion of an instance that lacked acknowledged commits.
	violations []string
	promotions int
}

func newGroup(name string, synchronous int, r *record) *group {
	g := &group{name: name, sync: synchronous, promoteTime: 600 * time.Millisecond, connections: 16, record: r, term: 1}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// add adds an instance; the first one is the primary.
func (g *group) add(id, zone string, lag, wire time.Duration) *instance {
	i := &instance{group: g, id: id, zone: zone, lag: lag, wire: wire, term: 1, slots: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	if g.primary == nil {
		g.primary = i
	}
	g.instances = append(g.instances, i)
	return i
}

// sampleLag draws how long a commit takes to the replica: log-normal as in the site file (spread 0.6, at
// most 120 ms).
func sampleLag(mean time.Duration) time.Duration {
	const spread = 0.6
	f := math.Exp(rand.NormFloat64()*spread - spread*spread/2)
	return min(time.Duration(float64(mean)*f), 120*time.Millisecond)
}

// ship sends the primary's whole log to each replica, which receives it later. The mutex is held.
func (g *group) ship() {
	p := g.primary
	l := slices.Clip(p.log)
	for _, r := range g.instances {
		if r != p && !r.down {
			g.shipTo(r, p, l)
		}
	}
}

// shipTo sends a log to one replica. What the primary hasn't put on the wire when it crashes is lost; what
// is on the wire arrives. The mutex is held.
func (g *group) shipTo(r, p *instance, l []entry) {
	now := time.Now()
	at := now.Add(sampleLag(r.lag))
	if at.Before(r.nextAt) {
		at = r.nextAt
	}
	r.nextAt = at
	term, boot := g.term, r.boots
	sendAt := at.Add(-r.wire)
	time.AfterFunc(sendAt.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if p.down || g.primary != nil && g.primary != p || g.term != term {
			return
		}
		time.AfterFunc(time.Until(at), func() { g.receive(r, term, boot, l) })
	})
}

// receive adds a log to a replica's.
func (g *group) receive(r *instance, term uint64, boot int, l []entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.down || r.boots != boot || g.term != term || r == g.primary {
		return
	}
	if term > r.term || len(l) > len(r.log) {
		r.term, r.log = term, l
		g.changed.Broadcast()
	}
}

// commit appends to the primary's log and waits until enough replicas have received it. It returns an error
// code if the instance lost the lead or crashed meanwhile. The mutex is held.
func (g *group) commit(i *instance, l []entry) string {
	boot := i.boots
	i.log = append(i.log, l...)
	n, term := len(i.log), g.term
	for _, e := range l {
		g.record.add("run: %s of %s commits %s as %d.%d", i.id, g.name, e.id, term, n+1)
	}
	g.ship()
	for {
		held := 0
		for _, r := range g.instances {
			if r != i && r.term == term && len(r.log) >= n {
				held++
			}
		}
		switch {
		case i.boots != boot || i.down:
			return "-"
		case g.primary != i || g.term != term:
			return "FAILED"
		case held >= g.sync:
			return ""
		}
		g.changed.Wait()
	}
}

// order carries out an order to promote an instance, and returns the HTTP status.
func (g *group) order(id, holder string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := slices.IndexFunc(g.instances, func(i *instance) bool { return i.id == id })
	if n < 0 || g.instances[n].down || token < g.token {
		g.record.add("order refused: %s to %s, holder %s, token %d, seen %d", g.name, id, holder, token, g.token)
		return 409
	}
	g.token = token
	i := g.instances[n]
	if i == g.primary {
		g.record.add("order without effect: %s is the primary of %s, holder %s, token %d", id, g.name, holder, token)
		return 200
	}
	g.record.add("order accepted: %s to %s, holder %s, token %d", g.name, id, holder, token)
	boot := i.boots
	time.AfterFunc(g.promoteTime, func() { g.takeOver(i, boot) })
	return 200
}

// takeOver makes i the leader of the next term with what it has received.
func (g *group) takeOver(i *instance, boot int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.down || i.boots != boot || i == g.primary {
		return
	}
	has := make(map[string]bool, len(i.log))
	for _, e := range i.log {
		has[e.id] = true
	}
	lost := g.record.acknowledgedIn(g.name, has)
	holders := g.holders(lost)
	g.promotions++
	old := "none"
	if g.primary != nil {
		old = fmt.Sprintf("%s (down %t, log %d)", g.primary.id, g.primary.down, len(g.primary.log))
	}
	g.term++
	g.primary, i.term = i, g.term
	for _, o := range g.instances {
		if o != i {
			o.log = o.log[:min(len(o.log), len(i.log)):min(len(o.log), len(i.log))]
			o.nextAt = time.Time{}
		}
	}
	i.log = slices.Clip(i.log)
	g.record.add("promoted: %s leads %s in term %d with %d entries, old primary %s, acknowledged commits that its log lacks: %d", i.id, g.name, g.term, len(i.log), old, len(lost))
	if len(lost) > 0 {
		v := fmt.Sprintf("LOST: %s of %s was promoted without %d acknowledged commits: %v", i.id, g.name, len(lost), holders)
		g.record.add("%s", v)
		g.violations = append(g.violations, v)
		g.record.forget(g.name, lost)
	}
	g.ship()
	g.changed.Broadcast()
}

// holders returns the ids of commits, each with the instances that had it. The mutex is held.
func (g *group) holders(ids []string) []string {
	var l []string
	for _, id := range ids {
		at := id + " held by"
		for _, i := range g.instances {
			if slices.ContainsFunc(i.log, func(e entry) bool { return e.id == id }) {
				at += " " + i.id
			}
		}
		l = append(l, at)
	}
	return l
}

// crash ends the process of an instance, which keeps its log.
func (g *group) crash(i *instance) {
	g.mu.Lock()
	i.down = true
	i.boots++
	g.record.add("fault: %s of %s crashes", i.id, g.name)
	g.changed.Broadcast()
	g.mu.Unlock()
	i.close()
}

// restart starts a crashed instance again. It is a replica if another one was promoted meanwhile.
func (g *group) restart(i *instance) error {
	g.mu.Lock()
	i.down = false
	i.born = time.Now().UnixMilli()
	g.record.add("fault over: %s of %s runs again", i.id, g.name)
	if g.primary != nil && g.primary != i && !g.primary.down {
		g.shipTo(i, g.primary, slices.Clip(g.primary.log))
	} else if g.primary == i {
		g.ship()
	}
	g.mu.Unlock()
	return i.listen()
}

func (g *group) leader() *instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}
