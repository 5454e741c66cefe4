package main

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// database is the database of the session that playReturnToGroup judges.
const database = "visits"

// errRoute is returned if a changed route doesn't come into force.
var errRoute = errors.New("the changed route doesn't come into force")

// readSteadily reads an item of no interest through a host until stop is closed.
func readSteadily(h *host, stop <-chan struct{}) {
	s, err := open(h.front, database, "")
	if err != nil {
		return
	}
	defer s.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if _, _, err := s.query("READ nothing"); err != nil {
			return
		}
	}
}

// ranAt returns the execution of the statement with the id, false if it hasn't run.
func ranAt(d *deployment, id string) (execution, bool) {
	for _, g := range d.groups {
		l := g.copyRuns()
		if i := slices.IndexFunc(l, func(e execution) bool { return e.id == id }); i >= 0 {
			return l[i], true
		}
	}
	return execution{}, false
}

// until sends the statement again and again until it runs in the group, and returns its id and answer.
func until(d *deployment, s *session, g *group, text string) (string, reply, error) {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		id, a, err := s.query(text)
		if err != nil {
			return id, a, err
		}
		e, ok := ranAt(d, id)
		if a.code != "" || ok && e.group == g.name {
			d.record.line("session: %s %s: %v, run by %s of %s", id, text, a, e.instance, e.group)
		}
		if a.code == "" && ok && e.group == g.name {
			return id, a, nil
		}
	}
	return "", reply{}, errRoute
}

// playReturnToGroup: a replica is behind. A session writes, the operator leads its route to another service and
// back, as after a change that is taken back, and the session writes in between.
func playReturnToGroup(root string, r *record, disturbed bool) (verdict, error) {
	d, err := newDeployment(root, r)
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	// The primary of each service is in another zone than the host of the session.
	a, err := d.addGroup("records-1", zones[1], zones[0], zones[2])
	if err != nil {
		return verdict{}, err
	}
	b, err := d.addGroup("records-2", zones[1], zones[0], zones[2])
	if err != nil {
		return verdict{}, err
	}
	lead := func(version int, g *group) {
		d.configure(version, []route{{Name: "r-1", Host: database, Kind: "read_your_writes", Timeout: 800, Objective: 500, Priority: 2, Backend: g.name, Staleness: 2500}}, nil)
	}
	lead(1, a)
	h := d.addHost("front-a", zones[0], 1000)
	d.addHost("front-b", zones[1], 1000)
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go readSteadily(h, stop)
	time.Sleep(4 * time.Second)
	if disturbed {
		r.line("disruption: the replica %s receives 150 times as late, 1.2 s", a.instances[1].id)
		a.setLag(a.instances[1], 150*usualLag)
	}
	time.Sleep(2 * time.Second)
	s, err := open(h.front, database, "")
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	write, _, err := until(d, s, a, "WRITE plan first")
	if err != nil {
		return verdict{}, err
	}
	acknowledged := time.Now()
	lead(2, b)
	if _, _, err := until(d, s, b, "WRITE note second"); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(acknowledged.Add(330 * time.Millisecond)))
	lead(3, a)
	read, got, err := until(d, s, a, "READ plan")
	if err != nil {
		return verdict{}, err
	}
	e, _ := ranAt(d, read)
	if !slices.Equal(got.rows, []string{"first"}) {
		return verdict{true, fmt.Sprintf("STALE broken: read %s of %s ran at %s without commit %s of the same session, acknowledged %.2f s before; rows %q", read, a.name, e.instance, write, e.at.Sub(acknowledged).Seconds(), got.rows)}, nil
	}
	return verdict{false, fmt.Sprintf("STALE held: read %s ran at %s with the session's commit", read, e.instance)}, nil
}
