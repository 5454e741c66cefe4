package main

import (
	"fmt"
	"sync"
	"time"
)

// The places of a small deployment, as in the site file.
var (
	twoRegions = []place{{"ost-wien", "ost"}, {"ost-graz", "ost"}, {"west-ibk", "west"}}
	ownRegions = []place{{"ost-wien", "ost"}, {"nord-linz", "nord"}, {"west-ibk", "west"}}
)

const (
	meanLag   = 20 * time.Millisecond
	zoneWire  = 900 * time.Microsecond
	farWire   = 8 * time.Millisecond
	writers   = 9
	minimumOK = 200
)

// prepare starts a deployment of three hosts and three groups of three instances with sync_replicas 1.
func prepare(d *deployment, places []place, paths bool) error {
	d.places = places
	var routes []map[string]any
	for k := range 3 {
		g := newGroup(fmt.Sprintf("svc%d", k), 1, d.record)
		for j := range 3 {
			wire := zoneWire
			if places[j].region != places[0].region {
				wire = farWire
			}
			g.add(fmt.Sprintf("i-%d%c", k, 'a'+j), places[j].zone, meanLag, wire)
		}
		d.groups = append(d.groups, g)
		n := fmt.Sprintf("db%d", k)
		routes = append(routes, map[string]any{"name": "r-" + n, "host": n, "route_type": "primary", "timeout_ms": 800, "slo_ms": 300, "backend": g.name, "priority": 1, "max_staleness_ms": 1500})
	}
	d.routes, d.usesPaths = routes, paths
	if err := d.start(3); err != nil {
		return err
	}
	d.startWriters(writers)
	time.Sleep(5 * time.Second)
	for _, g := range d.groups {
		if n := d.record.acknowledged(g.name); n < minimumOK {
			return errCase(fmt.Sprintf("only %d commits of %s were acknowledged in the first 5 s", n, g.name))
		}
	}
	return nil
}

// violations returns the broken rules that the groups have seen.
func (d *deployment) violations() []string {
	var l []string
	for _, g := range d.groups {
		g.mu.Lock()
		l = append(l, g.violations...)
		g.mu.Unlock()
	}
	return l
}

// partialCut cuts one of three entry hosts off from a primary, with refused connections. The primary works,
// and the two others reach it.
func partialCut(d *deployment, trouble bool) ([]string, error) {
	const rounds, cut, pause = 13, 4 * time.Second, 2 * time.Second
	if err := prepare(d, ownRegions, true); err != nil {
		return nil, err
	}
	for n := range rounds {
		g := d.groups[n%len(d.groups)]
		p := d.hosts[0].paths[g.leader().id]
		if trouble {
			d.record.say("fault: %s can't connect to %s, the primary of %s, and its connections there are reset", d.hosts[0].name, g.leader().id, g.name)
			p.cut()
		}
		time.Sleep(cut)
		if trouble {
			d.record.say("fault over")
			if err := p.listen(); err != nil {
				return nil, err
			}
		}
		time.Sleep(pause)
		if v := d.violations(); len(v) > 0 {
			return v, nil
		}
	}
	return d.violations(), nil
}

// lateOrder has a primary crash and come back with its log, and the order that came in between carried out
// late.
func lateOrder(d *deployment, trouble bool) ([]string, error) {
	const rounds, down, back, late, end = 10, 7 * time.Second, 400 * time.Millisecond, 5 * time.Second, 2 * time.Second
	l := &lateOrders{deployment: d, late: late, sent: make(chan struct{}, 1)}
	if trouble {
		d.order = l.take
	}
	if err := prepare(d, twoRegions, false); err != nil {
		return nil, err
	}
	for n := range rounds {
		if !trouble {
			time.Sleep(late + end)
			continue
		}
		g := d.groups[n%len(d.groups)]
		p := g.leader()
		l.arm(g)
		g.crash(p)
		d.record.say("fault: %s, the primary of %s, crashes", p.id, g.name)
		select {
		case <-l.sent:
			time.Sleep(back)
		case <-time.After(down):
		}
		if err := g.restart(p); err != nil {
			return nil, err
		}
		d.record.say("fault over: %s runs again, leads: %t", p.id, g.leader() == p)
		time.Sleep(late + end)
		if v := d.violations(); len(v) > 0 {
			return v, nil
		}
	}
	return d.violations(), nil
}

// lateOrders leaves the first order for a group without an answer, and carries it out late.
type lateOrders struct {
	deployment *deployment
	late       time.Duration
	sent       chan struct{}

	mu    sync.Mutex
	group *group
}

func (l *lateOrders) arm(g *group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group = g
}

// take returns 0 for an order that gets no answer, and -1 for any other.
func (l *lateOrders) take(service, id, holder string, token uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group
	if g == nil || g.name != service {
		return -1
	}
	l.group = nil
	r := l.deployment.record
	r.say("fault: the order to promote %s of %s, holder %s, token %d, gets no answer, and is carried out in %s", id, service, holder, token, l.late)
	time.AfterFunc(l.late, func() {
		r.say("the late order with token %d is carried out, status %d", token, g.order(id, holder, token))
	})
	l.sent <- struct{}{}
	return 0
}
