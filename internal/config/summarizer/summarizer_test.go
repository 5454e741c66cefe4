package summarizer_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/summarizer"
)

func hostReport(host string, ready declarer.Revision) encoder.HostReport {
	return encoder.HostReport{Host: host, Incarnation: "1", Ready: ready}
}

// An operator removed a host from the object, and the relay hasn't detected it. The host asks to be
// registered again. If the relay answered from its own state, the host would rely on an object that
// doesn't contain it, and the next revision would be accepted without it.
func TestRegistrationNeedsNewPut(t *testing.T) {
	s := &summarizer.State{}
	a := hostReport("a", 1)
	s.AddReport(a, 1, false, 0)
	s.BeginPut()
	s.CompletePut()
	if _, ok := s.Held(a); !ok {
		t.Error("not held after the put")
	}
	s.BeginPut()
	s.AddReport(a, 2, false, 0)
	s.CompletePut()
	if _, ok := s.Held(a); ok {
		t.Error("held by a put that began before the host asked")
	}
	s.BeginPut()
	s.ReadBack(nil, 0)
	s.BeginPut()
	s.CompletePut()
	if _, ok := s.Held(a); !ok {
		t.Error("a host that asked to be registered was dropped")
	}
	s.ReadBack(nil, 0)
	if s.Members() != 0 {
		t.Error("a host that was removed is still a member")
	}
}

// A host acknowledges while a put without that acknowledgement is in progress. If the relay confirmed
// it, the host would rely on an acknowledgement that no operator receives.
func TestHoldsOnlyWhatWasStored(t *testing.T) {
	s := &summarizer.State{}
	s.AddReport(hostReport("a", 1), 1, false, 0)
	s.BeginPut()
	s.AddReport(hostReport("a", 2), 2, true, 0)
	s.CompletePut()
	if h, ok := s.Held(hostReport("a", 2)); !ok || h.Ready != 1 || s.CanAnswer(hostReport("a", 2)) {
		t.Errorf("holds %+v, %t", h, ok)
	}
	s.Reset()
	if _, ok := s.Held(hostReport("a", 2)); ok {
		t.Error("held by an object that the relay has lost")
	}
}

// A relay that wrote its object for every acknowledgement would make as many calls as its hosts would.
// A relay that waited for an inactive host would delay every change.
func TestGathersAcknowledgements(t *testing.T) {
	s := &summarizer.State{}
	for _, h := range []string{"a", "b", "silent"} {
		s.AddReport(hostReport(h, 1), 1, true, 0)
	}
	s.BeginPut()
	s.CompletePut()
	const at = time.Minute
	s.AddReport(hostReport("a", 1), 2, true, at)
	s.AddReport(hostReport("b", 1), 2, true, at)
	for _, c := range []struct {
		name   string
		report encoder.HostReport
		due    bool
	}{
		{"first acknowledgement", hostReport("a", 2), false},
		{"last acknowledgement", hostReport("b", 2), true},
	} {
		s.AddReport(c.report, 3, true, at)
		if due, wait := s.Due(2, 0, true, at); due != c.due || due == (wait > 0) {
			t.Errorf("%s: due %t, else in %s", c.name, due, wait)
		}
	}
	s.BeginPut()
	s.CompletePut()
	if due, wait := s.Due(3, 0, true, at); due || wait != summarizer.MaximumGatherDelay {
		t.Errorf("due %t, else in %s", due, wait)
	}
	if due, _ := s.Due(3, 0, true, at+summarizer.MaximumGatherDelay); !due {
		t.Error("not due after the maximum delay")
	}
}

// A host's message that it leaves arrives after the host has returned.
func TestLateLeaveIsIgnored(t *testing.T) {
	s := &summarizer.State{}
	a := hostReport("a", 1)
	s.AddReport(a, 3, true, 0)
	s.RemoveMember(a, 2, 0)
	if s.Members() != 1 {
		t.Error("a late message removed the host")
	}
	s.RemoveMember(a, 4, 0)
	if s.Members() != 0 {
		t.Error("the host wasn't removed")
	}
}

func TestRelays(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 1, 4: 2, 100: 2} {
		var l []string
		for i := range n {
			l = append(l, fmt.Sprintf("h%d", i))
		}
		relays, first := 0, map[string]int{}
		for _, h := range l {
			r := summarizer.Relays("z", h, l)
			if len(r) == 0 {
				relays++
				continue
			}
			first[r[0]]++
			if len(r) != want || slices.Contains(r, h) {
				t.Errorf("host %s of %d asks %v", h, n, r)
			}
		}
		if relays != want || n == 100 && first[slices.Sorted(maps.Keys(first))[0]] != (n-want)/want {
			t.Errorf("%d hosts have %d relays, asked by %v", n, relays, first)
		}
	}
}
