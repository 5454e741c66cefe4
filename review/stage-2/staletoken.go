package main

import (
	"fmt"
	"time"
)

// writeSteadily writes through a host until stop is closed.
func writeSteadily(d *deployment, h *host, database string, pause time.Duration, stop <-chan struct{}) {
	var s *session
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
			if s, err = open(h.front, database, ""); err != nil {
				d.record.line("client at %s: %v", h.name, err)
				continue
			}
		}
		text := fmt.Sprintf("WRITE %s-%d v%d", h.name, n%7, n)
		id, a, err := s.query(text)
		if err != nil {
			d.record.line("client at %s: %s %s: %v", h.name, id, text, err)
			s.close()
			s = nil
			continue
		}
		if a.code != "" || n%20 == 0 {
			d.record.line("client at %s: %s %s: %v", h.name, id, text, a)
		}
	}
}

// playStaleToken: the platform doesn't check fences. The store turns away the host that holds the claim of a group.
// A planned replacement of the primary is ordered by another host with a newer token. Then the new primary crashes.
func playStaleToken(root string, r *record, disturbed bool) (verdict, error) {
	d, err := newDeployment(root, r)
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	d.fences = false
	g, err := d.addGroup("records-321", zones...)
	if err != nil {
		return verdict{}, err
	}
	d.configure(1, []route{{Name: "r-1", Host: "notes", Kind: "primary", Timeout: 800, Objective: 300, Priority: 1, Backend: g.name}}, nil)
	first := d.addHost("front-a", zones[0], 1000)
	d.addHost("front-b", zones[1], 1000)
	d.addHost("front-c", zones[2], 1000)
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
	stop := make(chan struct{})
	defer close(stop)
	for _, h := range d.hosts {
		go writeSteadily(d, h, "notes", 50*time.Millisecond, stop)
	}
	time.Sleep(2 * time.Second)
	if disturbed {
		r.line("disruption: the store turns %s away with 503, and serves all others", first.name)
		first.view.turnAway(true)
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	old := g.leader()
	if _, err := g.add("i-"+g.name+"-new", old.zone); err != nil {
		return verdict{}, err
	}
	r.line("planned: a new instance has started, the primary %s is draining", old.id)
	g.setDraining(old)
	if !await(6*time.Second, func() bool { x := g.leader(); return x != nil && x != old }) {
		return verdict{}, fmt.Errorf("no other instance leads")
	}
	time.Sleep(600 * time.Millisecond)
	if disturbed {
		x := g.leader()
		r.line("disruption: the primary %s crashes, %.1f s after the store has begun to turn %s away", x.id, time.Since(began).Seconds(), first.name)
		x.crash()
	}
	time.Sleep(time.Until(began.Add(9 * time.Second)))
	first.view.turnAway(false)
	r.line("the store serves all hosts")
	time.Sleep(2 * time.Second)
	return judgeTokens(d.cloud.copyOrders()), nil
}

// judgeTokens checks ONE: no call for a subject has a lower token than the platform has seen for it.
func judgeTokens(l []order) verdict {
	seen := make(map[string]order)
	for _, o := range l {
		if s, ok := seen[o.subject]; ok && o.token < s.token {
			return verdict{true, fmt.Sprintf("ONE broken: %s ordered %s with token %d, %.2f s after %s had ordered %s with token %d", o.holder, o.id, o.token, o.at.Sub(s.at).Seconds(), s.holder, s.id, s.token)}
		}
		if o.token >= seen[o.subject].token {
			seen[o.subject] = o
		}
	}
	return verdict{false, fmt.Sprintf("ONE held: %d orders, none with a lower token than before", len(l))}
}
