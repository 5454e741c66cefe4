package main

import (
	"fmt"
	"sync"
	"time"
)

// demand sends reads with a key through a host until stop is closed.
func demand(d *deployment, h *host, key string, pause time.Duration, stop <-chan struct{}) {
	var s *session
	refused := 0
	defer func() { d.record.line("client at %s with key %s: %d operations refused", h.name, key, refused) }()
	for n := 0; ; n++ {
		select {
		case <-stop:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(pause):
		}
		if s == nil {
			var err error
			if s, err = open(h.front, "notes", key); err != nil {
				d.record.line("client at %s: %v", h.name, err)
				continue
			}
		}
		id, a, err := s.query("READ plan")
		switch {
		case err != nil:
			d.record.line("client at %s: %s: %v", h.name, id, err)
			s.close()
			s = nil
		case a.code != "":
			if refused++; refused%100 == 1 {
				d.record.line("client at %s: %s READ plan: %v", h.name, id, a)
			}
		}
	}
}

// playUnknownCustomer: the store turns away the host that counts a zone's operations. The operator adds a customer
// with a limit, whose callers reach the other hosts of the zone.
func playUnknownCustomer(root string, r *record, disturbed bool) (verdict, error) {
	d, err := newDeployment(root, r)
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	d.contracts = "base,drain,config,cost,recover,pool,sql,tenants,quota,platform"
	g, err := d.addGroup("records-1", zones...)
	if err != nil {
		return verdict{}, err
	}
	routes := []route{{Name: "r-1", Host: "notes", Kind: "primary", Timeout: 800, Objective: 300, Priority: 1, Backend: g.name}}
	old := tenant{Name: "goje260", Keys: []string{"keyofgoje260"}, Rate: 100, Burst: 100}
	added := tenant{Name: "miny420", Keys: []string{"keyofminy420"}, Rate: 10, Burst: 10}
	d.configure(1, routes, []tenant{old})
	first := d.addHost("front-a", zones[0], 1000)
	b, c := d.addHost("front-b", zones[0], 1000), d.addHost("front-c", zones[0], 1000)
	d.addHost("front-d", zones[1], 1000)
	d.addHost("front-e", zones[2], 1000)
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { demand(d, first, old.Keys[0], 100*time.Millisecond, stop) })
	time.Sleep(4 * time.Second)
	if disturbed {
		r.line("disruption: the store turns %s away with 503, and serves all others", first.name)
		first.view.turnAway(true)
	}
	began := time.Now()
	time.Sleep(time.Second)
	d.configure(2, routes, []tenant{old, added})
	time.Sleep(500 * time.Millisecond)
	for _, h := range []*host{b, c} {
		for range 2 {
			clients.Go(func() { demand(d, h, added.Keys[0], 20*time.Millisecond, stop) })
		}
	}
	time.Sleep(time.Until(began.Add(9 * time.Second)))
	first.view.turnAway(false)
	r.line("the store serves all hosts")
	close(stop)
	clients.Wait()
	return judgeQuota(r, g, added), nil
}

// judgeQuota checks QUOTA: in no window of 5 s do more operations of the customer run than are tolerated.
func judgeQuota(r *record, g *group, x tenant) verdict {
	const window = 5 * time.Second
	allowed := (x.Rate*window.Seconds()+x.Burst)*1.1 + 20
	var l []execution
	for _, e := range g.copyRuns() {
		if e.who == x.Name {
			l = append(l, e)
			r.lineAt(e.at, "run: %s of %s at %s", e.id, e.who, e.instance)
		}
	}
	most, at := 0, time.Time{}
	for i, first := 0, 0; i < len(l); i++ {
		for l[i].at.Sub(l[first].at) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, l[first].at
		}
	}
	text := fmt.Sprintf("%d operations of %s ran in 5 s from %.3f s on; allowed %.0f", most, x.Name, at.Sub(r.began).Seconds(), allowed)
	if float64(most) > allowed {
		return verdict{true, "QUOTA broken: " + text}
	}
	return verdict{false, "QUOTA held: " + text}
}
