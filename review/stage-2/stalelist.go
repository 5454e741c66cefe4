package main

import (
	"fmt"
	"sync"
	"time"
)

// playStaleList: commits are acknowledged once one replica has them. The store turns away the host that holds the claim
// of the group. A replica is replaced as planned: the new one starts first. Then the primary crashes.
func playStaleList(root string, r *record, disturbed bool) (verdict, error) {
	d, err := newDeployment(root, r)
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	g, err := d.addGroup("records-321", zones...)
	if err != nil {
		return verdict{}, err
	}
	g.synchronous = 1
	g.setLag(g.instances[1], 2*usualLag)
	g.setLag(g.instances[2], 2*usualLag)
	d.configure(1, []route{{Name: "r-1", Host: "notes", Kind: "primary", Timeout: 800, Objective: 300, Priority: 1, Backend: g.name}}, nil)
	for i, z := range zones {
		d.addHost("front-"+string(rune('a'+i)), z, 1000)
	}
	first := d.hosts[0]
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if !await(12*time.Second, func() bool { return claimHolder(d, g) != "" }) {
		return verdict{}, errNoClaim
	}
	r.line("%s holds the claim of %s", claimHolder(d, g), g.name)
	if claimHolder(d, g) != first.name {
		return verdict{}, fmt.Errorf("another host than %s holds the claim", first.name)
	}
	time.Sleep(2 * time.Second)
	a := &acknowledgments{ids: make(map[string]time.Time)}
	missing, example, promoted := 0, "", ""
	g.mu.Lock()
	g.onTakeOver = func(i *instance, log []entry) {
		if n, x := a.lost(log); n > missing {
			missing, example, promoted = n, x, i.id
		}
	}
	g.mu.Unlock()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range d.hosts {
		for k := range 3 {
			clients.Go(func() { commitSteadily(d, h, fmt.Sprintf("%s-%d", h.name, k), a, stop) })
		}
	}
	time.Sleep(time.Second)
	if disturbed {
		r.line("disruption: the store turns %s away with 503, and serves all others", first.name)
		first.view.turnAway(true)
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	n, err := g.add("i-"+g.name+"-new", zones[1])
	if err != nil {
		return verdict{}, err
	}
	g.setLag(n, usualLag/2)
	g.setDraining(g.instances[1])
	r.line("planned: the replica %s has started, %s is draining", n.id, g.instances[1].id)
	time.Sleep(3 * time.Second)
	if disturbed {
		p := g.leader()
		r.line("disruption: the primary %s crashes, %.1f s after the store has begun to turn %s away", p.id, time.Since(began).Seconds(), first.name)
		p.crash()
	}
	time.Sleep(time.Until(began.Add(9 * time.Second)))
	first.view.turnAway(false)
	r.line("the store serves all hosts")
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	if missing > 0 {
		return verdict{true, fmt.Sprintf("LOST broken: %s was promoted without %d commits that were acknowledged before, for instance %s", promoted, missing, example)}, nil
	}
	return verdict{false, fmt.Sprintf("LOST held: %d commits acknowledged, none missing in an instance that was promoted", len(a.ids))}, nil
}
