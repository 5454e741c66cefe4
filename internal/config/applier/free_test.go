package applier_test

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// entry is what an object says of the first start of a host.
func entry(host string, ready declarer.Revision) encoder.HostReport {
	return encoder.HostReport{Host: host, Incarnation: "1", Ready: ready}
}

// object is that of a relay that stands for members.
func object(relay encoder.HostReport, members ...encoder.HostReport) applier.HolderObject {
	return applier.HolderObject{Name: relay.Host, Version: 1, Holder: encoder.Holder{
		Host: relay.Host, Incarnation: relay.Incarnation, Ready: relay.Ready, Members: members,
	}}
}

// lapsedStep returns the step of an operator that has waited a lapse with the
// objects first, and then finds the objects then; "gone" isn't in the host list.
func lapsedStep(first, then []applier.HolderObject) applier.Step {
	const lapse = applier.DefaultAcknowledgementTimeout
	o, h := waiting(first)
	o.ObserveHolders(then, map[string]bool{"live": true, "relay": true}, lapse)
	o.ObserveHead(h, 1, lapse, lapse)
	return o.Next(lapse)
}

// waiting returns an operator that has staged revision 2 and listed the objects.
func waiting(l []applier.HolderObject) (*applier.Operator, encoder.Head) {
	o := &applier.Operator{Mode: applier.Apply, ID: "a", HasFile: true}
	h := encoder.Head{Accepted: 1, Highest: 2, Staged: &encoder.Entry{Revision: 2, ID: "a"}}
	o.ObserveHead(h, 1, 0, 0)
	o.ObserveBody(true, 1)
	o.ObserveHolders(l, nil, 0)
	return o, h
}

// Hosts that died have to be taken out of a relay's object, or each later change
// would wait for them. A live host that is taken out with them goes on as if it
// counted, and callers find two revisions in force.
func TestTakenOutOfObjects(t *testing.T) {
	other := object(entry("live", 2))
	for _, c := range []struct {
		name        string
		first, then []applier.HolderObject
		action      applier.Action
		left        bool
		members     int
	}{
		{"dead member", l(object(entry("relay", 2), entry("gone", 1), entry("a", 2))), nil, applier.PutHolder, false, 1},
		{"dead relay whose member acknowledged", l(object(entry("gone", 1), entry("live", 2))), nil, applier.PutHolder, true, 1},
		{"dead relay whose member is elsewhere", l(object(entry("gone", 1), entry("live", 1)), other), nil, applier.RetireHolder, false, 1},
		{"member added meanwhile", l(object(entry("relay", 2)), other), l(object(entry("relay", 2), entry("gone", 1)), other), applier.PutHead, false, 0},
		{"dead relay with a member added meanwhile", l(object(entry("gone", 1)), other), l(object(entry("gone", 1), entry("live", 1)), other), applier.PutHolder, true, 1},
		{"relay that is a member of itself", l(object(entry("relay", 2), entry("relay", 1), entry("gone", 1)), other), nil, applier.PutHolder, false, 1},
		{"acknowledged elsewhere", l(object(entry("relay", 2), entry("live", 1)), other), nil, applier.PutHead, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.then == nil {
				c.then = c.first
			}
			s := lapsedStep(c.first, c.then)
			h := s.Holder.Holder
			if s.Action != c.action || h.Left != c.left || len(h.Members) != c.members {
				t.Errorf("step %s of %+v", s.Action, h)
			}
		})
	}
}

func l(o ...applier.HolderObject) []applier.HolderObject { return o }

// A host is replaced under its name behind a relay. Its predecessor's
// acknowledgement says nothing of the files that the new one holds.
func TestPredecessorDoesNotAcknowledge(t *testing.T) {
	n := entry("live", 0)
	n.Incarnation = "2"
	o, _ := waiting(l(object(entry("relay", 2), entry("live", 2), n)))
	if s := o.Next(applier.DefaultAcknowledgementTimeout - 1); s.Action != applier.Wait {
		t.Errorf("step %s", s.Action)
	}
}

// A relay stops and leaves its object to those that reported through it. They still
// count until they are found elsewhere.
func TestMembersOfLeftObjectCount(t *testing.T) {
	x := object(entry("relay", 1), entry("live", 1))
	x.Holder.Left = true
	o, _ := waiting(l(x, object(entry("a", 2))))
	s := o.Next(applier.DefaultAcknowledgementTimeout - 1)
	if z := o.Zones(); s.Action != applier.Wait || z[0].Hosts != 2 {
		t.Errorf("step %s, zones %+v", s.Action, z)
	}
}
