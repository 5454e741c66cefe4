package applier_test

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// hostReport returns an object's entry for the first incarnation of a host.
func hostReport(host string, ready declarer.Revision) encoder.HostReport {
	return encoder.HostReport{Host: host, Incarnation: "1", Ready: ready}
}

// relayObject returns the object of a relay with members.
func relayObject(relay encoder.HostReport, members ...encoder.HostReport) applier.HolderObject {
	return applier.HolderObject{Name: relay.Host, Version: 1, Holder: encoder.Holder{
		Host: relay.Host, Incarnation: relay.Incarnation, Ready: relay.Ready, Members: members,
	}}
}

// stepAfterTimeout returns the step of an operator that has waited the whole timeout with the
// objects first, and then finds the objects then; "gone" isn't in the host list.
func stepAfterTimeout(first, then []applier.HolderObject) applier.Step {
	const timeout = applier.DefaultAcknowledgementTimeout
	o, h := waitingOperator(first)
	o.ObserveHolders(then, map[string]bool{"live": true, "relay": true}, timeout)
	o.ObserveHead(h, 1, timeout, timeout)
	return o.Next(timeout)
}

// waitingOperator returns an operator that has staged revision 2 and listed the objects.
func waitingOperator(l []applier.HolderObject) (*applier.Operator, encoder.Head) {
	o := &applier.Operator{Mode: applier.Apply, ID: "a", HasFile: true}
	h := encoder.Head{Accepted: 1, Highest: 2, Staged: &encoder.Entry{Revision: 2, ID: "a"}}
	o.ObserveHead(h, 1, 0, 0)
	o.ObserveBody(true, 1)
	o.ObserveHolders(l, nil, 0)
	return o, h
}

// A host that failed must be removed from a relay's object, or every later change would wait for it.
// If a live host were removed with it, that host would continue as if registered, and two revisions
// would be in force at once.
func TestRemoveGoneHosts(t *testing.T) {
	other := relayObject(hostReport("live", 2))
	for _, c := range []struct {
		name        string
		first, then []applier.HolderObject
		action      applier.Action
		left        bool
		members     int
	}{
		{"dead member", objects(relayObject(hostReport("relay", 2), hostReport("gone", 1), hostReport("a", 2))), nil, applier.PutHolder, false, 1},
		{"dead relay whose member acknowledged", objects(relayObject(hostReport("gone", 1), hostReport("live", 2))), nil, applier.PutHolder, true, 1},
		{"dead relay whose member is elsewhere", objects(relayObject(hostReport("gone", 1), hostReport("live", 1)), other), nil, applier.RetireHolder, false, 1},
		{"member added meanwhile", objects(relayObject(hostReport("relay", 2)), other), objects(relayObject(hostReport("relay", 2), hostReport("gone", 1)), other), applier.PutHead, false, 0},
		{"dead relay with a member added meanwhile", objects(relayObject(hostReport("gone", 1)), other), objects(relayObject(hostReport("gone", 1), hostReport("live", 1)), other), applier.PutHolder, true, 1},
		{"relay that is a member of itself", objects(relayObject(hostReport("relay", 2), hostReport("relay", 1), hostReport("gone", 1)), other), nil, applier.PutHolder, false, 1},
		{"acknowledged elsewhere", objects(relayObject(hostReport("relay", 2), hostReport("live", 1)), other), nil, applier.PutHead, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.then == nil {
				c.then = c.first
			}
			s := stepAfterTimeout(c.first, c.then)
			h := s.Holder.Holder
			if s.Action != c.action || h.Left != c.left || len(h.Members) != c.members {
				t.Errorf("step %s of %+v", s.Action, h)
			}
		})
	}
}

func objects(o ...applier.HolderObject) []applier.HolderObject { return o }

// A host that reports through a relay is replaced under the same name. An acknowledgement of the
// earlier incarnation must not count for the new one, which may not have the file.
func TestEarlierIncarnationDoesNotAcknowledge(t *testing.T) {
	n := hostReport("live", 0)
	n.Incarnation = "2"
	o, _ := waitingOperator(objects(relayObject(hostReport("relay", 2), hostReport("live", 2), n)))
	if s := o.Next(applier.DefaultAcknowledgementTimeout - 1); s.Action != applier.Wait {
		t.Errorf("step %s", s.Action)
	}
}

// A relay stops and leaves its object to the hosts that reported through it. They count as
// registered until they register elsewhere.
func TestMembersOfLeftObjectCount(t *testing.T) {
	x := relayObject(hostReport("relay", 1), hostReport("live", 1))
	x.Holder.Left = true
	o, _ := waitingOperator(objects(x, relayObject(hostReport("a", 2))))
	s := o.Next(applier.DefaultAcknowledgementTimeout - 1)
	if z := o.Zones(); s.Action != applier.Wait || z[0].Hosts != 2 {
		t.Errorf("step %s, zones %+v", s.Action, z)
	}
}
