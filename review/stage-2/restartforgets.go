package main

import (
	"fmt"
	"sync"
	"time"
)

// acknowledgments holds the commits that clients were told to have succeeded.
type acknowledgments struct {
	mu  sync.Mutex
	ids map[string]time.Time
}

func (a *acknowledgments) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = time.Now()
}

// lost returns how many of the commits a log lacks, and one of them.
func (a *acknowledgments) lost(log []entry) (n int, example string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	has := make(map[string]bool, len(log))
	for _, e := range log {
		has[e.id] = true
	}
	for id := range a.ids {
		if !has[id] {
			n++
			example = id
		}
	}
	return n, example
}

// connect opens a session at the host or, if that isn't ready, at the next one that is, as the balancer leads it.
func connect(d *deployment, h *host) (*session, error) {
	l := append([]*host{h}, d.hosts...)
	for _, x := range l {
		if x.ready() {
			return open(x.front, "notes", "")
		}
	}
	return nil, errNotReady
}

// commitSteadily writes through a host until stop is closed, and keeps what was acknowledged.
func commitSteadily(d *deployment, h *host, name string, a *acknowledgments, stop <-chan struct{}) {
	var s *session
	defer func() {
		if s != nil {
			s.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(4 * time.Millisecond):
		}
		if s == nil {
			var err error
			if s, err = connect(d, h); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		id, x, err := s.query(fmt.Sprintf("WRITE %s-%d v%d", name, n%50, n))
		switch {
		case err != nil:
			d.record.line("client at %s: %s: %v", h.name, id, err)
			s.close()
			s = nil
		case x.code != "":
			d.record.line("client at %s: %s: %v", h.name, id, x)
			time.Sleep(300 * time.Millisecond)
		default:
			a.add(id)
			d.record.line("client at %s: %s is acknowledged", h.name, id)
		}
	}
}

// playRestartForgets: commits are acknowledged once one replica has them. During a rolling restart of the hosts, the
// primary and one replica crash at the same time, so that the other replica may not be promoted.
func playRestartForgets(root string, r *record, disturbed bool) (verdict, error) {
	d, err := newDeployment(root, r)
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	g, err := d.addGroup("records-321", zones[0], zones[0], zones[2])
	if err != nil {
		return verdict{}, err
	}
	g.synchronous = 1
	g.setLag(g.instances[1], usualLag/2)
	g.setLag(g.instances[2], 2*usualLag)
	d.configure(1, []route{{Name: "r-1", Host: "notes", Kind: "primary", Timeout: 800, Objective: 300, Priority: 1, Backend: g.name}}, nil)
	for i, z := range zones {
		d.addHost("front-"+string(rune('a'+i)), z, 1000)
	}
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if !await(12*time.Second, func() bool { return claimHolder(d, g) != "" }) {
		return verdict{}, errNoClaim
	}
	r.line("%s holds the claim of %s", claimHolder(d, g), g.name)
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
	time.Sleep(2 * time.Second)
	p, q := g.instances[0], g.instances[1]
	began := time.Now()
	if disturbed {
		r.line("disruption: the primary %s and the replica %s crash, for 8.9 s", p.id, q.id)
		p.crash()
		q.crash()
	}
	time.Sleep(900 * time.Millisecond)
	first := d.hosts[0]
	r.line("planned: rolling restart, SIGTERM to %s", first.name)
	if err := first.roll(d); err != nil {
		return verdict{}, err
	}
	r.line("planned: %s has started again, %.1f s after the crash", first.name, time.Since(began).Seconds())
	time.Sleep(time.Until(began.Add(8900 * time.Millisecond)))
	if disturbed {
		for _, i := range []*instance{p, q} {
			if err := i.start(); err != nil {
				return verdict{}, err
			}
		}
		r.line("%s and %s are back with their logs", p.id, q.id)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	if missing > 0 {
		return verdict{true, fmt.Sprintf("LOST broken: %s was promoted without %d commits that were acknowledged before, for instance %s", promoted, missing, example)}, nil
	}
	return verdict{false, fmt.Sprintf("LOST held: %d commits acknowledged, none missing in an instance that was promoted", len(a.ids))}, nil
}
