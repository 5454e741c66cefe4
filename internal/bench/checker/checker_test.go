package checker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// validHistory returns a history without a violation that covers every rule.
func validHistory() *History {
	return &History{
		Requests: []Request{
			{Name: "a", Session: "s", Group: "g", Kind: Note, Start: 1 * ms, End: 2 * ms, Outcome: Ran, AcknowledgedTag: "INSERT 0 1", EntryHost: "h1"},
			{Name: "b", Session: "s", Group: "g", Kind: Booking, Number: 1, Start: 3 * ms, End: 4 * ms, Outcome: Ran, AcknowledgedTag: "INSERT 0 1", EntryHost: "h1"},
			{Name: "c", Session: "s", Group: "g", Kind: Save, Number: 2, Start: 5 * ms, End: 6 * ms, Outcome: Ran, AcknowledgedTag: "INSERT 0 1", EntryHost: "h2"},
			{Name: "d", Session: "s", Group: "g", Kind: Read, Start: 7 * ms, End: 8 * ms, Outcome: Ran, Value: 2, RowNames: []string{"d"}, Rows: 1, EntryHost: "h1"},
			{Name: "e", Session: "s", Group: "g", Kind: Save, Number: 3, Start: 9 * ms, End: 10 * ms, Outcome: Cancelled, EntryHost: "h1"},
			{Name: "f", Session: "t", Group: "g", Kind: Review, ReviewedSession: "s", MaximumAge: 20 * ms, Start: 30 * ms, End: 31 * ms, Outcome: Ran, Value: 2, RowNames: []string{"f"}, EntryHost: "h1"},
			{Name: "i", Session: "t", Group: "g", Kind: Note, Start: 32 * ms, End: 33 * ms, Outcome: NotRun, EntryHost: "h1"},
			{Name: "j", Session: "t", Group: "g", Kind: Report, Start: 34 * ms, End: 35 * ms, Outcome: Ran, RowNames: []string{"j"}, Rows: 5, ExpectedRows: 5, EntryHost: "h1"},
			{Name: "k", Session: "t", Group: "g", Kind: Note, Start: 36 * ms, End: 37 * ms, Outcome: Unknown, EntryHost: "h1"},
		},
		Groups: map[string]State{"g": {
			Entries:   []Entry{{"a", 1}, {"b", 1}, {"b", 2}},
			Registers: map[string]int64{"s": 2},
			Log: []Transaction{
				{Entries: []Entry{{"a", 1}}},
				{Entries: []Entry{{"b", 1}, {"b", 2}}, Saves: []string{"b"}},
				{Saves: []string{"c"}},
			},
			Dropped: []Transaction{{Entries: []Entry{{"k", 1}}}},
		}},
		Stops: []Stop{{EntryHost: "h1", From: 100 * ms, To: 200 * ms}},
		ObservedRevisions: []ObservedRevision{
			{"h1", 1 * ms, 1, "first"}, {"h2", 1 * ms, 1, "first"},
			{"h1", 5 * ms, 3, "third"}, {"h2", 5 * ms, 1, "first"},
			{"h1", 9 * ms, 3, "third"}, {"h2", 9 * ms, 3, "third"},
		},
		Applies: []Apply{
			{Operator: "anna", Digest: "first", Revision: 1, Outcome: ApplyInForce},
			{Operator: "anna", Base: 1, Digest: "second", Revision: 2, Outcome: ApplyRefused, From: 1 * ms, To: 4 * ms},
			{Operator: "ewa", Base: 1, Digest: "third", Revision: 3, Outcome: ApplyInForce, From: 4 * ms, To: 6 * ms},
			{Operator: "jan", Base: 1, Digest: "fourth", Outcome: ApplyRefused, From: 4 * ms, To: 6 * ms},
			{Operator: "piotr", Base: 3, Digest: "fifth", Outcome: ApplyUnknown, From: 7 * ms, To: 8 * ms},
			{Operator: "jan", Revision: 4, Outcome: ApplyRefused, From: 8 * ms, To: 9 * ms},
		},
	}
}

