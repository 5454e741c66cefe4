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

// status returns the state of each host as the status command prints it.
func (s *site) status(t *testing.T) []encoder.Holder {
	t.Helper()
	_, b := s.runToEnd(t, "status", "--platform", "http://"+s.platform, "--format", "json")
	var x publisher.Status
	if err := json.Unmarshal([]byte(b), &x); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	return x.Hosts
}

// awaitRelay waits until all other hosts report through one host, and returns its number.
func (s *site) awaitRelay(t *testing.T) int {
	t.Helper()
	at := -1
	waitUntil(t, "hosts to report through a relay", func() bool {
		through := map[string]int{}
		for _, h := range s.status(t) {
			through[h.Relay]++
		}
		for i := range zoneCount {
			if through[fmt.Sprintf("entry-%d", i)] == zoneCount-1 {
				at = i
			}
		}
		return at >= 0
	})
	return at
}

// Guards against changes that don't reach the hosts of a zone because their relay has failed. Two
// of three hosts of a zone report through the third one, which is paused while a change is applied,
// and later killed and restarted. The other hosts must receive each change without it, the apply
// command must report it as missing, and a change after its restart must come into force at all
// hosts.
func TestProcessesRelayPausedAndKilled(t *testing.T) {
	s := startSiteIn(t, true)
	r := s.awaitRelay(t)
	if c, o := s.apply(t, s.writeVariant(t, 7)); c != 0 || !s.allInForce(t) {
		t.Errorf("apply through the relay: exit code %d, %s", c, o)
	}
	p := s.hosts[r].command.Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	name := fmt.Sprintf("entry-%d", r)
	if c, o := s.apply(t, s.writeVariant(t, 8)); c == 0 || !strings.Contains(o, "zone-0/"+name) {
		t.Errorf("apply while the relay is paused: exit code %d, %s", c, o)
	}
	accepted := s.head(t).Accepted
	for _, h := range s.status(t) {
		if h.Host != name && h.InForce != accepted {
			t.Errorf("host %s: revision %d is in force, want the accepted revision %d", h.Host, h.InForce, accepted)
		}
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the new revision to be in force at the paused relay", func() bool { return s.allInForce(t) })
	r = s.awaitRelay(t)
	s.hosts[r].command.Process.Kill()
	<-s.hosts[r].ended
	s.start(t, r)
	s.awaitReady(t)
	if c, o := s.apply(t, s.writeVariant(t, 9)); c != 0 {
		t.Errorf("apply after the relay's restart: exit code %d, %s", c, o)
	}
	waitUntil(t, "the accepted revision to be in force at all hosts", func() bool { return s.allInForce(t) })
}
