package assembler_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
)

// status returns what an operator is told of each host.
func (s *site) status(t *testing.T) []encoder.Holder {
	t.Helper()
	_, b := s.operate(t, "status", "--platform", "http://"+s.platform, "--format", "json")
	var x publisher.Status
	if err := json.Unmarshal([]byte(b), &x); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	return x.Hosts
}

// relay waits until all other hosts report through one, and returns which it is.
func (s *site) relay(t *testing.T) int {
	t.Helper()
	at := -1
	until(t, "hosts to report through a relay", func() bool {
		through := map[string]int{}
		for _, h := range s.status(t) {
			through[h.Relay]++
		}
		for i := range zones {
			if through[fmt.Sprintf("entry-%d", i)] == zones-1 {
				at = i
			}
		}
		return at >= 0
	})
	return at
}

// Two of a zone's three hosts report through the third one. That one is paused
// while a change is applied, and is unaware of it; later it is killed and started
// again. The others must get each change without it, the operator is told
// that it is missing, and the change after its return must be in force everywhere.
func TestProcessesRelayPausedAndKilled(t *testing.T) {
	s := startSiteIn(t, true)
	r := s.relay(t)
	if c, o := s.apply(t, s.variant(t, 7)); c != 0 || !s.agreed(t) {
		t.Errorf("apply through the relay: exit code %d, %s", c, o)
	}
	p := s.hosts[r].command.Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	name := fmt.Sprintf("entry-%d", r)
	if c, o := s.apply(t, s.variant(t, 8)); c == 0 || !strings.Contains(o, "zone-0/"+name) {
		t.Errorf("apply while the relay is paused: exit code %d, %s", c, o)
	}
	accepted := s.head(t).Accepted
	for _, h := range s.status(t) {
		if h.Host != name && h.InForce != accepted {
			t.Errorf("host %s decides by %d, %d is accepted", h.Host, h.InForce, accepted)
		}
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	until(t, "the paused relay to move up", func() bool { return s.agreed(t) })
	r = s.relay(t)
	s.hosts[r].command.Process.Kill()
	<-s.hosts[r].ended
	s.start(t, r)
	s.await(t)
	if c, o := s.apply(t, s.variant(t, 9)); c != 0 {
		t.Errorf("apply after the relay's restart: exit code %d, %s", c, o)
	}
	until(t, "all hosts to agree", func() bool { return s.agreed(t) })
}
