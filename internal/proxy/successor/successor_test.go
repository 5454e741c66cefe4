package successor

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

const now = time.Minute

// sight is that of a primary in good order.
func sight(change func(p *grouptracker.Server)) View {
	p := &grouptracker.Server{Server: declarer.Server{ID: "a"}, AnsweredAt: now}
	change(p)
	return View{Now: now, Primary: p, Servers: []*grouptracker.Server{p}}
}

func TestDecide(t *testing.T) {
	const long = 10 * time.Second
	for name, c := range map[string]struct {
		change func(p *grouptracker.Server)
		want   Reason
	}{
		"in good order": {change: func(*grouptracker.Server) {}},
		"leaving":       {change: func(p *grouptracker.Server) { p.Draining = true }, want: ReasonDraining},
		"unreachable from here": {change: func(p *grouptracker.Server) {
			p.FailingSince, p.AnsweredAt = now-time.Second, now-time.Second
		}, want: ReasonUnresponsive},
		"unreachable for new connections, answers on others": {change: func(p *grouptracker.Server) {
			p.FailingSince = now - time.Second
		}},
		"unreachable from here, for long": {change: func(p *grouptracker.Server) {
			p.FailingSince, p.AnsweredAt = now-long, now-long
		}, want: ReasonDown},
		"no process listens": {change: func(p *grouptracker.Server) {
			p.FailingSince, p.ConnectionRefusedSince = now-time.Second, now-time.Second
		}, want: ReasonNotListening},
		"no process listens for a moment": {change: func(p *grouptracker.Server) {
			p.FailingSince, p.ConnectionRefusedSince = now-100*time.Millisecond, now-100*time.Millisecond
		}},
	} {
		t.Run(name, func(t *testing.T) {
			j := &Detector{Host: "h", Group: "db"}
			s := sight(c.change)
			if r := j.Decide(s); r != ReasonNone && j.Delay() > 0 {
				t.Errorf("decided %s without its delay", r)
			}
			s.Now += j.Delay()
			if r := j.Decide(s); r != c.want {
				t.Errorf("decided %q, want %q", r, c.want)
			}
		})
	}
}

// Nobody reports the lead, for instance after a primary was removed for good. The
// group would take no writes until an operator steps in.
func TestLeaderlessGroupGetsPrimary(t *testing.T) {
	j := &Detector{Host: "h", Group: "db"}
	s := View{Now: now, Servers: []*grouptracker.Server{{}}}
	for s.Now < now+leaderlessAfter {
		if r := j.Decide(s); r != ReasonNone {
			t.Fatalf("decided %s after %s", r, s.Now-now)
		}
		s.Now += 100 * time.Millisecond
	}
	s.Now += spread
	j.Decide(s)
	s.Now += spread
	if r := j.Decide(s); r != ReasonNoPrimary {
		t.Errorf("decided %q", r)
	}
}

func TestChoose(t *testing.T) {
	at := func(id, zone string, p uint64) Candidate {
		return Candidate{Server: declarer.Server{ID: id, AvailabilityZone: zone}, Status: declarer.Status{Received: marker.Mark{Term: 1, Position: marker.Position(p)}}}
	}
	leaving := at("c", "z", 99)
	leaving.Server.Draining = true
	ahead := at("c", "z", 9)
	ahead.Server.Draining = true
	leads := at("d", "z", 99)
	leads.Status.Primary = true
	for name, c := range map[string]struct {
		l      []Candidate
		listed int
		want   string
		// synchronous is how many replicas have each commit.
		synchronous int
	}{
		"longest log":           {[]Candidate{at("a", "z", 3), at("b", "y", 5)}, 3, "b", 0},
		"same zone of equal":    {[]Candidate{at("a", "y", 5), at("b", "z", 5)}, 3, "b", 0},
		"first by id":           {[]Candidate{at("b", "z", 5), at("a", "z", 5)}, 3, "a", 0},
		"not one that stops":    {[]Candidate{leaving, at("a", "y", 1)}, 3, "a", 0},
		"not the leader":        {[]Candidate{leads, at("a", "y", 1)}, 3, "a", 0},
		"nobody may":            {[]Candidate{leaving}, 1, "", 0},
		"one of three answers":  {[]Candidate{at("a", "z", 9)}, 3, "", 0},
		"one of two answers":    {[]Candidate{at("a", "z", 9)}, 2, "", 0},
		"the only one listed":   {[]Candidate{at("a", "z", 9)}, 1, "a", 0},
		"none listed, none may": {nil, 0, "", 0},
		// With a synchronous replica of five servers, two that didn't answer could be the
		// primary and the only one that has the last commit.
		"three of five, synchronous": {[]Candidate{at("a", "z", 5), at("b", "z", 5), at("e", "z", 5)}, 5, "", 1},
		"four of five, synchronous":  {[]Candidate{at("a", "z", 5), at("b", "z", 6), at("e", "z", 5), at("f", "z", 5)}, 5, "b", 1},
		"two of three, synchronous":  {[]Candidate{at("a", "z", 5), at("b", "z", 6)}, 3, "b", 1},
		// One that leaves counts among those that must have a commit.
		"only the one that leaves has it": {[]Candidate{ahead, at("a", "z", 5)}, 3, "c", 1},
		"another has as much":             {[]Candidate{ahead, at("z", "y", 9)}, 3, "z", 1},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Choose(c.l, c.listed, c.synchronous, "z")
			if got.Server.ID != c.want || ok != (c.want != "") {
				t.Errorf("chose %q %t, want %q", got.Server.ID, ok, c.want)
			}
		})
	}
}