func TestValidHistory(t *testing.T) {
	if v := Check(validHistory()); v.Violations.Total() != 0 {
		t.Error(v)
	}
}

// request returns the request with the given name.
func (h *History) request(name string) *Request {
	for i := range h.Requests {
		if h.Requests[i].Name == name {
			return &h.Requests[i]
		}
	}
	panic(name)
}

// Guards against a checker that misses a violation or counts another one, after which a run
// without violations would prove nothing. Each case breaks one guarantee in a valid history.
func TestEachViolationIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(h *History, s *State)
		want    Violations
	}{
		"a note is missing": {
			func(_ *History, s *State) { s.Entries = s.Entries[1:] },
			Violations{LostWrites: 1},
		},
		"a save is missing": {
			func(h *History, s *State) { s.Registers["s"] = 1; h.request("f").Start = 20 * ms },
			Violations{LostWrites: 1},
		},
		"a note was acknowledged by a superseded primary": {
			func(_ *History, s *State) {
				s.Entries = s.Entries[1:]
				s.Dropped = append(s.Dropped, Transaction{Entries: []Entry{{"a", 1}}})
			},
			Violations{LostWrites: 1, SupersededAcknowledgements: 1},
		},
		"a note exists twice": {
			func(_ *History, s *State) { s.Entries = append(s.Entries, Entry{"a", 1}) },
			Violations{DoubledWrites: 1},
		},
		"a note of unknown outcome exists twice": {
			func(_ *History, s *State) { s.Entries = append(s.Entries, Entry{"k", 1}, Entry{"k", 1}) },
			Violations{DoubledWrites: 1},
		},
		"a session reads an older value than it wrote": {
			func(h *History, _ *State) { h.request("d").Value = 1 },
			Violations{ReadYourWrites: 1},
		},
		"a refused note exists": {
			func(_ *History, s *State) { s.Entries = append(s.Entries, Entry{"i", 1}) },
			Violations{FalseNotRun: 1},
		},
		"a cancelled save took effect": {
			func(_ *History, s *State) { s.Registers["s"] = 3 },
			Violations{FalseNotRun: 1},
		},
		"a cancelled save was read and then overwritten": {
			func(h *History, _ *State) {
				h.Requests = append(h.Requests, Request{Name: "x", Session: "s", Group: "g", Kind: Read, Start: 11 * ms, End: 12 * ms, Outcome: Ran, Value: 3, RowNames: []string{"x"}})
			},
			Violations{FalseNotRun: 1},
		},
		"the outcome of a key is not-run and its note exists": {
			func(h *History, s *State) {
				h.request("k").KeyOutcome = NotRun
				s.Entries = append(s.Entries, Entry{"k", 1})
			},
			Violations{FalseNotRun: 1},
		},
		"the outcome of a key is ran and its note is missing": {
			func(h *History, _ *State) { h.request("k").KeyOutcome = Ran },
			Violations{LostWrites: 1},
		},
		"two requests in one transaction": {
			func(_ *History, s *State) { s.Log[1].Entries[1].Request = "a" },
			Violations{MixedTransactions: 1},
		},
		"half a booking": {
			func(h *History, s *State) { s.Entries = s.Entries[:2]; h.request("b").Outcome = Unknown },
			Violations{MixedTransactions: 1},
		},
		"another request's answer": {
			func(h *History, _ *State) { h.request("d").RowNames = []string{"j"} },
			Violations{WrongAnswers: 1},
		},
		"an incomplete answer": {
			func(h *History, _ *State) { h.request("j").Rows = 4 },
			Violations{WrongAnswers: 1},
		},
		"a write is acknowledged with another command's tag": {
			func(h *History, _ *State) { h.request("a").AcknowledgedTag = "SELECT 1" },
			Violations{WrongAnswers: 1},
		},
		"a value that was never written": {
			func(h *History, _ *State) { h.request("d").Value = 9 },
			Violations{WrongAnswers: 1},
		},
		"a request loses its connection by a planned stop": {
			func(h *History, _ *State) {
				r := h.request("k")
				r.Start, r.End, r.ConnectionLost = 90*ms, 150*ms, true
			},
			Violations{CutOffRequests: 1},
		},
		"an entry host returns to a lower revision": {
			func(h *History, _ *State) {
				h.Applies = nil
				h.ObservedRevisions = append(h.ObservedRevisions, ObservedRevision{"h1", 10 * ms, 1, "first"}, ObservedRevision{"h1", 11 * ms, 3, "third"})
			},
			Violations{ConfigurationReversions: 1},
		},
		"one revision has two contents": {
			func(h *History, _ *State) { h.ObservedRevisions[3] = ObservedRevision{"h2", 5 * ms, 1, "fifth"} },
			// The operator of the first one was also told that it is in force.
			Violations{ConfigurationReversions: 2},
		},
		"a content that no operator applied": {
			func(h *History, _ *State) { h.Applies[0].Digest = "" },
			Violations{ConfigurationReversions: 1},
		},
		"a configuration in force is not everywhere at the end": {
			func(h *History, _ *State) { h.ObservedRevisions[5] = ObservedRevision{"h2", 9 * ms, 1, "first"} },
			// Only half of the hosts have the revision, which counts as well.
			Violations{ConfigurationReversions: 2},
		},
		"an accepted configuration is not everywhere at the end": {
			func(h *History, _ *State) {
				h.Applies[2].Outcome = ApplyAccepted
				h.ObservedRevisions = h.ObservedRevisions[:4]
				h.ObservedRevisions[2] = ObservedRevision{"h1", 5 * ms, 1, "first"}
			},
			Violations{ConfigurationReversions: 2},
		},
		"an abandoned configuration is in force at half of the hosts": {
			func(h *History, _ *State) { h.ObservedRevisions[5] = ObservedRevision{"h2", 9 * ms, 5, "fifth"} },
			Violations{ConfigurationReversions: 1},
		},
		"a configuration is in force under another's number": {
			func(h *History, _ *State) { h.Applies[4].Revision, h.Applies[4].Outcome = 3, ApplyInForce },
			// Both hosts have it, from both bases.
			Violations{ConfigurationReversions: 2},
		},
		"a withdrawn configuration is in force": {
			func(h *History, _ *State) { h.ObservedRevisions[2] = ObservedRevision{"h1", 5 * ms, 2, "second"} },
			Violations{ConfigurationReversions: 1},
		},
		"a withdrawn revision is in force, whichever operator supplied it": {
			func(h *History, _ *State) {
				h.ObservedRevisions[2] = ObservedRevision{"h1", 5 * ms, 2, "fifth"}
				h.Applies[1].Digest = ""
			},
			Violations{ConfigurationReversions: 1},
		},
		"a conflicting configuration is in force": {
			func(h *History, _ *State) {
				h.ObservedRevisions[2] = ObservedRevision{"h1", 5 * ms, 2, "fourth"}
				h.Applies[1].Revision = 0
			},
			Violations{ConfigurationReversions: 1},
		},
		"two changes of one revision": {
			func(h *History, _ *State) { h.Applies[4].Base, h.Applies[4].Outcome = 1, ApplyInForce },
			Violations{ConfigurationReversions: 1},
		},
		"a leaving server receives statements": {
			func(h *History, _ *State) { h.WorkOnLeaving = 1 },
			Violations{WorkOnLeaving: 1},
		},
		"a review older than its maximum age": {
			func(h *History, _ *State) { h.request("f").Value = 1 },
			Violations{TooStaleReads: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			s := h.Groups["g"]
			c.corrupt(h, &s)
			h.Groups["g"] = s
			v := Check(h)
			if d := cmp.Diff(c.want, v.Violations); d != "" {
				t.Errorf("%s\n%v", d, v.Examples)
			}
		})
	}
}
